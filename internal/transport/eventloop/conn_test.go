package eventloop

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// closeRecorder is a handler that reports when its connection has ended.
type closeRecorder struct{ closed chan error }

func (h closeRecorder) Data([]byte)      {}
func (h closeRecorder) Closed(err error) { h.closed <- err }

// The queue of a peer that reads nothing is bounded, and so is that of all peers together.
func TestSlowPeersAreDisconnected(t *testing.T) {
	for name, limit := range map[string]int{"one": 1 << 20, "all": testBudget * 2} {
		t.Run(name, func(t *testing.T) {
			loop := startLoop(t)
			nc := dialSilentPeer(t)
			h := closeRecorder{make(chan error, 1)}
			var c *Conn
			loop.Do(func() { c = NewConn(loop, nc, h, limit) })
			for sent := 0; sent < 2*testBudget && len(h.closed) == 0; sent += 1 << 20 {
				loop.Do(func() { c.Write(make([]byte, 1<<20)) })
			}
			select {
			case err := <-h.closed:
				if !errors.Is(err, errSlowPeer) {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(20 * time.Second):
				t.Error("not disconnected")
			}
			loop.Do(func() {
				if n := loop.queuedBytes.Load(); n != 0 || c.QueuedBytes() != 0 {
					t.Errorf("%d bytes still count", n)
				}
			})
		})
	}
}

// dialSilentPeer returns a connection that nobody accepts, so that nothing is read from it.
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

// testBudget is how many bytes all connections of a test's loop may queue.
const testBudget = 8 << 20

// startLoop returns a running loop that ends with the test.
func startLoop(t *testing.T) *Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop := New(time.Now(), testBudget)
	go loop.Run(ctx)
	return loop
}
