package eventloop

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Handler receives the events of a connection. Its methods are called on the loop.
type Handler interface {
	// Data is called with received bytes, which are valid until it returns.
	Data(b []byte)
	// Closed is called once when the connection is lost. It is not called after Close or CloseGracefully.
	Closed(err error)
}

// errSlowPeer is passed to Handler.Closed when the peer reads so slowly that its write queue exceeds a limit.
var errSlowPeer = errors.New("peer reads too slowly")

const (
	readBufferSize       = 8 << 10          // bytes
	maxPeekBytes         = 64 << 10         // bytes that Peek reads ahead at most while it looks for EOF
	guaranteedQueueBytes = 64 << 10         // bytes that each connection may queue even if the loop's write budget is exhausted
	writeTimeout         = 10 * time.Second // a peer that accepts no data for this long is considered dead
	defaultLingerTimeout = 2 * time.Second  // a live peer closes its side within one round trip after the half-close
)

// phase is the state of a connection. Only the loop changes it, and never back to an earlier phase.
type phase uint8

const (
	connOpen      phase = iota // bytes are received and sent
	connFlushing               // the remaining queued bytes are sent; received bytes are discarded
	connLingering              // half-closed: received bytes are discarded until the peer closes its side
	connClosed
)

// Conn is a connection with a reader goroutine and a writer goroutine for blocking I/O; its events are handled on the loop. Its methods
// are called on the loop. Both goroutines return after the connection is closed.
type Conn struct {
	nc            net.Conn
	raw           syscall.RawConn // nil if the connection is not a socket
	loop          *Loop
	handler       Handler
	writeLimit    int    // bytes that may be queued before the connection is closed
	onReleased    func() // if not nil, called on the loop after the file descriptor is closed
	onLingering   func() // if not nil, called on the loop after the half-close
	lingerTimeout time.Duration
	lingerTimer   *Timer
	slowPeer      bool // is about to be closed, since the peer reads too slowly

	writeSignal  chan struct{} // capacity 1; wakes the writer
	resumeSignal chan struct{} // capacity 1; wakes a paused reader
	reading      atomic.Bool   // the reader waits for bytes

	mu          sync.Mutex
	phase       phase    // written on the loop with mu held; read on the loop or with mu held
	received    []byte   // bytes not yet passed to the handler
	eof         bool     // the peer has closed its side
	writeQueue  [][]byte // buffers that the writer has not dequeued yet
	queuedBytes int      // bytes in writeQueue or being written
	// waitingSince is when the peer last accepted all bytes of a write, or when the first of the queued bytes was queued.
	waitingSince time.Duration
	paused       bool         // the reader waits for resumeSignal after its current read
	onDrained    func()       // if not nil, called on the loop whenever all queued bytes have been written
	sharesLoop   bool         // see ShareLoop
	usage        decayingTime // time for which the loop has handled received bytes
}

// NewConn takes ownership of nc and starts its reader and writer goroutines. The connection is closed if more than writeLimit bytes are
// queued for the peer.
func NewConn(loop *Loop, nc net.Conn, handler Handler, writeLimit int) *Conn {
	c := &Conn{
		nc:            nc,
		loop:          loop,
		handler:       handler,
		writeLimit:    writeLimit,
		lingerTimeout: defaultLingerTimeout,
		writeSignal:   make(chan struct{}, 1),
		resumeSignal:  make(chan struct{}, 1),
		usage:         decayingTime{sum: initialUsage.Seconds(), updatedAt: loop.Now()},
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

// advance moves the connection to phase p, unless it is already in a later phase. All phase changes go through it.
func (c *Conn) advance(p phase) {
	c.mu.Lock()
	c.phase = max(c.phase, p)
	c.mu.Unlock()
}

// IsOpen reports whether the connection can still be used.
func (c *Conn) IsOpen() bool { return c.phase == connOpen }

// IsLingering reports whether the connection is half-closed and waits for the peer to close its side.
func (c *Conn) IsLingering() bool { return c.phase == connLingering }

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool { return c.phase == connClosed }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// OnReleased sets a function that is called on the loop after the file descriptor is closed.
func (c *Conn) OnReleased(f func()) { c.onReleased = f }

// OnLingering sets a function that is called on the loop once the connection is half-closed and waits for the peer to close its side.
func (c *Conn) OnLingering(f func()) { c.onLingering = f }

// SetWriteLimit sets how many bytes may be queued before the connection is closed because its peer reads too slowly.
func (c *Conn) SetWriteLimit(bytes int) { c.writeLimit = bytes }

// SetLingerTimeout sets how long a half-closed connection waits for the peer to close its side.
func (c *Conn) SetLingerTimeout(d time.Duration) { c.lingerTimeout = d }

// connectionLost handles EOF, or a read or write error.
func (c *Conn) connectionLost(err error) {
	c.deliver() // the bytes received before the connection was lost
	switch c.phase {
	case connOpen:
		c.close()
		c.handler.Closed(err)
	case connFlushing: // the peer will not send more data, but may still read
		c.mu.Lock()
		c.eof = true
		c.mu.Unlock()
	case connLingering:
		c.close()
	}
}

// CloseGracefully half-closes the connection once all queued bytes are written, and closes it when the peer has closed its side or the
// linger timeout expires. The handler is no longer called.
func (c *Conn) CloseGracefully() {
	if !c.IsOpen() {
		return
	}
	c.advance(connFlushing)
	c.Resume()
	c.signalWriter()
}

// closeWrite shuts down the sending side; it is called by the writer. The connection is closed only after the peer has closed its side
// too: closing a socket that has unread bytes sends a reset, and the peer could lose data that was sent before it.
func (c *Conn) closeWrite() {
	halfCloser, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
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

// Close closes the connection immediately. The handler is no longer called.
func (c *Conn) Close() {
	if c.phase != connClosed {
		c.close()
	}
}

func (c *Conn) close() {
	c.lingerTimer.Stop()
	c.advance(connClosed)
	delete(c.loop.longQueues, c)
	_ = c.nc.Close() // the connection is not used any more, so an error has no consequence
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
