package frontend

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/dispatcher"
)

// The tests in this file force races between the stop of a listener and its clients; docs/design/crossings.md lists them.

// Connections that the kernel has accepted before the listener is closed are served, since their clients may have sent requests.
func TestAcceptedConnectionsAreServedAfterStop(t *testing.T) {
	f := newFixture(t, 4)
	done := make(chan struct{})
	var late []net.Conn
	f.loop.Do(func() {
		for range 8 {
			nc := dialAndSend(t, f.PlatformListener, ping)
			nettest.WaitDelivered(t, nc)
			late = append(late, nc)
		}
		f.Stop(func() { close(done) })
	})
	<-done
	for _, nc := range late {
		expectPong(t, nc)
	}
}

// pauseAfterStop is longer than any time that a listener may wait for its accept goroutine.
const pauseAfterStop = 100 * time.Millisecond

// Connections that the kernel has accepted before the listener is closed are served even if the process is paused right after Stop. It
// guards against a stop that waits for the accept goroutine for a fixed time, and resets the connections that it has not accepted by then.
func TestQueuedConnectionsAreServedAfterPausedStop(t *testing.T) {
	f := newFixture(t, 4)
	done := make(chan struct{})
	var queued []net.Conn
	f.loop.Do(func() {
		for range 8 {
			nc := dialAndSend(t, f.PlatformListener, ping)
			nettest.WaitDelivered(t, nc)
			queued = append(queued, nc)
		}
		f.Stop(func() { close(done) })
		nettest.WaitOut(t, pauseAfterStop)
	})
	<-done
	for _, nc := range queued {
		expectPong(t, nc)
	}
}

// The same as TestQueuedConnectionsAreServedAfterPausedStop for a MySQL listener, which also stops accepting when another gateway becomes
// master of its address.
func TestQueuedMySQLConnectionsAreServedAfterPausedStopAccepting(t *testing.T) {
	l := newMySQLFixture(t)
	var queued []net.Conn
	l.dispatcher.Loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
			return
		}
		queued = dialMySQL(t, l, 8)
		l.StopAccepting()
		nettest.WaitOut(t, pauseAfterStop)
	})
	expectGreetings(t, queued)
}

// At most one accepted connection waits to be handled on the loop: more would use the descriptors that the discovery watch needs.
func TestAtMostOneAcceptedConnectionWaitsForLoop(t *testing.T) {
	f := newFixture(t, 4)
	f.loop.Do(func() {
		for range 8 {
			dialAndSend(t, f.PlatformListener, "")
		}
		nettest.Eventually(t, "a connection to be accepted", func() bool { return f.loop.Queued() > 0 })
		if n := f.loop.Queued(); n > 1 {
			t.Errorf("%d accepted connections wait for the loop, want at most 1", n)
		}
	})
}

// The loop handles all connections that the kernel holds in one turn. It guards against accepting a single connection each time that the loop
// has passed its whole queue, which leaves the last of many new clients unread for seconds while the loop is behind.
func TestLoopAcceptsQueuedConnectionsInOneTurn(t *testing.T) {
	const conns = 8
	f := newFixture(t, 4)
	f.loop.Do(func() {
		for range conns {
			dialAndSend(t, f.PlatformListener, "")
		}
		f.waitQueued(1)
		f.loop.RunNext()
		if len(f.open) != conns {
			t.Errorf("%d connections are open after one turn of the loop, want %d", len(f.open), conns)
		}
	})
}

// CloseIdle keeps a connection with an incomplete line, since the rest of the request may follow before the line timeout.
func TestCloseIdleKeepsConnectionWithIncompleteLine(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	line := queryLine(11, idempotentClass)
	nettest.Send(t, nc, line[:30])
	nettest.Eventually(t, "an incomplete line", func() (incomplete bool) {
		f.loop.Do(func() { incomplete = f.lineMemory.Used() > 0 })
		return incomplete
	})
	f.loop.Do(func() {
		if f.CloseIdle(0) {
			t.Error("the connection was closed although a line was incomplete")
		}
	})
	nettest.Send(t, nc, line[30:])
	engineConn := e.Accept()
	engineConn.ReadRequest()
	io.WriteString(engineConn, succeeded)
	expectLine(t, bufio.NewReader(nc), `"id":11,"result"`)
}

