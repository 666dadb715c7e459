package frontend

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginewatch"
	"frostpier/policy"
)

// docs/crossings.md has a row for each of these.

// A request that was there before its resting connection is shut is answered: whether it stands unread in the socket or the
// reader has it already and waits for the loop. The close came over it, and the request was lost with a reset.
func TestRequestUnreadAsItsConnectionIsShut(t *testing.T) {
	for name, shut := range map[string]func(*rig, *client) bool{
		"idle":       func(r *rig, c *client) bool { return c.closeIfIdle("idle") },
		"stop":       func(r *rig, _ *client) bool { return r.CloseIdle() },
		"make room":  func(r *rig, _ *client) bool { return r.evictIdle() },
		"first word": func(r *rig, c *client) bool { c.sentRequest = false; c.requestTimedOut(); return !c.conn.IsOpen() },
	} {
		for _, read := range []bool{false, true} {
			e := nettest.NewEngine(t, "e")
			r := newRig(t, 4, e)
			connect := r.client
			if !read {
				connect = r.clientNotReading
			}
			nc, c := connect()
			r.loop.Do(func() {
				nettest.Send(t, nc, ask(12, safe))
				if read {
					r.queued(1)
				}
				if shut(r, c) {
					t.Errorf("%s, read %t: shut over a request", name, read)
				}
			})
			at := e.Accept()
			at.ReadCall()
			io.WriteString(at, served)
			expectLine(t, bufio.NewReader(nc), `"id":12,"result"`)
		}
	}
}

// What comes after the half-close was never taken, and the client can tell: it finds the end first, and no reset.
func TestRequestAfterTheHalfClose(t *testing.T) {
	r := newRig(t, 4)
	nc, c := r.client()
	r.loop.Do(func() {
		if !c.closeIfIdle("idle") {
			t.Error("a connection that rests was not shut")
		}
	})
	cleanEnd(t, nc)
	nettest.Send(t, nc, ask(7, safe))
	nettest.CloseWrite(t, nc)
	nettest.Until(t, "the descriptor", func() (gone bool) {
		r.loop.Do(func() { gone = len(r.lingering.conns) == 0 && c.conn.IsClosed() })
		return gone
	})
	if n := r.counts(); n.Taken != 0 {
		t.Fatalf("%d requests were taken behind the end", n.Taken)
	}
}

// An answer that is not written yet goes out before the end, and the client's bytes that nobody read do not reset it.
func TestAnswerUnsentAsTheConnectionIsShut(t *testing.T) {
	r := newRig(t, 4)
	nc, c := r.clientNotReading()
	long := strings.Repeat("y", 8<<20) // more than the sockets between hold
	r.loop.Do(func() {
		nettest.Send(t, nc, `{"jsonrpc":`) // is unread when the connection ends
		c.conn.SetWriteLimit(2 * len(long))
		r.loop.SetWriteBudget(2 * int64(len(long)))
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
		c.conn.SetLingerTimeout(time.Millisecond)
		c.closeIfIdle("idle")
	})
	cleanEnd(t, nc)
	nettest.Until(t, "the descriptor", func() (gone bool) {
		r.loop.Do(func() { gone = len(r.lingering.conns) == 0 })
		return gone
	})
}

// A client whose framing is lost has its open request answered all the same, and no more is read of it.
func TestOpenRequestOutlivesABadLine(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r := newRig(t, 4, e)
	nc, c := r.client()
	nettest.Send(t, nc, ask(11, safe))
	at := e.Accept()
	at.ReadCall()
	go io.Copy(nc, strings.NewReader(strings.Repeat("x", 1<<20)))
	nettest.Until(t, "the bad line", func() (stopped bool) {
		r.loop.Do(func() { stopped = c.framingLost })
		return stopped
	})
	io.WriteString(at, served)
	in := bufio.NewReader(nc)
	expectLine(t, in, `"result"`)
	cleanEnd(t, in)
}

