package mysql

import (
	"fmt"
	"time"

	"frostpier/internal/attempt"
	"frostpier/internal/memlimit"
	"frostpier/policy"
)

// Timeouts of the connections to engines.
const (
	loginTimeout       = 2 * time.Second  // for the login and the setup commands together
	resultIdleTimeout  = 30 * time.Second // between two reads of a result whose rows are being relayed
	killConfirmTimeout = 5 * time.Second  // for a confirmation of a KILL, once no further attempt can follow this one
	killRetryBackoff   = 150 * time.Millisecond
)

// channelCount is the number of channels of an attempt: primary and control.
const channelCount = int(attempt.Control) + 1

// phase is the progress of an exchange. The order matters: before phaseQuerySent the query has not run.
type phase uint8

const (
	phaseLogin     phase = iota // the login is in progress
	phaseSetup                  // setup commands are in flight: schema, idempotency key, prepare
	phaseQuerySent              // the query is in flight and may be running
	phaseKilling                // the engine has not confirmed the end of the killed query yet
	phaseFinished
)

// Exchange executes one attempt of a query on an engine. It implements attempt.StateMachine. The query is sent on the primary
// channel; a second connection, the control channel, is opened only to send KILL QUERY.
type Exchange struct {
	query           *Query
	credentials     credentials
	phase           phase
	sessions        [channelCount]*session
	connected       [channelCount]bool
	controlLogin    bool // the login on the control connection took place in this attempt
	controlFresh    bool // a new control connection was requested, not a pooled one
	reused          bool // an earlier attempt has used the primary connection
	permission      attempt.Permission
	setupQueue      []setupCommand
	definitionsLeft int          // outstanding packets of a COM_STMT_PREPARE response
	statementKey    statementKey // of a prepared statement in the session
	statementID     uint32
	result          resultStream
	metadata        memlimit.Share // memory of the result's metadata
	outcome         policy.Outcome // outcome of the attempt when the kill is confirmed
	killSent        bool
	timeLeftPassed  bool // the time that permission gave to the attempt has passed, so that no further attempt can follow this one
	steps           []attempt.Step
}

// NewExchange returns an exchange for one attempt of query and its first steps. It logs in to the engine as user. memory limits the
// metadata of results, which is held back until the first row.
func NewExchange(query *Query, user, password string, memory *memlimit.Limit) (*Exchange, []attempt.Step) {
	x := &Exchange{query: query, credentials: credentials{user, password}, metadata: memory.NewShare()}
	x.emit(attempt.Open{Channel: attempt.Primary, Fresh: query.OwnSession})
	return x, x.flush()
}

func (x *Exchange) emit(s ...attempt.Step) { x.steps = append(x.steps, s...) }

// flush returns the steps emitted since the last call.
func (x *Exchange) flush() []attempt.Step {
	steps := x.steps
	x.steps = nil
	return steps
}

func (x *Exchange) write(channel attempt.Channel, b []byte) {
	if len(b) > 0 {
		x.emit(attempt.Write{Channel: channel, Bytes: b})
	}
}

// Connected handles a new connection of a channel. protocolState holds the connection's session, which is kept between attempts; it is
// set here if the connection has none.
func (x *Exchange) Connected(channel attempt.Channel, protocolState *any, permission attempt.Permission) []attempt.Step {
	s, _ := (*protocolState).(*session)
	if s == nil {
		s = newSession()
		*protocolState = s
	}
	x.sessions[channel], x.connected[channel] = s, true
	if channel == attempt.Control {
		x.controlLogin = !s.authenticated
	} else {
		x.permission, x.reused = permission, s.authenticated
		x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: loginTimeout})
	}
	if s.authenticated {
		x.handleLoggedIn(channel)
	}
	return x.flush()
}

