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

const (
	acceptBackoff     = 20 * time.Millisecond // delay after a failed accept
	maxAcceptsPerTurn = 64                    // per turn of the loop, so that open connections are served as well
	// queuedAcceptTimeout bounds the time that the loop waits for a connection that was queued and has disappeared since.
	queuedAcceptTimeout = 5 * time.Millisecond
)

// acceptor accepts the connections of a listener and passes them to the loop. A goroutine waits for the first one. The loop itself accepts
// those that are queued behind it. Neither waits for what is queued on the loop, since the age of a request is not known before it is read.
// Each connection is handled before the next one is accepted: one that has not been handled yet holds a descriptor that no budget accounts
// for.
type acceptor struct {
	loop     *eventloop.Loop
	log      *slog.Logger
	ln       *net.TCPListener
	handle   func(net.Conn) // called on the loop with each accepted connection
	done     func()         // called on the loop after the listener is closed
	stopping bool           // used on the loop only
}

// listen opens a listener on a TCP address.
func listen(addr string) (*net.TCPListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// run accepts connections until stop is called. It then accepts those that the kernel still holds, since their clients may have sent
// requests, and closes the listener.
func (a *acceptor) run() {
	for a.accept() {
	}
	for a.acceptQueued() {
	}
	_ = a.ln.Close() // it may already be closed
	a.loop.Post(a.done)
}

// stop makes the acceptor stop, and does not wait for it. It is called on the loop.
func (a *acceptor) stop() {
	a.stopping = true
	a.resetDeadline()
}

// resetDeadline removes the deadline of Accept. After stop, it sets one in the past instead, which makes Accept return at once.
func (a *acceptor) resetDeadline() {
	deadline := time.Time{}
	if a.stopping {
		deadline = time.Unix(0, 1)
	}
	if a.ln.SetDeadline(deadline) != nil {
		_ = a.ln.Close() // makes Accept return, even if Close returns an error
	}
}

// accept waits for a connection and until the loop has handled it. It returns false if the listener is closed or stop was called. After
// other errors, such as a lack of descriptors, it waits for a moment and returns true.
func (a *acceptor) accept() bool {
	nc, err := a.ln.Accept()
	switch {
	case err == nil:
		a.loop.DoWithPriority(func() {
			a.handle(nc)
			_, _ = a.handleQueued() // after an error the next Accept returns an error too
		})
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return false
	default:
		a.backOff(err)
	}
	return true
}

// acceptQueued accepts queued connections without waiting for further ones. It reports whether some are left.
func (a *acceptor) acceptQueued() (more bool) {
	var err error
	a.loop.DoWithPriority(func() { more, err = a.handleQueued() })
	if more && err != nil {
		a.backOff(err)
	}
	return more
}

// backOff logs an error of Accept and waits for acceptBackoff.
func (a *acceptor) backOff(err error) {
	a.log.Warn("accept failed, retrying", "error", err)
	time.Sleep(acceptBackoff)
}

// handleQueued accepts and handles up to maxAcceptsPerTurn connections that the kernel holds. It reports whether some are left, and the
// error of an Accept that failed. It is called on the loop.
func (a *acceptor) handleQueued() (more bool, err error) {
	for range maxAcceptsPerTurn {
		if !hasQueuedConn(a.ln) {
			return false, nil
		}
		nc, err := a.acceptNow()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // or this goroutine was not scheduled in time
			return true, nil
		case err != nil:
			return true, err
		}
		a.handle(nc)
	}
	return true, nil
}

// acceptNow accepts a queued connection. It waits for at most queuedAcceptTimeout.
func (a *acceptor) acceptNow() (net.Conn, error) {
	defer a.resetDeadline()
	// This fails only if the listener is closed, and then Accept fails too.
	_ = a.ln.SetDeadline(time.Now().Add(queuedAcceptTimeout))
	return a.ln.Accept()
}

// hasQueuedConn reports whether the kernel holds a connection that can be accepted without waiting. It returns false if the listener is
// closed.
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
