package eventloop

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Handler is what a connection tells, on the loop.
type Handler interface {
	Data(b []byte)    // valid until it returns
	Closed(err error) // once, and not after Close or Finish
}

var errSlow = errors.New("peer reads too slowly")

const (
	readSize    = 8 << 10
	peekMost    = 64 << 10         // bytes read ahead of the owner in search of the connection's end
	fairWaiting = 64 << 10         // bytes that may wait on one connection when all together hold too many
	writeWait   = 10 * time.Second // a peer that takes nothing for so long is gone
	lingerFor   = 2 * time.Second  // after a half-close: a peer that is there ends its side within a round trip
)

// phase is where a connection is in its life. It only goes forward, and only the loop moves it.
type phase uint8

const (
	connOpen      phase = iota // bytes go both ways
	connFlushing               // what waits is written; what comes is read and dropped
	connLingering              // half-closed: what comes is read and dropped until the peer ends it too
	connEnded
)

// Conn is a connection with a reader and a writer of its own.
type Conn struct {
	nc     net.Conn
	raw    syscall.RawConn // nil where the connection is no socket
	loop   *Loop
	owner  Handler
	limit  int    // bytes that may wait to be written
	gone   func() // runs on the loop once the descriptor is given back; may be nil
	wait   *Timer // for the peer's end while lingering
	linger time.Duration

	mu      sync.Mutex
	phase   phase  // read by the loop, or under mu
	arrived []byte // read, and not yet handed to the owner
	eof     bool   // the peer sends nothing more
	pending [][]byte
	waiting int
	wake    chan struct{}
	paused  bool
	resume  chan struct{}
	drained func() // runs on the loop when all has been written
}

// NewConn starts reading and writing. It is called on the loop.
func NewConn(loop *Loop, nc net.Conn, owner Handler, limit int) *Conn {
	c := &Conn{nc: nc, loop: loop, owner: owner, limit: limit, linger: lingerFor, wake: make(chan struct{}, 1),
		resume: make(chan struct{}, 1)}
	if s, ok := nc.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	go c.read()
	go c.write()
	return c
}

// IsOpen reports whether the owner may still use it. It is called on the loop.
func (c *Conn) IsOpen() bool { return c.phase == connOpen }

// moveTo is the only place that changes the phase.
func (c *Conn) moveTo(p phase) {
	c.mu.Lock()
	c.phase = max(c.phase, p)
	c.mu.Unlock()
}

func (c *Conn) read() {
	buf := make([]byte, readSize)
	done := make(chan struct{}, 1)
	take := func() { c.deliver(); done <- struct{}{} }
	for {
		wanted, err := c.receive(buf)
		if wanted && !c.loop.wait(take, done) {
			return
		}
		if err != nil {
			c.loop.Post(func() { c.lost(err) })
			return
		}
		c.mu.Lock()
		wait := c.paused
		c.mu.Unlock()
		if wait {
			select {
			case <-c.resume:
			case <-c.loop.done:
			}
		}
	}
}

// receive waits for bytes and notes them as arrived in one step with reading them: whoever looks under the lock either
// finds them there or still in the socket, never in between. It reports whether the owner wants them.
func (c *Conn) receive(buf []byte) (wanted bool, err error) {
	if c.raw == nil {
		n, err := c.nc.Read(buf)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.note(buf[:n]), err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		var n int
		if n, err = readNow(fd, buf); errors.Is(err, syscall.EAGAIN) {
			return false
		}
		wanted = c.note(buf[:n])
		c.eof = c.eof || err != nil
		return true
	})
	if err == nil {
		err = rawErr
	}
	return wanted, err
}

// note keeps bytes for the owner, under the lock. Once the connection is being shut nobody wants them.
func (c *Conn) note(b []byte) bool {
	if c.phase != connOpen || len(b) == 0 {
		return false
	}
	if c.arrived == nil {
		c.arrived = b[:len(b):len(b)] // the reader leaves them alone until they are handed over
	} else {
		c.arrived = append(c.arrived, b...)
	}
	return true
}

