package eventloop

import (
	"net"
	"time"
)

// Write queues bytes, which must not be modified afterwards. The connection is closed if its queue exceeds its write limit, or if the
// loop's write budget is exceeded and its queue is longer than guaranteedQueueBytes.
func (c *Conn) Write(b []byte) {
	if !c.IsOpen() {
		return
	}
	c.mu.Lock()
	c.writeQueue = append(c.writeQueue, b)
	c.queuedBytes += len(b)
	total := c.loop.queuedBytes.Add(int64(len(b)))
	overLimit := c.queuedBytes > c.writeLimit || total > c.loop.writeBudget && c.queuedBytes > guaranteedQueueBytes
	c.mu.Unlock()
	if overLimit {
		c.loop.After(0, func() {
			if c.IsOpen() {
				c.connectionLost(errSlowPeer)
			}
		})
		return
	}
	c.signalWriter()
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
		c.loop.queuedBytes.Add(-int64(size))
	}
	return c.queuedBytes == 0, c.onDrained
}
