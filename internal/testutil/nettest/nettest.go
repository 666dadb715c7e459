// Package nettest provides helpers for tests that depend on the order of events on connections: functions that wait, without sleeping,
// until the peer's kernel has received sent data, and scripted engines. Only test files import it. Its functions fail the test on an
// error and must be called on the test's goroutine, or on an event loop while the test's goroutine waits for the call.
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

// Eventually polls done until it returns true, and fails the test after Timeout. condition describes done in the failure message.
func Eventually(t testing.TB, condition string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !done(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", condition)
		}
	}
}

// WaitOut blocks the calling goroutine for a duration. A test calls it on an event loop, as if the process got no CPU time.
func WaitOut(t testing.TB, d time.Duration) {
	t.Helper()
	end := time.Now().Add(d)
	Eventually(t, "the pause to end", func() bool { return time.Now().After(end) })
}

// WaitDelivered waits until the peer's kernel has acknowledged all data sent on a TCP connection, including a FIN.
func WaitDelivered(t testing.TB, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Eventually(t, "sent bytes to be acknowledged", func() bool {
		unacknowledged := 0 // bytes; a FIN counts as one byte
		err := raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil {
			t.Fatal(err)
		}
		return unacknowledged == 0
	})
}

// CloseWrite closes the write side of a connection and waits until the peer's kernel has received the FIN.
func CloseWrite(t testing.TB, nc net.Conn) {
	t.Helper()
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	WaitDelivered(t, nc)
}

// Send writes text to a connection and waits until the peer's kernel has received it.
func Send(t testing.TB, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	WaitDelivered(t, nc)
}
