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

// user takes a connection and hears nothing of it.
type user struct{}

func (user) Data([]byte)  {}
func (user) Closed(error) {}

func listener(t *testing.T) string {
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
	p.drainDelay = 0 // tests of what comes late on a connection that rests set it themselves
	return loop, p
}

// Guards against taking want of descriptors for an engine that is down: seen on an overloaded day, where 512
// connections were out, every further attempt counted as not connected, engines were shut out for that, and the
// rest got all the load. An attempt now waits for one to end; what gives attempts up does not wait.
func TestWantOfDescriptorsIsWaitedOut(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listener(t), make(chan *Conn, 3)
	take := func(l *Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		got <- l
	}
	loop.Do(func() { p.Get(1, addr, false, false, user{}, take) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, user{}, take)
		if p.held != 1 || len(p.queue) != 1 {
			t.Errorf("%d held, %d wait", p.held, len(p.queue))
		}
		p.Get(1, addr, false, true, user{}, take)
	})
	urgent := <-got
	if urgent.to.engine != 1 {
		t.Fatal("the one that should wait came first")
	}
	loop.Do(func() { urgent.Drop(); first.Release() })
	if second := <-got; second.to.engine != 2 {
		t.Fatal("another came")
	}
	loop.Do(func() {
		if p.held != 1 || len(p.queue) != 0 || len(p.idle) != 0 {
			t.Errorf("%d held, %d wait, idle %v", p.held, len(p.queue), p.idle)
		}
	})
}

// Guards against one engine's connections serving another that took its address over: they go by name.
func TestIdleConnectionsGoByEngine(t *testing.T) {
	loop, p := newPool(t, 8)
	addr, got := listener(t), make(chan *Conn, 1)
	take := func(l *Conn, _ error) { got <- l }
	get := func(e policy.EngineID) *Conn {
		loop.Do(func() { p.Get(e, addr, false, false, user{}, take) })
		return <-got
	}
	first := get(1)
	loop.Do(first.Release)
	if other := get(2); other == first {
		t.Fatal("engine 2 got engine 1's connection")
	}
	if again := get(1); again != first {
		t.Fatal("engine 1 did not get its idle connection")
	}
	loop.Do(first.Release)
	loop.Do(func() {
		if p.Forget(1); p.held != 1 || first.IsOpen() {
			t.Errorf("%d held after engine 1 has gone", p.held)
		}
	})
}

// Guards against a wait that cannot be ended: the function that ends it once called itself without end, and the
// program died of its stack on the first overloaded day on which an attempt was given up while it waited.
func TestWaitsCanBeEnded(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listener(t), make(chan *Conn, 4)
	take := func(l *Conn, _ error) { got <- l }
	loop.Do(func() { p.Get(1, addr, false, false, user{}, take) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, user{}, take)() // in the queue
		first.Release()
	})
	loop.Do(func() { p.Get(1, addr, false, false, user{}, take)() }) // an idle one
	loop.Do(func() { p.Get(3, addr, true, false, user{}, take)() })  // a dial
	loop.Do(func() { p.Get(1, addr, false, false, user{}, take) })
	if last := <-got; last.to.engine != 1 {
		t.Fatalf("engine %d answers a wait that was ended", last.to.engine)
	}
}

// Guards against closing a free connection to make room for a dial to the same engine.
func TestFreeConnectionGoesToTheNextThatWaits(t *testing.T) {
	loop, p := newPool(t, 1)
	addr, got := listener(t), make(chan *Conn, 2)
	take := func(l *Conn, _ error) { got <- l }
	loop.Do(func() { p.Get(1, addr, false, false, user{}, take) })
	first := <-got
	loop.Do(func() {
		p.Get(2, addr, false, false, user{}, take)
		p.Get(1, addr, false, false, user{}, take)
		first.Release()
	})
	if next := <-got; next != first {
		t.Fatal("another connection was made")
	}
	loop.Do(first.Release) // nobody waits for this engine any more: the other's turn
	if other := <-got; other.to.engine != 2 {
		t.Fatal("the other still waits")
	}
}

// A connection that comes up after its attempt has ended serves others, unless the engine has gone or is elsewhere by then;
// and one that was in use meanwhile is not used again either.
func TestLateConnectionToAnEngineThatHasMoved(t *testing.T) {
	loop, p := newPool(t, 4)
	e := nettest.NewEngine(t, "e")
	addr, got := e.Addr(), make(chan *Conn, 1)
	loop.Do(func() {
		end := p.Get(1, addr, false, false, user{}, func(*Conn, error) { t.Error("an attempt that has ended got a connection") })
		nettest.Until(t, "the dial", func() bool { return loop.Queued() > 0 })
		end()
		p.Forget(1)
	})
	e.Accept().ExpectNothing()
	loop.Do(func() { p.Get(1, addr, false, false, user{}, func(l *Conn, _ error) { got <- l }) })
	used := <-got
	loop.Do(func() {
		p.Forget(1)
		used.Release()
		if len(p.idle) != 0 || p.held != 0 || len(p.links) != 0 {
			t.Errorf("idle %v, %d held, %d links", p.idle, p.held, len(p.links))
		}
	})
	e.Accept().ExpectNothing()
}
