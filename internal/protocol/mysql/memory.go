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

// limitMemory closes the connection if it holds more than is admitted.
func (c *ServerConn) limitMemory() {
	if c.state == stateClosed || c.memory.Set(c.memoryUsed()) {
		return
	}
	if c.state != stateRunning { // otherwise the client would read the error as a part of the result
		c.sendError(c.errorSequenceID(), erOutOfResources, "all clients together hold too much memory")
	}
	c.closeConnection()
}

// Release frees the memory of a connection that has ended. The connection handles nothing afterwards.
func (c *ServerConn) Release() {
	c.state = stateClosed
	c.memory.Set(0)
}
