package membership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// A relayed probe gets one NACK, also if this process pauses between the NACK and the end of the probe: the timer of a NACK that was
// sent was set anew by the pause, and the NACK went out again.
func TestRelayedProbeGetsOneNACK(t *testing.T) {
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
		nacks += n.nacksTo(t, origin, sequence)
	}
	if nacks != 1 || !paused {
		t.Errorf("%d NACKs, paused after the first: %v", nacks, paused)
	}
}

// nacksTo counts the NACKs of a probe among the datagrams of the last call.
func (n *Node) nacksTo(t failer, origin int, sequence uint32) (count int) {
	t.Helper()
	for _, datagram := range n.Datagrams() {
		d := &membershippb.Datagram{}
		message, ok := verifyChecksum(datagram.Bytes)
		if err := proto.Unmarshal(message, d); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if datagram.To == origin && d.Kind == membershippb.Kind_KIND_NACK && d.Sequence == sequence {
			count++
		}
	}
	return count
}
