package mysql

import (
	"fmt"
	"time"
)

// Account is a login of the front and the properties of the queries that it sends.
type Account struct {
	User                string
	PasswordHash        PasswordHash
	Class               int           // index of the query class
	Budget              time.Duration // for a whole query, retries included
	NeedsIdempotencyKey bool          // its queries need a replay key
}

// Query is a query that a client requests.
type Query struct {
	Account        *Account
	Schema         string     // the client's current schema; may be empty
	Text           string     // of the statement, prepared or not
	IdempotencyKey string     // the replay key as the client wrote it, a quoted SQL literal; may be empty
	Execution      *Execution // nil for a query of the text protocol
}

// Event is what the front's driver is to do next; exactly one field is set.
type Event struct {
	Write []byte // bytes for the client
	Query *Query // a query to run; the driver writes its result and then calls Done
	Close bool   // close the client's connection after what was written
}

// stage is the phase of a client's connection.
type stage uint8

const (
	stageHandshake  stage = iota // the handshake response is awaited
	stageAuthSwitch              // the response to the auth switch request is awaited
	stageReady
	stageRunning // a query is in flight: further commands wait
	stageClosed
)

// ServerConn is the server side of one client connection. It answers most commands itself and hands queries to its driver.
type ServerConn struct {
	accounts        map[string]*Account
	scramble        []byte
	stage           stage
	packets         framer
	account         *Account // nil until the login is accepted
	user            string
	schema          string
	replayKey       string // for the next query
	lastStatementID uint32
	statements      map[uint32]*statement
	events          []Event
}

// NewServerConn returns the front of a new connection and the handshake packet that greets its client. accounts is keyed by
// user, connectionID is the thread id that the handshake carries, and scramble must be 20 random bytes without a zero
// byte.
func NewServerConn(accounts map[string]*Account, connectionID uint32, scramble []byte) (*ServerConn, []byte) {
	f := &ServerConn{
		accounts:   accounts,
		scramble:   scramble,
		packets:    framer{maxPayload: maxCommandSize},
		statements: map[uint32]*statement{},
	}
	return f, handshakePacket(connectionID, scramble)
}

// LoggedIn reports whether the client's login was accepted.
func (f *ServerConn) LoggedIn() bool { return f.account != nil }

// QueryRunning reports whether a query runs, or has ended and QueryEnded was not called: further commands may wait.
func (f *ServerConn) QueryRunning() bool { return f.stage == stageRunning }

func (f *ServerConn) write(b []byte) { f.events = append(f.events, Event{Write: b}) }

func (f *ServerConn) sendError(sequenceID byte, code int, message string) {
	f.write(errPacket(sequenceID, code, message))
}

func (f *ServerConn) closeConnection() {
	f.stage = stageClosed
	f.events = append(f.events, Event{Close: true})
}

// Received handles bytes that the client sent. Commands that arrive while a query runs are buffered until Done.
func (f *ServerConn) Received(b []byte) []Event {
	if f.stage == stageClosed {
		return nil
	}
	f.packets.append(b)
	// Clients wait for each response, so one that sends this much during a query is faulty or hostile.
	if f.stage == stageRunning && len(f.packets.buf) > maxCommandSize+headerSize {
		f.closeConnection()
	}
	return f.process()
}

// QueryEnded ends the running query: its result was written to the end, and the commands received meanwhile are handled.
func (f *ServerConn) QueryEnded() []Event {
	if f.stage == stageRunning {
		f.stage = stageReady
	}
	return f.process()
}

// process handles complete packets until one starts a query, and returns the events emitted.
func (f *ServerConn) process() []Event {
	for f.stage != stageClosed && f.stage != stageRunning {
		p, ok, err := f.packets.nextPacket()
		if err != nil {
			f.sendError(f.errorSequenceID(), erNetPacketTooLarge, "the packet is larger than the gateway takes")
			f.closeConnection()
			break
		}
		if !ok {
			break
		}
		f.handlePacket(p)
	}
	events := f.events
	f.events = nil
	return events
}

func (f *ServerConn) handlePacket(p packet) {
	switch f.stage {
	case stageHandshake:
		f.handleHandshakeResponse(p)
	case stageAuthSwitch:
		f.authenticate(p.sequenceID+1, p.payload)
	case stageReady:
		f.handleCommand(p)
	}
}

// errorSequenceID is the sequence id of the response to a packet that cannot be read: 1 for a command, which has 0, and
// 2 for a handshake response, which has 1.
func (f *ServerConn) errorSequenceID() byte {
	if f.stage == stageReady {
		return 1
	}
	return 2
}

// startQuery hands a query to the driver. A query of an account that needs a replay key is rejected without one; a key
// serves one query.
func (f *ServerConn) startQuery(call *Query) {
	call.Account, call.Schema = f.account, f.schema
	if f.account.NeedsIdempotencyKey {
		if f.replayKey == "" {
			f.sendError(1, erUnknownError, "nothing ran: this account's loads need SET @replay_key='...' before each")
			return
		}
		call.IdempotencyKey, f.replayKey = f.replayKey, ""
	}
	f.stage = stageRunning
	f.events = append(f.events, Event{Query: call})
}

// RejectedPacket is the ERR packet for a query that was rejected because of load; its message gives the time after which to retry.
func RejectedPacket(retryAfter time.Duration) []byte {
	message := fmt.Sprintf("Overloaded, trying again is harmless: come back in %d ms", retryAfter.Milliseconds())
	return errPacket(1, erConCount, message)
}

// DeadlineExceededPacket is the ERR packet for a query that had no result within the account's budget.
func DeadlineExceededPacket() []byte {
	return errPacket(1, erQueryTimeout, "no answer within the account's budget")
}

// FailedPacket is the ERR packet for a query that failed and may have run.
func FailedPacket() []byte { return errPacket(1, erUnknownError, "the query failed and may have run") }
