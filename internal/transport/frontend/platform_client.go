package frontend

import (
	"bytes"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/memlimit"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/eventloop"
)

// client is the connection of one of the platform's clients. Its methods are called on the loop.
type client struct {
	listener *PlatformListener
	conn     *eventloop.Conn
	session  *jsonrpc.Session
	requests map[string]core.RequestID // open queries by their JSON-RPC ID

	sentRequest bool // the client has sent a request that was or will be answered
	sentQuery   bool // the client has sent a valid query
	readStopped bool // no more input is read; open queries are still answered
	responded   bool // a response was written since the last input

	idleSince time.Duration
	idleTimer *eventloop.Timer // runs until the first request, and after that while no query is open

	line      memlimit.Share   // memory of an incomplete line
	lineTimer *eventloop.Timer // timeout for the rest of that line; nil if there is none
	inputAt   time.Duration    // when the client last sent bytes

	linesEnded int // reads that completed a line
}

// Data parses received bytes and handles complete lines.
func (c *client) Data(b []byte) {
	if c.readStopped {
		return
	}
	c.responded = false
	events, err := c.session.Feed(b)
	for _, e := range events {
		c.handle(e)
	}
	admitted := c.updateLineTimer(bytes.IndexByte(b, '\n') >= 0)
	if err == nil && !admitted && !c.listener.input.makeRoom(c) {
		err = errIncompleteLines
	}
	if err != nil {
		c.stopReading(err)
	}
	c.restartIdleTimer()
}

// Closed cancels all open queries after the connection was lost.
func (c *client) Closed(error) {
	c.remove()
	for id, requestID := range c.requests {
		delete(c.requests, id)
		c.listener.dispatcher.Cancel(requestID)
	}
}

// handle handles one complete line.
func (c *client) handle(e jsonrpc.Event) {
	c.sentRequest = c.sentRequest || e.Call != nil || e.Ping != "" || e.Reply != nil
	switch {
	case e.Call != nil:
		c.sentQuery = true
		c.submit(e.Call)
	case e.Ping != "":
		c.respond(jsonrpc.Pong(e.Ping, c.listener.serving))
	case e.Abort != "":
		c.cancel(e.Abort)
	case e.Reply != nil:
		c.respond(e.Reply)
	}
}

// respond queues a response for the client.
func (c *client) respond(response []byte) {
	c.responded = true
	c.conn.Write(response)
}

func (c *client) submit(call *jsonrpc.Call) {
	query := core.Query{
		Name:              call.RID,
		Class:             call.Class,
		TableGroup:        core.TableGroup(string(call.Statement)),
		EstimatedWork:     call.EstimatedWork,
		EstimatedMemoryMB: call.EstimatedMemoryMB,
		Remaining:         call.Budget,
		IsClientRetry:     call.IsClientRetry,
		Bytes:             len(call.Statement),
	}
	c.listener.dispatcher.Submit(query, &request{client: c, call: call}, func(id core.RequestID) { c.requests[call.ID] = id })
}

// cancel cancels an open query that the client has aborted.
func (c *client) cancel(id string) {
	requestID, open := c.requests[id]
	if open {
		c.session.EndCall(id)
		delete(c.requests, id)
		c.listener.dispatcher.Cancel(requestID)
	}
}

// stopReading stops reading after a framing error or when a limit is exceeded. Queries received before are still answered.
func (c *client) stopReading(err error) {
	c.listener.log.Warn("client input rejected, closing connection after open queries", "error", err)
	c.readStopped = true
	c.sentRequest = true
	c.session.DiscardInput()
	c.updateLineTimer(false)
	c.conn.Pause()
}

// closeIfIdle closes the connection if no query is open, and reports whether it did. It handles pending bytes first, since a request that
// was sent before the close must be answered.
func (c *client) closeIfIdle(reason string) bool {
	if !c.conn.DeliverPending() || len(c.requests) > 0 {
		return false
	}
	c.close(reason)
	return true
}

// close closes the connection gracefully: queued responses are still written.
func (c *client) close(reason string) {
	c.listener.log.Debug("closing client connection", "why", reason)
	c.listener.lingering.closeGracefully(c.conn)
	c.remove()
}

// remove removes the connection from its listener.
func (c *client) remove() {
	c.idleTimer.Stop()
	c.lineTimer.Stop()
	c.line.Set(0)
	c.listener.connSet.remove(c)
}

// shutdownIfIdle implements closableConn. A connection with an incomplete line is kept, since the rest of the line may follow.
func (c *client) shutdownIfIdle(minIdle time.Duration) (handledBytes bool) {
	if c.line.Used() > 0 || len(c.requests) > 0 || c.listener.dispatcher.Loop.Now()-c.idleSince < minIdle {
		return false
	}
	return !c.closeIfIdle("stopped")
}

// shutdown implements closableConn. It handles pending requests first: they must get a response, which the dispatcher gives immediately
// during shutdown.
func (c *client) shutdown() {
	c.conn.DeliverPending()
	if c.conn.IsOpen() {
		c.close("stopped")
	}
}
