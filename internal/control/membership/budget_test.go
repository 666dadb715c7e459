package membership

import (
	"testing"
	"time"
)

// fullDatagram is the lower bound of the length of a datagram that extensions fill.
const fullDatagram = MaxDatagramSize - 3*listOverhead

// lengths returns the lengths of the last call's datagrams.
func (n *Node) lengths() (out []int) {
	for _, d := range n.Datagrams() {
		out = append(out, len(d.Bytes))
	}
	return out
}

// Failure detection sends its datagrams whatever the budget, without piggybacked messages while it is empty; an empty
// budget is refilled.
func TestEmptyBudgetDoesNotStopDetection(t *testing.T) {
	n := newNode(t, 0, 20, testExtension{1})
	now := epoch + time.Second
	pingLength := func() int {
		n.reset()
		n.ping(now, 5)
		return n.lengths()[0]
	}
	if length := pingLength(); length < fullDatagram {
		t.Fatalf("a ping of %d bytes with a full budget", length)
	}
	n.queueUpdate(now, 7, n.retransmitLimit)
	n.budget.spend(int(n.budget.perInterval))
	if length := pingLength(); length > 40 {
		t.Errorf("a ping of %d bytes with an empty budget", length)
	}
	n.reset()
	n.nextExtensionsAt = now
	n.tickExtensions(now)
	if len(n.Datagrams()) > 0 || n.Counts().Postponed != 1 {
		t.Errorf("%d datagrams for extensions with an empty budget, %d counted as postponed", len(n.Datagrams()), n.Counts().Postponed)
	}
	now += 2 * n.cfg.Interval
	if length := pingLength(); length < fullDatagram {
		t.Errorf("a ping of %d bytes two intervals later", length)
	}
}

// Updates on members and chunks of the full state are sent at a low rate however empty the budget is.
func TestEmptyBudgetDoesNotStarveUpdates(t *testing.T) {
	n := newNode(t, 0, 20)
	n.syncRequests = append(n.syncRequests, syncRequest{to: 3})
	gossips, chunks := 0, 0
	const intervals = 10
	for now := epoch + time.Second; now < epoch+time.Second+intervals*n.cfg.Interval; now += n.cfg.intervals(gossipShare) {
		n.budget.spend(int(2 * n.budget.perInterval))
		n.queueUpdate(now, 7, n.retransmitLimit)
		n.syncRequests = append(n.syncRequests[:0], syncRequest{to: 3})
		n.reset()
		n.sendUpdates(now)
		gossips += len(n.Datagrams())
		n.reset()
		n.sendSyncChunks(now)
		chunks += len(n.Datagrams())
	}
	if lowest := int(intervals/updatePatience) - 1; gossips < lowest || gossips > lowest+2 {
		t.Errorf("%d datagrams of updates in %d intervals", gossips, intervals)
	}
	if lowest := int(intervals/syncChunkPatience) - 1; chunks < lowest || chunks > lowest+2 {
		t.Errorf("%d chunks in %d intervals", chunks, intervals)
	}
}

// A suspect is sent the update on itself, and no piggybacked messages, which would be lost with it.
func TestSuspectsReceiveNoPiggybackedMessages(t *testing.T) {
	n := newNode(t, 0, 20, testExtension{1})
	n.deliverUpdate(t, 5, Suspect, startIncarnation, 1)
	n.deliver(t, 1, datagramFrom(n, 1, withUpdate(6, Left, startIncarnation, 6)))
	n.reset()
	n.ping(epoch+time.Second, 5)
	d := n.firstDatagram(t)
	if len(d.About) != 1 || d.About[0] != 5 || len(d.Payload) > 0 {
		t.Errorf("a ping of a suspect names members %v and has %d extensions", d.About, len(d.Payload))
	}
}

// The budget is larger where the configuration sends datagrams for extensions often.
func TestBudgetAllowsForExtensions(t *testing.T) {
	usual := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: 300 * time.Millisecond})
	often := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: minExtensionInterval})
	if usual.perInterval != bytesPerInterval || often.perInterval < MaxDatagramSize*float64(DefaultInterval/minExtensionInterval)/extensionShare {
		t.Errorf("%g and %g bytes an interval", usual.perInterval, often.perInterval)
	}
}