// ConnectFailed handles a failed connection attempt.
func (x *Exchange) ConnectFailed(channel attempt.Channel) []attempt.Step {
	switch {
	case x.phase == phaseFinished:
	case channel == attempt.Primary:
		x.finish(policy.NoConnection, nil)
	default:
		x.scheduleKillRetry()
	}
	return x.flush()
}

// ConnectionLost handles the loss of a channel's connection.
func (x *Exchange) ConnectionLost(channel attempt.Channel) []attempt.Step {
	if x.connected[channel] {
		x.connected[channel] = false
		x.handleConnectionLost(channel)
	}
	return x.flush()
}

func (x *Exchange) handleConnectionLost(channel attempt.Channel) {
	switch {
	case x.phase == phaseFinished:
	case channel == attempt.Control:
		x.killSent = false
		x.scheduleKillRetry()
	case x.phase < phaseQuerySent && x.reused:
		x.reconnect()
	case x.phase < phaseQuerySent:
		x.finish(policy.NoConnection, nil)
	case x.phase == phaseQuerySent:
		x.killQuery(policy.Reset) // the query may still be running
	}
}

// reconnect restarts the attempt on a new connection after a reused one was lost. Engines routinely close idle connections, so
// this is not a failure of the attempt.
func (x *Exchange) reconnect() {
	x.phase, x.reused, x.setupQueue, x.definitionsLeft = phaseLogin, false, nil, 0
	x.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
}

// TimerFired handles the expiry of a timer.
func (x *Exchange) TimerFired(timer attempt.Timer) []attempt.Step {
	switch {
	case x.phase == phaseFinished:
	case timer == attempt.ResponseTimeout && x.phase < phaseQuerySent:
		x.closeChannel(attempt.Primary)
		x.finish(policy.NoConnection, nil)
	case timer == attempt.ResponseTimeout && x.phase == phaseQuerySent:
		x.killQuery(policy.Reset)
	case timer == attempt.RetryBackoff && x.phase == phaseKilling && !x.killSent:
		x.sendKill()
	case timer == attempt.UnreachableTimeout:
		x.unreachableTimeoutExpired()
	}
	return x.flush()
}

// Cancel cancels the attempt. If the query was not sent yet, the attempt ends at once as NotSent; otherwise it ends with
// outcome when the engine confirms the end of the query.
func (x *Exchange) Cancel(outcome policy.Outcome) []attempt.Step {
	switch x.phase {
	case phaseLogin, phaseSetup:
		x.closeChannel(attempt.Primary)
		x.finish(policy.NotSent, nil)
	case phaseQuerySent:
		x.killQuery(outcome)
	}
	return x.flush()
}

// Received handles bytes received on a channel.
func (x *Exchange) Received(channel attempt.Channel, b []byte) []attempt.Step {
	if !x.connected[channel] || x.phase == phaseFinished {
		return nil
	}
	if channel == attempt.Primary && x.phase >= phaseQuerySent {
		x.handleResult(b)
		return x.flush()
	}
	s := x.sessions[channel]
	s.packets.append(b)
	for x.connected[channel] && x.phase != phaseFinished {
		p, ok, err := s.packets.nextPacket()
		if err != nil {
			x.handleMalformed(channel)
			break
		}
		if !ok {
			break
		}
		x.handlePacket(channel, s, p)
	}
	return x.flush()
}

// handlePacket dispatches a packet that is not part of the query's result.
func (x *Exchange) handlePacket(channel attempt.Channel, s *session, p packet) {
	switch {
	case !s.authenticated:
		x.handleLoginPacket(channel, s, p)
	case channel == attempt.Control:
		x.handleKillResponse(p)
	case x.definitionsLeft > 0:
		x.definitionsLeft--
		if x.definitionsLeft == 0 {
			x.sendNext()
		}
	default:
		x.handleSetupResponse(p)
	}
}

