package enginepool

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/eventloop/eventlooptest"
	"frostpier/policy"
)

// discard is a handler that ignores everything.
type discard struct{}

func (discard) Data([]byte)  {}
func (discard) Closed(error) {}

// listen returns the address of a server that reads everything and never answers.
func listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, nc)
		}
	}()
	return ln.Addr().String()
}

func newPool(t *testing.T, budget int) (*eventloop.Loop, *Pool) {
	t.Helper()
	loop := eventlooptest.Start(t)
	p := New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), time.Second, time.Minute, Budget{budget, 1})
	p.drainDelay = 0 // tests of late bytes on idle connections set it themselves
	return loop, p
}

// A lack of descriptors is no fault of an engine: attempts wait for one, and cancellations, which are urgent, do not. On an
// overloaded day with 512 connections in use, every further attempt had counted as not connected, engines were ejected for that,
// and the others got all the load.
func TestAttemptsWaitForADescriptor(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listen(t), make(chan *Conn, 3)
	deliver := func(c *Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		got <- c
	}
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discard{}, deliver)
		if p.inUse != 1 || len(p.waiters) != 1 {
			t.Errorf("%d in use, %d waiting", p.inUse, len(p.waiters))
		}
		p.Get(1, addr, false, true, discard{}, deliver)
	})
	urgent := <-got
	if urgent.key.engine != 1 {
		t.Fatal("the request that should wait was served first")
	}
	loop.Do(func() { urgent.Discard(); first.Release() })
	if second := <-got; second.key.engine != 2 {
		t.Fatal("another connection came")
	}
	loop.Do(func() {
		if p.inUse != 1 || len(p.waiters) != 0 || len(p.idle) != 0 {
			t.Errorf("%d in use, %d waiting, idle %v", p.inUse, len(p.waiters), p.idle)
		}
	})
}

// A connection to one engine never serves another that has taken over its address.
func TestIdleConnectionsAreKeptByEngine(t *testing.T) {
	loop, p := newPool(t, 8)
	addr, got := listen(t), make(chan *Conn, 1)
	deliver := func(c *Conn, _ error) { got <- c }
	get := func(e policy.EngineID) *Conn {
		loop.Do(func() { p.Get(e, addr, false, false, discard{}, deliver) })
		return <-got
	}
	first := get(1)
	loop.Do(first.Release)
	if other := get(2); other == first {
		t.Fatal("engine 2 got engine 1's connection")
	}
	if reused := get(1); reused != first {
		t.Fatal("engine 1 did not get its idle connection")
	}
	loop.Do(first.Release)
	loop.Do(func() {
		if p.Invalidate(1); p.inUse != 1 || first.IsOpen() {
			t.Errorf("%d in use after engine 1 was removed", p.inUse)
		}
	})
}

// A request can be cancelled at every stage. The function that cancels it once called itself without end, which overflowed the
// stack on the first overloaded day on which an attempt was cancelled while it waited.
func TestRequestsCanBeCancelled(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listen(t), make(chan *Conn, 4)
	deliver := func(c *Conn, _ error) { got <- c }
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discard{}, deliver)() // while it waits for a descriptor
		first.Release()
	})
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, deliver)() }) // during a drain delay
	loop.Do(func() { p.Get(3, addr, true, false, discard{}, deliver)() })  // during a dial
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, deliver) })
	if last := <-got; last.key.engine != 1 {
		t.Fatalf("engine %d serves a request that was cancelled", last.key.engine)
	}
}

// A released connection is handed to a request that waits for one to the same engine, and not closed for the sake of its dial.
func TestReleasedConnectionGoesToAWaiter(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listen(t), make(chan *Conn, 2)
	deliver := func(c *Conn, _ error) { got <- c }
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discard{}, deliver)
		p.Get(1, addr, false, false, discard{}, deliver)
		first.Release()
	})
	if next := <-got; next != first {
		t.Fatal("another connection was made")
	}
	loop.Do(first.Release) // no other request waits for this engine
	if other := <-got; other.key.engine != 2 {
		t.Fatal("the request for the other engine still waits")
	}
}

// A connection that comes up after its attempt has ended serves others, unless the engine was removed or has moved by then; and
// one that was in use meanwhile is not reused either.
func TestLateConnectionToAnEngineThatHasMoved(t *testing.T) {
	loop, p := newPool(t, 4)
	e := nettest.NewEngine(t, "e")
	addr, got := e.Addr(), make(chan *Conn, 1)
	loop.Do(func() {
		cancel := p.Get(1, addr, false, false, discard{}, func(*Conn, error) { t.Error("a cancelled request got a connection") })
		nettest.Eventually(t, "the dial", func() bool { return loop.Queued() > 0 })
		cancel()
		p.Invalidate(1)
	})
	e.Accept().ExpectClosed()
	loop.Do(func() { p.Get(1, addr, false, false, discard{}, func(c *Conn, _ error) { got <- c }) })
	used := <-got
	loop.Do(func() {
		p.Invalidate(1)
		used.Release()
		if len(p.idle) != 0 || p.inUse != 0 || len(p.conns) != 0 {
			t.Errorf("idle %v, %d in use, %d connections", p.idle, p.inUse, len(p.conns))
		}
	})
	e.Accept().ExpectClosed()
}
