package mysql

import (
	"encoding/binary"
	"errors"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// setupCommand is a command that must precede the query on the primary channel, with the expected response.
type setupCommand struct {
	packet   []byte
	response expectedResponse
	apply    func(*session) // records the effect in the session; may be nil
}

type expectedResponse uint8

const (
	expectOK expectedResponse = iota
	expectPrepareOK
)

// minPrepareOK is the minimum payload size of a COM_STMT_PREPARE_OK packet.
const minPrepareOK = 12

// handleLoginPacket handles a packet of the connection phase.
func (x *Exchange) handleLoginPacket(channel attempt.Channel, s *session, p packet) {
	response, err := s.handleLogin(p, x.credentials)
	if err != nil {
		x.handleLoginError(channel, err)
		return
	}
	x.write(channel, response)
	if s.authenticated {
		x.handleLoggedIn(channel)
	}
}

// handleLoginError handles a failed login. The error "too many connections" is a sign of load, not of an unhealthy engine.
func (x *Exchange) handleLoginError(channel attempt.Channel, err error) {
	x.closeChannel(channel)
	var rejection *engineError
	switch {
	case channel == attempt.Control:
		x.scheduleKillRetry()
	case errors.As(err, &rejection) && outcomeOfError(rejection.code) == policy.Rejected:
		x.finish(policy.Rejected, nil)
	default:
		x.finish(policy.NoConnection, nil)
	}
}

// handleLoggedIn continues on a channel whose login is complete.
func (x *Exchange) handleLoggedIn(channel attempt.Channel) {
	if channel == attempt.Control {
		x.handleControlLoggedIn()
		return
	}
	if x.hasForeignSchema(x.sessions[attempt.Primary]) {
		x.closeChannel(attempt.Primary)
		x.reconnect()
		return
	}
	x.queueSetup(x.sessions[attempt.Primary])
	if _, ok := x.permission(false); !ok {
		x.finish(policy.NotSent, nil)
		return
	}
	x.phase = phaseSetup
	x.sendNext()
}

// queueSetup queues the commands that must precede the query: selecting the schema and preparing the statement, unless done in
// this session before, and setting the idempotency key, or removing that of an earlier query.
func (x *Exchange) queueSetup(s *session) {
	if x.query.Schema != s.schema {
		x.queue(expectOK, commandPacket(comInitDB, []byte(x.query.Schema)), func(s *session) { s.schema = x.query.Schema })
	}
	switch {
	case x.query.IdempotencyKey != "":
		s.replayKeySet = true
		x.queue(expectOK, commandPacket(comQuery, []byte("SET @replay_key="+x.query.IdempotencyKey)), nil)
	case s.replayKeySet:
		x.queue(expectOK, commandPacket(comQuery, []byte("SET @replay_key=NULL")), func(s *session) { s.replayKeySet = false })
	}
	execution := x.query.Execution
	if execution == nil {
		return
	}
	x.statementKey = newStatementKey(x.query.Schema, execution.Text)
	id, prepared := s.statementIDs[x.statementKey]
	x.statementID = id
	if !prepared {
		x.queue(expectPrepareOK, commandPacket(comStmtPrepare, []byte(execution.Text)), nil)
	}
}

func (x *Exchange) queue(response expectedResponse, packet []byte, apply func(*session)) {
	x.setupQueue = append(x.setupQueue, setupCommand{packet: packet, response: response, apply: apply})
}

// hasForeignSchema reports whether a session has a schema although the query has none. A session cannot return to having no schema.
func (x *Exchange) hasForeignSchema(s *session) bool { return x.query.Schema == "" && s.schema != "" }

// sendNext sends the next setup command or, after the last one, the query.
func (x *Exchange) sendNext() {
	if len(x.setupQueue) > 0 {
		x.write(attempt.Primary, x.setupQueue[0].packet)
		return
	}
	// The engine may have started to drain during the setup. The query must then be sent to another engine.
	timeLeft, ok := x.permission(false)
	if !ok {
		x.finish(policy.NotSent, nil)
		return
	}
	x.phase = phaseQuerySent
	x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout}, attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: timeLeft})
	if execution := x.query.Execution; execution != nil {
		x.write(attempt.Primary, append(execution.longDataPackets(x.statementID), execution.executePacket(x.statementID)...))
		return
	}
	x.write(attempt.Primary, commandPacket(comQuery, []byte(x.query.Text)))
}

// handleSetupResponse handles the response to the first command in the setup queue.
func (x *Exchange) handleSetupResponse(p packet) {
	if len(x.setupQueue) == 0 || len(p.payload) == 0 {
		x.handleMalformed(attempt.Primary)
		return
	}
	if p.payload[0] == errHeader {
		x.handleSetupError(p)
		return
	}
	command := x.setupQueue[0]
	x.setupQueue = x.setupQueue[1:]
	switch {
	case p.payload[0] != okHeader:
		x.handleMalformed(attempt.Primary)
	case command.response == expectPrepareOK:
		x.handlePrepareOK(p.payload)
	default:
		if command.apply != nil {
			command.apply(x.sessions[attempt.Primary])
		}
		x.sendNext()
	}
}

// handlePrepareOK handles a COM_STMT_PREPARE_OK packet: header, statement id, number of columns, number of parameters.
func (x *Exchange) handlePrepareOK(payload []byte) {
	if len(payload) < minPrepareOK {
		x.handleMalformed(attempt.Primary)
		return
	}
	x.statementID = binary.LittleEndian.Uint32(payload[1:])
	columns := int(binary.LittleEndian.Uint16(payload[5:]))
	params := int(binary.LittleEndian.Uint16(payload[7:]))
	// With a different number of parameters, the engine would bind the values to other parameters than the client.
	if params != x.query.Execution.Params {
		x.handleMalformed(attempt.Primary)
		return
	}
	x.sessions[attempt.Primary].statementIDs[x.statementKey] = x.statementID
	x.definitionsLeft += definitionPackets(columns) + definitionPackets(params)
	if x.definitionsLeft == 0 {
		x.sendNext()
	}
}

// definitionPackets returns the number of packets that follow for the definitions: one each and an EOF packet, or none.
func definitionPackets(definitions int) int {
	if definitions == 0 {
		return 0
	}
	return definitions + 1
}

// handleSetupError handles an ERR packet in response to a setup command. The query has not run. An error about the statement
// itself is the result of the query.
func (x *Exchange) handleSetupError(p packet) {
	x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout})
	switch outcomeOfError(errPacketCode(p.payload)) {
	case policy.OK:
		x.finish(policy.OK, frame(1, p.payload)) // the client expects sequence id 1
	case policy.Rejected:
		x.finish(policy.Rejected, nil)
	default:
		x.closeChannel(attempt.Primary)
		x.finish(policy.NoConnection, nil)
	}
}
