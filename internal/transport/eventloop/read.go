package eventloop

import (
	"errors"
	"io"
	"syscall"
)

const peekBufferSize = 512 // bytes

// readLoop is the reader goroutine. It waits until the loop has handled the bytes of a read before it reads again.
func (c *Conn) readLoop() {
	buf := make([]byte, readBufferSize)
	handled := make(chan struct{}, 1)
	deliver := func() {
		c.deliver()
		handled <- struct{}{}
	}
	for {
		wanted, err := c.receive(buf)
		if wanted && !c.loop.postAndWait(deliver, handled) {
			return
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

// receive waits for bytes and buffers them, and reports whether there are some for the handler. The read from the socket and the
// buffering are one step under the lock, so that Peek finds bytes either in the buffer or in the socket.
func (c *Conn) receive(buf []byte) (wanted bool, err error) {
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
		wanted = c.bufferReceived(buf[:n])
		c.eof = c.eof || err != nil
		return true
	})
	if err == nil {
		err = rawErr
	}
	return wanted, err
}

// bufferReceived buffers bytes for the handler and reports whether it did. Bytes received after the connection was ended are
// discarded. The caller holds the lock.
func (c *Conn) bufferReceived(b []byte) bool {
	if c.phase != connOpen || len(b) == 0 {
		return false
	}
	if c.received == nil {
		c.received = b[:len(b):len(b)] // not copied: the reader does not reuse its buffer before they are delivered
	} else {
		c.received = append(c.received, b...)
	}
	return true
}

// readAvailable reads without blocking: it returns EAGAIN if nothing is available, and io.EOF at the end.
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

// Peek reads what is available in the socket without passing it to the handler, which may be in the middle of something. It
// reports whether bytes wait for the handler, and whether the peer has ended its side.
func (c *Conn) Peek() (pending, eof bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connOpen || c.raw == nil {
		return len(c.received) > 0, c.eof
	}
	read := false
	for !c.eof && len(c.received) < maxPeekBytes {
		var n int
		var err error
		buf := make([]byte, peekBufferSize)
		controlErr := c.raw.Control(func(fd uintptr) { n, err = readAvailable(fd, buf) })
		if controlErr != nil || errors.Is(err, syscall.EAGAIN) {
			break
		}
		read = c.bufferReceived(buf[:n]) || read
		c.eof = err != nil
	}
	if read {
		c.loop.After(0, c.deliver)
	}
	return len(c.received) > 0, c.eof
}

// DeliverPending passes all bytes received so far to the handler, and the end of the connection, and returns true if there was
// nothing to deliver. Such a connection may be half-closed at once: later bytes were sent before the peer saw the half-close.
func (c *Conn) DeliverPending() bool {
	pending, eof := c.Peek()
	if eof {
		c.connectionLost(io.EOF)
	}
	c.deliver()
	return !pending && c.IsOpen()
}

// deliver passes received bytes to the handler.
func (c *Conn) deliver() {
	for c.IsOpen() {
		c.mu.Lock()
		b := c.received
		c.received = nil
		c.mu.Unlock()
		if len(b) == 0 {
			return
		}
		c.handler.Data(b)
	}
}

// Pause stops reading, after the present read, until Resume.
func (c *Conn) Pause() { c.setPaused(true) }

// Resume continues reading.
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