// handleResult handles bytes of the query's result. While the query is being killed, the end of the result confirms the kill.
func (x *Exchange) handleResult(b []byte) {
	relay, last, err := x.result.received(b)
	if memoryErr := x.reportMetadata(); err == nil {
		err = memoryErr
	}
	if x.phase == phaseQuerySent && len(relay) > 0 {
		x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: resultIdleTimeout}, attempt.Relay{Bytes: relay})
	}
	switch {
	case err != nil:
		x.handleMalformed(attempt.Primary)
	case !x.result.complete:
	case x.phase == phaseKilling:
		x.finish(x.outcome, nil)
	case x.result.errCode == 0:
		x.finish(policy.OK, last)
	case x.result.rowsRelayed: // the client already has rows, so the ERR packet ends its result
		x.finish(policy.Error, last)
	case outcomeOfError(x.result.errCode) == policy.OK:
		x.finish(policy.OK, last)
	default:
		x.finish(outcomeOfError(x.result.errCode), nil)
	}
}

// reportMetadata reports the memory of the result's metadata. It returns an error if more is held than is admitted.
func (x *Exchange) reportMetadata() error {
	held := len(x.result.metadata)
	if !x.metadata.Set(held) {
		return fmt.Errorf("%w: %d bytes of result metadata exceed the memory of all", errMalformedPacket, held)
	}
	return nil
}

// outcomeOfError returns the outcome for an engine's error code. Most errors are about the statement itself; these are a valid
// result (OK), which is relayed to the client unchanged.
func outcomeOfError(code int) policy.Outcome {
	switch code {
	case erConCount, erTooManyUserConnections:
		return policy.Rejected
	case erServerShutdown, erQueryInterrupted, erUnknownStatement, erQueryTimeout:
		return policy.Error
	}
	return policy.OK
}

// handleMalformed handles bytes that violate the protocol. A query that was sent may still be running, so it is killed. If the
// query was not sent, the attempt ends.
func (x *Exchange) handleMalformed(channel attempt.Channel) {
	x.closeChannel(channel)
	switch {
	case channel == attempt.Control:
		x.killSent = false
		x.scheduleKillRetry()
	case x.phase < phaseQuerySent:
		x.finish(policy.NoConnection, nil)
	case x.phase == phaseQuerySent:
		x.killQuery(policy.Error)
	}
}

func (x *Exchange) closeChannel(channel attempt.Channel) {
	x.connected[channel] = false
	x.emit(attempt.Close{Channel: channel})
}

// finish ends the exchange: it stops all timers, releases or closes both channels and emits the End step. last is the rest of
// the result for the client. If rows were relayed and last is nil, the client gets an ERR packet that ends them.
func (x *Exchange) finish(outcome policy.Outcome, last []byte) {
	if last == nil && x.result.rowsRelayed {
		last = x.result.truncationPacket()
	}
	reusable := x.primaryReusable()
	x.phase = phaseFinished
	x.metadata.Set(0)
	for timer := range attempt.TimerCount {
		x.emit(attempt.SetTimer{Timer: timer})
	}
	if reusable {
		x.emit(attempt.Release{Channel: attempt.Primary})
		x.connected[attempt.Primary] = false
	} else {
		x.closeChannel(attempt.Primary)
	}
	x.closeChannel(attempt.Control)
	x.emit(attempt.End{Outcome: outcome, Result: last})
}

// primaryReusable reports whether another attempt may use the primary connection. After KILL QUERY none may use it,
// because the engine could apply a late KILL to the next query. The connection cannot be reused while setup commands are in flight, or if the
// query may have changed the state of the session, either.
func (x *Exchange) primaryReusable() bool {
	quiescent := x.phase == phaseLogin || x.phase == phaseQuerySent
	if !quiescent || !x.connected[attempt.Primary] || x.query.OwnSession {
		return false
	}
	s := x.sessions[attempt.Primary]
	return s.authenticated && len(s.packets.buf) == 0 && len(s.statementIDs) <= maxSessionStatements
}
