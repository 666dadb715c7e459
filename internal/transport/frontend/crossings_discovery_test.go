package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"frostpier/internal/protocol/discovery"
	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/enginewatch"
)

// docs/design/crossings.md has a row for each of these tests.

// A watch times out, and in that moment the server sends an event on it: nothing more of the old connection is used, the new one
// resumes after the last event that was applied, and no event is applied twice.
func TestEventOnAbandonedWatch(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f, server := newFixture(t, 4), newDiscoveryServer(t)
	engineWatch := f.watch(server)
	old := server.accept(0)
	nettest.Send(t, old, eventLine(1, e, "in_service"))
	f.waitLines(engineWatch, 1)
	f.loop.Do(func() {
		nettest.Send(t, old, eventLine(2, e, "terminating"))
		f.waitQueued(1) // it is read and waits for the loop
		engineWatch.Reconnect()
	})
	next := server.accept(1) // so the event on the old one was not applied
	nettest.Send(t, next, eventLine(2, e, "terminating"))
	f.waitLines(engineWatch, 2)
	f.expectNoEngine()
	if n, err := old.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("the old watch is still open")
	}
}

// A watch that stops in the middle of a line times out, and the next one resumes after the last complete event.
func TestSilentWatchTimesOut(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f, server := newFixture(t, 4), newDiscoveryServer(t)
	engineWatch := f.watch(server)
	first := server.accept(0)
	f.loop.Do(func() { engineWatch.SetReadTimeout(50 * time.Millisecond) })
	nettest.Send(t, first, eventLine(1, e, "in_service")+eventLine(2, e, "terminating")[:40])
	f.waitLines(engineWatch, 1) // the timeout of the next line has started
	f.loop.Do(func() { engineWatch.SetReadTimeout(time.Hour) })
	nettest.Send(t, server.accept(1), eventLine(2, e, "terminating"))
	f.waitLines(engineWatch, 2)
	f.expectNoEngine()
}

// SIGHUP changes the discovery server while a query is open, and the new one reports that its engine drains: the query gets its
// response, and the next one is sent to another engine.
func TestDiscoveryMovesDuringQuery(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	f, first, second := newFixture(t, 8), newDiscoveryServer(t), newDiscoveryServer(t)
	engineWatch := f.watch(first)
	nettest.Send(t, first.accept(0), eventLine(1, e, "in_service"))
	f.waitLines(engineWatch, 1)
	nc, c := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	at := e.Accept()
	at.ReadRequest()
	f.loop.Do(func() { engineWatch.SetServer(second.ln.Addr().String()) })
	nettest.Send(t, second.accept(1), eventLine(2, e, "terminating")+eventLine(3, other, "in_service"))
	f.waitLines(engineWatch, 3)
	f.loop.Do(func() {
		nettest.Send(t, at.Conn, succeeded)
		nettest.Send(t, nc, queryLine(12, idempotentClass))
		c.conn.DeliverPending()
	})
	in := bufio.NewReader(nc)
	expectLine(t, in, `"id":11,"result"`)
	next := other.Accept()
	next.ReadRequest()
	io.WriteString(next, succeeded)
	expectLine(t, in, `"id":12,"result"`)
}

// discoveryServer is a scripted discovery server: the test gets each watch after its request line.
type discoveryServer struct {
	t       *testing.T
	ln      net.Listener
	watches chan net.Conn
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	server := &discoveryServer{t, ln, make(chan net.Conn, 16)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			server.watches <- nc
		}
	}()
	return server
}

// accept returns the next watch, which must request the events after a number.
func (s *discoveryServer) accept(after int) net.Conn {
	s.t.Helper()
	select {
	case nc := <-s.watches:
		s.t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(nettest.Timeout))
		line, err := bufio.NewReader(nc).ReadString('\n')
		if want := fmt.Sprintf("after %d\n", after); err != nil || line != want {
			s.t.Fatalf("%q, %v, want %q", line, err, want)
		}
		return nc
	case <-time.After(nettest.Timeout):
		s.t.Fatal("no watch")
		return nil
	}
}

// eventLine returns one line of a discovery watch.
func eventLine(no int, e *nettest.Engine, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":"m","lifecycle":%q}]}}`+"\n",
		no, e.ID, e.Addr(), state)
}

// watch starts a watch of a discovery server that passes its events to the fixture's gateway.
func (f *fixture) watch(server *discoveryServer) *enginewatch.Watch {
	engineWatch := enginewatch.New(f.loop, f.dispatcher, f.dispatcher.Log, "", &discovery.Stream{})
	f.loop.Do(func() { engineWatch.SetServer(server.ln.Addr().String()) })
	f.t.Cleanup(func() { f.loop.Do(func() { engineWatch.SetServer("") }) })
	return engineWatch
}

// waitLines waits until a watch has received a number of lines.
func (f *fixture) waitLines(engineWatch *enginewatch.Watch, lines int) {
	f.t.Helper()
	nettest.Eventually(f.t, "the lines of the watch", func() (all bool) {
		f.loop.Do(func() { all = engineWatch.LinesRead() >= lines })
		return all
	})
}

// expectNoEngine checks that no engine accepts a request.
func (f *fixture) expectNoEngine() {
	f.t.Helper()
	nc, c := f.connect()
	f.loop.Do(func() {
		nettest.Send(f.t, nc, queryLine(90, idempotentClass))
		c.conn.DeliverPending()
		if n := f.dispatcher.Core.Counts(); n.Taken != 1 || n.Attempts != 0 {
			f.t.Errorf("%+v", n)
		}
	})
}
