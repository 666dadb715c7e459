package membership

import (
	"testing"
	"time"
)

// minFullDatagramSize is the minimum size of a datagram that extensions fill.
const minFullDatagramSize = MaxDatagramSize - 3*listOverhead

// datagramLengths returns the lengths of the datagrams of the last call.
func (n *Node) datagramLengths() (out []int) {
	for _, d := range n.Datagrams() {
		out = append(out, len(d.Bytes))
	}
	return out
}

// Checks that an empty byte budget does not prevent pings, but only piggybacked messages and extension datagrams, and that
// the budget is refilled over time.
func TestEmptyBudgetDoesNotBlockProbes(t *testing.T) {
	n := newNode(t, 0, 20, testExtension{1})
	now := epoch + time.Second
	pingLength := func() int {
		n.clearOutput()
		n.ping(now, 5)
		return n.datagramLengths()[0]
	}
	if length := pingLength(); length < minFullDatagramSize {
		t.Fatalf("a ping with a full budget has %d bytes, want at least %d", length, minFullDatagramSize)
	}
	n.queueUpdate(now, 7, n.retransmitLimit)
	n.budget.spend(int(n.budget.perInterval))
	if length := pingLength(); length > 40 {
		t.Errorf("a ping with an empty budget has %d bytes, want at most 40", length)
	}
	n.clearOutput()
	n.nextExtensionsAt = now
	n.tickExtensions(now)
	if len(n.Datagrams()) > 0 || n.Counts().Postponed != 1 {
		t.Errorf("empty budget: %d extension datagrams sent, want none; %d counted as postponed, want 1", len(n.Datagrams()), n.Counts().Postponed)
	}
	now += 2 * n.cfg.Interval
	if length := pingLength(); length < minFullDatagramSize {
		t.Errorf("a ping two intervals later has %d bytes, want at least %d", length, minFullDatagramSize)
	}
}

// Checks that updates and chunks of the full state are still sent, at a low rate, while the byte budget is exhausted.
func TestEmptyBudgetDoesNotStarveUpdates(t *testing.T) {
	n := newNode(t, 0, 20)
	n.syncRequests = append(n.syncRequests, syncRequest{to: 3})
	gossips, chunks := 0, 0
	const intervals = 10
	for now := epoch + time.Second; now < epoch+time.Second+intervals*n.cfg.Interval; now += n.cfg.intervals(gossipPeriodIntervals) {
		n.budget.spend(int(2 * n.budget.perInterval))
		n.queueUpdate(now, 7, n.retransmitLimit)
		n.syncRequests = append(n.syncRequests[:0], syncRequest{to: 3})
		n.clearOutput()
		n.sendUpdates(now)
		gossips += len(n.Datagrams())
		n.clearOutput()
		n.sendSyncChunks(now)
		chunks += len(n.Datagrams())
	}
	if lowest := int(intervals/maxUpdateDelayIntervals) - 1; gossips < lowest || gossips > lowest+2 {
		t.Errorf("%d gossip datagrams in %d intervals, want %d to %d", gossips, intervals, lowest, lowest+2)
	}
	if lowest := int(intervals/maxSyncChunkDelayIntervals) - 1; chunks < lowest || chunks > lowest+2 {
		t.Errorf("%d chunks in %d intervals, want %d to %d", chunks, intervals, lowest, lowest+2)
	}
}

// Checks that a ping of a suspect contains the update about the suspect and no piggybacked messages, since a suspect
// probably does not receive them.
func TestSuspectsReceiveNoPiggybackedMessages(t *testing.T) {
	n := newNode(t, 0, 20, testExtension{1})
	n.deliverUpdate(t, 5, Suspect, startIncarnation, 1)
	n.deliver(t, 1, datagramFrom(n, 1, withUpdate(6, Left, startIncarnation, 6)))
	n.clearOutput()
	n.ping(epoch+time.Second, 5)
	d := n.firstDatagram(t)
	if len(d.About) != 1 || d.About[0] != 5 || len(d.Payload) > 0 {
		t.Errorf("the ping of suspect 5 has updates about %v and %d payloads, want an update about 5 only", d.About, len(d.Payload))
	}
}

// Checks that a short ExtensionInterval raises the rate of the byte budget, and a usual one does not.
func TestBudgetGrowsWithExtensionRate(t *testing.T) {
	usual := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: 300 * time.Millisecond})
	frequent := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: minExtensionInterval})
	if usual.perInterval != bytesPerInterval || frequent.perInterval < MaxDatagramSize*float64(DefaultInterval/minExtensionInterval)/maxExtensionFraction {
		t.Errorf("bytes per interval: %g with the usual extension interval, want %d; %g with the shortest one, want at least %g", usual.perInterval,
			bytesPerInterval, frequent.perInterval, MaxDatagramSize*float64(DefaultInterval/minExtensionInterval)/maxExtensionFraction)
	}
}
