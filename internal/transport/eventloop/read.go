package eventloop

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const peekBufferSize = 512 // bytes; further ones have readBufferSize

// readLoop is the reader goroutine. After each read it waits until the loop has handled the bytes before it reads again.
func (c *Conn) readLoop() {
	buf := make([]byte, readBufferSize)
	handled := make(chan struct{}, 1)
	deliver := func() {
		c.deliver()
		handled <- struct{}{}
	}
	for {
		c.reading.Store(true)
		buffered, err := c.receive(buf)
		c.reading.Store(false)
		if buffered {
			c.postRead(deliver)
			if !c.loop.waitFor(handled) {
				return
			}
		}
		if err != nil {
			c.loop.Post(func() { c.connectionLost(err) })
			return
		}
		c.mu.Lock()
		paused := c.paused
		c.mu.Unlock()
		if paused {
			select {
			case <-c.resumeSignal:
			case <-c.loop.done:
			}
		}
	}
}

// postRead queues the delivery of received bytes.
func (c *Conn) postRead(deliver func()) {
	postedAt := c.loop.Now()
	c.post(func() {
		c.loop.readDelay = c.loop.Now() - postedAt
		deliver()
		c.loop.readDelay = 0
	})
}

// post queues a function for the loop, in the order of ShareLoop if it was called.
func (c *Conn) post(f func()) {
	c.mu.Lock()
	sharesLoop, usage := c.sharesLoop, c.usage.valueAt(c.loop.Now())
	c.mu.Unlock()
	if sharesLoop {
		c.loop.reads.push(usage, f)
		return
	}
	c.loop.Post(f)
}

// ShareLoop makes the loop handle received bytes after its other work, and before those of connections that have used it for longer lately.
// It is meant for the connections of clients, of which some may send at full speed.
func (c *Conn) ShareLoop() {
	c.mu.Lock()
	c.sharesLoop = true
	c.mu.Unlock()
}

// After calls f on the loop once d has elapsed, in the order of ShareLoop. It is meant for functions that read what the peer has sent.
func (c *Conn) After(d time.Duration, f func()) *Timer {
	return after(d, func() { c.callForPeer(f) }, c.post)
}

// callForPeer calls a function and records that it has used the loop for the connection.
func (c *Conn) callForPeer(f func()) {
	startedAt := c.loop.Now()
	f()
	c.recordUsage(startedAt)
}

// receive reads bytes, waiting for some if necessary, and buffers them. It reports whether any were buffered for the handler. The read
// from the socket and the buffering are a single critical section, so that Peek finds each byte either in the buffer or in the socket.
func (c *Conn) receive(buf []byte) (buffered bool, err error) {
	if c.raw == nil {
		n, err := c.nc.Read(buf)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.bufferReceived(buf[:n]), err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		var n int
		if n, err = readAvailable(fd, buf); errors.Is(err, syscall.EAGAIN) {
			return false
		}
		buffered = c.bufferReceived(buf[:n])
		c.eof = c.eof || err != nil
		return true
	})
	if err == nil {
		err = rawErr
	}
	return buffered, err
}

// bufferReceived buffers bytes for the handler and reports whether it did. Bytes received after Close or CloseGracefully are discarded.
// The caller holds c.mu.
func (c *Conn) bufferReceived(b []byte) bool {
	if c.phase != connOpen || len(b) == 0 {
		return false
	}
	if c.received == nil {
		c.received = b[:len(b):len(b)] // not copied: the reader does not reuse its buffer before delivery
	} else {
		c.received = append(c.received, b...)
	}
	return true
}

// readAvailable reads without blocking: it returns EAGAIN if no bytes are available, and io.EOF if the peer has closed its side.
func readAvailable(fd uintptr, buf []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), buf)
		switch {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// Peek reads the bytes that are available in the socket into the receive buffer, and schedules their delivery on the loop instead of
// calling the handler directly, since the handler may be the caller. It reports whether bytes are pending for the handler, and whether
// the peer has closed its side.
func (c *Conn) Peek() (pending, eof bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connOpen || c.raw == nil {
		return len(c.received) > 0, c.eof
	}
	anyBuffered, bufferSize := false, peekBufferSize
	for !c.eof && len(c.received) < maxPeekBytes {
		var n int
		var err error
		buf := make([]byte, bufferSize)
		controlErr := c.raw.Control(func(fd uintptr) { n, err = readAvailable(fd, buf) })
		if controlErr != nil || errors.Is(err, syscall.EAGAIN) {
			break
		}
		anyBuffered = c.bufferReceived(buf[:n]) || anyBuffered
		c.eof = err != nil
		bufferSize = readBufferSize
	}
	if anyBuffered {
		c.After(0, c.deliver)
	}
	return len(c.received) > 0, c.eof
}

// PeerClosed reports whether the peer has closed its side, also if bytes that it sent before have not been read.
func (c *Conn) PeerClosed() bool {
	return c.pollEvents(unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// HasInput reports whether bytes from the peer, or its close, have not been handled.
func (c *Conn) HasInput() bool {
	c.mu.Lock()
	received := len(c.received)
	c.mu.Unlock()
	return received > 0 || c.pollEvents(unix.POLLIN) != 0
}

// pollEvents returns the events of the connection, without waiting: some of the given ones, a hang-up or an error.
func (c *Conn) pollEvents(events int16) (found int16) {
	if c.raw == nil {
		return 0
	}
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			found = fds[0].Revents
		}
	})
	if err != nil {
		return unix.POLLERR // the connection is closed
	}
	return found
}

// CloseIfPeerLeft closes the connection, without handling the bytes that have not been delivered, if the peer has closed its side and the
// reader is not about to notice it, because it is paused or waits for the loop.
func (c *Conn) CloseIfPeerLeft() {
	if c.IsOpen() && !c.reading.Load() && c.PeerClosed() {
		c.close()
		c.handler.Closed(io.EOF)
	}
}

// DeliverPending passes all bytes received so far, and EOF, to the handler. It returns true if there was nothing to deliver and the
// connection is open. The caller may then half-close it immediately: bytes that arrive later were sent before the peer saw the
// half-close.
func (c *Conn) DeliverPending() bool {
	pending, eof := c.Peek()
	if eof {
		c.connectionLost(io.EOF)
	}
	c.deliver()
	return !pending && c.IsOpen()
}

// deliver passes the buffered bytes to the handler.
func (c *Conn) deliver() {
	for c.IsOpen() {
		c.mu.Lock()
		b := c.received
		c.received = nil
		c.mu.Unlock()
		if len(b) == 0 {
			return
		}
		c.callForPeer(func() { c.handler.Data(b) })
	}
}

// recordUsage records that the loop was used for the connection since startedAt.
func (c *Conn) recordUsage(startedAt time.Duration) {
	now := c.loop.Now()
	c.mu.Lock()
	c.usage.add(now, now-startedAt)
	c.mu.Unlock()
}

// Pause stops reading after the current read, until Resume is called.
func (c *Conn) Pause() { c.setPaused(true) }

// Resume resumes reading after Pause.
func (c *Conn) Resume() {
	c.setPaused(false)
	select {
	case c.resumeSignal <- struct{}{}:
	default:
	}
}

func (c *Conn) setPaused(paused bool) {
	c.mu.Lock()
	c.paused = paused
	c.mu.Unlock()
}
