package eventloop

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A close is found behind more unread bytes than are peeked, and the connection is closed without handling them. Requests were sent to engines
// although their client had closed its connection, since only 64 KB of what it sent before the close were read ahead.
func TestCloseIsFoundBehindUnreadBytes(t *testing.T) {
	const unread = 2 * maxPeekBytes
	loop := startLoop(t)
	peer, nc := tcpPair(t, 4*unread)
	h := closeRecorder{make(chan error, 1)}
	loop.Do(func() {
		c := NewConn(loop, nc, h, 1)
		if _, err := peer.Write(make([]byte, unread)); err != nil {
			t.Error(err)
		}
		waitQueued(t, loop, 1) // the reader has read a part, and waits for the loop
		if closed := c.PeerClosed(); closed {
			t.Error("the connection counts as closed before its peer has closed it")
		}
		if err := peer.CloseWrite(); err != nil {
			t.Error(err)
		}
		for deadline := time.Now().Add(20 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the close was not found")
			}
		}
		if _, eof := c.Peek(); eof {
			t.Error("the close was found by reading ahead, so that the test does not show more")
		}
		c.CloseIfPeerLeft()
		if c.IsOpen() {
			t.Error("the connection is still open")
		}
	})
	if err := <-h.closed; !errors.Is(err, io.EOF) {
		t.Errorf("closed with error %v, want EOF", err)
	}
}

// tcpPair returns both sides of a TCP connection, the second with a receive buffer of at least the given size.
func tcpPair(t *testing.T, readBuffer int) (peer, accepted *net.TCPConn) {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { setReadBuffer(t, int(fd), readBuffer) }); err != nil {
		t.Fatal(err)
	}
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	accepted, err = ln.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	return nc.(*net.TCPConn), accepted
}

// setReadBuffer sets the receive buffer of a listening socket, which its connections inherit.
func setReadBuffer(t *testing.T, fd, bytes int) {
	t.Helper()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
		t.Fatal(err)
	}
}
