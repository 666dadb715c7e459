package mysql

import (
	"fmt"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// killQuery requests that the engine kill the query. The attempt stays in flight until the end of the result arrives on the
// primary connection or, if that connection is lost, until the engine confirms the KILL. Without a confirmation the query may still run, so
// that the attempt stays in flight while another one could follow it.
func (x *Exchange) killQuery(outcome policy.Outcome) {
	x.phase, x.outcome = phaseKilling, outcome
	x.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout})
	if x.timeLeftPassed || x.result.rowsRelayed {
		x.awaitKillConfirmation()
	}
	x.sendKill()
}

// awaitKillConfirmation ends the attempt after killConfirmTimeout, unless it ends before. No other attempt can follow.
func (x *Exchange) awaitKillConfirmation() {
	x.timeLeftPassed = true
	x.emit(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: killConfirmTimeout})
}

// unreachableTimeoutExpired handles the end of the time that permission gave to the attempt, or of killConfirmTimeout after it.
func (x *Exchange) unreachableTimeoutExpired() {
	switch {
	case x.phase != phaseKilling:
		x.timeLeftPassed = true
	case x.timeLeftPassed:
		x.finish(x.outcome, nil)
	default:
		x.awaitKillConfirmation()
	}
}

// sendKill sends KILL QUERY on the control channel, or opens the channel first.
func (x *Exchange) sendKill() {
	if !x.connected[attempt.Control] {
		x.controlFresh = x.outcome == policy.Reset || !x.connected[attempt.Primary]
		x.emit(attempt.Open{Channel: attempt.Control, Fresh: x.controlFresh})
		return
	}
	if !x.sessions[attempt.Control].authenticated {
		return // handleLoggedIn calls sendKill again
	}
	x.killSent = true
	statement := fmt.Appendf(nil, "KILL QUERY %d", x.sessions[attempt.Primary].connectionID)
	x.write(attempt.Control, commandPacket(comQuery, statement))
}

// handleControlLoggedIn kills the query once the control connection is ready. If the primary connection has been lost meanwhile, a pooled
// control connection may lead to another process, so that a new one is opened.
func (x *Exchange) handleControlLoggedIn() {
	switch {
	case x.connected[attempt.Primary]:
		x.sendKill()
	case !x.controlFresh:
		x.closeChannel(attempt.Control)
		x.sendKill()
	case x.controlLogin && x.engineRestarted():
		x.finish(x.outcome, nil)
	default:
		x.sendKill()
	}
}

// engineRestarted reports whether another process has taken the place of the one that ran the query, which has ended with it: the id of a
// new control connection is not above that of the lost primary one, although a server numbers its connections in ascending order, with 32
// bits. In the new process the id may belong to a connection of another client, whose query KILL QUERY would end.
func (x *Exchange) engineRestarted() bool {
	control, primary := x.sessions[attempt.Control].connectionID, x.sessions[attempt.Primary].connectionID
	return int32(control-primary) <= 0
}

func (x *Exchange) scheduleKillRetry() {
	x.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: killRetryBackoff})
}

// handleKillResponse handles the response to KILL QUERY. While the primary connection is open, the attempt ends with the end of
// the result on it; otherwise this response is the only confirmation. ER_NO_SUCH_THREAD also confirms that the query has ended.
func (x *Exchange) handleKillResponse(p packet) {
	if !confirmsKill(p.payload) {
		x.killSent = false
		x.scheduleKillRetry()
		return
	}
	if !x.connected[attempt.Primary] {
		x.finish(x.outcome, nil)
	}
}

func confirmsKill(payload []byte) bool {
	if len(payload) == 0 {
		return false
	}
	return payload[0] == okHeader || payload[0] == errHeader && errPacketCode(payload) == erNoSuchThread
}