// A client that has closed or called its request off gets no attempt, though nobody has read that yet: not the first, not one for
// which it waited in line, not a further one.
func TestNothingIsSentForAClientThatHasGone(t *testing.T) {
	for how, leaves := range map[string]func(net.Conn){
		"closed":  func(nc net.Conn) { nettest.Send(t, nc, ask(12, safe)[:10]); nettest.CloseWrite(t, nc) }, // behind other bytes
		"aborted": func(nc net.Conn) { nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n") },
	} {
		t.Run("first, "+how, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			r := newRig(t, 4, e)
			nc, c := r.clientNotReading()
			r.loop.Do(func() {
				nettest.Send(t, nc, ask(11, safe))
				c.conn.DeliverPending()
				r.queued(1) // the dial is through
				leaves(nc)
			})
			r.nobodyServed(e.Accept(), e)
		})
		t.Run("in line, "+how, func(t *testing.T) {
			e := nettest.NewEngine(t, "e")
			r := newRig(t, 4)
			nc, c := r.clientNotReading()
			nettest.Send(t, nc, ask(11, safe))
			r.loop.Do(func() { c.conn.DeliverPending() })
			leaves(nc)
			r.publish(e)
			r.nobodyServed(e.Accept(), e)
		})
	}
	t.Run("further", func(t *testing.T) {
		e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
		r := newRig(t, 4, e)
		nc, c := r.clientNotReading()
		nettest.Send(t, nc, ask(11, safe))
		r.loop.Do(func() { c.conn.DeliverPending() })
		at := e.Accept()
		at.ReadCall()
		nettest.CloseWrite(t, nc)
		r.publish(e, other)
		io.WriteString(at, erred)
		nettest.Until(t, "the request's end", func() bool { return r.counts().Left == 1 })
		if n := r.counts(); n.Further != 0 {
			t.Fatalf("%d further attempts", n.Further)
		}
	})
}

// nobodyServed checks that a connection to an engine brought nothing and that the request counts as left by its client.
func (r *rig) nobodyServed(at *nettest.EngineConn, e *nettest.Engine) {
	r.t.Helper()
	nettest.Until(r.t, "the request's end", func() bool { return r.counts().Left == 1 })
	r.loop.Do(func() {
		if out := r.dispatcher.Core.AttemptsInFlight(); out != 0 {
			r.t.Errorf("%d attempts are out", out)
		}
	})
	r.forgetIdle()
	at.ExpectNothing()
}

// serveFirst has a client's request 11 answered over a connection of its own, which is returned.
func serveFirst(t *testing.T, e *nettest.Engine, nc net.Conn, in *bufio.Reader) *nettest.EngineConn {
	t.Helper()
	nettest.Send(t, nc, ask(11, safe))
	at := e.Accept()
	at.ReadCall()
	io.WriteString(at, served)
	expectLine(t, in, `"id":11,"result"`)
	return at
}

// forgetIdle waits for an idle connection to an engine, and closes all that there are.
func (r *rig) forgetIdle() {
	r.t.Helper()
	nettest.Until(r.t, "an idle connection", func() (idle bool) {
		r.loop.Do(func() { idle = len(r.pool.IdleEngines()) > 0 })
		return idle
	})
	r.loop.Do(func() {
		for _, engine := range r.pool.IdleEngines() {
			r.pool.Forget(engine)
		}
	})
}

// The engine closes an idle connection, or sends on it what nobody asked for, just as a request is to go out on it: before it
// is chosen, or between that and its first byte. The request goes out on another.
func TestIdleConnectionEndsAsARequestIsWritten(t *testing.T) {
	for name, move := range map[string]func(*nettest.EngineConn){
		"end":        func(at *nettest.EngineConn) { nettest.CloseWrite(t, at.Conn) },
		"second":     func(at *nettest.EngineConn) { nettest.Send(t, at.Conn, served) },
		"half a one": func(at *nettest.EngineConn) { nettest.Send(t, at.Conn, served[:20]) },
	} {
		for _, chosen := range []bool{false, true} {
			e := nettest.NewEngine(t, "e")
			r := newRig(t, 4, e)
			nc, c := r.client()
			in := bufio.NewReader(nc)
			first := serveFirst(t, e, nc, in)
			r.loop.Do(func() {
				if !chosen {
					move(first)
				}
				nettest.Send(t, nc, ask(12, safe))
				c.conn.DeliverPending()
				if chosen {
					move(first)
				}
			})
			second := e.Accept()
			if call := second.ReadCall(); call != "POST /v2/q" {
				t.Fatalf("%s: %q on the new connection", name, call)
			}
			io.WriteString(second, served)
			expectLine(t, in, `"id":12,"result"`)
			if n, err := first.Reader.R.Read(make([]byte, 1)); n > 0 {
				t.Fatalf("%s: something was written on the old connection, %v", name, err)
			}
		}
	}
}

