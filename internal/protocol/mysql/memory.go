package mysql

// memoryUsed returns the memory that the connection holds while no query runs: an incomplete packet, pipelined commands, prepared
// statements with their long data, and the session's names.
func (c *ServerConn) memoryUsed() int {
	total := len(c.packets.buf) + len(c.user) + len(c.schema) + len(c.idempotencyKey)
	for _, s := range c.statements {
		total += s.memoryUsed()
	}
	return total
}

// mayHold reports whether the connection may hold this many bytes more.
func (c *ServerConn) mayHold(more int) bool {
	c.memory.Set(c.memoryUsed())
	return c.memory.Admits(more)
}

// limitMemory closes the connection if it holds more than is admitted. While a query runs, its client must get its result first.
func (c *ServerConn) limitMemory() {
	switch {
	case c.state == stateClosed || c.memory.Set(c.memoryUsed()):
	case c.state == stateRunning:
		c.refuseInput()
	case c.makeRoom != nil && c.makeRoom():
	default:
		c.closeForMemory()
	}
}

// refuseInput drops the commands that arrived while a query runs, and ignores later ones. The connection is closed after the query.
func (c *ServerConn) refuseInput() {
	c.inputRefused = true
	c.packets.buf = nil
	c.memory.Set(c.memoryUsed())
}

// closeForMemory closes the connection with an error, which answers the command that is being received.
func (c *ServerConn) closeForMemory() {
	c.sendError(c.errorSequenceID(), erOutOfResources, "all clients together hold too much memory")
	c.closeConnection()
}

// OnMemoryExceeded sets a function that is called when the connection holds more than is admitted. It gives up incomplete packets of other
// connections, and reports whether the connection may now hold its memory; otherwise it is closed with an error.
func (c *ServerConn) OnMemoryExceeded(makeRoom func() bool) { c.makeRoom = makeRoom }

// IncompleteBytes returns the memory of an incomplete packet. It returns 0 while a query runs.
func (c *ServerConn) IncompleteBytes() int {
	if c.state == stateRunning || c.state == stateClosed {
		return 0
	}
	return len(c.packets.buf)
}

// GiveUpInput closes the connection with an error in place of the response to an incomplete packet.
func (c *ServerConn) GiveUpInput() []Event {
	if c.state != stateClosed {
		c.closeForMemory()
	}
	return c.takeEvents()
}

// Release frees the memory of a connection that has ended. The connection handles nothing afterwards.
func (c *ServerConn) Release() {
	c.state = stateClosed
	c.memory.Set(0)
}
