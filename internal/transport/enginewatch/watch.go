// Package enginewatch keeps one connection to the discovery server open and passes the events of the engine list to a listener. It
// reconnects after errors and after a read timeout, and never parses: that is done by package discovery. All methods are called on
// the event loop. Each dial runs on a goroutine of its own, which ends with the dial and posts its result to the loop.
package enginewatch

import (
	"context"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/transport/eventloop"
)

const (
	dialTimeout        = time.Second
	retryBackoff       = 200 * time.Millisecond
	defaultReadTimeout = 2500 * time.Millisecond // the server sends a heartbeat every second; a drain must be known within 4 s
	writeLimit         = 1 << 10                 // bytes: the watch request
)

// EngineListener receives the changes of the engine list. It is called on the loop.
type EngineListener interface {
	// UpdateEngines applies an engine list, the full one or only its changes, and returns how many engines are listed now.
	UpdateEngines(full bool, engines []core.ListedEngine) (listed int)
}

// Watch is a discovery watch that is kept open: it has a connection, a dial or a retry timer at a time.
type Watch struct {
	loop        *eventloop.Loop
	listener    EngineListener
	log         *slog.Logger
	addr        string
	stream      *discovery.Stream
	conn        *eventloop.Conn
	readTimer   *eventloop.Timer
	retryTimer  *eventloop.Timer
	cancelDial  func() // cancels the dial in progress; nil if there is none
	readTimeout time.Duration
}

// New returns a Watch of the server at addr, which passes the events behind the last one of the stream to the listener. Nothing is
// dialed before Connect or Follow.
func New(loop *eventloop.Loop, listener EngineListener, log *slog.Logger, addr string, stream *discovery.Stream) *Watch {
	return &Watch{loop: loop, listener: listener, log: log, addr: addr, stream: stream, readTimeout: defaultReadTimeout}
}

// SetServer closes the present watch and opens one at addr, which resumes after the last event received. An empty addr opens none.
func (w *Watch) SetServer(addr string) {
	w.disconnect()
	w.addr = addr
	if addr != "" {
		w.Connect()
	}
}

// Connect dials the server and sends the watch request. A present watch is closed first.
func (w *Watch) Connect() {
	w.disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	cancelled := false // a cancelled dial may have succeeded already: the lines of two watches would be mixed
	w.cancelDial = func() {
		cancelled = true
		cancel()
	}
	addr := w.addr
	go func() {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		cancel()
		w.loop.Post(func() {
			switch {
			case cancelled && nc != nil:
				_ = nc.Close() // nothing was written on it
			case !cancelled:
				w.dialed(nc, err)
			}
		})
	}()
}

// disconnect ends the connection, or the dial or the retry delay before one.
func (w *Watch) disconnect() {
	w.readTimer.Stop()
	w.retryTimer.Stop()
	if w.cancelDial != nil {
		w.cancelDial()
		w.cancelDial = nil
	}
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

func (w *Watch) dialed(nc net.Conn, err error) {
	w.cancelDial = nil
	if err != nil {
		w.log.Warn("discovery server not reached", "error", err)
		w.Reconnect()
		return
	}
	w.conn = eventloop.NewConn(w.loop, nc, w, writeLimit)
	w.conn.Write(w.stream.Request())
	w.resetReadTimer()
}

// resetReadTimer restarts the timeout for the next line.
func (w *Watch) resetReadTimer() {
	w.readTimer.Stop()
	w.readTimer = w.loop.After(w.readTimeout, func() {
		w.log.Warn("discovery watch timed out")
		w.Reconnect()
	})
}

// Data passes received events to the listener. Only complete lines reset the read timeout.
func (w *Watch) Data(b []byte) {
	before := w.stream.LinesRead()
	events, err := w.stream.Feed(b)
	for _, e := range events {
		engines := w.listener.UpdateEngines(e.Full, e.Engines)
		w.log.Info("engine list changed", "version", e.ResourceVersion, "engines", engines)
	}
	switch {
	case err != nil:
		w.log.Warn("discovery event rejected", "error", err)
		w.Reconnect()
	case w.stream.LinesRead() != before:
		w.resetReadTimer()
	}
}

// Closed reconnects after the connection has ended.
func (w *Watch) Closed(err error) {
	w.log.Warn("discovery watch closed", "error", err)
	w.Reconnect()
}

// LinesRead returns how many complete lines have been received.
func (w *Watch) LinesRead() int { return w.stream.LinesRead() }

// SetReadTimeout sets the read timeout from the next line on.
func (w *Watch) SetReadTimeout(d time.Duration) { w.readTimeout = d }

// Reconnect closes the connection and opens another after a backoff.
func (w *Watch) Reconnect() {
	w.disconnect()
	w.retryTimer = w.loop.After(retryBackoff, w.Connect)
}