// CloseIdle handles the unread requests of a limited number of connections, and the others in further calls. It guards against a loop that
// reads hundreds of requests in one turn at the end of a shutdown, while the deadlines of other requests pass.
func TestCloseIdleLimitsUnreadRequests(t *testing.T) {
	const conns = 2*maxUnreadPerCheck + 1
	f := newFixture(t, 4)
	for i := range conns {
		nc, _ := f.connectPaused()
		nettest.Send(t, nc, queryLine(i+1, idempotentClass))
	}
	f.loop.Do(func() {
		for calls := 1; f.dispatcher.Core.Counts().Taken < conns; calls++ {
			if f.CloseIdle(0) {
				t.Fatal("all connections are closed, although requests are open")
			}
			if taken := f.dispatcher.Core.Counts().Taken; taken > calls*maxUnreadPerCheck || calls > conns {
				t.Fatalf("%d requests were read after %d calls of CloseIdle, want at most %d in a call", taken, calls, maxUnreadPerCheck)
			}
		}
	})
}

// CloseIdle handles unread bytes of a MySQL client first, and closes the connection only if there are none.
func TestMySQLCloseIdleHandlesUnreadBytes(t *testing.T) {
	l, nc := connectMySQL(t)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, nc, "\x20\x00\x00\x01") // the header of a login packet
		if l.CloseIdle(0) || len(l.open) != 1 {
			t.Error("the connection was closed although bytes were unread")
		}
		if !l.CloseIdle(0) {
			t.Error("the idle connection was not closed")
		}
		l.StopAccepting()
	})
	if _, err := io.Copy(io.Discard, nc); err != nil {
		t.Fatalf("read error %v, want EOF", err)
	}
}

// Shutdown handles unread bytes of a MySQL client before it closes the connection.
func TestMySQLShutdownHandlesUnreadBytes(t *testing.T) {
	l, nc := connectMySQL(t)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, nc, "\xff\xff\xff\x01") // the header of an oversized login packet, which gets an error response
		l.StopAccepting()
		l.Shutdown()
	})
	if got, err := io.ReadAll(nc); err != nil || !strings.Contains(string(got), "larger than the gateway takes") {
		t.Fatalf("read %q and error %v, want the error packet and EOF", got, err)
	}
}

// mysqlTestMemory is the memory in bytes that all clients of a newMySQLFixture may hold.
const mysqlTestMemory = 3 * guaranteedBytes

// newMySQLFixture returns a MySQL listener without engines that is not listening yet.
func newMySQLFixture(t *testing.T) *MySQLListener {
	t.Helper()
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 8,
		MaxMemory: mysqlTestMemory})
}

// listenMySQL opens a MySQL listener.
func listenMySQL(t *testing.T, l *MySQLListener) {
	t.Helper()
	l.dispatcher.Loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
		}
	})
}

// dialMySQL opens connections to a listening MySQL listener.
func dialMySQL(t *testing.T, l *MySQLListener, count int) (conns []net.Conn) {
	t.Helper()
	for range count {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(nettest.Timeout))
		conns = append(conns, nc)
	}
	return conns
}

// expectGreetings reads the first byte of the server's greeting from each connection.
func expectGreetings(t *testing.T, conns []net.Conn) {
	t.Helper()
	for _, nc := range conns {
		if _, err := nc.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
}

// connectMySQL returns a MySQL listener and a client connection to it, from which the first byte of the greeting was read.
func connectMySQL(t *testing.T) (*MySQLListener, net.Conn) {
	t.Helper()
	l := newMySQLFixture(t)
	listenMySQL(t, l)
	conns := dialMySQL(t, l, 1)
	expectGreetings(t, conns)
	return l, conns[0]
}

// Connections that the kernel has accepted before the MySQL listener is closed are served, whether it is closed because the gateway stops
// or because another gateway becomes master.
func TestAcceptedMySQLConnectionsAreServedAfterStopAccepting(t *testing.T) {
	l := newMySQLFixture(t)
	var late []net.Conn
	l.dispatcher.Loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
			return
		}
		late = dialMySQL(t, l, 8)
		l.StopAccepting()
	})
	expectGreetings(t, late)
}
