package frontend

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
	"frostpier/internal/transport/dispatcher"
)

// dialMySQLListener starts a listener without accounts and connects a client to it.
func dialMySQLListener(t *testing.T, loginTimeout time.Duration) (*MySQLListener, net.Conn) {
	t.Helper()
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 1})
	l.loginTimeout = loginTimeout
	var addr string
	loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
		}
		addr = l.Addr().String()
	})
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(nettest.Timeout))
	return l, nc
}

// The memory that a connection holds is free once it has ended, whether its client or the listener closes it. Otherwise clients that
// connect and go would use up the memory of all.
func TestMySQLMemoryIsReleasedWithConnection(t *testing.T) {
	for name, end := range map[string]func(l *MySQLListener, nc net.Conn){
		"closed by the client":   func(_ *MySQLListener, nc net.Conn) { nc.Close() },
		"closed by the listener": func(l *MySQLListener, _ net.Conn) { l.dispatcher.Loop.Do(l.Shutdown) },
	} {
		t.Run(name, func(t *testing.T) {
			l, nc := dialMySQLListener(t, time.Hour)
			used := func() (n int) {
				l.dispatcher.Loop.Do(func() { n = l.memory.Used() })
				return n
			}
			nettest.Send(t, nc, "\xff\xff\x00\x01incomplete")
			nettest.Eventually(t, "the bytes of the packet to be counted", func() bool { return used() > 0 })
			end(l, nc)
			nettest.Eventually(t, "the memory to be released", func() bool { return used() == 0 })
			l.dispatcher.Loop.Do(l.StopAccepting)
		})
	}
}

// The connection of a client that does not log in is closed after the login timeout, which frees its descriptor.
func TestMySQLLoginTimeoutClosesConnection(t *testing.T) {
	l, nc := dialMySQLListener(t, 20*time.Millisecond)
	greeting, err := io.ReadAll(nc) // until the connection is closed
	if err != nil || len(greeting) == 0 || greeting[4] != 10 {
		t.Fatalf("read %q and error %v, want a greeting of protocol version 10 and EOF", greeting, err)
	}
	l.dispatcher.Loop.Do(func() {
		if len(l.open) != 0 {
			t.Error("the closed connection still counts as open")
		}
		l.StopAccepting()
	})
}
