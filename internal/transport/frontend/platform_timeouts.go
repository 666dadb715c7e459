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
	c.idleTimer = c.conn.After(idleTimeout, func() { c.closeIfIdle("idle") })
}

// requestTimedOut closes a connection whose client has not sent a request in time.
func (c *client) requestTimedOut() {
	deliverWhile(func() bool { return c.conn.IsOpen() && !c.sentRequest }, c.conn.DeliverPending)
	if c.conn.IsOpen() && !c.sentRequest {
		c.close("no request")
	}
}
