package frontend

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"frostpier/internal/transport/eventloop"
)

const acceptBackoff = 20 * time.Millisecond

// accept is the accept goroutine of a listener. It passes one connection at a time to the loop, since an accepted connection that has not
// been handled yet holds a descriptor that no budget accounts for. It retries after errors such as a lack of descriptors. After
// stopAccepting it passes on the connections that the kernel has already accepted, and posts done.
func accept(loop *eventloop.Loop, log *slog.Logger, ln net.Listener, handle func(net.Conn), done func()) {
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			loop.Do(func() { handle(nc) })
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			_ = ln.Close() // it may already be closed
			loop.Post(done)
			return
		default:
			log.Warn("accept failed, retrying", "error", err)
			time.Sleep(acceptBackoff)
		}
	}
}

// stopAccepting closes a listener once the connections that the kernel has already accepted have been handled.
func stopAccepting(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptBackoff)) == nil {
		return
	}
	_ = ln.Close() // makes Accept return, even if Close returns an error
}

// closableConn is a client connection that a connSet can close.
type closableConn interface {
	comparable
	// shutdownIfIdle closes the connection gracefully if it has been idle for at least minIdle, unless a request is open or has been
	// received in part.
	shutdownIfIdle(minIdle time.Duration)
	// shutdown closes the connection gracefully.
	shutdown()
}

// connSet holds the connections of a listener: the open ones and those that are being closed. It is used on the loop only.
type connSet[C closableConn] struct {
	open                map[C]bool
	lingering           *lingerSet
	closeAfterResponses bool // close each connection after the response to its last open request
}

func newConnSet[C closableConn](maxConns int) connSet[C] {
	open := map[C]bool{}
	return connSet[C]{open: open, lingering: newLingerSet(maxConns, func() int { return len(open) })}
}

// remove removes a connection that is no longer open.
func (s *connSet[C]) remove(c C) {
	delete(s.open, c)
	s.lingering.checkEmpty()
}

// CloseIdle gracefully closes the connections that have been idle for at least minIdle and on which no request is open or being received.
// It reports whether no connection is left open.
func (s *connSet[C]) CloseIdle(minIdle time.Duration) bool {
	for c := range s.open {
		c.shutdownIfIdle(minIdle)
	}
	return len(s.open) == 0
}

// CloseAfterResponses makes the listener close each connection gracefully right after the response to its last open request, so that the
// client sees the close before it sends another request.
func (s *connSet[C]) CloseAfterResponses() { s.closeAfterResponses = true }

// Shutdown gracefully closes all connections: received bytes are handled first, and queued responses are still written. It is called after
// Dispatcher.Close, when the dispatcher replies to all requests immediately.
func (s *connSet[C]) Shutdown() {
	for c := range s.open {
		c.shutdown()
	}
}

// OnEmpty sets a function that is called once, as soon as no connection is open or being closed.
func (s *connSet[C]) OnEmpty(f func()) { s.lingering.setOnEmpty(f) }
