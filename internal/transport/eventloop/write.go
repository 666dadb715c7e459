package eventloop

import (
	"net"
	"time"
)

// Write queues bytes, which must not be modified afterwards. The connection is closed if its queue exceeds its write limit. If the loop's
// write budget is exceeded and the connection's queue is longer than guaranteedQueueBytes, connections are closed whose peers have accepted
// nothing for the longest time.
func (c *Conn) Write(b []byte) {
	if !c.IsOpen() {
		return
	}
	c.mu.Lock()
	if c.queuedBytes == 0 {
		c.waitingSince = c.loop.Now()
	}
	c.writeQueue = append(c.writeQueue, b)
	c.queuedBytes += len(b)
	total := c.loop.queuedBytes.Add(int64(len(b)))
	queued := c.queuedBytes
	c.mu.Unlock()
	if queued > c.writeLimit {
		c.loop.After(0, c.closeSlowPeer)
		return
	}
	c.signalWriter()
	if queued > guaranteedQueueBytes {
		c.loop.longQueues[c] = true
		if total > c.loop.writeBudget {
			c.loop.enforceWriteBudget()
		}
	}
}

// closeSlowPeer closes the connection because its peer reads too slowly.
func (c *Conn) closeSlowPeer() {
	if c.IsOpen() {
		c.connectionLost(errSlowPeer)
		return
	}
	c.Close()
}

// enforceWriteBudget closes connections with long queues until the others are within the write budget, those first whose peers have accepted
// nothing for the longest time: a peer that reads must not pay for what others leave unread. They are closed after the current call.
func (l *Loop) enforceWriteBudget() {
	excess := l.queuedBytes.Load() - l.writeBudget
	for c := range l.longQueues {
		if c.slowPeer {
			excess -= int64(c.QueuedBytes())
		}
	}
	for excess > 0 {
		c, queued := l.longestWaitingQueue()
		if c == nil {
			return
		}
		c.slowPeer = true
		excess -= int64(queued)
		l.After(0, c.closeSlowPeer)
	}
}

// longestWaitingQueue returns the connection with more than guaranteedQueueBytes queued whose peer has accepted nothing for the longest time,
// except those that are about to be closed, and the size of its queue. It returns nil if there is none.
func (l *Loop) longestWaitingQueue() (found *Conn, queuedBytes int) {
	var foundSince time.Duration
	for c := range l.longQueues {
		c.mu.Lock()
		queued, since := c.queuedBytes, c.waitingSince
		c.mu.Unlock()
		if !c.slowPeer && queued > guaranteedQueueBytes && (found == nil || since < foundSince) {
			found, queuedBytes, foundSince = c, queued, since
		}
	}
	return found, queuedBytes
}

// QueuedBytes returns the number of bytes that have not been written yet.
func (c *Conn) QueuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedBytes
}

// OnDrained sets a function that is called on the loop whenever all queued bytes have been written.
func (c *Conn) OnDrained(f func()) {
	c.mu.Lock()
	c.onDrained = f
	c.mu.Unlock()
}

func (c *Conn) signalWriter() {
	select {
	case c.writeSignal <- struct{}{}:
	default:
	}
}

// writeLoop is the writer goroutine.
func (c *Conn) writeLoop() {
	for range c.writeSignal {
		bufs, size, phase := c.drainWriteQueue()
		if size > 0 {
			if err := c.writeBuffers(bufs); err != nil {
				c.loop.Post(func() {
					c.connectionLost(err)
					c.Close() // connectionLost leaves a flushing connection open; Close also releases its share of the write budget
				})
				return
			}
		}
		drained, onDrained := c.markWritten(size)
		switch {
		case phase == connClosed:
			return
		case drained && phase == connFlushing:
			c.closeWrite()
			return
		case drained && onDrained != nil:
			c.loop.Post(onDrained)
		}
	}
}

// drainWriteQueue empties the queue and returns its buffers, their total size in bytes and the current phase.
func (c *Conn) drainWriteQueue() (bufs net.Buffers, size int, phase phase) {
	c.mu.Lock()
	bufs, phase = c.writeQueue, c.phase
	c.writeQueue = nil
	c.mu.Unlock()
	for _, b := range bufs {
		size += len(b)
	}
	return bufs, size, phase
}

func (c *Conn) writeBuffers(bufs net.Buffers) error {
	// SetWriteDeadline fails only on a closed connection, and then the write fails too.
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := bufs.WriteTo(c.nc)
	return err
}

// markWritten subtracts written bytes from the queue size. It reports whether all queued bytes are written, and returns the function to
// call in this case.
func (c *Conn) markWritten(size int) (drained bool, onDrained func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connClosed { // otherwise close has already subtracted them
		c.queuedBytes -= size
		c.waitingSince = c.loop.Now()
		c.loop.queuedBytes.Add(-int64(size))
	}
	return c.queuedBytes == 0, c.onDrained
}
