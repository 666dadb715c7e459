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

// The tests in this file force races between events of a discovery watch and other events; docs/design/crossings.md lists them.

// When a watch reconnects while an event on its old connection is queued for the loop, the event is dropped. The new connection resumes
// after the last event that was applied, so that no event is applied twice.
func TestReconnectDropsEventsOfOldConnection(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f, server := newFixture(t, 4), newDiscoveryServer(t)
	engineWatch := f.watch(server)
	old := server.accept(0)
	nettest.Send(t, old, eventLine(1, e, "in_service"))
	f.waitLinesRead(engineWatch, 1)
	f.loop.Do(func() {
		nettest.Send(t, old, eventLine(2, e, "terminating"))
		f.waitQueued(1) // the event was read and is queued for the loop
		engineWatch.Reconnect()
	})
	next := server.accept(1) // the event on the old connection was not applied
	nettest.Send(t, next, eventLine(2, e, "terminating"))
	f.waitLinesRead(engineWatch, 2)
	f.expectNoEngineUsable()
	if n, err := old.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("the old connection is still open")
	}
}

// A watch whose server stops sending in the middle of a line times out, reconnects and resumes after the last complete event.
func TestWatchResumesAfterReadTimeout(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f, server := newFixture(t, 4), newDiscoveryServer(t)
	engineWatch := f.watch(server)
	first := server.accept(0)
	f.loop.Do(func() { engineWatch.SetReadTimeout(50 * time.Millisecond) })
	nettest.Send(t, first, eventLine(1, e, "in_service")+eventLine(2, e, "terminating")[:40])
	f.waitLinesRead(engineWatch, 1) // the read timeout for the next line has started
	f.loop.Do(func() { engineWatch.SetReadTimeout(time.Hour) })
	nettest.Send(t, server.accept(1), eventLine(2, e, "terminating"))
	f.waitLinesRead(engineWatch, 2)
	f.expectNoEngineUsable()
}

// When a reload changes the discovery server, and the new server reports that the engine of an open query drains, the query still gets its
// response, and the next query is sent to another engine.
func TestDiscoveryServerChangeKeepsOpenQuery(t *testing.T) {
	e, other := nettest.NewEngine(t, "e"), nettest.NewEngine(t, "other")
	f, first, second := newFixture(t, 8), newDiscoveryServer(t), newDiscoveryServer(t)
	engineWatch := f.watch(first)
	nettest.Send(t, first.accept(0), eventLine(1, e, "in_service"))
	f.waitLinesRead(engineWatch, 1)
	nc, c := f.connect()
	nettest.Send(t, nc, queryLine(11, idempotentClass))
	engineConn := e.Accept()
	engineConn.ReadRequest()
	f.loop.Do(func() { engineWatch.SetServer(second.ln.Addr().String()) })
	nettest.Send(t, second.accept(1), eventLine(2, e, "terminating")+eventLine(3, other, "in_service"))
	f.waitLinesRead(engineWatch, 3)
	f.loop.Do(func() {
		nettest.Send(t, engineConn.Conn, succeeded)
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

// discoveryServer is a discovery server whose connections are controlled by the test.
type discoveryServer struct {
	t     *testing.T
	ln    net.Listener
	conns chan net.Conn
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
			server.conns <- nc
		}
	}()
	return server
}

// accept returns the next connection, on which the gateway must request the events after a resource version.
func (s *discoveryServer) accept(after int) net.Conn {
	s.t.Helper()
	select {
	case nc := <-s.conns:
		s.t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(nettest.Timeout))
		line, err := bufio.NewReader(nc).ReadString('\n')
		if want := fmt.Sprintf("after %d\n", after); err != nil || line != want {
			s.t.Fatalf("watch request is %q (error %v), want %q", line, err, want)
		}
		return nc
	case <-time.After(nettest.Timeout):
		s.t.Fatal("timeout waiting for a watch connection")
		return nil
	}
}

// eventLine returns the line of a discovery event that lists one engine.
func eventLine(version int, e *nettest.Engine, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":"m","lifecycle":%q}]}}`+"\n",
		version, e.ID, e.Addr(), state)
}

// watch starts a watch of a discovery server that passes events to the fixture's gateway.
func (f *fixture) watch(server *discoveryServer) *enginewatch.Watch {
	engineWatch := enginewatch.New(f.loop, f.dispatcher, f.dispatcher.Log, "", &discovery.Stream{})
	f.loop.Do(func() { engineWatch.SetServer(server.ln.Addr().String()) })
	f.t.Cleanup(func() { f.loop.Do(func() { engineWatch.SetServer("") }) })
	return engineWatch
}

// waitLinesRead waits until a watch has received a number of lines.
func (f *fixture) waitLinesRead(engineWatch *enginewatch.Watch, lines int) {
	f.t.Helper()
	nettest.Eventually(f.t, fmt.Sprintf("%d lines on the watch", lines), func() (all bool) {
		f.loop.Do(func() { all = engineWatch.LinesRead() >= lines })
		return all
	})
}

// expectNoEngineUsable checks that a query is accepted, but not sent to any engine.
func (f *fixture) expectNoEngineUsable() {
	f.t.Helper()
	nc, c := f.connect()
	f.loop.Do(func() {
		nettest.Send(f.t, nc, queryLine(90, idempotentClass))
		c.conn.DeliverPending()
		if n := f.dispatcher.Core.Counts(); n.Taken != 1 || n.Attempts != 0 {
			f.t.Errorf("counts are %+v, want one accepted request and no attempt", n)
		}
	})
}
