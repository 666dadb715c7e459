package frontend

import (
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

// mysqlClient is a connection of a MySQL client, which has one query open at a time. Its methods are called on the loop.
type mysqlClient struct {
	listener   *MySQLListener
	conn       *eventloop.Conn
	machine    *mysql.Front
	query      *mysql.Call // the open query, or nil
	id         core.ID     // of the open query
	attempt    *dispatcher.AttemptDriver
	loginTimer *eventloop.Timer
	paused     bool // the engine's response is not read, as the client reads too slowly
	idleSince  time.Duration
}

var _ dispatcher.Client = (*mysqlClient)(nil)

// Data feeds received bytes to the state machine.
func (c *mysqlClient) Data(b []byte) {
	c.idleSince = c.listener.dispatcher.Loop.Now()
	c.execute(c.machine.Received(b))
}

// Closed cancels the open query of a client that has closed its connection.
func (c *mysqlClient) Closed(error) {
	c.loginTimer.Stop()
	delete(c.listener.open, c)
	c.cancelQuery()
	c.listener.lingering.checkEmpty()
}

func (c *mysqlClient) cancelQuery() {
	if c.query != nil {
		c.query = nil
		c.listener.dispatcher.Cancel(c.id)
	}
}

// close closes the connection gracefully and cancels its open query.
func (c *mysqlClient) close() {
	c.loginTimer.Stop()
	c.listener.lingering.closeGracefully(c.conn)
	delete(c.listener.open, c)
	c.cancelQuery()
}

// shutdownIfIdle is part of closable.
func (c *mysqlClient) shutdownIfIdle(idle time.Duration) {
	rested := c.listener.dispatcher.Loop.Now()-c.idleSince >= idle
	if rested && c.conn.DeliverPending() && !c.machine.IsRunning() {
		c.close()
	}
}

// shutdown is part of closable. Commands that are unread are owed a response, which they get at once by now.
func (c *mysqlClient) shutdown() {
	c.conn.DeliverPending()
	if c.conn.IsOpen() {
		c.close()
	}
}

func (c *mysqlClient) loginTimedOut() {
	if !c.machine.LoggedIn() {
		c.listener.log.Warn("mysql client did not log in")
		c.close()
	}
}

// execute executes what the state machine returned.
func (c *mysqlClient) execute(events []mysql.Event) {
	for _, e := range events {
		switch {
		case e.Write != nil:
			c.conn.Write(e.Write)
		case e.Call != nil:
			c.submit(e.Call)
		case e.Close:
			c.close()
		}
	}
}

func (c *mysqlClient) submit(query *mysql.Call) {
	group := core.TableGroup(query.Text)
	if group == 0 {
		group = core.SchemaGroup(query.Schema)
	}
	c.query = query
	request := core.Query{Class: query.Account.Class, TableGroup: group, Remaining: query.Account.Budget}
	c.listener.dispatcher.Submit(request, c, func(id core.ID) { c.id = id })
}

// StartAttempt sends the query to an engine.
func (c *mysqlClient) StartAttempt(start core.StartAttempt) dispatcher.Attempt {
	l := c.listener
	machine, steps := mysql.NewExchange(c.query, l.config.EngineUser, l.config.EnginePassword)
	c.attempt = dispatcher.StartAttempt(l.dispatcher, l.pool, start, l.engineAddr(start.Engine), machine, steps, c.relay)
	return c.attempt
}

// relay queues a part of the response for the client. If the client reads too slowly, the engine's response is not read on.
func (c *mysqlClient) relay(b []byte) {
	c.conn.Write(b)
	if !c.paused && c.conn.QueuedBytes() > relayBufferBytes && c.attempt != nil {
		c.paused = true
		c.attempt.Pause()
		c.resumeIfDrained() // in case all bytes were written before Pause
	}
}

// resumeIfDrained reads the engine's response on once the client has read half of what may be queued.
func (c *mysqlClient) resumeIfDrained() {
	if c.paused && c.conn.QueuedBytes() <= relayBufferBytes/2 && c.attempt != nil {
		c.paused = false
		c.attempt.Resume()
	}
}

// ReadPendingInput handles all bytes that the client has sent by now.
func (c *mysqlClient) ReadPendingInput() { c.conn.DeliverPending() }

// PeekInput reports whether bytes of the client wait to be handled, and whether it has closed its connection.
func (c *mysqlClient) PeekInput() (pending, closed bool) { return c.conn.Peek() }

// Reply ends the query. Only the end of the connection tells the client of a result that broke off in the middle of a row.
func (c *mysqlClient) Reply(reply core.Reply, result any) {
	last, _ := result.([]byte)
	c.query, c.attempt, c.paused = nil, nil, false
	switch {
	case reply.Verdict == core.Served, reply.Verdict == core.FailedMidResponse && last != nil:
		c.conn.Write(last)
	case reply.Verdict == core.FailedMidResponse:
		c.close()
		return
	case reply.DeadlineExceeded:
		c.conn.Write(mysql.DeadlineExceededPacket())
	case reply.Verdict == core.Rejected:
		c.conn.Write(mysql.RejectedPacket(reply.RetryAfter))
	default:
		c.conn.Write(mysql.FailedPacket())
	}
	c.listener.dispatcher.Loop.After(0, c.queryEnded)
}

// queryEnded handles the commands that the client has sent during the query whose response is written. Without one the connection is
// closed, if the listener closes connections together with responses.
func (c *mysqlClient) queryEnded() {
	if !c.conn.IsOpen() {
		return
	}
	c.idleSince = c.listener.dispatcher.Loop.Now()
	c.execute(c.machine.QueryEnded())
	if c.listener.closesAfterResponses {
		c.shutdownIfIdle(0)
	}
}
