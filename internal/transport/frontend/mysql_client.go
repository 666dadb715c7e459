package frontend

import (
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

// mysqlClient is the connection of a MySQL client, which has at most one open query. Its methods are called on the loop.
type mysqlClient struct {
	listener   *MySQLListener
	conn       *eventloop.Conn
	machine    *mysql.ServerConn
	query      *mysql.Query   // the open query, or nil
	id         core.RequestID // ID of the open query
	attempt    *dispatcher.AttemptDriver
	loginTimer *eventloop.Timer
	paused     bool // reading the engine's response is paused, since the client reads too slowly
	idleSince  time.Duration
	inputAt    time.Duration // when the client last sent bytes
}

var _ dispatcher.Client = (*mysqlClient)(nil)

// Data passes received bytes to the state machine.
func (c *mysqlClient) Data(b []byte) {
	c.inputAt = c.listener.dispatcher.Loop.Now()
	c.idleSince = c.inputAt
	c.execute(c.machine.Received(b))
}

// Closed cancels the open query after the connection was lost.
func (c *mysqlClient) Closed(error) {
	c.remove()
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
	c.listener.lingering.closeGracefully(c.conn)
	c.remove()
}

// remove removes the connection from its listener and cancels its open query.
func (c *mysqlClient) remove() {
	c.loginTimer.Stop()
	c.machine.Release()
	delete(c.listener.open, c)
	c.cancelQuery()
}

// shutdownIfIdle implements closableConn.
func (c *mysqlClient) shutdownIfIdle(minIdle time.Duration) (handledBytes bool) {
	idle := c.listener.dispatcher.Loop.Now()-c.idleSince >= minIdle
	if !idle || c.machine.QueryRunning() {
		return false
	}
	if !c.conn.DeliverPending() {
		return true
	}
	c.close()
	return false
}

// shutdown implements closableConn. It handles pending commands first: they must get a response, which the dispatcher gives immediately
// during shutdown.
func (c *mysqlClient) shutdown() {
	c.conn.DeliverPending()
	c.handleBufferedCommands()
	if c.conn.IsOpen() {
		c.close()
	}
}

// handleBufferedCommands handles the commands that arrived while a query was open, if it has its reply, without waiting for the call of
// queryEnded.
func (c *mysqlClient) handleBufferedCommands() {
	for c.query == nil && c.conn.IsOpen() && c.machine.QueryRunning() {
		c.execute(c.machine.QueryEnded())
	}
}

// loginTimedOut closes a connection whose client has not logged in in time.
func (c *mysqlClient) loginTimedOut() {
	c.conn.DeliverPending() // the pending bytes may complete the login
	if c.conn.IsOpen() && !c.machine.LoggedIn() {
		c.listener.log.Warn("mysql client did not log in, closing connection")
		c.close()
	}
}

// connection implements closableConn and inputClient.
func (c *mysqlClient) connection() *eventloop.Conn { return c.conn }

// incompleteBytes implements inputClient.
func (c *mysqlClient) incompleteBytes() int { return c.machine.IncompleteBytes() }

// lastInputAt implements inputClient.
func (c *mysqlClient) lastInputAt() time.Duration { return c.inputAt }

// giveUpInput implements inputClient.
func (c *mysqlClient) giveUpInput() { c.execute(c.machine.GiveUpInput()) }

// execute executes the events that the state machine returned.
func (c *mysqlClient) execute(events []mysql.Event) {
	for _, e := range events {
		switch {
		case e.Write != nil:
			c.conn.Write(e.Write)
		case e.Query != nil:
			c.submit(e.Query)
		case e.Close:
			c.close()
		}
	}
}

func (c *mysqlClient) submit(query *mysql.Query) {
	group := core.TableGroup(query.Text)
	if group == 0 {
		group = core.SchemaGroup(query.Schema)
	}
	c.query = query
	request := core.Query{Class: query.Account.Class, TableGroup: group, Remaining: query.Account.Budget, Bytes: query.Bytes()}
	c.listener.dispatcher.Submit(request, c, func(id core.RequestID) { c.id = id })
}

// StartAttempt starts an attempt of the query on an engine.
func (c *mysqlClient) StartAttempt(start core.StartAttempt) dispatcher.Attempt {
	l := c.listener
	machine, steps := mysql.NewExchange(c.query, l.config.EngineUser, l.config.EnginePassword, l.memory)
	c.attempt = dispatcher.StartAttempt(l.dispatcher, l.pool, start, l.engineAddr(start.Engine), machine, steps, c.relay)
	return c.attempt
}

// relay queues a part of the response for the client. If the client reads too slowly, reading the engine's response is paused.
func (c *mysqlClient) relay(b []byte) {
	c.conn.Write(b)
	if !c.paused && c.conn.QueuedBytes() > relayBufferBytes && c.attempt != nil {
		c.paused = true
		c.attempt.Pause()
		c.resumeIfDrained() // in case the writer has caught up before Pause
	}
}

// resumeIfDrained resumes reading the engine's response once at most half of relayBufferBytes is queued for the client.
func (c *mysqlClient) resumeIfDrained() {
	if c.paused && c.conn.QueuedBytes() <= relayBufferBytes/2 && c.attempt != nil {
		c.paused = false
		c.attempt.Resume()
	}
}

// ReadPendingInput implements dispatcher.Client.
func (c *mysqlClient) ReadPendingInput() { c.conn.DeliverPending() }

// PeekInput implements dispatcher.Client.
func (c *mysqlClient) PeekInput() (pending, closed bool) { return peekInput(c.conn) }

// Reply writes the last part of the response. If a response failed in the middle of a row, the protocol has no way to report this to the
// client, so the connection is closed.
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
	c.conn.After(0, c.queryEnded)
}

// queryEnded handles the commands that the client sent while the query was open. If there are none and the listener closes connections
// after responses, the connection is closed.
func (c *mysqlClient) queryEnded() {
	if !c.conn.IsOpen() {
		return
	}
	c.idleSince = c.listener.dispatcher.Loop.Now()
	c.execute(c.machine.QueryEnded())
	if c.listener.closeAfterResponses {
		c.shutdownIfIdle(0)
	}
}