// A second answer that comes milliseconds late must not be taken for the next query's: a connection that has just become free
// is not written on until it would have shown, and is not written on at all if it does.
func TestSecondAnswerComesLate(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r := newRig(t, 4, e)
	r.loop.Do(func() { r.pool.SetDrainDelay(time.Hour) })
	nc, c := r.client()
	in := bufio.NewReader(nc)
	first := serveFirst(t, e, nc, in)
	r.loop.Do(func() {
		nettest.Send(t, nc, ask(12, safe))
		c.conn.DeliverPending()
		if n := r.dispatcher.Core.Counts().Attempts; n != 2 {
			t.Errorf("%d attempts", n)
		}
	})
	nettest.Send(t, first.Conn, strings.Replace(served, "a\n", "b\n", 1))
	second := e.Accept()
	second.ReadCall()
	io.WriteString(second, served)
	expectLine(t, in, `"id":12,"result":{"blob":"YQo="}`)
	first.ExpectNothing()
}

// A connection that was waited for and becomes free is looked at too before it is handed over.
func TestSecondAnswerOnAConnectionThatIsHandedOver(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r := newRig(t, 1, e)
	nc, _ := r.client()
	nettest.Send(t, nc, ask(11, safe)+ask(12, safe))
	first := e.Accept()
	first.ReadCall()
	nettest.Until(t, "the second request", func() (waits bool) {
		r.loop.Do(func() { waits = r.pool.Waiting() == 1 })
		return waits
	})
	r.loop.Do(func() {
		nettest.Send(t, first.Conn, served)
		for r.pool.Waiting() > 0 {
			r.loop.RunNext()
		}
		nettest.Send(t, first.Conn, served)
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"result"`)
	second := e.Accept()
	second.ReadCall()
	io.WriteString(second, served)
	expectLine(t, in, `"result"`)
	first.ExpectNothing()
}

// The list tells of a drain while a further attempt's connection is made: nothing is written to that engine.
func TestDrainIsAnnouncedAsARetryFires(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	r := newRig(t, 8, e)
	nc, _ := r.client()
	nettest.Send(t, nc, ask(11, safe))
	at := e.Accept()
	at.ReadCall()
	r.publish(e, other)
	r.loop.Do(func() {
		work := r.loop.Queued()
		nettest.Send(t, at.Conn, erred)
		r.queued(work + 1)
		for r.dispatcher.Core.Counts().Further == 0 {
			r.loop.RunNext()
		}
		r.queued(1) // the dial to the other is through
		r.dispatcher.UpdateEngines(false, []core.ListedEngine{other.Listed(policy.Draining)})
	})
	next := other.Accept()
	r.forgetIdle()
	next.ExpectNothing()
}

// The client calls its request off while the answer is under way: one end, and no answer to it.
func TestCancelAgainstAnswer(t *testing.T) {
	for _, answerFirst := range []bool{false, true} {
		e := nettest.NewEngine(t, "e")
		r := newRig(t, 4, e)
		nc, c := r.client()
		nettest.Send(t, nc, ask(11, safe))
		at := e.Accept()
		at.ReadCall()
		abort := `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}` + "\n"
		r.loop.Do(func() {
			nettest.Send(t, at.Conn, served) // is there, and nobody has read it
			if !answerFirst {
				nettest.Send(t, nc, abort)
				c.conn.DeliverPending()
			}
		})
		in := bufio.NewReader(nc)
		if answerFirst {
			expectLine(t, in, `"id":11,"result"`)
			nettest.Send(t, nc, abort)
		}
		nettest.Until(t, "the attempt's end", func() (over bool) {
			r.loop.Do(func() { over = r.dispatcher.Core.AttemptsInFlight() == 0 && r.dispatcher.Core.PendingRequests() == 0 })
			return over
		})
		nettest.Send(t, nc, ping)
		expectLine(t, in, `"serving"`) // and nothing before it
	}
}

// A class that must not run twice, whose connection the engine ends just after it was written: nobody can say whether it was
// read, so it fails, and goes nowhere again.
func TestUnsafeQueryGoesOnceWhenItsConnectionEnds(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r := newRig(t, 4, e)
	nc, _ := r.client()
	nettest.Send(t, nc, ask(11, once))
	at := e.Accept()
	at.ReadCall()
	nettest.CloseWrite(t, at.Conn)
	again := e.Accept()
	if call := again.ReadCall(); !strings.HasPrefix(call, "GET ") {
		t.Fatalf("%q, want it to be asked for", call)
	}
	nettest.Send(t, again.Conn, erred) // the engine does not know it
	expectLine(t, bufio.NewReader(nc), `"id":11,"error":{"code":-32013`)
	if n := r.counts(); n.Attempts != 1 || n.Further != 0 || e.Connections() != 0 {
		t.Fatalf("%+v", n)
	}
}

// A connection that the machine has accepted before the listener closes is served: its request may stand in it already.
func TestConnectionAcceptedAsTheListenerCloses(t *testing.T) {
	r := newRig(t, 4)
	done := make(chan struct{})
	var late []net.Conn
	r.loop.Do(func() {
		for range 8 {
			nc := sendText(t, r.PlatformListener, ping)
			nettest.Delivered(t, nc)
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
			sendText(t, r.PlatformListener, "")
		}
		nettest.Until(t, "one to be accepted", func() bool { return r.loop.Queued() > 0 })
		if n := r.loop.Queued(); n > 1 {
			t.Errorf("%d connections wait for the loop", n)
		}
	})
}

// A connection on which half a line stands is not shut by a stop as long as that may still end: its request was under way.
func TestHalfALineAtAStop(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r := newRig(t, 4, e)
	nc, _ := r.client()
	line := ask(11, safe)
	nettest.Send(t, nc, line[:30])
	nettest.Until(t, "half a line", func() (some bool) {
		r.loop.Do(func() { some = r.incompleteBytes > 0 })
		return some
	})
	r.loop.Do(func() {
		if r.CloseIdle() {
			t.Error("shut over half a line")
		}
	})
	nettest.Send(t, nc, line[30:])
	at := e.Accept()
	at.ReadCall()
	io.WriteString(at, served)
	expectLine(t, bufio.NewReader(nc), `"id":11,"result"`)
}

// scriptedServer is a scripted discovery server: each watch is handed over after its request line.
type scriptedServer struct {
	t  *testing.T
	ln net.Listener
	at chan net.Conn
}

func newDiscoveryServer(t *testing.T) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &scriptedServer{t, ln, make(chan net.Conn, 16)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			w.at <- nc
		}
	}()
	return w
}

// asked is the next that follows, which must ask for what comes behind an event.
func (w *scriptedServer) asked(after int) net.Conn {
	w.t.Helper()
	select {
	case nc := <-w.at:
		w.t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(nettest.Patience))
		line, err := bufio.NewReader(nc).ReadString('\n')
		if want := fmt.Sprintf("after %d\n", after); err != nil || line != want {
			w.t.Fatalf("%q, %v, want %q", line, err, want)
		}
		return nc
	case <-time.After(nettest.Patience):
		w.t.Fatal("nobody follows")
		return nil
	}
}

// event is one line of a discovery watch.
func event(no int, e *nettest.Engine, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":"m","lifecycle":%q}]}}`+"\n",
		no, e.ID, e.Addr(), state)
}

// follow has the rig's gateway watch a discovery server.
func (r *rig) follow(w *scriptedServer) *enginewatch.Watch {
	f := enginewatch.New(r.loop, r.dispatcher, r.dispatcher.Log, "", &discovery.Stream{})
	r.loop.Do(func() { f.Follow(w.ln.Addr().String()) })
	r.t.Cleanup(func() { r.loop.Do(func() { f.Follow("") }) })
	return f
}

// waitLines waits until a watch has received so many lines.
func (r *rig) waitLines(f *enginewatch.Watch, lines int) {
	r.t.Helper()
	nettest.Until(r.t, "the list's lines", func() (all bool) {
		r.loop.Do(func() { all = f.LinesRead() >= lines })
		return all
	})
}

// untouched checks that a request finds no engine that takes new work.
func (r *rig) untouched() {
	r.t.Helper()
	nc, c := r.client()
	r.loop.Do(func() {
		nettest.Send(r.t, nc, ask(90, safe))
		c.conn.DeliverPending()
		if n := r.dispatcher.Core.Counts(); n.Taken != 1 || n.Attempts != 0 {
			r.t.Errorf("%+v", n)
		}
	})
}

// A watch falls silent, and a drain is told on it in the very moment in which it is given up: nothing of the old connection
// counts, the new one asks behind the last event that counted, and the event is told once.
func TestWatchSpeaksAsItIsGivenUp(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r, w := newRig(t, 4), newDiscoveryServer(t)
	f := r.follow(w)
	old := w.asked(0)
	nettest.Send(t, old, event(1, e, "in_service"))
	r.waitLines(f, 1)
	r.loop.Do(func() {
		nettest.Send(t, old, event(2, e, "terminating"))
		r.queued(1) // it is read, and waits for the loop
		f.Reconnect()
	})
	next := w.asked(1) // so nothing was heard of the old one
	nettest.Send(t, next, event(2, e, "terminating"))
	r.waitLines(f, 2)
	r.untouched()
	if n, err := old.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("the old watch goes on")
	}
}

