// Package frontend accepts clients: the platform's clients, which speak JSON-RPC, and MySQL clients. It owns their connections, and limits
// their number and the memory of incomplete requests. It never chooses an engine; the core does, which is called through the dispatcher.
// Each listener accepts on a separate goroutine; all other code runs on the event loop.
package frontend

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/memlimit"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

const (
	clientWriteLimit = 4 << 20          // bytes; enough for the responses to all queries that a connection may have open
	idleTimeout      = 30 * time.Second // clients close their own idle connections after 4 s
	// defaultRequestTimeout is the timeout for the first request of a connection, and for the rest of an incomplete line. A connection
	// without a request must be closed within 3 s.
	defaultRequestTimeout = 2 * time.Second
)

// PlatformListener accepts the platform's clients. Its methods are called on the loop, except Serve.
type PlatformListener struct {
	connSet[*client]

	dispatcher *dispatcher.Dispatcher
	log        *slog.Logger
	acceptor   *acceptor // nil before Serve
	onStopped  func()    // called after the last accepted connection was handled

	maxConns       int             // including connections that are being closed
	lineMemory     *memlimit.Limit // of incomplete lines
	input          inputLimiter[*client]
	requestTimeout time.Duration // for the first request, and for the rest of an incomplete line
	serving        bool          // as reported by ping
}

// NewPlatformListener returns a listener of at most maxConns connections, which together may use maxIncompleteBytes for incomplete lines.
func NewPlatformListener(d *dispatcher.Dispatcher, log *slog.Logger, maxConns, maxIncompleteBytes int) *PlatformListener {
	conns, lineMemory := newConnSet[*client](maxConns), memlimit.New(maxIncompleteBytes, guaranteedBytes)
	return &PlatformListener{
		connSet:        conns,
		dispatcher:     d,
		log:            log,
		maxConns:       maxConns,
		lineMemory:     lineMemory,
		input:          inputLimiter[*client]{memory: lineMemory, open: conns.open},
		requestTimeout: defaultRequestTimeout,
		serving:        true,
	}
}

// Serve listens on addr and accepts connections until Stop is called. It is called once, before Stop.
func (l *PlatformListener) Serve(addr string) error {
	ln, err := listen(addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	l.acceptor = &acceptor{loop: l.dispatcher.Loop, log: l.log, ln: ln, handle: l.handleConn, done: l.stopped}
	l.dispatcher.Loop.Post(func() { l.watchDepartures(l.dispatcher.Loop) })
	go l.acceptor.run()
	return nil
}

// stopped is called after the last accepted connection was handled.
func (l *PlatformListener) stopped() {
	if l.onStopped != nil {
		l.onStopped()
	}
}

// Drain makes ping report that this gateway is no longer serving. Requests are still accepted.
func (l *PlatformListener) Drain() { l.serving = false }

// Stop stops accepting connections. Those that the kernel has already accepted are still handled, since their clients may have sent
// requests; then done is called.
func (l *PlatformListener) Stop(done func()) {
	l.onStopped = done
	if l.acceptor == nil {
		done()
		return
	}
	l.acceptor.stop()
}

// handleConn handles an accepted connection.
func (l *PlatformListener) handleConn(nc net.Conn) {
	maxOpen := max(1, l.maxConns-l.lingering.limit)
	if len(l.open) >= maxOpen && !l.evictIdle() {
		l.log.Warn("too many client connections, closing new connection", "open", len(l.open))
		_ = nc.Close() // the connection is not used, so an error has no consequence
		return
	}
	c := &client{
		listener:  l,
		line:      l.lineMemory.NewShare(),
		session:   jsonrpc.NewSession(l.dispatcher.Core),
		requests:  map[string]core.RequestID{},
		idleSince: l.dispatcher.Loop.Now(),
	}
	l.open[c] = true
	c.conn = eventloop.NewConn(l.dispatcher.Loop, nc, c, clientWriteLimit)
	c.conn.ShareLoop()
	c.idleTimer = c.conn.After(l.requestTimeout, c.requestTimedOut)
}
