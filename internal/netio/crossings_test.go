package netio

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

// docs/crossings.md has a row for each of these.

// A request that was there before its resting connection is shut is answered: whether it stands unread in the socket or the
// reader has it already and waits for the loop. The close came over it, and the request was lost with a reset.
func TestRequestUnreadAsItsConnectionIsShut(t *testing.T) {
	for name, shut := range map[string]func(*rig, *client) bool{
		"idle":       func(r *rig, c *client) bool { return c.retire("idle") },
		"stop":       func(r *rig, _ *client) bool { return r.Retire() },
		"make room":  func(r *rig, _ *client) bool { return r.closeOneIdle() },
		"first word": func(r *rig, c *client) bool { c.asked = false; c.askedNothing(); return !c.conn.isOpen() },
	} {
		for _, read := range []bool{false, true} {
			e := newEngine(t, "e")
			r := newRig(t, 4, e)
			connect := r.client
			if !read {
				connect = r.deafClient
			}
			nc, c := connect()
			r.loop.Do(func() {
				sends(t, nc, ask(12, safe))
				if read {
					r.queued(1)
				}
				if shut(r, c) {
					t.Errorf("%s, read %t: shut over a request", name, read)
				}
			})
			at := e.conn()
			at.call()
			io.WriteString(at, served)
			saysLine(t, bufio.NewReader(nc), `"id":12,"result"`)
		}
	}
}

// What comes after the half-close was never taken, and the client can tell: it finds the end first, and no reset.
func TestRequestAfterTheHalfClose(t *testing.T) {
	r := newRig(t, 4)
	nc, c := r.client()
	r.loop.Do(func() {
		if !c.retire("idle") {
			t.Error("a connection that rests was not shut")
		}
	})
	cleanEnd(t, nc)
	sends(t, nc, ask(7, safe))
	ends(t, nc)
	until(t, "the descriptor", func() (gone bool) {
		r.loop.Do(func() { gone = len(r.leaving) == 0 && c.conn.phase == connEnded })
		return gone
	})
	if n := r.counts(); n.Taken != 0 {
		t.Fatalf("%d requests were taken behind the end", n.Taken)
	}
}

// An answer that is not written yet goes out before the end, and the client's bytes that nobody read do not reset it.
func TestAnswerUnsentAsTheConnectionIsShut(t *testing.T) {
	r := newRig(t, 4)
	nc, c := r.deafClient()
	long := strings.Repeat("y", 8<<20) // more than the sockets between hold
	r.loop.Do(func() {
		sends(t, nc, `{"jsonrpc":`) // is unread when the connection ends
		c.conn.limit, r.loop.room = 2*len(long), 2*int64(len(long))
		c.conn.Write([]byte(long))
		r.Finish()
	})
	if got, err := io.ReadAll(nc); err != nil || len(got) != len(long) {
		t.Fatalf("%d bytes, %v, want %d and the end", len(got), err, len(long))
	}
}

// Peers that do not end their side hold a descriptor for a while only.
func TestPeersThatStayAreCutOff(t *testing.T) {
	r := newRig(t, 4)
	nc, c := r.client()
	r.loop.Do(func() {
		c.conn.linger = time.Millisecond
		c.retire("idle")
	})
	cleanEnd(t, nc)
	until(t, "the descriptor", func() (gone bool) {
		r.loop.Do(func() { gone = len(r.leaving) == 0 })
		return gone
	})
}

// A client whose framing is lost has its open request answered all the same, and no more is read of it.
func TestOpenRequestOutlivesABadLine(t *testing.T) {
	e := newEngine(t, "e")
	r := newRig(t, 4, e)
	nc, c := r.client()
	sends(t, nc, ask(11, safe))
	at := e.conn()
	at.call()
	go io.Copy(nc, strings.NewReader(strings.Repeat("x", 1<<20)))
	until(t, "the bad line", func() (deaf bool) {
		r.loop.Do(func() { deaf = c.deaf })
		return deaf
	})
	io.WriteString(at, served)
	in := bufio.NewReader(nc)
	saysLine(t, in, `"result"`)
	cleanEnd(t, in)
}

// A client that has gone gets no attempt, though nobody has read its close yet: not the first, not one for which it waited in
// line, not a further one.
func TestNothingIsSentForAClientThatHasGone(t *testing.T) {
	t.Run("first", func(t *testing.T) {
		e := newEngine(t, "e")
		r := newRig(t, 4, e)
		nc, c := r.deafClient()
		r.loop.Do(func() {
			sends(t, nc, ask(11, safe))
			c.conn.Quiet()
			r.queued(1) // the dial is through
			sends(t, nc, ask(12, safe)[:10])
			ends(t, nc) // behind other bytes
		})
		r.nobodyServed(e.conn(), e)
	})
	t.Run("in line", func(t *testing.T) {
		e := newEngine(t, "e")
		r := newRig(t, 4)
		nc, c := r.deafClient()
		sends(t, nc, ask(11, safe))
		r.loop.Do(func() { c.conn.Quiet() })
		ends(t, nc)
		r.tell(e)
		r.nobodyServed(e.conn(), e)
	})
	t.Run("further", func(t *testing.T) {
		e, other := newEngine(t, "e"), newEngine(t, "other")
		r := newRig(t, 4, e)
		nc, c := r.deafClient()
		sends(t, nc, ask(11, safe))
		r.loop.Do(func() { c.conn.Quiet() })
		at := e.conn()
		at.call()
		ends(t, nc)
		r.tell(e, other)
		io.WriteString(at, erred)
		until(t, "the request's end", func() bool { return r.counts().Left == 1 })
		if n := r.counts(); n.Further != 0 {
			t.Fatalf("%d further attempts", n.Further)
		}
	})
}

