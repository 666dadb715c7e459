package frontend

// restartIdleTimer restarts the idle timeout if no query is open. A connection that has not sent a request yet keeps the timer of
// its first request.
func (c *client) restartIdleTimer() {
	if !c.sentRequest {
		return
	}
	loop := c.listener.dispatcher.Loop
	c.idleTimer.Stop()
	c.idleSince = loop.Now()
	if len(c.requests) > 0 {
		return
	}
	if c.framingLost {
		c.close("no more lines can be read")
		return
	}
	if c.listener.closesAfterResponses && c.responded { // behind the present read, which may hold further requests
		c.idleTimer = loop.After(0, func() { c.shutdownIfIdle(0) })
		return
	}
	c.idleTimer = loop.After(idleTimeout, func() { c.closeIfIdle("idle") })
}

// requestTimedOut closes a connection that has not sent a request in time.
func (c *client) requestTimedOut() {
	c.conn.DeliverPending()
	if c.conn.IsOpen() && !c.sentRequest {
		c.close("no request")
	}
}

// updateLineTimer keeps the timer for the rest of an incomplete line. Each line has its own timer: lineEnded reports that the bytes
// just received completed a line, so that what is incomplete now is another one.
func (c *client) updateLineTimer(lineEnded bool) {
	incomplete := c.session.BufferedBytes()
	c.listener.incompleteBytes += incomplete - c.incompleteBytes
	c.incompleteBytes = incomplete
	if lineEnded || incomplete == 0 {
		c.lineTimer.Stop()
		c.lineTimer = nil
	}
	if incomplete > 0 && c.lineTimer == nil {
		c.startLineTimer()
	}
}

func (c *client) startLineTimer() {
	c.lineTimer = c.listener.dispatcher.Loop.After(c.listener.requestTimeout, c.lineTimedOut)
}

// lineTimedOut closes a connection whose line was not completed in time, once its queries have their response.
func (c *client) lineTimedOut() {
	c.lineTimer = nil
	c.conn.DeliverPending() // may complete the line
	switch {
	case !c.conn.IsOpen() || c.incompleteBytes == 0:
	case len(c.requests) == 0:
		c.close("incomplete line")
	case c.lineTimer == nil:
		c.startLineTimer()
	}
}
