// Package nettest helps tests that force an order of events on connections: it waits, without sleeping, until bytes have reached the
// peer's kernel, and provides scripted engines. Only test files import it. Its functions fail the test and may be called on the
// goroutine of the test, or on an event loop that the test holds.
package nettest

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Timeout is how long a helper waits before the test fails.
const Timeout = 20 * time.Second

// Eventually polls until done returns true. what names the condition in the message of a failure.
func Eventually(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !done(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

// WaitDelivered waits until all that was sent on a TCP connection, its end included, has reached the peer's kernel.
func WaitDelivered(t testing.TB, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Eventually(t, "sent bytes to be acknowledged", func() bool {
		unacknowledged := 0 // bytes; the end of the connection counts as one
		err := raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil {
			t.Fatal(err)
		}
		return unacknowledged == 0
	})
}

// CloseWrite half-closes a connection and waits until that has reached the peer's kernel.
func CloseWrite(t testing.TB, nc net.Conn) {
	t.Helper()
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	WaitDelivered(t, nc)
}

// Send writes a text and waits until it has reached the peer's kernel.
func Send(t testing.TB, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	WaitDelivered(t, nc)
}
