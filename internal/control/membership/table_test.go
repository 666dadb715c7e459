package membership

import (
	"fmt"
	"testing"

	"frostpier/internal/control/membership/membershippb"
)

// The state of a member changes in the order of incarnation and state, and in no other way.
func TestUpdatesOverride(t *testing.T) {
	const inc = startIncarnation
	for _, c := range []struct {
		known            State
		knownIncarnation uint64
		update           State
		incarnation      uint64
		want             State
	}{
		{Alive, inc, Suspect, inc, Suspect},
		{Alive, inc, Suspect, inc - 1, Alive},
		{Suspect, inc, Alive, inc, Suspect},
		{Suspect, inc, Alive, inc + 1, Alive},
		{Dead, inc, Suspect, inc, Dead},
		{Dead, inc, Alive, inc, Dead},
		{Dead, inc, Alive, inc + 1, Alive},
		{Alive, inc, Left, inc, Left},
		{Left, inc, Dead, inc, Left},
		{Dead, inc, Suspect, inc + 1, Suspect},
		{Suspect, inc, Dead, inc, Dead},
		{Alive, inc, Dead, inc, Suspect},
		{Alive, inc, Dead, inc - 1, Alive},
	} {
		t.Run(fmt.Sprintf("%v@%d then %v@%d", c.known, c.knownIncarnation-inc, c.update, int(c.incarnation)-int(inc)), func(t *testing.T) {
			n := newNode(t, 0, 5)
			n.deliverUpdate(t, 3, Suspect, c.knownIncarnation-1, 1)
			if c.known == Dead { // only a suspect is declared dead by gossip
				n.deliverUpdate(t, 3, Suspect, c.knownIncarnation, 1)
			}
			n.deliverUpdate(t, 3, c.known, c.knownIncarnation, 1)
			n.deliverUpdate(t, 3, c.update, c.incarnation, 2)
			if s, _ := n.Member(3); s != c.want {
				t.Errorf("state %v, want %v", s, c.want)
			}
		})
	}
}

// A member refutes a wrong update on itself, also one on a former incarnation with a later clock.
func TestRefutes(t *testing.T) {
	for _, s := range []State{Suspect, Dead, Left, Alive} {
		t.Run(s.String(), func(t *testing.T) {
			n := newNode(t, 0, 5)
			_, refuted := n.Member(0)
			if s == Alive {
				refuted += 1000
			}
			n.deliver(t, 1, datagramFrom(n, 1, withUpdate(0, s, refuted, 2)))
			state, incarnation := n.Member(0)
			if state != Alive || incarnation != refuted+1 || len(n.Events()) != 1 || n.Events()[0].Kind != Refuted {
				t.Errorf("update %v@%d: now %v@%d, events %v", s, refuted, state, incarnation, n.Events())
			}
		})
	}
}

// A member that restarts without stored state while its clock was set back is notified of its former incarnation in the
// ACK to its first ping.
func TestFormerIncarnationIsNotified(t *testing.T) {
	n := newNode(t, 0, 5)
	n.deliver(t, 1, datagramFrom(n, 1, nil))
	n.deliver(t, 1, datagramFrom(n, 1, func(d *membershippb.Datagram) {
		d.Kind, d.Incarnation, d.Sequence = membershippb.Kind_KIND_PING, d.Incarnation-3600, 9
	}))
	d := n.firstDatagram(t)
	if d.Kind != membershippb.Kind_KIND_ACK || d.Sequence != 9 || len(d.About) == 0 || d.About[0] != 1 ||
		d.Word[0] != packState(Alive, startIncarnation) {
		t.Fatalf("answered %v", d)
	}
}
