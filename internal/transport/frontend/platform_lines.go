package frontend

import "errors"

// maxExcessBytes is how far the incomplete lines may exceed their memory limit while the clients are sought that send nothing.
const maxExcessBytes = 1 << 20

// errIncompleteLines is the reason for closing a connection with a long incomplete line while all incomplete lines exceed their memory limit.
var errIncompleteLines = errors.New("incomplete lines of all clients exceed their memory limit")

// updateLineTimer starts or stops the timer for the rest of an incomplete line. Each line has its own timeout: lineEnded is true if the bytes
// just received completed a line, so that the incomplete line, if any, is a new one. It reports whether the memory of the line is admitted.
func (c *client) updateLineTimer(lineEnded bool) (admitted bool) {
	incomplete := c.session.BufferedBytes()
	admitted = c.line.Set(incomplete)
	c.lineInputAt = c.listener.dispatcher.Loop.Now()
	if lineEnded || incomplete == 0 {
		c.lineTimer.Stop()
		c.lineTimer = nil
	}
	if incomplete > 0 && c.lineTimer == nil {
		c.startLineTimer()
	}
	return admitted
}

func (c *client) startLineTimer() {
	c.lineTimer = c.listener.dispatcher.Loop.After(c.listener.requestTimeout, c.lineTimedOut)
}

// lineTimedOut closes a connection whose line was not completed in time. While queries are open, it restarts the timer instead.
func (c *client) lineTimedOut() {
	c.lineTimer = nil
	c.conn.DeliverPending() // the pending bytes may complete the line
	switch {
	case !c.conn.IsOpen() || c.line.Used() == 0:
	case len(c.requests) == 0:
		c.close("incomplete line")
	case c.lineTimer == nil:
		c.startLineTimer()
	}
}

// hasLongLine reports whether the client has an incomplete line of more than the guaranteed memory.
func (c *client) hasLongLine() bool { return c.line.Used() > guaranteedBytes }

// makeRoomForLine gives up the long incomplete lines of other clients, those without input for the longest time first, until the line of c is
// admitted. It reports whether it is. The bytes that a client has sent are read before its line is given up: a request that was sent
// whole is answered. Without this, clients that hold incomplete lines could keep out all long requests of others.
func (l *PlatformListener) makeRoomForLine(c *client) bool {
	if l.makingRoom { // another call reads the bytes of c, and gives up lines until all are admitted
		return true
	}
	l.makingRoom = true
	defer func() { l.makingRoom = false }()
	for active := 0; !c.line.Admits(0); {
		other := l.longestWaitingLine(c)
		if other == nil {
			return false
		}
		sending := other.readWhatWasSent()
		if sending && active < len(l.open) && l.lineMemory.Excess() <= maxExcessBytes { // the next client may be waiting for longer
			active++
			continue
		}
		if other.hasLongLine() && other.conn.IsOpen() {
			other.stopReading(errIncompleteLines)
			other.restartIdleTimer()
		}
	}
	return true
}

// longestWaitingLine returns the client with a long incomplete line that has had no input for the longest time, except c. It returns nil
// if there is none.
func (l *PlatformListener) longestWaitingLine(c *client) (found *client) {
	for other := range l.open {
		if other != c && other.hasLongLine() && (found == nil || other.lineInputAt < found.lineInputAt) {
			found = other
		}
	}
	return found
}

// readWhatWasSent handles all bytes that the client has sent, up to the end of an incomplete line. It reports whether there were any.
func (c *client) readWhatWasSent() (received bool) {
	for c.hasLongLine() && c.conn.IsOpen() && !c.conn.DeliverPending() {
		received = true
	}
	return received
}
