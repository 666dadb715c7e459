package mysql

import (
	"fmt"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// killQuery requests that the engine kill the query. The attempt stays in flight until the end of the result arrives on the
// primary connection or, if that connection is lost, until the engine confirms the KILL.
func (x *Exchange) killQuery(outcome policy.Outcome) {
	x.phase, x.outcome = phaseKilling, outcome
	x.emit(
		attempt.SetTimer{Timer: attempt.ResponseTimeout},
		attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: killConfirmTimeout},
	)
	x.sendKill()
}

// sendKill sends KILL QUERY on the control channel, or opens the channel first.
func (x *Exchange) sendKill() {
	if !x.connected[attempt.Control] {
		x.emit(attempt.Open{Channel: attempt.Control, Fresh: x.outcome == policy.Reset})
		return
	}
	if !x.sessions[attempt.Control].authenticated {
		return // handleLoggedIn calls sendKill again
	}
	x.killSent = true
	statement := fmt.Appendf(nil, "KILL QUERY %d", x.sessions[attempt.Primary].connectionID)
	x.write(attempt.Control, commandPacket(comQuery, statement))
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
