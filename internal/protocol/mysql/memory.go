package mysql

// guaranteedBytes is the memory that each client connection, and each result, may hold even if all together exceed their limit.
const guaranteedBytes = 16 << 10

// Memory limits what a listener's client connections together hold while no query runs (incomplete packets, pipelined commands, prepared
// statements, their long data, and the session's names), and the metadata of results that is held back. Open queries are not included.
type Memory struct {
	limit int // bytes
	used  int // bytes
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// Used returns the bytes that are held.
func (m *Memory) Used() int { return m.used }

// admits reports whether a holder of this many bytes may hold more.
func (m *Memory) admits(held, more int) bool {
	return held+more <= guaranteedBytes || m.used+more <= m.limit
}

// report replaces the number of bytes that a holder has reported.
func (m *Memory) report(reported *int, held int) {
	m.used += held - *reported
	*reported = held
}

// bytesHeld returns the memory that the connection holds while no query runs.
func (c *ServerConn) bytesHeld() int {
	total := len(c.packets.buf) + len(c.user) + len(c.schema) + len(c.idempotencyKey)
	for _, s := range c.statements {
		total += s.bytesHeld()
	}
	return total
}

// mayHold reports whether the connection may hold this many bytes more.
func (c *ServerConn) mayHold(more int) bool {
	c.memory.report(&c.reportedBytes, c.bytesHeld())
	return c.memory.admits(c.reportedBytes, more)
}

// limitMemory closes the connection if it holds more than is admitted, and more than at the last report.
func (c *ServerConn) limitMemory() {
	if c.state == stateClosed {
		return
	}
	held := c.bytesHeld()
	admitted := held <= c.reportedBytes || c.memory.admits(c.reportedBytes, held-c.reportedBytes)
	c.memory.report(&c.reportedBytes, held)
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
	c.memory.report(&c.reportedBytes, 0)
}
