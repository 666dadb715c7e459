package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
)

// The memory that a connection holds is free once it has ended, whether its client or the listener closes it. Otherwise clients that
// connect and go would use up the memory of all.
func TestMySQLMemoryIsReleasedWithConnection(t *testing.T) {
	for name, end := range map[string]func(l *MySQLListener, nc net.Conn){
		"closed by the client":   func(_ *MySQLListener, nc net.Conn) { nc.Close() },
		"closed by the listener": func(l *MySQLListener, _ net.Conn) { l.dispatcher.Loop.Do(l.Shutdown) },
	} {
		t.Run(name, func(t *testing.T) {
			l, nc := connectMySQL(t)
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

// An incomplete packet that exceeds the memory of all takes the place of the one whose client has sent nothing for the longest time, which
// gets an error. Clients that hold incomplete packets could keep out all long queries of others.
func TestLongPacketReplacesWaitingIncompletePacket(t *testing.T) {
	l := newMySQLFixture(t)
	listenMySQL(t, l)
	conns := dialMySQL(t, l, 2)
	used := func() (n int) {
		l.dispatcher.Loop.Do(func() { n = l.memory.Used() })
		return n
	}
	incomplete := "\xff\xff\x00\x01" + strings.Repeat("x", 2*guaranteedBytes)
	nettest.Send(t, conns[0], incomplete)
	nettest.Eventually(t, "the first packet to be read", func() bool { return used() == len(incomplete) })
	nettest.Send(t, conns[1], incomplete)
	response, err := io.ReadAll(conns[0])
	if err != nil || !strings.HasSuffix(string(response), "all clients together hold too much memory") {
		t.Errorf("the client that waited longest read %q and error %v, want the error packet and EOF", response, err)
	}
	nettest.Eventually(t, "the second packet to be read", func() bool { return used() == len(incomplete) })
	l.dispatcher.Loop.Do(func() {
		if len(l.open) != 1 {
			t.Errorf("%d open connections, want 1", len(l.open))
		}
		l.StopAccepting()
	})
}

// The connection of a client that does not log in is closed after the login timeout, which frees its descriptor.
func TestMySQLLoginTimeoutClosesConnection(t *testing.T) {
	l := newMySQLFixture(t)
	l.loginTimeout = 20 * time.Millisecond
	listenMySQL(t, l)
	nc := dialMySQL(t, l, 1)[0]
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
