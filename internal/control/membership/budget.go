package membership

import "time"

// The budget of bytes. A datagram that failure detection needs is always sent, and drawn from the budget; what can wait is sent
// while the budget has enough left for it.
const (
	bytesPerInterval = 4900 // 2.45 KB a second with the default interval, so that the worst 10 s stay under 3 KB a second
	budgetCapacity   = 0.5  // of what an interval brings: the longest burst
	budgetDebt       = 2.0  // likewise: the most that detection may draw in advance
	extensionReserve = 0.2  // likewise: below it no extension is carried, so that updates on members go first
	extensionShare   = 0.5  // of the budget that datagrams for the extensions alone may take at the most
	updatePatience   = 1.0  // of an interval, after which updates are gossiped whatever the budget holds
	piecePatience    = 0.5  // of an interval, likewise for a piece of the whole state
	scarceCalls      = 8    // times as long between pings of suspects while there is nothing left, where others suspect them too
)

// byteBudget is a token bucket over the bytes sent (J. Turner, "New directions in communications", 1986). It may go below zero.
type byteBudget struct {
	perInterval float64
	interval    time.Duration
	level       float64
	at          time.Duration // of the level
}

// newByteBudget returns a full budget. It grows where the configuration has datagrams for the extensions so often that they would
// take more than their share of the usual one.
func newByteBudget(c Config) byteBudget {
	b := byteBudget{perInterval: bytesPerInterval, interval: c.Interval}
	if c.ExtensionInterval > 0 {
		extensions := MaxDatagram * float64(c.Interval) / float64(c.ExtensionInterval)
		b.perInterval = max(b.perInterval, extensions/extensionShare)
	}
	b.level = budgetCapacity * b.perInterval
	return b
}

// refill adds what the time since the last call brings.
func (b *byteBudget) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	brought := b.perInterval * float64(now-b.at) / float64(b.interval)
	b.level = min(budgetCapacity*b.perInterval, b.level+brought)
	b.at = now
}

// spend draws a datagram's bytes.
func (b *byteBudget) spend(bytes int) {
	b.level = max(-budgetDebt*b.perInterval, b.level-float64(bytes))
}

// allowsUpdates reports whether there is something left for updates on members.
func (b *byteBudget) allowsUpdates(now time.Duration) bool {
	b.refill(now)
	return b.level > 0
}

// allowsExtensions reports whether there is enough left to carry extensions.
func (b *byteBudget) allowsExtensions(now time.Duration) bool {
	b.refill(now)
	return b.level > extensionReserve*b.perInterval
}
