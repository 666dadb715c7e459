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

// accept is the accepting goroutine of a listener. It hands one connection at a time to the loop, since one that is accepted and
// not handled yet holds a descriptor outside of any budget. A lack of descriptors is waited out. After stopAccepting, it hands
// over the connections that the kernel has accepted by then, and posts done.
func accept(loop *eventloop.Loop, log *slog.Logger, ln net.Listener, handle func(net.Conn), done func()) {
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			loop.Do(func() { handle(nc) })
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			_ = ln.Close() // it may be closed already
			loop.Post(done)
			return
		default:
			log.Warn("accept failed", "error", err)
			time.Sleep(acceptBackoff)
		}
	}
}

// stopAccepting closes a listener once the connections that the kernel has accepted by now have been handled.
func stopAccepting(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptBackoff)) == nil {
		return
	}
	_ = ln.Close() // ends Accept whatever it returns
}

// closable is a client's connection as a connSet closes it.
type closable interface {
	comparable
	// shutdownIfIdle closes the connection gracefully if it has been idle for at least a time, unless a request is open or bytes of
	// one have been received.
	shutdownIfIdle(idle time.Duration)
	// shutdown closes the connection gracefully.
	shutdown()
}

// connSet holds the connections of a listener: the open ones, and those that are being closed. It is used on the loop.
type connSet[C closable] struct {
	open                 map[C]bool
	lingering            *lingerSet
	closesAfterResponses bool // each connection, together with the response to its last open request
}

func newConnSet[C closable](maxConns int) connSet[C] {
	open := map[C]bool{}
	return connSet[C]{open: open, lingering: newLingerSet(maxConns, func() int { return len(open) })}
}

// remove removes a connection that is no longer open.
func (s *connSet[C]) remove(c C) {
	delete(s.open, c)
	s.lingering.checkEmpty()
}

// CloseIdle gracefully closes the connections on which no request is open or being received and which have been idle for at least a
// time, and reports whether none is left open.
func (s *connSet[C]) CloseIdle(idle time.Duration) bool {
	for c := range s.open {
		c.shutdownIfIdle(idle)
	}
	return len(s.open) == 0
}

// CloseAfterResponses has each connection closed gracefully together with the response to its last open request: its client sees the
// end before it sends the next one.
func (s *connSet[C]) CloseAfterResponses() { s.closesAfterResponses = true }

// Shutdown gracefully closes all connections: what they have received is handled first, and what is queued for their clients is
// still written. It is called once the dispatcher replies to all requests at once.
func (s *connSet[C]) Shutdown() {
	for c := range s.open {
		c.shutdown()
	}
}

// OnEmpty sets a function that is called once, as soon as no connection is open or being closed.
func (s *connSet[C]) OnEmpty(f func()) { s.lingering.whenEmpty(f) }
