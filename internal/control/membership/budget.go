package membership

import "time"

// Parameters of the byte budget. Datagrams that failure detection needs are always sent, and use up budget; gossip, chunks
// of the full state, and extension messages are sent only while the budget allows them. Amounts of tokens are given as the
// number of protocol intervals in which they are refilled.
const (
	bytesPerInterval           = 4900 // 2.45 KB/s with the default interval, so that the worst 10 s stay below 3 KB/s
	burstIntervals             = 0.5  // capacity of the token bucket
	maxDebtIntervals           = 2.0  // maximum debt due to failure detection
	extensionReserveIntervals  = 0.2  // tokens reserved for updates about members, unavailable to extensions
	maxExtensionFraction       = 0.5  // maximum fraction of the rate used by extension datagrams
	maxUpdateDelayIntervals    = 1.0  // intervals after which updates are gossiped even without budget
	maxSyncChunkDelayIntervals = 0.5  // intervals after which a chunk of the full state is sent even without budget
	lowBudgetPingSlowdown      = 8    // without budget, pings of suspects that this member did not probe itself are slower by this factor
)

// byteBudget is a token bucket over the bytes sent (J. Turner, "New directions in communications", 1986). The number of
// tokens may become negative.
type byteBudget struct {
	perInterval float64 // rate in bytes per interval
	interval    time.Duration
	tokens      float64       // available bytes at refilledAt
	refilledAt  time.Duration // time of the last refill
}

// newByteBudget returns a full budget. Its rate is higher than the default if Config.ExtensionInterval is so short that
// the extension datagrams would exceed maxExtensionFraction of the default rate.
func newByteBudget(c Config) byteBudget {
	b := byteBudget{perInterval: bytesPerInterval, interval: c.Interval}
	if c.ExtensionInterval > 0 {
		extensions := MaxDatagramSize * float64(c.Interval) / float64(c.ExtensionInterval)
		b.perInterval = max(b.perInterval, extensions/maxExtensionFraction)
	}
	b.tokens = burstIntervals * b.perInterval
	return b
}

// refill adds the tokens for the time since the last refill.
func (b *byteBudget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	added := b.perInterval * float64(now-b.refilledAt) / float64(b.interval)
	b.tokens = min(burstIntervals*b.perInterval, b.tokens+added)
	b.refilledAt = now
}

// spend removes the tokens for a datagram that is sent.
func (b *byteBudget) spend(bytes int) {
	b.tokens = max(-maxDebtIntervals*b.perInterval, b.tokens-float64(bytes))
}

// allowsUpdates reports whether the budget allows updates about members.
func (b *byteBudget) allowsUpdates(now time.Duration) bool {
	b.refill(now)
	return b.tokens > 0
}

// allowsExtensions reports whether the budget allows extension messages.
func (b *byteBudget) allowsExtensions(now time.Duration) bool {
	b.refill(now)
	return b.tokens > extensionReserveIntervals*b.perInterval
}
