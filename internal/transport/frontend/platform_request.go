package frontend

import (
	"frostpier/internal/core"
	"frostpier/internal/protocol/enginehttp"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

// Error messages of failed queries, sent to clients.
const (
	failedMessage   = "the query failed"
	deadlineMessage = "no answer in time"
)

// request is an open query of a client.
type request struct {
	client *client
	call   *jsonrpc.Call
}

var _ dispatcher.Client = (*request)(nil)

// StartAttempt starts an attempt of the query on an engine.
func (r *request) StartAttempt(start core.StartAttempt) dispatcher.Attempt {
	d := r.client.listener.dispatcher
	machine, steps := enginehttp.NewQuery(enginehttp.Request{
		Host:           start.Engine.Addr,
		ID:             r.call.RID,
		Class:          d.Core.ClassName(r.call.Class),
		IdempotencyKey: r.call.Token,
		Statement:      r.call.Statement,
	})
	return dispatcher.StartAttempt(d, d.Pool, start, start.Engine.Addr, machine, steps, func([]byte) {})
}

// ReadPendingInput implements dispatcher.Client.
func (r *request) ReadPendingInput() { r.client.conn.DeliverPending() }

// PeekInput implements dispatcher.Client.
func (r *request) PeekInput() (pending, closed bool) { return peekInput(r.client.conn) }

// peekInput reports whether bytes from a client are pending, and whether it has closed its connection, also behind more bytes than are peeked.
func peekInput(c *eventloop.Conn) (pending, closed bool) {
	pending, closed = c.Peek()
	return pending, closed || c.PeerClosed()
}

// Reply writes the response to the query.
func (r *request) Reply(reply core.Reply, result any) {
	c := r.client
	c.session.EndCall(r.call.ID)
	delete(c.requests, r.call.ID)
	switch reply.Verdict {
	case core.Served:
		body, _ := result.([]byte)
		c.respond(jsonrpc.Result(r.call.ID, body))
	case core.Rejected:
		c.respond(jsonrpc.Rejected(r.call.ID, reply.RetryAfter))
	default:
		message := failedMessage
		if reply.DeadlineExceeded {
			message = deadlineMessage
		}
		c.respond(jsonrpc.Failed(r.call.ID, message))
	}
	c.restartIdleTimer()
}
