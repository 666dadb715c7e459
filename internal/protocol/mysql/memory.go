package mysql

// guaranteedBytes is the memory that each client connection may hold even if all connections together exceed their limit.
const guaranteedBytes = 16 << 10

// Memory limits what all client connections of a listener hold while no query runs: incomplete packets, pipelined commands, prepared
// statements, their long data, and the session's names. Open queries are not included.
type Memory struct {
	limit int // bytes
	used  int // bytes
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// Used returns the bytes that all connections hold.
func (m *Memory) Used() int { return m.used }

// admits reports whether a connection that holds this many bytes may hold more.
func (m *Memory) admits(held, more int) bool {
	return held+more <= guaranteedBytes || m.used+more <= m.limit
}

// bytesHeld returns the memory that the connection holds while no query runs.
func (c *ServerConn) bytesHeld() int {
	total := len(c.packets.buf) + len(c.user) + len(c.schema) + len(c.idempotencyKey)
	for _, s := range c.statements {
		total += s.bytesHeld()
	}
	return total
}

// reportMemory updates the memory that the connection has reported to its listener's Memory.
func (c *ServerConn) reportMemory(held int) {
	c.memory.used += held - c.reportedBytes
	c.reportedBytes = held
}

// mayHold reports whether the connection may hold this many bytes more.
func (c *ServerConn) mayHold(more int) bool {
	c.reportMemory(c.bytesHeld())
	return c.memory.admits(c.reportedBytes, more)
}

// limitMemory closes the connection if it holds more than is admitted, and more than at the last report.
func (c *ServerConn) limitMemory() {
	if c.state == stateClosed {
		return
	}
	held := c.bytesHeld()
	admitted := held <= c.reportedBytes || c.memory.admits(c.reportedBytes, held-c.reportedBytes)
	c.reportMemory(held)
	if admitted {
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
	c.reportMemory(0)
}
