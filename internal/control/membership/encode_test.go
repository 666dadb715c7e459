package membership

import (
	"testing"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// Checks that no datagram exceeds MaxDatagramSize while many long updates are queued, and that extension messages are
// still delivered.
func TestDatagramSizeIsBounded(t *testing.T) {
	n := newNode(t, 4000, MaxMembers, testExtension{1}, testExtension{2})
	other := newNode(t, 7, MaxMembers, testExtension{1})
	sender := n.cfg.Peers[4000]
	delivered := 0
	for round := range 40 {
		for k := range 60 { // updates with the longest encoding
			n.deliver(t, k, datagramFrom(n, k, withUpdate(round*100+k, Suspect, maxIncarnation-1, 3000)))
		}
		n.deliver(t, 7, datagramFrom(n, 7, func(d *membershippb.Datagram) {
			d.Kind, d.Incarnation, d.Sequence = membershippb.Kind_KIND_SYNC_ASK, maxIncarnation-1, 1<<32-1
		}))
		for k := range 20 {
			n.Tick(epoch + time.Duration(round*20+k+20)*200*time.Millisecond)
			if err := n.CheckInvariants(); err != nil { // includes the datagram sizes
				t.Fatal(err)
			}
			for _, d := range n.Datagrams() {
				other.Receive(epoch+time.Second, sender, d.Bytes)
				for _, e := range other.Events() {
					if e.Kind == ExtensionReceived && e.Member == 4000 && e.ExtensionKind == 1 && len(e.Body) > 0 {
						delivered++
					}
				}
			}
		}
	}
	if n.Counts().Sent < 200 || delivered == 0 || other.Counts().Malformed > 0 {
		t.Errorf("%d datagrams sent, want at least 200; %d extension messages delivered, want some; counts of the receiver %+v",
			n.Counts().Sent, delivered, other.Counts())
	}
}
