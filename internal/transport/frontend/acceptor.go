package frontend

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"frostpier/internal/transport/eventloop"
)

const acceptBackoff = 20 * time.Millisecond // delay after a failed accept

// acceptor accepts the connections of a listener on a separate goroutine. It passes one connection at a time to the loop, since an accepted
// connection that has not been handled yet holds a descriptor that no budget accounts for.
type acceptor struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	ln     *net.TCPListener
	handle func(net.Conn) // called on the loop with each accepted connection
	done   func()         // called on the loop after the listener is closed
}

// listen opens a listener on a TCP address.
func listen(addr string) (*net.TCPListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// run accepts connections until stopAccepting is called. It then accepts those that the kernel still holds, since their clients may have
// sent requests, and closes the listener.
func (a *acceptor) run() {
	for a.accept() {
	}
	_ = a.ln.SetDeadline(time.Time{}) // fails only if the listener is closed, and then accept fails too
	for hasQueuedConn(a.ln) && a.accept() {
	}
	_ = a.ln.Close() // it may already be closed
	a.loop.Post(a.done)
}

// accept accepts one connection and waits until the loop has handled it. It returns false if the listener is closed or stopAccepting was
// called. After other errors, such as a lack of descriptors, it waits for a moment and returns true.
func (a *acceptor) accept() bool {
	nc, err := a.ln.Accept()
	switch {
	case err == nil:
		a.loop.Do(func() { a.handle(nc) })
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return false
	default:
		a.log.Warn("accept failed, retrying", "error", err)
		time.Sleep(acceptBackoff)
	}
	return true
}

// stopAccepting makes the acceptor of a listener stop. It does not wait for it.
func stopAccepting(ln *net.TCPListener) {
	if ln.SetDeadline(time.Unix(0, 1)) != nil { // a time in the past makes Accept return at once
		_ = ln.Close() // makes Accept return, even if Close returns an error
	}
}

// hasQueuedConn reports whether the kernel holds a connection that can be accepted without waiting.
func hasQueuedConn(ln *net.TCPListener) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	_ = raw.Control(func(fd uintptr) { queued = isReadable(int(fd)) }) // fails only if the listener is closed
	return queued
}

// isReadable reports whether a read or accept on a descriptor would not block.
func isReadable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
		}
	}
}
