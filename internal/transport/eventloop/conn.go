package eventloop

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Handler receives the events of a connection. Its methods are called on the loop.
type Handler interface {
	// Data is called with received bytes, which are valid until it returns.
	Data(b []byte)
	// Closed is called once when the connection has ended, unless the owner has ended it with Close or CloseGracefully.
	Closed(err error)
}

// errSlowPeer is passed to Handler.Closed when the peer does not read and its queue is over the limit.
var errSlowPeer = errors.New("peer reads too slowly")

const (
	readBufferSize       = 8 << 10          // bytes
	maxPeekBytes         = 64 << 10         // read ahead of the handler in search of the connection's end
	fairQueuedBytes      = 64 << 10         // a connection may queue this much even if the loop's write budget is used up
	writeTimeout         = 10 * time.Second // a peer that accepts no byte for so long is gone
	defaultLingerTimeout = 2 * time.Second  // a peer that is there ends its side within a round trip of the half-close
)

// phase is the state of a connection. Only the loop changes it, and only forward.
type phase uint8

const (
	connOpen      phase = iota // both directions are in use
	connFlushing               // queued bytes are written; received bytes are discarded
	connLingering              // half-closed: received bytes are discarded until the peer ends its side
	connClosed
)

// Conn is a connection whose reads and writes block on two goroutines of its own, and whose events are handled on the loop. Its
// methods are called on the loop. Both goroutines end after the connection is closed.
type Conn struct {
	nc            net.Conn
	raw           syscall.RawConn // nil where the connection is not a socket
	loop          *Loop
	handler       Handler
	writeLimit    int    // bytes that may be queued
	onReleased    func() // nil, or called on the loop after the descriptor was closed
	onLingering   func() // nil, or called on the loop after the half-close
	lingerTimeout time.Duration
	lingerTimer   *Timer

	writeSignal  chan struct{} // of capacity 1: wakes the writer
	resumeSignal chan struct{} // of capacity 1: wakes a paused reader

	mu          sync.Mutex
	phase       phase    // written by the loop under mu, read by the loop, or under mu
	received    []byte   // not yet passed to the handler
	eof         bool     // the peer has ended its side
	writeQueue  [][]byte // not yet taken by the writer
	queuedBytes int      // in writeQueue, or being written
	paused      bool     // the reader waits for resumeSignal after its present read
	onDrained   func()   // nil, or called on the loop whenever all bytes have been written
}

// NewConn takes over nc and starts its reader and writer. At most writeLimit bytes may be queued for the peer.
func NewConn(loop *Loop, nc net.Conn, handler Handler, writeLimit int) *Conn {
	c := &Conn{
		nc:            nc,
		loop:          loop,
		handler:       handler,
		writeLimit:    writeLimit,
		lingerTimeout: defaultLingerTimeout,
		writeSignal:   make(chan struct{}, 1),
		resumeSignal:  make(chan struct{}, 1),
	}
	if s, ok := nc.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	go c.readLoop()
	go c.writeLoop()
	return c
}

// advance is the only place that changes the phase.
func (c *Conn) advance(p phase) {
	c.mu.Lock()
	c.phase = max(c.phase, p)
	c.mu.Unlock()
}

// IsOpen reports whether the connection can still be used.
func (c *Conn) IsOpen() bool { return c.phase == connOpen }

// IsLingering reports whether the connection is half-closed and waits for the peer to end its side.
func (c *Conn) IsLingering() bool { return c.phase == connLingering }

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool { return c.phase == connClosed }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// OnReleased sets a function that is called on the loop after the descriptor was closed.
func (c *Conn) OnReleased(f func()) { c.onReleased = f }

// OnLingering sets a function that is called on the loop once the connection is half-closed and waits for the peer to end its side.
func (c *Conn) OnLingering(f func()) { c.onLingering = f }

// SetWriteLimit sets how many bytes may be queued before the connection is closed because its peer is too slow.
func (c *Conn) SetWriteLimit(bytes int) { c.writeLimit = bytes }

// SetLingerTimeout sets how long a half-closed connection waits for the peer to end its side.
func (c *Conn) SetLingerTimeout(d time.Duration) { c.lingerTimeout = d }

// connectionLost handles the end of the connection, or a read or write error.
func (c *Conn) connectionLost(err error) {
	c.deliver() // bytes received before the end
	switch c.phase {
	case connOpen:
		c.close()
		c.handler.Closed(err)
	case connFlushing: // the peer sends nothing more, but may still read
		c.mu.Lock()
		c.eof = true
		c.mu.Unlock()
	case connLingering:
		c.close()
	}
}

// CloseGracefully half-closes the connection when all queued bytes are written, and closes it when the peer has ended its side,
// or after the linger timeout. The handler is not called any more.
func (c *Conn) CloseGracefully() {
	if !c.IsOpen() {
		return
	}
	c.advance(connFlushing)
	c.Resume()
	c.signalWriter()
}

// closeWrite ends the sending side; it is called by the writer. The connection is closed only when the peer has ended its side
// too: to close it over unread bytes would reset it, and the peer could lose bytes sent before.
func (c *Conn) closeWrite() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.loop.Post(c.Close)
		return
	}
	c.loop.Post(c.linger)
}

func (c *Conn) linger() {
	_, eof := c.Peek()
	switch {
	case c.phase != connFlushing:
		return
	case eof:
		c.Close()
		return
	}
	c.advance(connLingering)
	c.lingerTimer = c.loop.After(c.lingerTimeout, c.Close)
	if c.onLingering != nil {
		c.onLingering()
	}
}

// Close closes the connection at once. The handler is not called any more.
func (c *Conn) Close() {
	if c.phase != connClosed {
		c.close()
	}
}

func (c *Conn) close() {
	c.lingerTimer.Stop()
	c.advance(connClosed)
	_ = c.nc.Close() // nothing depends on it: the connection is not used any more
	c.Resume()
	c.mu.Lock()
	c.loop.queuedBytes.Add(-int64(c.queuedBytes))
	c.writeQueue, c.received, c.queuedBytes = nil, nil, 0
	c.mu.Unlock()
	c.signalWriter()
	if c.onReleased != nil {
		c.loop.After(0, c.onReleased)
	}
}
