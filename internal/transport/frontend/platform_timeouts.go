package frontend

// restartIdleTimer restarts the idle timeout if no query is open. It does nothing before the first request, for which the request timeout is
// running.
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
	if c.readStopped {
		c.close("input rejected")
		return
	}
	if c.listener.closeAfterResponses && c.responded { // deferred, since the current read may contain further requests
		c.idleTimer = loop.After(0, func() { c.shutdownIfIdle(0) })
		return
	}
	c.idleTimer = loop.After(idleTimeout, func() { c.closeIfIdle("idle") })
}

// requestTimedOut closes a connection whose client has not sent a request in time.
func (c *client) requestTimedOut() {
	c.conn.DeliverPending()
	if c.conn.IsOpen() && !c.sentRequest {
		c.close("no request")
	}
}

// updateLineTimer starts or stops the timer for the rest of an incomplete line. Each line has its own timeout: lineEnded is true if the bytes
// just received completed a line, so that the incomplete line, if any, is a new one. It reports whether the memory of the line is admitted.
func (c *client) updateLineTimer(lineEnded bool) (admitted bool) {
	incomplete := c.session.BufferedBytes()
	admitted = c.line.Set(incomplete)
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
