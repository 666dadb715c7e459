package membership

import "time"

// Parameters of the byte budget. A datagram that failure detection needs is always sent, and debits the budget; gossip,
// chunks of the full state and extension messages are sent while the budget allows them.
const (
	bytesPerInterval    = 4900 // 2.45 KB a second with the default interval, so that the worst 10 s stay under 3 KB a second
	budgetCapacity      = 0.5  // of the bytes per interval: the longest burst
	budgetDebt          = 2.0  // of the bytes per interval: the most that failure detection may draw in advance
	extensionReserve    = 0.2  // of the bytes per interval: below it extensions wait, so that updates on members go first
	extensionShare      = 0.5  // of the budget, for datagrams that carry extensions alone
	updatePatience      = 1.0  // intervals after which updates are gossiped without budget
	syncChunkPatience   = 0.5  // intervals after which a chunk of the full state is sent without budget
	lowBudgetPingFactor = 8    // by which pings of suspects slow down without budget, where other members suspect them too
)

// byteBudget is a token bucket over the bytes sent (J. Turner, "New directions in communications", 1986). Its level may
// fall below zero.
type byteBudget struct {
	perInterval float64 // bytes
	interval    time.Duration
	level       float64       // bytes, at refilledAt
	refilledAt  time.Duration // time of the last refill
}

// newByteBudget returns a full budget. It is larger where Config.ExtensionInterval is so short that the datagrams for
// extensions would exceed their share of the default budget.
func newByteBudget(c Config) byteBudget {
	b := byteBudget{perInterval: bytesPerInterval, interval: c.Interval}
	if c.ExtensionInterval > 0 {
		extensions := MaxDatagramSize * float64(c.Interval) / float64(c.ExtensionInterval)
		b.perInterval = max(b.perInterval, extensions/extensionShare)
	}
	b.level = budgetCapacity * b.perInterval
	return b
}

// refill adds the bytes for the time since the last call.
func (b *byteBudget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	added := b.perInterval * float64(now-b.refilledAt) / float64(b.interval)
	b.level = min(budgetCapacity*b.perInterval, b.level+added)
	b.refilledAt = now
}

// spend debits the bytes of a datagram.
func (b *byteBudget) spend(bytes int) {
	b.level = max(-budgetDebt*b.perInterval, b.level-float64(bytes))
}

// allowsUpdates reports whether the budget allows updates on members.
func (b *byteBudget) allowsUpdates(now time.Duration) bool {
	b.refill(now)
	return b.level > 0
}

// allowsExtensions reports whether the budget allows extension messages.
func (b *byteBudget) allowsExtensions(now time.Duration) bool {
	b.refill(now)
	return b.level > extensionReserve*b.perInterval
}
