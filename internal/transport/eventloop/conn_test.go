package eventloop

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// closeRecorder is a handler that sends the error passed to Closed on a channel.
type closeRecorder struct{ closed chan error }

func (h closeRecorder) Data([]byte)      {}
func (h closeRecorder) Closed(err error) { h.closed <- err }

// A peer that reads nothing is disconnected when its own write queue exceeds the connection's limit, or when all write queues of the
// loop together exceed the write budget.
func TestConnClosesWhenWriteQueueExceedsLimit(t *testing.T) {
	for name, limit := range map[string]int{"connection limit": 1 << 20, "loop budget": testWriteBudget * 2} {
		t.Run(name, func(t *testing.T) {
			loop := startLoop(t)
			nc := dialSilentPeer(t)
			h := closeRecorder{make(chan error, 1)}
			var c *Conn
			loop.Do(func() { c = NewConn(loop, nc, h, limit) })
			for sent := 0; sent < 2*testWriteBudget && len(h.closed) == 0; sent += 1 << 20 {
				loop.Do(func() { c.Write(make([]byte, 1<<20)) })
			}
			select {
			case err := <-h.closed:
				if !errors.Is(err, errSlowPeer) {
					t.Errorf("closed with error %v, want %v", err, errSlowPeer)
				}
			case <-time.After(20 * time.Second):
				t.Error("peer was not disconnected within 20 s")
			}
			loop.Do(func() {
				if n := loop.queuedBytes.Load(); n != 0 || c.QueuedBytes() != 0 {
					t.Errorf("after the close, %d bytes still count as queued on the loop and %d on the connection", n, c.QueuedBytes())
				}
			})
		})
	}
}

// When all write queues together exceed the write budget, the connection whose peer has read nothing for the longest time is closed, and a peer
// that reads gets all its bytes. The connection that queued the last bytes was closed, so that clients that read nothing could keep all
// others from long responses.
func TestWriteBudgetIsTakenFromLongestWaitingPeer(t *testing.T) {
	const queued = testWriteBudget / 2
	loop := startLoop(t)
	conns, closed := map[string]*Conn{}, map[string]chan error{}
	open := func(name string) (peer net.Conn) {
		peer, nc := net.Pipe()
		t.Cleanup(func() { peer.Close() })
		closed[name] = make(chan error, 1)
		loop.Do(func() { conns[name] = NewConn(loop, nc, closeRecorder{closed[name]}, 2*testWriteBudget) })
		return peer
	}
	open("first silent")
	open("second silent")
	reading := open("reading")
	loop.Do(func() {
		conns["first silent"].Write(make([]byte, queued))
		conns["second silent"].Write(make([]byte, queued))
		conns["reading"].Write(make([]byte, queued))
	})
	if err := <-closed["first silent"]; !errors.Is(err, errSlowPeer) {
		t.Errorf("the connection that waited longest was closed with error %v, want %v", err, errSlowPeer)
	}
	if n, err := io.ReadFull(reading, make([]byte, queued)); err != nil {
		t.Errorf("the reading peer got %d bytes of %d and error %v", n, queued, err)
	}
	if len(closed["second silent"]) > 0 {
		t.Error("another connection was closed although the rest was within the budget")
	}
}

// dialSilentPeer returns a connection that the peer never accepts, so that nothing is read from it.
func dialSilentPeer(t *testing.T) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return nc
}

// testWriteBudget is the number of bytes that all connections of a test's loop together may queue.
const testWriteBudget = 8 << 20

// startLoop returns a running loop that is stopped at the end of the test.
func startLoop(t *testing.T) *Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop := New(time.Now(), testWriteBudget)
	go loop.Run(ctx)
	return loop
}
