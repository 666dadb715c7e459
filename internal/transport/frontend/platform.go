// Package frontend accepts clients: those of the platform, which speak JSON-RPC, and those which speak MySQL. It owns their
// connections, and bounds how many there are and how much they may leave incomplete. It never chooses an engine: that is done by
// the core, behind the dispatcher. Each listener accepts on a goroutine of its own; all other code runs on the event loop.
package frontend

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

const (
	clientWriteLimit = 4 << 20          // bytes: the responses of all queries that a connection may have open
	idleTimeout      = 30 * time.Second // clients close their idle connections after 4 s
	fairLineBytes    = 16 << 10         // a client may leave this much of a line incomplete whatever the others leave
	// defaultRequestTimeout is for the first request of a connection, and for the rest of a line. A connection without a
	// request must be closed within 3 s.
	defaultRequestTimeout = 2 * time.Second
)

// PlatformListener accepts the platform's clients. Its methods are called on the loop, except Serve.
type PlatformListener struct {
	connSet[*client]

	dispatcher *dispatcher.Dispatcher
	log        *slog.Logger
	ln         net.Listener
	onStopped  func() // called when the last connection was accepted

	maxConns           int           // including those that are being closed
	maxIncompleteBytes int           // of incomplete lines, over all connections
	incompleteBytes    int           // at present
	requestTimeout     time.Duration // for the first request, and for the rest of a line
	serving            bool          // as reported by ping
}

// NewPlatformListener returns a listener of at most maxConns connections, which together may leave maxIncompleteBytes of
// incomplete lines.
func NewPlatformListener(d *dispatcher.Dispatcher, log *slog.Logger, maxConns, maxIncompleteBytes int) *PlatformListener {
	return &PlatformListener{
		connSet:            newConnSet[*client](maxConns),
		dispatcher:         d,
		log:                log,
		maxConns:           maxConns,
		maxIncompleteBytes: maxIncompleteBytes,
		requestTimeout:     defaultRequestTimeout,
		serving:            true,
	}
}

// Serve listens at addr and accepts connections until Stop. It is called once, before Stop.
func (l *PlatformListener) Serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	l.ln = ln
	go accept(l.dispatcher.Loop, l.log, ln, l.handleConn, func() {
		if l.onStopped != nil {
			l.onStopped()
		}
	})
	return nil
}

// Drain makes ping report that this gateway stops serving. Requests are still accepted.
func (l *PlatformListener) Drain() { l.serving = false }

// Stop stops accepting connections. Those that the kernel has accepted by now are still handled, since their clients may have sent
// requests; then done is called.
func (l *PlatformListener) Stop(done func()) {
	l.onStopped = done
	if l.ln == nil {
		done()
		return
	}
	stopAccepting(l.ln)
}

// handleConn handles an accepted connection.
func (l *PlatformListener) handleConn(nc net.Conn) {
	maxOpen := max(1, l.maxConns-l.lingering.limit)
	if len(l.open) >= maxOpen && !l.evictIdle() {
		l.log.Warn("too many client connections", "open", len(l.open))
		_ = nc.Close() // the client gets its end either way
		return
	}
	c := &client{
		listener:  l,
		session:   jsonrpc.NewSession(l.dispatcher.Core),
		requests:  map[string]core.ID{},
		idleSince: l.dispatcher.Loop.Now(),
	}
	l.open[c] = true
	c.conn = eventloop.NewConn(l.dispatcher.Loop, nc, c, clientWriteLimit)
	c.idleTimer = l.dispatcher.Loop.After(l.requestTimeout, c.requestTimedOut)
}
