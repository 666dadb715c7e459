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

// discardHandler is a connection handler that ignores all events.
type discardHandler struct{}

func (discardHandler) Data([]byte)  {}
func (discardHandler) Closed(error) {}

// startSilentServer returns the address of a server that reads everything and never responds.
func startSilentServer(t *testing.T) string {
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
	p.drainDelay = 0 // tests that need a drain delay set it
	return loop, p
}

// Get waits for a descriptor while the budget is exhausted, unless the request is urgent, as cancellations are. Under overload, with all
// 512 connections in use, each further attempt once counted as a connection failure of its engine; engines were ejected for that, and the
// others received all the load.
func TestGetWaitsWhenBudgetIsExhausted(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := startSilentServer(t), make(chan *Conn, 3)
	deliver := func(c *Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		got <- c
	}
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discardHandler{}, deliver)
		if p.inUse != 1 || len(p.waiters) != 1 {
			t.Errorf("%d descriptors in use and %d requests waiting, want 1 and 1", p.inUse, len(p.waiters))
		}
		p.Get(1, addr, false, true, discardHandler{}, deliver)
	})
	urgent := <-got
	if urgent.key.engine != 1 {
		t.Fatal("the request that is not urgent did not wait for a descriptor")
	}
	loop.Do(func() { urgent.Discard(); first.Release() })
	if second := <-got; second.key.engine != 2 {
		t.Fatalf("the waiting request got a connection to engine %d, want engine 2", second.key.engine)
	}
	loop.Do(func() {
		if p.inUse != 1 || len(p.waiters) != 0 || len(p.idle) != 0 {
			t.Errorf("%d descriptors in use, %d requests waiting, idle %v; want 1, 0 and none", p.inUse, len(p.waiters), p.idle)
		}
	})
}

// An idle connection is reused only for its own engine, even if another engine now has the same address.
func TestIdleConnectionIsReusedForSameEngineOnly(t *testing.T) {
	loop, p := newPool(t, 8)
	addr, got := startSilentServer(t), make(chan *Conn, 1)
	deliver := func(c *Conn, _ error) { got <- c }
	get := func(e policy.EngineID) *Conn {
		loop.Do(func() { p.Get(e, addr, false, false, discardHandler{}, deliver) })
		return <-got
	}
	first := get(1)
	loop.Do(first.Release)
	if other := get(2); other == first {
		t.Fatal("engine 2 got the connection of engine 1")
	}
	if reused := get(1); reused != first {
		t.Fatal("engine 1 did not get its idle connection")
	}
	loop.Do(first.Release)
	loop.Do(func() {
		if p.Invalidate(1); p.inUse != 1 || first.IsOpen() {
			t.Errorf("after Invalidate(1): %d descriptors in use and IsOpen() = %t, want 1 and false", p.inUse, first.IsOpen())
		}
	})
}

// A cancelled request gets no connection, whether it waits for a descriptor, for the end of a drain delay or for its dial. The cancel
// function once recursed without end, which overflowed the stack when an attempt was cancelled while it waited for a descriptor.
func TestGetCancelAtEachStage(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := startSilentServer(t), make(chan *Conn, 4)
	deliver := func(c *Conn, _ error) { got <- c }
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discardHandler{}, deliver)() // waiting for a descriptor
		first.Release()
	})
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, deliver)() }) // waiting for the end of the drain delay
	loop.Do(func() { p.Get(3, addr, true, false, discardHandler{}, deliver)() })  // dialing
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, deliver) })
	if last := <-got; last.key.engine != 1 {
		t.Fatalf("a cancelled request got a connection to engine %d", last.key.engine)
	}
}

// Release hands the connection to a request that waits for one to the same engine, instead of closing it to free a descriptor for that
// request's dial.
func TestReleaseHandsConnectionToWaiterForSameEngine(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := startSilentServer(t), make(chan *Conn, 2)
	deliver := func(c *Conn, _ error) { got <- c }
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, deliver) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, discardHandler{}, deliver)
		p.Get(1, addr, false, false, discardHandler{}, deliver)
		first.Release()
	})
	if next := <-got; next != first {
		t.Fatal("a new connection was dialed instead of reusing the released one")
	}
	loop.Do(first.Release) // no other request waits for this engine
	if other := <-got; other.key.engine != 2 {
		t.Fatalf("the waiting request got a connection to engine %d, want engine 2", other.key.engine)
	}
}

// After Invalidate, a connection whose dial completes after its request was cancelled is closed instead of kept for reuse, and so is a
// connection that is released.
func TestInvalidatedConnectionIsNotReused(t *testing.T) {
	loop, p := newPool(t, 4)
	e := nettest.NewEngine(t, "e")
	addr, got := e.Addr(), make(chan *Conn, 1)
	loop.Do(func() {
		cancel := p.Get(1, addr, false, false, discardHandler{}, func(*Conn, error) { t.Error("a cancelled request got a connection") })
		nettest.Eventually(t, "the dial", func() bool { return loop.Queued() > 0 })
		cancel()
		p.Invalidate(1)
	})
	e.Accept().ExpectClosed()
	loop.Do(func() { p.Get(1, addr, false, false, discardHandler{}, func(c *Conn, _ error) { got <- c }) })
	used := <-got
	loop.Do(func() {
		p.Invalidate(1)
		used.Release()
		if len(p.idle) != 0 || p.inUse != 0 || len(p.conns) != 0 {
			t.Errorf("idle %v, %d descriptors in use, %d connections; want none", p.idle, p.inUse, len(p.conns))
		}
	})
	e.Accept().ExpectClosed()
}
