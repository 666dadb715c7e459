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

// CloseIdle keeps a connection with an incomplete line, since the rest of the request may follow before the line timeout.
func TestCloseIdleKeepsConnectionWithIncompleteLine(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	line := queryLine(11, idempotentClass)
	nettest.Send(t, nc, line[:30])
	nettest.Eventually(t, "an incomplete line", func() (incomplete bool) {
		f.loop.Do(func() { incomplete = f.incompleteBytes > 0 })
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

// connectMySQL returns a MySQL listener and a client connection to it, from which the first byte of the greeting was read.
func connectMySQL(t *testing.T) (*MySQLListener, net.Conn) {
	t.Helper()
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 8})
	loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
		}
	})
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(nettest.Timeout))
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the first byte of the greeting
		t.Fatal(err)
	}
	return l, nc
}

// Connections that the kernel has accepted before the MySQL listener is closed are served, whether it is closed because the gateway stops
// or because another gateway becomes master.
func TestAcceptedMySQLConnectionsAreServedAfterStopAccepting(t *testing.T) {
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 8})
	var late []net.Conn
	loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
		}
		for range 8 {
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { nc.Close() })
			late = append(late, nc)
		}
		l.StopAccepting()
	})
	for _, nc := range late {
		nc.SetDeadline(time.Now().Add(nettest.Timeout))
		if _, err := nc.Read(make([]byte, 1)); err != nil { // the first byte of the greeting
			t.Fatal(err)
		}
	}
}
