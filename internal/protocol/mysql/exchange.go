package mysql

import (
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// Timeouts of the connections to engines.
const (
	loginTimeout       = 2 * time.Second  // for the login and the setup commands together
	resultIdleTimeout  = 30 * time.Second // between two reads of a result whose rows are being relayed
	killConfirmTimeout = 5 * time.Second  // from the first KILL until the attempt ends unconfirmed
	killRetryBackoff   = 150 * time.Millisecond
)

// channelCount is the number of channels of an attempt: primary and control.
const channelCount = int(attempt.Control) + 1

// phase is how far an exchange has come. The order matters: in phases before phaseQuerySent the query has not run.
type phase uint8

const (
	phaseLogin     phase = iota // the engine has received nothing but the login
	phaseSetup                  // setup commands are in flight: schema, replay key, preparation
	phaseQuerySent              // the query is in flight and may be running
	phaseKilling                // the query is being killed, and the engine has not confirmed its end
	phaseFinished
)

// Exchange carries one attempt of a call to an engine. The query travels on the primary channel; a second connection,
// the control channel, is opened only to send KILL QUERY.
type Exchange struct {
	call            *Query
	credentials     credentials
	phase           phase
	sessions        [channelCount]*session
	connected       [channelCount]bool
	reused          bool // the primary connection has served an earlier attempt
	permission      attempt.Permission
	setupQueue      []setupCommand
	definitionsLeft int // packets of a COM_STMT_PREPARE response that are still to come
	statementID     uint32
	result          resultStream
	outcome         policy.Outcome // of the attempt once the kill is confirmed
	killSent        bool
	steps           []attempt.Step
}

// NewExchange returns an exchange for one attempt of call, logging in with the engine's account, and its first steps.
func NewExchange(call *Query, user, password string) (*Exchange, []attempt.Step) {
	x := &Exchange{call: call, credentials: credentials{user, password}}
	x.emit(attempt.Open{Channel: attempt.Primary})
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

// Connected handles a channel's new connection. memory keeps what is known of the connection between attempts; it is
// set here on a connection that has none.
func (x *Exchange) Connected(channel attempt.Channel, memory *any, permission attempt.Permission) []attempt.Step {
	s, _ := (*memory).(*session)
	if s == nil {
		s = newSession()
		*memory = s
	}
	x.sessions[channel], x.connected[channel] = s, true
	if channel == attempt.Primary {
		x.permission, x.reused = permission, s.authenticated
		x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: loginTimeout})
	}
	if s.authenticated {
		x.handleLoggedIn(channel)
	}
	return x.flush()
}

// ConnectFailed handles a channel that got no connection.
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

// ConnectionLost handles the end of a channel's connection.
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

// reconnect starts over on a fresh connection after an idle one turned out to be closed. Engines close idle connections
// routinely, so this is not a failure of the attempt.
func (x *Exchange) reconnect() {
	x.phase, x.reused, x.setupQueue, x.definitionsLeft = phaseLogin, false, nil, 0
	x.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
}

// TimerFired handles the expiry of a timer that the exchange set.
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
		x.finish(x.outcome, nil)
	}
	return x.flush()
}

// Cancel gives the attempt up with the given outcome. If the query was not sent yet the attempt ends as NotSent at
// once; otherwise it ends when the engine has confirmed the query's end.
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

// Received handles bytes that arrived on a channel.
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

// handleResult handles bytes of the query's result, also of one that is being killed: its end confirms the kill.
func (x *Exchange) handleResult(b []byte) {
	relay, last, err := x.result.received(b)
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
	case x.result.rowsRelayed: // the client has rows already: the ERR packet is the end of its result
		x.finish(policy.Error, last)
	case outcomeOfError(x.result.errCode) == policy.OK:
		x.finish(policy.OK, last)
	default:
		x.finish(outcomeOfError(x.result.errCode), nil)
	}
}

// outcomeOfError classifies an engine's error code. Most errors are about the statement itself: those are a valid
// result (OK), which the client receives as it came.
func outcomeOfError(code int) policy.Outcome {
	switch code {
	case erConCount, erTooManyUserConnections:
		return policy.Rejected
	case erServerShutdown, erQueryInterrupted, erUnknownStatement, erQueryTimeout:
		return policy.Error
	}
	return policy.OK
}

// handleMalformed handles bytes that do not follow the protocol. They prove nothing about the end of a query that was
// sent, so that one is killed; before the query was sent the attempt ends.
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

// finish is the only end of an exchange: it stops all timers, releases or closes both channels and reports the
// outcome. last is the rest of the result for the client; where rows were relayed without their end, the client gets
// an ERR packet instead.
func (x *Exchange) finish(outcome policy.Outcome, last []byte) {
	if last == nil && x.result.rowsRelayed {
		last = x.result.truncationPacket()
	}
	reusable := x.primaryReusable()
	x.phase = phaseFinished
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

// primaryReusable reports whether another attempt may use the primary connection. After a KILL QUERY it never may: the
// engine could execute a late KILL against the next query. Nor may it in the middle of the setup commands.
func (x *Exchange) primaryReusable() bool {
	quiescent := x.phase == phaseLogin || x.phase == phaseQuerySent
	if !quiescent || !x.connected[attempt.Primary] {
		return false
	}
	s := x.sessions[attempt.Primary]
	return s.authenticated && len(s.packets.buf) == 0 && len(s.statementIDs) <= maxSessionStatements
}
