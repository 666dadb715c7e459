package membership

import (
	"testing"
	"time"
)

// connectedNodes returns members 0 and 1 of a fleet of 300. Both have received a datagram from each of the others.
func connectedNodes(tb testingT) (a, b *Node) {
	a, b = newNode(tb, 0, 300), newNode(tb, 1, 300)
	for i := range 300 {
		if i > 1 {
			a.Receive(epoch, a.cfg.Peers[i], datagramFrom(a, i, nil))
			b.Receive(epoch, b.cfg.Peers[i], datagramFrom(b, i, nil))
		}
	}
	return a, b
}

// pingAndAck lets a ping b and handle the ACK, which encodes and decodes two datagrams.
func pingAndAck(a, b *Node, now time.Duration) {
	a.clearOutput()
	a.ping(now, 1)
	b.Receive(now, a.cfg.Peers[0], a.Datagrams()[0].Bytes)
	a.Receive(now, a.cfg.Peers[1], b.Datagrams()[0].Bytes)
}

// Checks that neither a Tick nor a ping with its ACK allocates memory in the steady state.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	a, b := connectedNodes(t)
	now := epoch + time.Second
	for range 100 {
		now += 300 * time.Millisecond
		pingAndAck(a, b, now)
	}
	if k := testing.AllocsPerRun(200, func() { pingAndAck(a, b, now) }); k > 0 {
		t.Errorf("%v allocations per ping and ACK, want none", k)
	}
	if k := testing.AllocsPerRun(200, func() { a.Tick(now) }); k > 0 {
		t.Errorf("%v allocations per Tick, want none", k)
	}
}

func BenchmarkPingAndAck(b *testing.B) {
	x, y := connectedNodes(b)
	b.ReportAllocs()
	for b.Loop() {
		pingAndAck(x, y, epoch+time.Second)
	}
}

func BenchmarkTick(b *testing.B) {
	x, _ := connectedNodes(b)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Millisecond
		x.Tick(now)
	}
}
