package frontend

import (
	"time"

	"frostpier/internal/memlimit"
	"frostpier/internal/transport/eventloop"
)

const (
	guaranteedBytes = 16 << 10 // memory that each client may use, even if the limit for all clients is exceeded
	// maxExcessBytes is how far incomplete requests may exceed their memory limit while the clients are sought that send nothing.
	maxExcessBytes = 1 << 20
	// maxClientsPassedOver is how many clients that are still sending are passed over in the search, since each may cost some milliseconds.
	maxClientsPassedOver = 4
)

// inputClient is a client connection whose incomplete request holds memory.
type inputClient interface {
	comparable
	// connection returns the client's connection.
	connection() *eventloop.Conn
	// incompleteBytes returns the memory of the incomplete request, or 0 if it must not be given up.
	incompleteBytes() int
	// lastInputAt returns when bytes were last received.
	lastInputAt() time.Duration
	// giveUpInput drops the incomplete request, and closes the connection after the responses to the requests before it.
	giveUpInput()
}

// inputLimiter limits the memory of the incomplete requests of a listener's clients.
type inputLimiter[C inputClient] struct {
	memory     *memlimit.Limit
	open       map[C]bool
	makingRoom bool
}

// makeRoom gives up the long incomplete requests of clients other than c, those without input for the longest time first, until the memory
// is within its limit. It reports whether it is. The bytes that a client has sent are read before its request is given up: one that was
// sent whole is answered. Without this, clients that hold incomplete requests could keep out all long requests of others.
func (l *inputLimiter[C]) makeRoom(c C) bool {
	if l.makingRoom { // another call reads the bytes of c, and gives up requests until the memory is within its limit
		return true
	}
	l.makingRoom = true
	defer func() { l.makingRoom = false }()
	for sending := 0; l.memory.Excess() > 0; {
		other, found := l.longestWaiting(c)
		if !found {
			return false
		}
		received := readWhatWasSent(other)
		if received && sending < maxClientsPassedOver && l.memory.Excess() <= maxExcessBytes { // the next client may be waiting for longer
			sending++
			continue
		}
		if holdsLongRequest(other) {
			other.giveUpInput()
		}
	}
	return true
}

// longestWaiting returns the client with a long incomplete request that has had no input for the longest time, except c.
func (l *inputLimiter[C]) longestWaiting(c C) (longest C, found bool) {
	for other := range l.open {
		if other != c && holdsLongRequest(other) && (!found || other.lastInputAt() < longest.lastInputAt()) {
			longest, found = other, true
		}
	}
	return longest, found
}

// holdsLongRequest reports whether a client has an incomplete request of more than the guaranteed memory.
func holdsLongRequest[C inputClient](c C) bool {
	return c.connection().IsOpen() && c.incompleteBytes() > guaranteedBytes
}

// maxDeliveries is how many deliveries of pending bytes complete any request: each has what a socket held, up to a quarter of the longest line.
const maxDeliveries = 6

// readWhatWasSent handles the bytes that a client has sent, up to the end of an incomplete request. It reports whether there were any.
func readWhatWasSent[C inputClient](c C) (received bool) {
	return deliverWhile(func() bool { return holdsLongRequest(c) }, c.connection().DeliverPending)
}

// deliverWhile delivers pending bytes while more are needed, but no more than complete a request: a client may send without an end. It
// reports whether there were any.
func deliverWhile(needed func() bool, deliverPending func() (none bool)) (received bool) {
	for range maxDeliveries {
		if !needed() || deliverPending() {
			break
		}
		received = true
	}
	return received
}
