package eventloop

import (
	"context"
	"errors"
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