// readNow reads what is there: EAGAIN if nothing is, io.EOF at the end.
func readNow(fd uintptr, buf []byte) (int, error) {
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

// peek reads what is in the socket by now, without handing it over: the owner may be in the middle of something. It
// reports whether anything waits for the owner, and whether the peer has ended its side. It is called on the loop.
func (c *Conn) Peek() (some, eof bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connOpen || c.raw == nil {
		return len(c.arrived) > 0, c.eof
	}
	read := false
	for !c.eof && len(c.arrived) < peekMost {
		var n int
		var err error
		buf := make([]byte, 512)
		if c.raw.Control(func(fd uintptr) { n, err = readNow(fd, buf) }) != nil || errors.Is(err, syscall.EAGAIN) {
			break
		}
		read = c.note(buf[:n]) || read
		c.eof = err != nil
	}
	if read {
		c.loop.After(0, c.deliver)
	}
	return len(c.arrived) > 0, c.eof
}

// DeliverPending hands the owner all bytes received so far, and the end of the connection, and returns true if there was
// nothing to deliver. Such a connection may be half-closed at once: later bytes were sent before the peer saw the half-close.
func (c *Conn) DeliverPending() bool {
	some, eof := c.Peek()
	if eof {
		c.lost(io.EOF)
	}
	c.deliver()
	return !some && c.IsOpen()
}

// deliver hands over what has arrived; on the loop.
func (c *Conn) deliver() {
	for c.IsOpen() {
		c.mu.Lock()
		b := c.arrived
		c.arrived = nil
		c.mu.Unlock()
		if len(b) == 0 {
			return
		}
		c.owner.Data(b)
	}
}

// lost tells the owner that the connection ended, unless the owner ended it.
func (c *Conn) lost(err error) {
	c.deliver() // what came before the end
	switch c.phase {
	case connOpen:
		c.close()
		c.owner.Closed(err)
	case connFlushing: // the peer sends nothing more, but may still read
		c.mu.Lock()
		c.eof = true
		c.mu.Unlock()
	case connLingering:
		c.close()
	}
}

func (c *Conn) write() {
	for range c.wake {
		c.mu.Lock()
		bufs, now := net.Buffers(c.pending), c.phase
		c.pending = nil
		c.mu.Unlock()
		size := 0
		for _, b := range bufs {
			size += len(b)
		}
		if size > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeWait))
			if _, err := bufs.WriteTo(c.nc); err != nil {
				c.loop.Post(func() {
					c.lost(err)
					c.Close() // one that was to end when all is written is not told, but its bytes count no more
				})
				return
			}
		}
		c.mu.Lock()
		if c.phase != connEnded {
			c.waiting -= size
			c.loop.waiting.Add(-int64(size))
		}
		empty, tell := c.waiting == 0, c.drained
		c.mu.Unlock()
		switch {
		case now == connEnded:
			return
		case empty && now == connFlushing:
			c.halfClose()
			return
		case empty && tell != nil:
			c.loop.Post(tell)
		}
	}
}

// halfClose tells the peer that nothing more comes. The connection is closed when the peer has ended its side too: a
// close over unread bytes resets it, and the peer may lose what it was sent before.
func (c *Conn) halfClose() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		c.loop.Post(c.Close)
		return
	}
	c.loop.Post(func() {
		switch _, eof := c.Peek(); {
		case c.phase != connFlushing:
			return
		case eof:
			c.Close()
			return
		}
		c.moveTo(connLingering)
		c.wait = c.loop.After(c.linger, c.Close)
	})
}

// Write queues bytes, which must not be changed afterwards. A peer that lets too many wait is cut off.
func (c *Conn) Write(b []byte) {
	if !c.IsOpen() {
		return
	}
	c.mu.Lock()
	c.pending = append(c.pending, b)
	c.waiting += len(b)
	all := c.loop.waiting.Add(int64(len(b)))
	over := c.waiting > c.limit || all > c.loop.room && c.waiting > fairWaiting
	c.mu.Unlock()
	if over {
		c.loop.After(0, func() {
			if c.IsOpen() {
				c.lost(errSlow)
			}
		})
		return
	}
	c.signal()
}

// Waiting is how many bytes wait to be written.
func (c *Conn) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// OnDrained sets what runs on the loop whenever all has been written.
func (c *Conn) OnDrained(f func()) {
	c.mu.Lock()
	c.drained = f
	c.mu.Unlock()
}

// Pause stops reading after what is being read now, until Resume.
func (c *Conn) Pause() { c.setPaused(true) }

// Resume goes on reading.
func (c *Conn) Resume() {
	c.setPaused(false)
	select {
	case c.resume <- struct{}{}:
	default:
	}
}

func (c *Conn) setPaused(p bool) {
	c.mu.Lock()
	c.paused = p
	c.mu.Unlock()
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Finish half-closes the connection when all is written, and closes it when the peer has ended its side too; the owner
// hears no more of it.
func (c *Conn) Finish() {
	if !c.IsOpen() {
		return
	}
	c.moveTo(connFlushing)
	c.Resume()
	c.signal()
}

// Close closes the connection now; the owner hears no more of it.
func (c *Conn) Close() {
	if c.phase != connEnded {
		c.close()
	}
}

func (c *Conn) close() {
	c.wait.Stop()
	c.moveTo(connEnded)
	c.nc.Close()
	c.Resume()
	c.mu.Lock()
	c.loop.waiting.Add(-int64(c.waiting))
	c.pending, c.arrived, c.waiting = nil, nil, 0
	c.mu.Unlock()
	c.signal()
	if c.gone != nil {
		c.loop.After(0, c.gone)
	}
}

// OnReleased sets what runs on the loop once the descriptor has been given back.
func (c *Conn) OnReleased(f func()) { c.gone = f }

// IsLingering reports whether the connection is half-closed and waits for the peer to end its side. It is called on the loop.
func (c *Conn) IsLingering() bool { return c.phase == connLingering }

// IsEnded reports whether the connection is closed. It is called on the loop.
func (c *Conn) IsEnded() bool { return c.phase == connEnded }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// SetWriteLimit sets how many bytes may wait to be written before the peer is cut off as too slow. It is called on the loop.
func (c *Conn) SetWriteLimit(bytes int) { c.limit = bytes }

// SetLingerTimeout sets how long a half-closed connection waits for the peer to end its side. It is called on the loop.
func (c *Conn) SetLingerTimeout(d time.Duration) { c.linger = d }
