package frontend

import (
	"time"

	"frostpier/internal/transport/eventloop"
)

// closableConn is a client connection that a connSet can close.
type closableConn interface {
	comparable
	// shutdownIfIdle closes the connection gracefully if it has been idle for at least minIdle, unless a request is open or has been
	// received in part. It reports whether it handled received bytes instead.
	shutdownIfIdle(minIdle time.Duration) (handledBytes bool)
	// shutdown closes the connection gracefully.
	shutdown()
	// connection returns the client's connection.
	connection() *eventloop.Conn
}

// connSet holds the connections of a listener: the open ones and those that are being closed. It is used on the loop only.
type connSet[C closableConn] struct {
	open                map[C]bool
	lingering           *lingerSet
	closeAfterResponses bool // close each connection after the response to its last open request
	watchesDepartures   bool // watchDepartures was called
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

// watchDepartures closes the connections of clients that have left, with each tick of the loop. A reader notices the end of a connection only
// after all that was sent before it, and the attempts of such a client must be cancelled within 100 ms.
func (s *connSet[C]) watchDepartures(loop *eventloop.Loop) {
	if !s.watchesDepartures {
		s.watchesDepartures = true
		loop.OnTick(s.closeDeparted)
	}
}

// closeDeparted closes the connections of clients that have left.
func (s *connSet[C]) closeDeparted() {
	for c := range s.open {
		c.connection().CloseIfPeerLeft()
	}
}

// maxUnreadPerCheck is the number of connections whose received bytes a CloseIdle handles at most. If the loop is behind, many connections
// look idle because their requests have not been read, and handling all of these at once would delay the deadlines of other requests.
const maxUnreadPerCheck = 16

// CloseIdle gracefully closes the connections that have been idle for at least minIdle and on which no request is open or being received.
// It reports whether no connection is left open. If many connections have unread bytes, some idle ones are left for the next call.
func (s *connSet[C]) CloseIdle(minIdle time.Duration) bool {
	unread := 0
	for c := range s.open {
		if c.shutdownIfIdle(minIdle) {
			unread++
		}
		if unread == maxUnreadPerCheck {
			return false
		}
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
