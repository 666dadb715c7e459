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

// docs/design/crossings.md has a row for each of these tests.

// Connections that the kernel has accepted before the listener closes are served: their requests may have been sent already.
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

// At most one connection is accepted and not handled yet: a crowd of them would use the descriptors that discovery needs.
func TestAcceptWaitsForTheLoop(t *testing.T) {
	f := newFixture(t, 4)
	f.loop.Do(func() {
		for range 8 {
			dialAndSend(t, f.PlatformListener, "")
		}
		nettest.Eventually(t, "a connection to be accepted", func() bool { return f.loop.Queued() > 0 })
		if n := f.loop.Queued(); n > 1 {
			t.Errorf("%d connections wait for the loop", n)
		}
	})
}

// A stop does not close a connection with an incomplete line before its timeout: the rest of the request may be on its way.
func TestIncompleteLineAtStop(t *testing.T) {
	e := nettest.NewEngine(t, "e")
	f := newFixture(t, 4, e)
	nc, _ := f.connect()
	line := queryLine(11, idempotentClass)
	nettest.Send(t, nc, line[:30])
	nettest.Eventually(t, "an incomplete line", func() (some bool) {
		f.loop.Do(func() { some = f.incompleteBytes > 0 })
		return some
	})
	f.loop.Do(func() {
		if f.CloseIdle(0) {
			t.Error("closed over an incomplete line")
		}
	})
	nettest.Send(t, nc, line[30:])
	at := e.Accept()
	at.ReadRequest()
	io.WriteString(at, succeeded)
	expectLine(t, bufio.NewReader(nc), `"id":11,"result"`)
}

// Bytes of a MySQL client that are unread when idle connections are closed are handled first.
func TestUnreadMySQLBytesBeforeClose(t *testing.T) {
	l, nc := connectMySQL(t)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, nc, "\x20\x00\x00\x01") // the header of a login
		if l.CloseIdle(0) || len(l.open) != 1 {
			t.Error("closed over unread bytes")
		}
		if !l.CloseIdle(0) {
			t.Error("an idle connection was not closed")
		}
		l.StopAccepting()
	})
	if _, err := io.Copy(io.Discard, nc); err != nil {
		t.Fatalf("%v, want the end", err)
	}
}

// Bytes of a MySQL client that are unread when the last connections of a stop are closed are handled first.
func TestUnreadMySQLBytesBeforeShutdown(t *testing.T) {
	l, nc := connectMySQL(t)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, nc, "\xff\xff\xff\x01") // the header of a login that is too large: it is answered with an error
		l.StopAccepting()
		l.Shutdown()
	})
	if got, err := io.ReadAll(nc); err != nil || !strings.Contains(string(got), "larger than the gateway takes") {
		t.Fatalf("%q, %v, want the error and the end", got, err)
	}
}

// connectMySQL returns a MySQL listener and a client of it that has begun to read its greeting.
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
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the greeting
		t.Fatal(err)
	}
	return l, nc
}

// Connections that the kernel has accepted before the MySQL listener closes, for a stop or another master, are served here.
func TestAcceptedMySQLConnectionsAreServedAfterStop(t *testing.T) {
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
		if _, err := nc.Read(make([]byte, 1)); err != nil { // the greeting
			t.Fatal(err)
		}
	}
}
