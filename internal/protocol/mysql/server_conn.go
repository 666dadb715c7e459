package mysql

import (
	"fmt"
	"time"

	"frostpier/internal/memlimit"
)

// Account is a MySQL account for clients, with the properties of the queries that they send.
type Account struct {
	User                string
	PasswordHash        PasswordHash
	Class               int           // index of the query class
	Budget              time.Duration // time for a query, including retries
	NeedsIdempotencyKey bool          // its queries are rejected without an idempotency key
}

// Query is a query that a client sent.
type Query struct {
	Account        *Account
	Schema         string     // schema in which names are resolved; may be empty
	Text           string     // statement text, prepared or not
	IdempotencyKey string     // quoted SQL literal as sent by the client; may be empty
	Execution      *Execution // nil for COM_QUERY
	OwnSession     bool       // must run in a session that no other query uses, since it may read or change its state
}

// Bytes returns the memory that the query holds. The text of a prepared statement is included, since an attempt may use it longer than
// the client's connection.
func (q *Query) Bytes() int {
	if q.Execution == nil {
		return len(q.Text)
	}
	return len(q.Text) + q.Execution.bytes()
}

// Event is an action that the driver of a ServerConn must execute. Exactly one field is set.
type Event struct {
	Write []byte // bytes for the client
	Query *Query // query to execute; the driver writes its result and then calls QueryEnded
	Close bool   // close the client's connection after all writes
}

// connState is the state of a client's connection.
type connState uint8

const (
	stateHandshake  connState = iota // waiting for the handshake response
	stateAuthSwitch                  // waiting for the response to the auth switch request
	stateReady
	stateRunning // a query is in flight; further commands are buffered
	stateClosed
)

// ServerConn is the server side of one client connection. It handles most commands itself and passes queries to its driver.
type ServerConn struct {
	accounts        map[string]*Account
	scramble        []byte
	state           connState
	packets         framer
	account         *Account // nil until the login is accepted
	user            string
	schema          string
	idempotencyKey  string // idempotency key for the next query; empty for none
	lastStatementID uint32
	statements      map[uint32]*preparedStatement
	memory          memlimit.Share // what the connection holds while no query runs
	makeRoom        func() bool    // see OnMemoryExceeded; may be nil
	inputRefused    bool           // the client sent too much while a query runs; the connection is closed after the query
	events          []Event
}

// NewServerConn returns the state machine of a new connection and the handshake packet to send to its client. accounts is keyed
// by user, connectionID is the thread id in the handshake, and scramble must be 20 random bytes without a zero byte. memory is
// shared by all connections of a listener and the results of their queries; open queries are not included.
func NewServerConn(accounts map[string]*Account, connectionID uint32, scramble []byte, memory *memlimit.Limit) (*ServerConn, []byte) {
	c := &ServerConn{
		accounts:   accounts,
		scramble:   scramble,
		packets:    framer{maxPayload: maxCommandSize},
		statements: map[uint32]*preparedStatement{},
		memory:     memory.NewShare(),
	}
	return c, handshakePacket(connectionID, scramble)
}

// LoggedIn reports whether the client's login was accepted.
func (c *ServerConn) LoggedIn() bool { return c.account != nil }

// QueryRunning reports whether a query was passed to the driver that has not called QueryEnded yet. Commands received meanwhile
// are buffered.
func (c *ServerConn) QueryRunning() bool { return c.state == stateRunning }

func (c *ServerConn) write(b []byte) { c.events = append(c.events, Event{Write: b}) }

func (c *ServerConn) sendError(sequenceID byte, code int, message string) {
	c.write(errPacket(sequenceID, code, message))
}

func (c *ServerConn) closeConnection() {
	c.state = stateClosed
	c.events = append(c.events, Event{Close: true})
}

// Received handles bytes from the client. Commands that arrive while a query is running are buffered until QueryEnded.
func (c *ServerConn) Received(b []byte) []Event {
	if c.state == stateClosed || c.inputRefused {
		return nil
	}
	c.packets.append(b)
	// Clients wait for each response, so a client that sends more than the largest command during a query is faulty or hostile.
	if c.state == stateRunning && len(c.packets.buf) > maxCommandSize+headerSize {
		c.refuseInput()
	}
	return c.process()
}

// QueryEnded must be called when the result of the running query has been written. It handles the commands received meanwhile.
func (c *ServerConn) QueryEnded() []Event {
	if c.state == stateRunning {
		c.state = stateReady
	}
	if c.inputRefused && c.state == stateReady {
		c.closeForMemory()
	}
	return c.process()
}

// process handles complete packets until one starts a query, and returns the emitted events.
func (c *ServerConn) process() []Event {
	for c.state != stateClosed && c.state != stateRunning {
		p, ok, err := c.packets.nextPacket()
		if err != nil {
			c.sendError(c.errorSequenceID(), erNetPacketTooLarge, "the packet is larger than the gateway takes")
			c.closeConnection()
			break
		}
		if !ok {
			break
		}
		c.handlePacket(p)
	}
	c.limitMemory()
	return c.takeEvents()
}

// takeEvents returns the events since the last call.
func (c *ServerConn) takeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *ServerConn) handlePacket(p packet) {
	switch c.state {
	case stateHandshake:
		c.handleHandshakeResponse(p)
	case stateAuthSwitch:
		c.authenticate(p.sequenceID+1, p.payload)
	case stateReady:
		c.handleCommand(p)
	}
}

// errorSequenceID returns the sequence id of the error for a packet that is too large: 1 for a command, which has 0, and 2 for
// a handshake response, which has 1.
func (c *ServerConn) errorSequenceID() byte {
	if c.state == stateReady {
		return 1
	}
	return 2
}

// startQuery passes a query to the driver. It rejects a query without an idempotency key if the account requires one. A key is
// used for one query only.
func (c *ServerConn) startQuery(query *Query) {
	query.Account = c.account
	if c.account.NeedsIdempotencyKey {
		if c.idempotencyKey == "" {
			c.sendError(1, erUnknownError, "nothing ran: this account's loads need SET @replay_key='...' before each")
			return
		}
		query.IdempotencyKey, c.idempotencyKey = c.idempotencyKey, ""
	}
	c.state = stateRunning
	c.events = append(c.events, Event{Query: query})
}

// RejectedPacket returns the ERR packet for a query that was rejected because of load. Its message gives the delay before a retry.
func RejectedPacket(retryAfter time.Duration) []byte {
	message := fmt.Sprintf("Overloaded, trying again is harmless: come back in %d ms", retryAfter.Milliseconds())
	return errPacket(1, erConCount, message)
}

// DeadlineExceededPacket returns the ERR packet for a query without a result within the account's budget.
func DeadlineExceededPacket() []byte {
	return errPacket(1, erQueryTimeout, "no answer within the account's budget")
}

// FailedPacket returns the ERR packet for a query that failed and may have run.
func FailedPacket() []byte { return errPacket(1, erUnknownError, "the query failed and may have run") }
