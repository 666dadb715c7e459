package membership

import (
	"testing"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// fullDatagram is the least length of a datagram that extensions fill.
const fullDatagram = MaxDatagram - 3*listHead

// lengths returns the lengths of the last call's datagrams.
func (n *Node) lengths() (out []int) {
	for _, d := range n.Datagrams() {
		out = append(out, len(d.Bytes))
	}
	return out
}

// What detection needs is sent whatever the budget holds, and bare while it holds nothing; an empty budget fills again.
func TestEmptyBudgetLeavesDetection(t *testing.T) {
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
	n.queueUpdate(now, 7, n.limit)
	n.budget.spend(int(n.budget.perInterval))
	if length := pingLength(); length > 40 {
		t.Errorf("a ping of %d bytes with an empty budget", length)
	}
	n.reset()
	n.extensionsAt = now
	n.tickExtensions(now)
	if len(n.Datagrams()) > 0 || n.Counts().Postponed != 1 {
		t.Errorf("%d datagrams for extensions with an empty budget, %d counted as postponed", len(n.Datagrams()), n.Counts().Postponed)
	}
	now += 2 * n.cfg.Interval
	if length := pingLength(); length < fullDatagram {
		t.Errorf("a ping of %d bytes two intervals later", length)
	}
}

// Updates on members, and pieces of the whole state, go on at a slow rate however empty the budget is.
func TestEmptyBudgetDoesNotStarveUpdates(t *testing.T) {
	n := newNode(t, 0, 20)
	n.askers = append(n.askers, asker{to: 3})
	gossips, pieces := 0, 0
	const intervals = 10
	for now := epoch + time.Second; now < epoch+time.Second+intervals*n.cfg.Interval; now += n.cfg.part(gossipShare) {
		n.budget.spend(int(2 * n.budget.perInterval))
		n.queueUpdate(now, 7, n.limit)
		n.askers = append(n.askers[:0], asker{to: 3})
		n.reset()
		n.sendUpdates(now)
		gossips += len(n.Datagrams())
		n.reset()
		n.sendPieces(now)
		pieces += len(n.Datagrams())
	}
	if least := int(intervals/updatePatience) - 1; gossips < least || gossips > least+2 {
		t.Errorf("%d datagrams of updates in %d intervals", gossips, intervals)
	}
	if least := int(intervals/piecePatience) - 1; pieces < least || pieces > least+2 {
		t.Errorf("%d pieces in %d intervals", pieces, intervals)
	}
}

// A member that is suspected is sent the suspicion, and nothing that would be lost with it.
func TestSuspectsAreSentTheirSuspicionAlone(t *testing.T) {
	n := newNode(t, 0, 20, testExtension{1})
	n.get(t, 1, from(n, 1, withUpdate(5, Suspect, uint64(epoch/time.Second), 1)))
	n.get(t, 1, from(n, 1, withUpdate(6, Left, uint64(epoch/time.Second), 6)))
	n.reset()
	n.ping(epoch+time.Second, 5)
	var d membershippb.Datagram
	body, ok := verifyChecksum(n.Datagrams()[0].Bytes)
	if err := reading.Unmarshal(body, &d); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if len(d.About) != 1 || d.About[0] != 5 || len(d.Payload) > 0 {
		t.Errorf("a ping of a suspect names members %v and has %d extensions", d.About, len(d.Payload))
	}
}

// The budget grows with datagrams for the extensions that are configured to go out often.
func TestBudgetHasRoomForExtensions(t *testing.T) {
	usual := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: 300 * time.Millisecond})
	often := newByteBudget(Config{Interval: DefaultInterval, ExtensionInterval: minExtensionInterval})
	if usual.perInterval != bytesPerInterval || often.perInterval < MaxDatagram*float64(DefaultInterval/minExtensionInterval)/extensionShare {
		t.Errorf("%g and %g bytes an interval", usual.perInterval, often.perInterval)
	}
}
