package membership

import (
	"fmt"
	"testing"

	"frostpier/internal/control/membership/membershippb"
)

// Checks that an update overrides the known state of a member only if its incarnation is higher, or if it is equal and the
// state comes later in the SWIM order.
func TestUpdatesOverrideByIncarnationAndState(t *testing.T) {
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
			if c.known == Dead { // a gossiped death is accepted only for a suspect
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

// Checks that a member refutes a wrong update about itself, including an Alive update with a higher incarnation, from a
// former process whose clock was ahead.
func TestMemberRefutesUpdatesAboutItself(t *testing.T) {
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
				t.Errorf("after the update %v, incarnation %d: state %v, incarnation %d, events %v, want a refutation with the next incarnation",
					s, refuted, state, incarnation, n.Events())
			}
		})
	}
}

// Checks that a member which restarts without stored state and with its clock set back is notified of its former
// incarnation in the ACK to its first ping.
func TestRestartedMemberIsNotifiedOfFormerIncarnation(t *testing.T) {
	n := newNode(t, 0, 5)
	n.deliver(t, 1, datagramFrom(n, 1, nil))
	n.deliver(t, 1, datagramFrom(n, 1, func(d *membershippb.Datagram) {
		d.Kind, d.Incarnation, d.Sequence = membershippb.Kind_KIND_PING, d.Incarnation-3600, 9
	}))
	d := n.firstDatagram(t)
	if d.Kind != membershippb.Kind_KIND_ACK || d.Sequence != 9 || len(d.About) == 0 || d.About[0] != 1 ||
		d.Word[0] != packState(Alive, startIncarnation) {
		t.Fatalf("the first datagram is %v, want an ACK with an update about member 1 and its former incarnation", d)
	}
}