// A watch that falls silent after half a line is given up, whatever it had said; what it tells next time counts from the last
// whole event.
func TestSilentWatchIsGivenUp(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	r, w := newRig(t, 4), newDiscoveryServer(t)
	f := r.follow(w)
	first := w.asked(0)
	r.loop.Do(func() { f.SetReadTimeout(50 * time.Millisecond) })
	nettest.Send(t, first, event(1, e, "in_service")+event(2, e, "terminating")[:40])
	r.waitLines(f, 1) // the wait for the next line has begun
	r.loop.Do(func() { f.SetReadTimeout(time.Hour) })
	nettest.Send(t, w.asked(1), event(2, e, "terminating"))
	r.waitLines(f, 2)
	r.untouched()
}

// SIGHUP moves discovery while a call is out, and the new one tells at once that the call's engine drains: the call's answer is
// passed on, and the next request goes elsewhere.
func TestDiscoveryMovesDuringACall(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	r, first, second := newRig(t, 8), newDiscoveryServer(t), newDiscoveryServer(t)
	f := r.follow(first)
	nettest.Send(t, first.asked(0), event(1, e, "in_service"))
	r.waitLines(f, 1)
	nc, c := r.client()
	nettest.Send(t, nc, ask(11, safe))
	at := e.Accept()
	at.ReadCall()
	r.loop.Do(func() { f.Follow(second.ln.Addr().String()) })
	nettest.Send(t, second.asked(1), event(2, e, "terminating")+event(3, other, "in_service"))
	r.waitLines(f, 3)
	r.loop.Do(func() {
		nettest.Send(t, at.Conn, served)
		nettest.Send(t, nc, ask(12, safe))
		c.conn.DeliverPending()
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"id":11,"result"`)
	next := other.Accept()
	next.ReadCall()
	io.WriteString(next, served)
	expectLine(t, in, `"id":12,"result"`)
}

// A query of a MySQL client that stands unread as the connections are shut is taken first.
func TestMySQLBytesUnreadAsTheConnectionIsShut(t *testing.T) {
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MostOpen: 8})
	loop.Do(func() {
		if err := f.Listen(); err != nil {
			t.Error(err)
		}
	})
	nc, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(nettest.Patience))
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the greeting
		t.Fatal(err)
	}
	loop.Do(func() {
		nettest.Send(t, nc, "\x20\x00\x00\x01") // a login's head
		if f.CloseIdle() || len(f.open) != 1 {
			t.Error("shut over bytes that nobody read")
		}
		if !f.CloseIdle() {
			t.Error("a connection that is quiet was not shut")
		}
		f.StopAccepting()
	})
	if _, err := io.Copy(io.Discard, nc); err != nil {
		t.Fatalf("%v, want the end", err)
	}
}

// Clients that never end their side hold few descriptors while they are shut: others go on being taken.
func TestFewConnectionsLinger(t *testing.T) {
	r := newRig(t, 4)
	for range 3 * r.lingering.limit {
		nc, c := r.client()
		r.loop.Do(func() { c.closeIfIdle("others came") })
		cleanEnd(t, nc) // and the client stays
		r.loop.Do(func() {
			held := 0 // descriptors: a connection that is closed leaves the list a moment later
			for _, conn := range r.lingering.conns {
				if !conn.IsClosed() {
					held++
				}
			}
			if held > r.lingering.limit {
				t.Errorf("%d connections are being shut, of %d at most", held, r.lingering.limit)
			}
		})
	}
}

// An attempt that was called off counts as out until its engine has confirmed that, and its answer may still come first.
func TestCalledOffIsOutUntilConfirmed(t *testing.T) {
	for _, answered := range []bool{false, true} {
		e := nettest.NewEngine(t, "e")
		r := newRig(t, 4, e)
		nc, _ := r.client()
		nettest.Send(t, nc, ask(11, safe))
		at := e.Accept()
		at.ReadCall()
		nettest.Send(t, nc, `{"jsonrpc":"2.0","method":"abort","params":{"id":11}}`+"\n")
		side := e.Accept()
		if call := side.ReadCall(); !strings.HasPrefix(call, "DELETE ") {
			t.Fatalf("%q, want the DELETE", call)
		}
		r.loop.Do(func() {
			if out := r.dispatcher.Core.AttemptsInFlight(); out != 1 {
				t.Errorf("%d attempts are out before the engine has confirmed", out)
			}
		})
		if answered { // read before the 204 is written
			nettest.Send(t, at.Conn, served)
		} else {
			nettest.Send(t, side.Conn, confirmed)
		}
		nettest.Until(t, "the attempt's end", func() (over bool) {
			r.loop.Do(func() { over = r.dispatcher.Core.AttemptsInFlight() == 0 })
			return over
		})
		in := bufio.NewReader(nc)
		nettest.Send(t, nc, ping)
		expectLine(t, in, `"serving"`) // and no answer to what was called off
	}
}

// The MySQL listener goes to another gateway, or stops, over connections that the machine has accepted: they are served here.
func TestMySQLConnectionAcceptedAsTheListenerCloses(t *testing.T) {
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MostOpen: 8})
	var late []net.Conn
	loop.Do(func() {
		if err := f.Listen(); err != nil {
			t.Error(err)
		}
		for range 8 {
			nc, err := net.Dial("tcp", f.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { nc.Close() })
			late = append(late, nc)
		}
		f.StopAccepting()
	})
	for _, nc := range late {
		nc.SetDeadline(time.Now().Add(nettest.Patience))
		if _, err := nc.Read(make([]byte, 1)); err != nil { // the greeting
			t.Fatal(err)
		}
	}
}

// A client that has gone makes room for another, though nobody has read its end.
func TestRoomOfAClientThatHasGone(t *testing.T) {
	r := newRig(t, 4)
	nc, _ := r.clientNotReading()
	nettest.Send(t, nc, ask(11, safe)) // holds it open: there is no engine
	r.loop.Do(func() {
		nettest.CloseWrite(t, nc)
		for c := range r.open {
			c.conn.DeliverPending()
		}
		if len(r.open) != 0 || r.dispatcher.Core.PendingRequests() != 0 {
			t.Errorf("%d connections, %d requests", len(r.open), r.dispatcher.Core.PendingRequests())
		}
	})
}
