// Package enginewatch keeps a connection to the discovery server open and passes changes of the engine list to a listener. It reconnects
// after errors and read timeouts. Package discovery does the parsing. All methods are called on the event loop. Each dial runs on a
// separate goroutine, which posts the result to the loop and returns.
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
	defaultReadTimeout = 2500 * time.Millisecond // the server sends a heartbeat every second; a drain must be noticed within 4 s
	writeLimit         = 1 << 10                 // bytes; enough for the watch request
)

// EngineListener receives the changes of the engine list. It is called on the loop.
type EngineListener interface {
	// UpdateEngines applies an engine list, either the full list or only its changes, and returns the number of engines listed now.
	UpdateEngines(full bool, engines []core.ListedEngine) (listed int)
}

// Watch is a discovery watch that reconnects. It has at most one of a connection, a dial in progress and a running retry timer.
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

// New returns a Watch of the server at addr, which passes the events that follow the stream's last event to the listener. It does not dial
// until Connect or SetServer is called.
func New(loop *eventloop.Loop, listener EngineListener, log *slog.Logger, addr string, stream *discovery.Stream) *Watch {
	return &Watch{loop: loop, listener: listener, log: log, addr: addr, stream: stream, readTimeout: defaultReadTimeout}
}

// SetServer closes the current connection and connects to the server at addr, where the watch resumes after the last event applied. If addr
// is empty, it only closes the connection.
func (w *Watch) SetServer(addr string) {
	w.disconnect()
	w.addr = addr
	if addr != "" {
		w.Connect()
	}
}

// Connect closes the current connection, dials the server and sends the watch request.
func (w *Watch) Connect() {
	w.disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	cancelled := false // a cancelled dial may already have succeeded; using it would mix the lines of two connections
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
				_ = nc.Close() // nothing was written to it
			case !cancelled:
				w.dialed(nc, err)
			}
		})
	}()
}

// disconnect closes the connection, cancels a dial in progress and stops the timers.
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
		w.log.Warn("cannot connect to discovery server, retrying", "error", err)
		w.Reconnect()
		return
	}
	w.conn = eventloop.NewConn(w.loop, nc, w, writeLimit)
	w.conn.Write(w.stream.Request())
	w.resetReadTimer()
}

// resetReadTimer restarts the read timeout for the next line.
func (w *Watch) resetReadTimer() {
	w.readTimer.Stop()
	w.readTimer = w.loop.After(w.readTimeout, func() {
		w.log.Warn("discovery watch timed out, reconnecting")
		w.Reconnect()
	})
}

// Data parses received bytes and passes the events to the listener. Only complete lines reset the read timeout.
func (w *Watch) Data(b []byte) {
	before := w.stream.LinesRead()
	events, err := w.stream.Feed(b)
	for _, e := range events {
		engines := w.listener.UpdateEngines(e.Full, e.Engines)
		w.log.Info("engine list changed", "version", e.ResourceVersion, "engines", engines)
	}
	switch {
	case err != nil:
		w.log.Warn("discovery event rejected, reconnecting", "error", err)
		w.Reconnect()
	case w.stream.LinesRead() != before:
		w.resetReadTimer()
	}
}

// Closed reconnects after the connection was lost.
func (w *Watch) Closed(err error) {
	w.log.Warn("discovery watch closed, reconnecting", "error", err)
	w.Reconnect()
}

// LinesRead returns the number of complete lines received.
func (w *Watch) LinesRead() int { return w.stream.LinesRead() }

// SetReadTimeout sets the read timeout. It takes effect when the timeout is next restarted.
func (w *Watch) SetReadTimeout(d time.Duration) { w.readTimeout = d }

// Reconnect closes the connection and opens a new one after a backoff.
func (w *Watch) Reconnect() {
	w.disconnect()
	w.retryTimer = w.loop.After(retryBackoff, w.Connect)
}
