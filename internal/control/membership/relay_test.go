package membership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// Checks that a relayed probe sends only one NACK, even if the process pauses after it. Postponing the timers after a
// pause used to restart the timer of a NACK already sent, so that it was sent again.
func TestRelayedProbeSendsOneNACK(t *testing.T) {
	const origin, subject, sequence = 1, 3, 9
	n := newNode(t, 0, 5)
	n.deliver(t, origin, datagramFrom(n, origin, func(d *membershippb.Datagram) {
		d.Kind, d.Sequence, d.Subject = membershippb.Kind_KIND_PING_REQ, sequence, subject+1
	}))
	nacks, paused := 0, false
	now := epoch + time.Second
	for end := now + time.Minute; now < end; now = max(now, n.NextTick()) + time.Millisecond {
		if nacks == 1 && !paused {
			paused = true
			now += 10 * time.Second
		}
		n.Tick(now)
		nacks += n.countNACKsTo(t, origin, sequence)
	}
	if nacks != 1 || !paused {
		t.Errorf("%d NACKs, want 1; paused after the first one: %v, want true", nacks, paused)
	}
}

// countNACKsTo returns the number of NACKs for a probe of origin in the output of the last call.
func (n *Node) countNACKsTo(t testingT, origin int, sequence uint32) (count int) {
	t.Helper()
	for _, datagram := range n.Datagrams() {
		d := &membershippb.Datagram{}
		message, ok := verifyChecksum(datagram.Bytes)
		if err := proto.Unmarshal(message, d); !ok || err != nil {
			t.Fatal("a datagram cannot be decoded: checksum valid:", ok, "error:", err)
		}
		if datagram.To == origin && d.Kind == membershippb.Kind_KIND_NACK && d.Sequence == sequence {
			count++
		}
	}
	return count
}