// nobodyServed checks that a connection to an engine brought nothing and that the request counts as left by its client.
func (r *rig) nobodyServed(at *engineConn, e *engine) {
	r.t.Helper()
	until(r.t, "the request's end", func() bool { return r.counts().Left == 1 })
	r.loop.Do(func() {
		if out := r.gateway.Core.Out(); out != 0 {
			r.t.Errorf("%d attempts are out", out)
		}
	})
	r.forgetIdle()
	at.nothing()
}

// forgetIdle closes the idle connections to engines.
func (r *rig) forgetIdle() {
	r.loop.Do(func() {
		for to := range r.pool.idle {
			r.pool.Forget(to.engine)
		}
	})
}

// The engine closes an idle connection, or sends on it what nobody asked for, just as a request is to go out on it: before it
// is chosen, or between that and its first byte. The request goes out on another.
func TestIdleConnectionEndsAsARequestIsWritten(t *testing.T) {
	for name, move := range map[string]func(*engineConn){
		"end":        func(at *engineConn) { ends(t, at.Conn) },
		"second":     func(at *engineConn) { sends(t, at.Conn, served) },
		"half a one": func(at *engineConn) { sends(t, at.Conn, served[:20]) },
	} {
		for _, chosen := range []bool{false, true} {
			e := newEngine(t, "e")
			r := newRig(t, 4, e)
			nc, c := r.client()
			sends(t, nc, ask(11, safe))
			first := e.conn()
			first.call()
			io.WriteString(first, served)
			in := bufio.NewReader(nc)
			saysLine(t, in, `"id":11,"result"`)
			r.loop.Do(func() {
				if !chosen {
					move(first)
				}
				sends(t, nc, ask(12, safe))
				c.conn.Quiet()
				if chosen {
					move(first)
				}
			})
			second := e.conn()
			if call := second.call(); call != "POST /v2/q" {
				t.Fatalf("%s: %q on the new connection", name, call)
			}
			io.WriteString(second, served)
			saysLine(t, in, `"id":12,"result"`)
			if n, err := first.r.R.Read(make([]byte, 1)); n > 0 {
				t.Fatalf("%s: something was written on the old connection, %v", name, err)
			}
		}
	}
}

// A second answer that comes milliseconds late must not be taken for the next query's: a connection that has just become free
// is not used until it would have shown.
func TestSecondAnswerComesLate(t *testing.T) {
	e := newEngine(t, "e")
	r := newRig(t, 4, e)
	r.loop.Do(func() { r.pool.settle = time.Hour })
	nc, c := r.client()
	sends(t, nc, ask(11, safe))
	first := e.conn()
	first.call()
	io.WriteString(first, served)
	in := bufio.NewReader(nc)
	saysLine(t, in, `"id":11,"result"`)
	r.loop.Do(func() {
		sends(t, nc, ask(12, safe))
		c.conn.Quiet()
	})
	second := e.conn()
	second.call()
	sends(t, first.Conn, strings.Replace(served, "a\n", "b\n", 1))
	io.WriteString(second, served)
	saysLine(t, in, `"id":12,"result":{"blob":"YQo="}`)
}

// A connection that was waited for and becomes free is looked at too before it is handed over.
func TestSecondAnswerOnAConnectionThatIsHandedOver(t *testing.T) {
	e := newEngine(t, "e")
	r := newRig(t, 1, e)
	nc, _ := r.client()
	sends(t, nc, ask(11, safe)+ask(12, safe))
	first := e.conn()
	first.call()
	until(t, "the second request", func() (waits bool) {
		r.loop.Do(func() { waits = len(r.pool.queue) == 1 })
		return waits
	})
	r.loop.Do(func() {
		sends(t, first.Conn, served)
		for len(r.pool.queue) > 0 {
			(<-r.loop.work)()
		}
		sends(t, first.Conn, served)
	})
	in := bufio.NewReader(nc)
	saysLine(t, in, `"result"`)
	second := e.conn()
	second.call()
	io.WriteString(second, served)
	saysLine(t, in, `"result"`)
	first.nothing()
}

