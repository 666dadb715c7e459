package eventloop

import (
	"context"
	"net"
	"testing"
	"time"
)

// recordedConn is a handler that reports when its connection has ended.
type recordedConn struct{ closed chan error }

func (h recordedConn) Data([]byte)      {}
func (h recordedConn) Closed(err error) { h.closed <- err }

// Guards against clients that read nothing: what waits for one of them, and for all together, has a bound.
func TestPeersThatReadNothingAreCutOff(t *testing.T) {
	for name, limit := range map[string]int{"one": 1 << 20, "all": testBudget * 2} {
		loop := startLoop(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		nc, err := net.Dial("tcp", ln.Addr().String()) // accepted by nobody: nothing is read
		if err != nil {
			t.Fatal(err)
		}
		h := recordedConn{make(chan error, 1)}
		var c *Conn
		loop.Do(func() { c = NewConn(loop, nc, h, limit) })
		for sent := 0; sent < 2*testBudget && len(h.closed) == 0; sent += 1 << 20 {
			loop.Do(func() { c.Write(make([]byte, 1<<20)) })
		}
		select {
		case err := <-h.closed:
			if err != errSlow {
				t.Errorf("%s: ended with %v", name, err)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s: not cut off", name)
		}
		loop.Do(func() {
			if n := loop.waiting.Load(); n != 0 || c.Waiting() != 0 {
				t.Errorf("%s: %d bytes still count", name, n)
			}
		})
	}
}

// testBudget is how many bytes all connections of a test's loop may hold to be written.
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
