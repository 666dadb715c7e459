// Package nettest helps tests of events that cross on a connection: it waits until what one side did has reached the other's
// machine, without sleeping, and provides engines that do what a test says. Only test files import it.
package nettest

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Patience is how long a helper waits before the test fails.
const Patience = 20 * time.Second

// Until waits for something that another goroutine or the machine does; what says what that is.
func Until(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !done(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// Delivered waits until all that a TCP connection sent, its end included, is at the peer's machine.
func Delivered(t testing.TB, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	Until(t, "what was sent to arrive", func() bool {
		unacknowledged := 0 // bytes; the end counts as one
		raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return unacknowledged == 0
	})
}

// CloseWrite ends the sending side of a connection and waits until the peer's machine has it.
func CloseWrite(t testing.TB, nc net.Conn) {
	t.Helper()
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	Delivered(t, nc)
}

// Send writes and waits until the peer's machine has it.
func Send(t testing.TB, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	Delivered(t, nc)
}