// A connection that comes up after its attempt has ended serves others, unless the engine has gone or is elsewhere by then;
// and one that was in use meanwhile is not used again either.
func TestLateConnectionToAnEngineThatHasMoved(t *testing.T) {
	loop, p := pool(t, 4)
	e := newEngine(t, "e")
	addr, got := e.ln.Addr().String(), make(chan *Link, 1)
	loop.Do(func() {
		end := p.Get(1, addr, false, false, user{}, func(*Link, error) { t.Error("an attempt that has ended got a connection") })
		until(t, "the dial", func() bool { return len(loop.work) > 0 })
		end()
		p.Forget(1)
	})
	e.conn().nothing()
	loop.Do(func() { p.Get(1, addr, false, false, user{}, func(l *Link, _ error) { got <- l }) })
	used := <-got
	loop.Do(func() {
		p.Forget(1)
		used.Release()
		if len(p.idle) != 0 || p.held != 0 || len(p.links) != 0 {
			t.Errorf("idle %v, %d held, %d links", p.idle, p.held, len(p.links))
		}
	})
	e.conn().nothing()
}

// The list tells of a drain while a further attempt's connection is made: nothing is written to that engine.
func TestDrainIsToldAsARetryFires(t *testing.T) {
	e, other := newEngine(t, "e"), newEngine(t, "other")
	r := newRig(t, 8, e)
	nc, _ := r.client()
	sends(t, nc, ask(11, safe))
	at := e.conn()
	at.call()
	r.tell(e, other)
	r.loop.Do(func() {
		work := len(r.loop.work)
		sends(t, at.Conn, erred)
		r.queued(work + 1)
		for r.gateway.Core.Counts().Further == 0 {
			(<-r.loop.work)()
		}
		r.queued(1) // the dial to the other is through
		r.gateway.Roster(false, []core.Line{other.line(policy.Draining)})
	})
	next := other.conn()
	r.forgetIdle()
	next.nothing()
}

// The client calls its request off while the answer is under way: one end, and no answer to it.
func TestCancelAgainstAnswer(t *testing.T) {
	for _, answerFirst := range []bool{false, true} {
		e := newEngine(t, "e")
		r := newRig(t, 4, e)
		nc, c := r.client()
		sends(t, nc, ask(11, safe))
		at := e.conn()
		at.call()
		abort := `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}` + "\n"
		r.loop.Do(func() {
			sends(t, at.Conn, served) // is there, and nobody has read it
			if !answerFirst {
				sends(t, nc, abort)
				c.conn.Quiet()
			}
		})
		in := bufio.NewReader(nc)
		if answerFirst {
			saysLine(t, in, `"id":11,"result"`)
			sends(t, nc, abort)
		}
		until(t, "the attempt's end", func() (over bool) {
			r.loop.Do(func() { over = r.gateway.Core.Out() == 0 && r.gateway.Core.Open() == 0 })
			return over
		})
		sends(t, nc, ping)
		saysLine(t, in, `"serving"`) // and nothing before it
	}
}

// A class that must not run twice goes out on new connections only: an idle one may end under it, and nobody could say whether
// it was read.
func TestUnsafeQueriesGoOutOnNewConnections(t *testing.T) {
	e := newEngine(t, "e")
	r := newRig(t, 4, e)
	nc, _ := r.client()
	in := bufio.NewReader(nc)
	for i, class := range []string{safe, once, once, safe} {
		sends(t, nc, ask(i+1, class))
		if i < 3 {
			at := e.conn()
			at.call()
			io.WriteString(at, served)
			if class == safe {
				go func() {
					at.call()
					io.WriteString(at, served)
				}()
			}
		}
		saysLine(t, in, `"result"`)
	}
	if n := len(e.conns); n != 0 {
		t.Fatalf("%d connections too many", n)
	}
}

// A connection that the machine has accepted before the listener closes is served: its request may stand in it already.
func TestConnectionAcceptedAsTheListenerCloses(t *testing.T) {
	r := newRig(t, 4)
	done := make(chan struct{})
	var late []net.Conn
	r.loop.Do(func() {
		for range 8 {
			nc := says(t, r.Clients, ping)
			arrives(t, nc)
			late = append(late, nc)
		}
		r.Stop(func() { close(done) })
	})
	<-done
	for _, nc := range late {
		answered(t, nc)
	}
}

// What is accepted and not yet taken is one connection at a time, or a crowd would take the descriptors that discovery needs.
func TestAcceptWaitsForTheLoop(t *testing.T) {
	r := newRig(t, 4)
	r.loop.Do(func() {
		for range 8 {
			says(t, r.Clients, "")
		}
		until(t, "one to be accepted", func() bool { return len(r.loop.work) > 0 })
		if n := len(r.loop.work); n > 1 {
			t.Errorf("%d connections wait for the loop", n)
		}
	})
}

// A connection on which half a line stands is not shut by a stop as long as that may still end: its request was under way.
func TestHalfALineAtAStop(t *testing.T) {
	e := newEngine(t, "e")
	r := newRig(t, 4, e)
	nc, _ := r.client()
	line := ask(11, safe)
	sends(t, nc, line[:30])
	until(t, "half a line", func() (some bool) {
		r.loop.Do(func() { some = r.unread > 0 })
		return some
	})
	r.loop.Do(func() {
		if r.Retire() {
			t.Error("shut over half a line")
		}
	})
	sends(t, nc, line[30:])
	at := e.conn()
	at.call()
	io.WriteString(at, served)
	saysLine(t, bufio.NewReader(nc), `"id":11,"result"`)
}
