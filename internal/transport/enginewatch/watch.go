// Package enginewatch keeps one connection to the discovery server open, and hands the events of the engine list to a listener. It
// reconnects after errors and silence. Parsing is left to package discovery. All methods are called on the event loop.
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
	watchDialTimeout = time.Second
	watchRetryDelay  = 200 * time.Millisecond
	watchReadTimeout = 2500 * time.Millisecond // the server sends a heartbeat every second; a drain must be known within 4 s
	watchQueueSize   = 1 << 10
)

// EngineListener receives the changes of the engine list. It is called on the loop.
type EngineListener interface {
	// UpdateEngines applies an engine list, the full one or only its changes, and returns how many engines are listed now.
	UpdateEngines(whole bool, lines []core.ListedEngine) (engines int)
}

// Watch keeps one discovery watch open and hands its events to a listener. It reconnects after errors and silence.
type Watch struct {
	loop        *eventloop.Loop
	listener    EngineListener
	log         *slog.Logger
	addr        string
	stream      *discovery.Stream
	conn        *eventloop.Conn
	readTimer   *eventloop.Timer
	retryTimer  *eventloop.Timer
	cancelDial  func() // gives up the dial under way
	readTimeout time.Duration
}

// New returns a Watch that hands the events to the listener and resumes after the last event of the stream.
func New(loop *eventloop.Loop, listener EngineListener, log *slog.Logger, addr string, stream *discovery.Stream) *Watch {
	return &Watch{loop: loop, listener: listener, log: log, addr: addr, stream: stream, readTimeout: watchReadTimeout}
}

// Follow drops the present watch and opens one at addr, which resumes after the last event received. It must be
// called on the loop.
func (f *Watch) Follow(addr string) {
	f.disconnect()
	f.addr = addr
	if addr != "" {
		f.Connect()
	}
}

// Connect dials the server and sends the watch request. It must be called on the loop.
func (f *Watch) Connect() {
	f.disconnect()
	ctx, cancel := context.WithTimeout(context.Background(), watchDialTimeout)
	left := false // a dial that was given up may have come through meanwhile: two watches would mix their lines
	f.cancelDial = func() { left = true; cancel() }
	addr := f.addr
	go func() {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		cancel()
		f.loop.Post(func() {
			switch {
			case left && nc != nil:
				nc.Close()
			case !left:
				f.dialed(nc, err)
			}
		})
	}()
}

// disconnect ends the connection, or the dial or the retry delay before one.
func (f *Watch) disconnect() {
	f.readTimer.Stop()
	f.retryTimer.Stop()
	if f.cancelDial != nil {
		f.cancelDial()
		f.cancelDial = nil
	}
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
}

func (f *Watch) dialed(nc net.Conn, err error) {
	f.cancelDial = nil
	if err != nil {
		f.log.Warn("discovery server not reached", "error", err)
		f.reconnect()
		return
	}
	f.conn = eventloop.NewConn(f.loop, nc, f, watchQueueSize)
	f.conn.Write(f.stream.Request())
	f.resetReadTimer()
}

// resetReadTimer restarts the timeout for the next line.
func (f *Watch) resetReadTimer() {
	f.readTimer.Stop()
	f.readTimer = f.loop.After(f.readTimeout, func() {
		f.log.Warn("discovery watch timed out")
		f.reconnect()
	})
}

// Data applies received events. Only complete lines reset the read timeout.
func (f *Watch) Data(b []byte) {
	before := f.stream.LinesRead()
	events, err := f.stream.Feed(b)
	for _, e := range events {
		engines := f.listener.UpdateEngines(e.Full, e.Engines)
		f.log.Info("engine list changed", "version", e.ResourceVersion, "engines", engines)
	}
	switch {
	case err != nil:
		f.log.Warn("discovery event rejected", "error", err)
		f.reconnect()
	case f.stream.LinesRead() != before:
		f.resetReadTimer()
	}
}

// Closed reconnects after the connection has ended.
func (f *Watch) Closed(err error) {
	f.log.Warn("discovery watch closed", "error", err)
	f.reconnect()
}

func (f *Watch) reconnect() {
	f.disconnect()
	f.retryTimer = f.loop.After(watchRetryDelay, f.Connect)
}

// LinesRead returns how many complete lines have been received. It is called on the loop.
func (f *Watch) LinesRead() int { return f.stream.LinesRead() }

// SetReadTimeout sets how long the watch may be silent, from the next line on. It is called on the loop.
func (f *Watch) SetReadTimeout(d time.Duration) { f.readTimeout = d }

// Reconnect gives the connection up and opens another after a delay. It is called on the loop.
func (f *Watch) Reconnect() { f.reconnect() }
