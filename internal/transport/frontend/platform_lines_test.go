package frontend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil/nettest"
)

// longPing returns a ping of more than the given number of bytes.
func longPing(bytes int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"ping","params":{"token":"%s"}}`+"\n", strings.Repeat("x", bytes))
}

// holdLine connects a client that sends an incomplete line, and waits until the listener has read it.
func holdLine(t *testing.T, l *PlatformListener, line string) net.Conn {
	t.Helper()
	usedBytes := func() (n int) {
		l.dispatcher.Loop.Do(func() { n = l.lineMemory.Used() })
		return n
	}
	want := usedBytes() + len(line)
	nc := dialAndSend(t, l, line)
	nettest.Eventually(t, "the incomplete line to be read", func() bool { return usedBytes() == want })
	return nc
}

// The memory of incomplete lines is limited: a line that exceeds it takes the place of the one whose client has sent nothing for the longest
// time, and is answered when it is complete. Lines within the guaranteed memory are kept. A load of 60 KB was dropped without an answer, on
// a new connection too, while other clients held incomplete lines.
func TestLongLineReplacesWaitingIncompleteLine(t *testing.T) {
	l := newPlatformListener(t, 100, 5*guaranteedBytes, time.Hour)
	long := longPing(2 * guaranteedBytes)
	half := len(long) / 2
	short := holdLine(t, l, ping[:10])
	oldest := holdLine(t, l, long[:len(long)-1])
	second := holdLine(t, l, long[:len(long)-1])
	for range 2 {
		usual := dialAndSend(t, l, long[:half])
		nettest.Send(t, usual, long[half:])
		expectPong(t, usual)
	}
	usual := dialAndSend(t, l, ping+long[:half])
	expectPong(t, usual)
	nettest.Send(t, usual, long[half:len(long)-1])
	expectClosed(t, "the longest waiting line over the limit", oldest)
	nettest.Send(t, usual, "\n")
	expectPong(t, usual)
	for _, nc := range []net.Conn{short, second} {
		io.WriteString(nc, map[net.Conn]string{short: ping[10:], second: "\n"}[nc])
		expectPong(t, nc)
	}
	l.dispatcher.Loop.Do(func() {
		if n := l.lineMemory.Used(); n != 0 {
			t.Errorf("%d bytes of incomplete lines remain, want 0", n)
		}
	})
}

// pingingClient connects a client and returns its connection after a ping was answered.
func pingingClient(t *testing.T, l *PlatformListener) (net.Conn, *client) {
	t.Helper()
	nc := dialAndSend(t, l, ping)
	expectPong(t, nc)
	return nc, l.clientOf(nc)
}

// A request whose last bytes wait in the socket is answered, although its line is the one that would be given up: it was sent whole.
func TestLineSentWholeIsNotGivenUp(t *testing.T) {
	l := newPlatformListener(t, 100, 3*guaranteedBytes, time.Hour)
	long := longPing(2 * guaranteedBytes)
	whole := holdLine(t, l, long[:len(long)-1])
	_, other := pingingClient(t, l)
	l.dispatcher.Loop.Do(func() {
		nettest.Send(t, whole, "\n") // is not read before the loop continues
		other.Data([]byte(long[:len(long)-1]))
		if other.readStopped {
			t.Error("the second line was given up")
		}
	})
	expectPong(t, whole)
}

// While the clients of all long lines are sending, lines are given up before all of them exceed their limit by much.
func TestLinesOfSendingClientsStayNearLimit(t *testing.T) {
	const clients, limit, sentLater = 40, 1 << 20, 60 << 10
	l := newPlatformListener(t, 100, limit, time.Hour)
	var senders []net.Conn
	for range clients {
		senders = append(senders, holdLine(t, l, strings.Repeat("x", guaranteedBytes+1)))
	}
	_, other := pingingClient(t, l)
	_, last := pingingClient(t, l)
	l.dispatcher.Loop.Do(func() {
		for _, nc := range senders {
			nettest.Send(t, nc, strings.Repeat("x", sentLater))
		}
		other.Data([]byte(strings.Repeat("x", 200<<10)))
		last.Data([]byte(strings.Repeat("x", 200<<10)))
		if excess := l.lineMemory.Excess(); excess > 0 || last.readStopped {
			t.Errorf("%d bytes over the limit, last line given up: %t; want a last line within the limit", excess, last.readStopped)
		}
		if kept := l.lineMemory.Used(); kept < limit-maxExcessBytes/2 {
			t.Errorf("only %d bytes of incomplete lines were kept, of %d", kept, limit)
		}
	})
}

// Pending bytes are delivered until a request is complete or nothing is left, in more than one delivery, but not without end. A request that a
// socket held whole was given up after the first 64 KB of it.
func TestPendingBytesAreDeliveredUntilRequestIsComplete(t *testing.T) {
	for name, test := range map[string]struct{ pending, needed, want int }{
		"nothing pending":     {pending: 0, needed: 9, want: 0},
		"complete":            {pending: 9, needed: 3, want: 3},
		"nothing left":        {pending: 2, needed: 9, want: 2},
		"sending without end": {pending: 1 << 20, needed: 1 << 20, want: maxDeliveries},
	} {
		t.Run(name, func(t *testing.T) {
			delivered := 0
			deliver := func() (none bool) {
				if delivered == test.pending {
					return true
				}
				delivered++
				return false
			}
			received := deliverWhile(func() bool { return delivered < test.needed }, deliver)
			if delivered != test.want || received != (test.want > 0) {
				t.Errorf("%d deliveries, received %t, want %d", delivered, received, test.want)
			}
		})
	}
}
