package eventloop

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// nameRecorder is a handler that records the name of its connection for each Data.
type nameRecorder struct {
	name  string
	names *[]string
}

func (h nameRecorder) Data([]byte)  { *h.names = append(*h.names, h.name) }
func (h nameRecorder) Closed(error) {}

// waitQueued waits until n functions are queued. The test blocks the loop.
func waitQueued(t *testing.T, loop *Loop, n int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); loop.Queued() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d functions queued, want %d", loop.Queued(), n)
		}
	}
}

// Received bytes of the connection that has used the loop least lately are handled first, and a new connection does not precede one that has
// long been open. Clients that sent at full speed, or connected again and again, delayed the requests of others by seconds.
func TestReadsOfConnectionWithLeastUsageAreHandledFirst(t *testing.T) {
	loop := startLoop(t)
	var names []string
	peers := map[string]net.Conn{}
	open := func(name string, age, busy time.Duration) {
		peer, nc := net.Pipe()
		t.Cleanup(func() { peer.Close() })
		peers[name] = peer
		c := NewConn(loop, nc, nameRecorder{name, &names}, 1)
		c.ShareLoop()
		c.usage.updatedAt -= age
		c.usage.add(loop.Now(), busy)
	}
	loop.Do(func() {
		open("busy", time.Minute, time.Second)
		open("new", 0, 0)
		open("idle", time.Minute, 0)
		for i, name := range []string{"busy", "new", "idle"} {
			io.WriteString(peers[name], "x")
			waitQueued(t, loop, i+1)
		}
		go loop.Post(func() { names = append(names, "posted") })
		waitQueued(t, loop, 4)
	})
	want := []string{"posted", "idle", "new", "busy"}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		var got []string
		loop.Do(func() { got = slices.Clone(names) })
		if slices.Equal(got, want) {
			return
		}
		if len(got) == len(want) || time.Now().After(deadline) {
			t.Fatalf("handled in the order %q, want %q", got, want)
		}
	}
}

// A loop that always has other work still handles reads of connections that share it.
func TestReadsAreHandledBesideOtherWork(t *testing.T) {
	loop := New(time.Now(), testWriteBudget)
	var names []string
	for range 2 * maxFunctionsBetweenReads {
		loop.Post(func() { names = append(names, "posted") })
	}
	loop.reads.push(0, func() { names = append(names, "read") })
	for range 2*maxFunctionsBetweenReads + 1 {
		loop.RunNext()
	}
	if i := slices.Index(names, "read"); i != maxFunctionsBetweenReads {
		t.Errorf("the read was handled after %d other functions, want %d", i, maxFunctionsBetweenReads)
	}
}

// A read that waits for other connections reports its delay, so that the time counts for the requests in it.
func TestReadDelayIncludesTimeInQueue(t *testing.T) {
	const blocked = 50 * time.Millisecond
	loop := startLoop(t)
	loop.StartLagMonitor()
	delays := make(chan time.Duration, 1)
	peer, nc := net.Pipe()
	defer peer.Close()
	loop.Do(func() { NewConn(loop, nc, delayRecorder{loop, delays}, 1).ShareLoop() })
	loop.Do(func() {
		io.WriteString(peer, "x")
		waitQueued(t, loop, 1)
		time.Sleep(blocked)
	})
	if delay := <-delays; delay < blocked {
		t.Errorf("delay %v, want at least %v", delay, blocked)
	}
}

// delayRecorder is a handler that sends the read delay of each Data on a channel.
type delayRecorder struct {
	loop   *Loop
	delays chan time.Duration
}

func (h delayRecorder) Data([]byte)  { h.delays <- h.loop.ReadDelay() }
func (h delayRecorder) Closed(error) {}
