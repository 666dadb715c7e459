package frontend

import (
	"bytes"
	"errors"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/eventloop"
)

// errIncompleteLines closes a connection with a long incomplete line when all together are over their limit.
var errIncompleteLines = errors.New("unfinished lines of all clients fill their memory")

// client is a connection of the platform's. Its methods are called on the loop.
type client struct {
	listener *PlatformListener
	conn     *eventloop.Conn
	session  *jsonrpc.Session
	requests map[string]core.ID // open queries by their JSON-RPC ID

	sentRequest bool // has sent something that got a response, or will
	sentQuery   bool // has sent a query that was accepted
	framingLost bool // nothing more is read; open queries still get their response
	responded   bool // has been sent a response since it last sent anything

	idleSince time.Duration
	idleTimer *eventloop.Timer // until the first request; then while no query is open

	incompleteBytes int              // received of an incomplete line
	lineTimer       *eventloop.Timer // for the rest of that line; nil if there is none
}

// Data parses received bytes and handles the complete lines.
func (c *client) Data(b []byte) {
	if c.framingLost {
		return
	}
	c.responded = false
	events, err := c.session.Feed(b)
	for _, e := range events {
		c.handle(e)
	}
	c.updateLineTimer(bytes.IndexByte(b, '\n') >= 0)
	overLimit := c.listener.incompleteBytes > c.listener.maxIncompleteBytes
	if err == nil && overLimit && c.incompleteBytes > fairLineBytes {
		err = errIncompleteLines
	}
	if err != nil {
		c.stopReading(err)
	}
	c.restartIdleTimer()
}

// Closed cancels all open queries of a client that has closed its connection.
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
	}
	c.listener.dispatcher.Submit(query, &request{client: c, call: call}, func(id core.ID) { c.requests[call.ID] = id })
}

// cancel cancels a query that its client has aborted.
func (c *client) cancel(id string) {
	requestID, open := c.requests[id]
	if open {
		c.session.Done(id)
		delete(c.requests, id)
		c.listener.dispatcher.Cancel(requestID)
	}
}

// stopReading stops reading after a framing error. Queries received before it still get their response.
func (c *client) stopReading(err error) {
	c.listener.log.Warn("client connection closed", "error", err)
	c.framingLost = true
	c.sentRequest = true
	c.session.DiscardInput()
	c.updateLineTimer(false)
	c.conn.Pause()
}

// closeIfIdle closes the connection if no query is open, and reports whether it did. Bytes that are unread are handled first, since
// a request that was sent before the connection is closed is owed a response.
func (c *client) closeIfIdle(why string) bool {
	if !c.conn.DeliverPending() || len(c.requests) > 0 {
		return false
	}
	c.close(why)
	return true
}

// close closes the connection gracefully: responses that are queued are still written.
func (c *client) close(why string) {
	c.listener.log.Debug("client connection ended", "why", why)
	c.listener.lingering.closeGracefully(c.conn)
	c.remove()
}

// remove removes the connection from its listener.
func (c *client) remove() {
	c.idleTimer.Stop()
	c.lineTimer.Stop()
	c.listener.incompleteBytes -= c.incompleteBytes
	c.incompleteBytes = 0
	c.listener.connSet.remove(c)
}

// shutdownIfIdle is part of closable. A line that has begun may still be completed.
func (c *client) shutdownIfIdle(idle time.Duration) {
	if c.incompleteBytes == 0 && c.listener.dispatcher.Loop.Now()-c.idleSince >= idle {
		c.closeIfIdle("stopped")
	}
}

// shutdown is part of closable. Requests that are unread are owed a response, which they get at once by now.
func (c *client) shutdown() {
	c.conn.DeliverPending()
	if c.conn.IsOpen() {
		c.close("stopped")
	}
}
