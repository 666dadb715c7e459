package frontend

import (
	"errors"
	"time"

	"frostpier/internal/transport/eventloop"
)

// errIncompleteLines is the reason for closing a connection with a long incomplete line while all incomplete lines exceed their memory limit.
var errIncompleteLines = errors.New("incomplete lines of all clients exceed their memory limit")

// updateLineTimer starts or stops the timer for the rest of an incomplete line. Each line has its own timeout: lineEnded is true if the bytes
// just received completed a line, so that the incomplete line, if any, is a new one. It reports whether the memory of the line is admitted.
func (c *client) updateLineTimer(lineEnded bool) (admitted bool) {
	incomplete := c.session.BufferedBytes()
	admitted = c.line.Set(incomplete)
	c.inputAt = c.listener.dispatcher.Loop.Now()
	if lineEnded {
		c.linesEnded++
	}
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
	c.lineTimer = c.conn.After(c.listener.requestTimeout, c.lineTimedOut)
}

// lineTimedOut closes a connection whose line was not completed in time. While queries are open, it restarts the timer instead.
func (c *client) lineTimedOut() {
	c.lineTimer = nil
	ended := c.linesEnded
	deliverWhile(func() bool { return c.conn.IsOpen() && c.linesEnded == ended }, c.conn.DeliverPending)
	switch {
	case !c.conn.IsOpen() || c.line.Used() == 0 || c.linesEnded != ended:
	case len(c.requests) == 0:
		c.close("incomplete line")
	case c.lineTimer == nil:
		c.startLineTimer()
	}
}

// connection implements closableConn and inputClient.
func (c *client) connection() *eventloop.Conn { return c.conn }

// incompleteBytes implements inputClient.
func (c *client) incompleteBytes() int { return c.line.Used() }

// lastInputAt implements inputClient.
func (c *client) lastInputAt() time.Duration { return c.inputAt }

// giveUpInput implements inputClient.
func (c *client) giveUpInput() {
	c.stopReading(errIncompleteLines)
	c.restartIdleTimer()
}
