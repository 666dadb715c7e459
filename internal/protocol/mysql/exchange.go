package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// Times of the engines' side.
const (
	loginWait = 2 * time.Second        // for a login, and for what comes before the query
	stallWait = 30 * time.Second       // between two pieces of an answer that has begun
	lostWait  = 5 * time.Second        // for the confirmation that a query was killed
	againWait = 150 * time.Millisecond // between two tries to kill
)

// The errors of an engine by what they say of the query. Any other is the statement's own: it is the answer.
const (
	codeTooMany     = 1040
	codeTooManyUser = 1203
	codeShutdown    = 1053
	codeInterrupted = 1317
	codeNoThread    = 1094
	codeUnknownStmt = 1243
	codeQueryTime   = 3024
)

type phase uint8

const (
	logging phase = iota // nothing of the query went out
	setting              // schema, key and statement are on their way: nothing ran
	asked                // the query went out
	killing              // it is given up, and the engine has not confirmed that
	finished
)

// setup is a command that goes before the query.
type setup struct {
	bytes []byte
	reply reply
}

type reply uint8

const (
	plainOK reply = iota
	prepared
)

// Exchange carries one attempt of a call to an engine.
type Exchange struct {
	call   *Call
	login  login
	phase  phase
	lane   [2]*session
	up     [2]bool
	reused bool // the main lane's connection has served before
	leave  attempt.Permission
	todo   []setup
	skip   int // packets of a preparation that are still to come
	stmt   uint32
	answer result
	final  policy.Outcome
	killed bool // the KILL went out on the side lane
	steps  []attempt.Step
}

// NewExchange makes an exchange and its first steps.
func NewExchange(call *Call, user, password string) (*Exchange, []attempt.Step) {
	x := &Exchange{call: call, login: login{user, password}}
	return x, x.flush(attempt.Open{Channel: attempt.Primary})
}

func (x *Exchange) do(s ...attempt.Step) { x.steps = append(x.steps, s...) }

func (x *Exchange) flush(s ...attempt.Step) []attempt.Step {
	x.do(s...)
	out := x.steps
	x.steps = nil
	return out
}

func (x *Exchange) write(lane attempt.Channel, b []byte) {
	if len(b) > 0 {
		x.do(attempt.Write{Channel: lane, Bytes: b})
	}
}

// Connected says that a lane has its connection.
func (x *Exchange) Connected(lane attempt.Channel, memory *any, leave attempt.Permission) []attempt.Step {
	s, _ := (*memory).(*session)
	if s == nil {
		s = newSession()
		*memory = s
	}
	x.lane[lane], x.up[lane] = s, true
	if lane == attempt.Primary {
		x.leave, x.reused = leave, s.ready
		x.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: loginWait})
	}
	if s.ready {
		x.loggedIn(lane)
	}
	return x.flush()
}

// ConnectFailed says that a lane got no connection.
func (x *Exchange) ConnectFailed(lane attempt.Channel) []attempt.Step {
	switch {
	case x.phase == finished:
	case lane == attempt.Primary:
		x.end(policy.NoConnection)
	default:
		x.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	}
	return x.flush()
}

// ConnectionLost says that a lane's connection ended.
func (x *Exchange) ConnectionLost(lane attempt.Channel) []attempt.Step {
	if x.up[lane] {
		x.up[lane] = false
		x.lost(lane)
	}
	return x.flush()
}

func (x *Exchange) lost(lane attempt.Channel) {
	switch {
	case x.phase == finished:
	case lane == attempt.Control:
		x.killed = false
		x.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	case x.phase == logging, x.phase == setting:
		if x.reused { // the engine closed an idle connection: that says nothing against it
			x.phase, x.reused, x.todo, x.skip = logging, false, nil, 0
			x.do(attempt.Open{Channel: attempt.Primary, Fresh: true})
			return
		}
		x.end(policy.NoConnection)
	case x.phase == asked:
		x.giveUp(policy.Reset) // it may still run there
	}
}

// TimerFired says that an alarm went off.
func (x *Exchange) TimerFired(a attempt.Timer) []attempt.Step {
	switch {
	case x.phase == finished:
	case a == attempt.ResponseTimeout && x.phase < asked:
		x.drop(attempt.Primary)
		x.end(policy.NoConnection)
	case a == attempt.ResponseTimeout && x.phase == asked:
		x.giveUp(policy.Reset)
	case a == attempt.RetryBackoff && x.phase == killing && !x.killed:
		x.kill()
	case a == attempt.UnreachableTimeout:
		x.end(x.final)
	}
	return x.flush()
}

// Cancel calls the attempt off.
func (x *Exchange) Cancel(outcome policy.Outcome) []attempt.Step {
	switch x.phase {
	case logging, setting: // nothing ran
		x.drop(attempt.Primary)
		x.end(policy.NotSent)
	case asked:
		x.giveUp(outcome)
	}
	return x.flush()
}

// giveUp has the query killed. It is out until its own connection tells its end or, where that is lost, the engine
// confirms the kill.
func (x *Exchange) giveUp(outcome policy.Outcome) {
	x.phase, x.final = killing, outcome
	x.do(attempt.SetTimer{Timer: attempt.ResponseTimeout}, attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: lostWait})
	x.kill()
}

func (x *Exchange) kill() {
	if !x.up[attempt.Control] {
		x.do(attempt.Open{Channel: attempt.Control, Fresh: x.final == policy.Reset})
		return
	}
	if x.lane[attempt.Control].ready {
		x.killed = true
		x.write(attempt.Control, command(comQuery, fmt.Appendf(nil, "KILL QUERY %d", x.lane[attempt.Primary].thread)))
	}
}

// Received takes bytes that a lane brought.
func (x *Exchange) Received(lane attempt.Channel, b []byte) []attempt.Step {
	if !x.up[lane] || x.phase == finished {
		return nil
	}
	if lane == attempt.Primary && x.phase >= asked {
		x.answered(b)
		return x.flush()
	}
	s := x.lane[lane]
	s.in.feed(b)
	for x.up[lane] && x.phase != finished {
		p, ok, err := s.in.next()
		if err != nil {
			x.malformed(lane)
			break
		}
		if !ok {
			break
		}
		x.packet(lane, s, p)
	}
	return x.flush()
}

func (x *Exchange) packet(lane attempt.Channel, s *session, p packet) {
	switch {
	case !s.ready:
		out, err := s.greet(p, x.login)
		if err != nil {
			x.refused(lane, err)
			return
		}
		x.write(lane, out)
		if s.ready {
			x.loggedIn(lane)
		}
	case lane == attempt.Control:
		x.confirmed(p)
	case x.skip > 0:
		if x.skip--; x.skip == 0 {
			x.next()
		}
	default:
		x.setUp(p)
	}
}

// refused: the engine did not let us in. That it has too many connections is no fault of its health.
func (x *Exchange) refused(lane attempt.Channel, err error) {
	x.drop(lane)
	var said *engineError
	switch {
	case lane == attempt.Control:
		x.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	case errors.As(err, &said) && (said.code == codeTooMany || said.code == codeTooManyUser):
		x.end(policy.Rejected)
	default:
		x.end(policy.NoConnection)
	}
}

func (x *Exchange) loggedIn(lane attempt.Channel) {
	if lane == attempt.Control {
		x.kill()
		return
	}
	s := x.lane[attempt.Primary]
	if x.call.Schema != "" && x.call.Schema != s.schema {
		x.todo = append(x.todo, setup{command(comInitDB, []byte(x.call.Schema)), plainOK})
	}
	if x.call.Key != "" {
		x.todo = append(x.todo, setup{command(comQuery, []byte("SET @replay_key="+x.call.Key)), plainOK})
	}
	if e := x.call.Execute; e != nil {
		id, known := s.prepared[x.prepareKey()]
		if x.stmt = id; !known {
			x.todo = append(x.todo, setup{command(comPrepare, []byte(e.Text)), prepared})
		}
	}
	if _, ok := x.leave(false); !ok {
		x.end(policy.NotSent)
		return
	}
	x.phase = setting
	x.next()
}

// prepareKey: a statement means what it does in the schema that it was prepared in.
func (x *Exchange) prepareKey() string { return x.call.Schema + "\x00" + x.call.Execute.Text }

// next sends what goes before the query, one after the other, and then the query.
func (x *Exchange) next() {
	if len(x.todo) > 0 {
		x.write(attempt.Primary, x.todo[0].bytes)
		return
	}
	if _, ok := x.leave(false); !ok { // the engine may drain since: what was prepared there is prepared elsewhere
		x.end(policy.NotSent)
		return
	}
	x.phase = asked
	x.do(attempt.SetTimer{Timer: attempt.ResponseTimeout})
	if e := x.call.Execute; e != nil {
		x.write(attempt.Primary, append(e.longData(x.stmt), e.command(x.stmt)...))
		return
	}
	x.write(attempt.Primary, command(comQuery, []byte(x.call.Text)))
}

// setUp takes the answer to a command that goes before the query.
func (x *Exchange) setUp(p packet) {
	if len(x.todo) == 0 || len(p.payload) == 0 {
		x.malformed(attempt.Primary)
		return
	}
	if p.payload[0] == 0xff {
		x.setUpFailed(p)
		return
	}
	s, todo := x.lane[attempt.Primary], x.todo[0]
	x.todo = x.todo[1:]
	switch {
	case todo.reply == plainOK && p.payload[0] == 0:
		if todo.bytes[headSize] == comInitDB {
			s.schema = x.call.Schema
		}
		x.next()
	case todo.reply == prepared && p.payload[0] == 0 && len(p.payload) >= 12:
		x.stmt = binary.LittleEndian.Uint32(p.payload[1:])
		columns, params := int(binary.LittleEndian.Uint16(p.payload[5:])), int(binary.LittleEndian.Uint16(p.payload[7:]))
		if params != x.call.Execute.Params {
			x.malformed(attempt.Primary) // the execute would bind other parameters than the client means
			return
		}
		s.prepared[x.prepareKey()] = x.stmt
		for _, n := range []int{columns, params} {
			if n > 0 {
				x.skip += n + 1 // the definitions and the end behind them
			}
		}
		if x.skip == 0 {
			x.next()
		}
	default:
		x.malformed(attempt.Primary)
	}
}

// setUpFailed: an error before the query. One of the statement's own is its answer.
func (x *Exchange) setUpFailed(p packet) {
	x.do(attempt.SetTimer{Timer: attempt.ResponseTimeout})
	switch o := outcomeOf(errorCode(p.payload)); o {
	case policy.OK:
		x.finish(policy.OK, errorAs(1, p))
	case policy.Rejected:
		x.end(policy.Rejected)
	default:
		x.drop(attempt.Primary)
		x.end(policy.NoConnection) // nothing ran
	}
}

// errorAs gives an error packet the number that the client expects.
func errorAs(seq byte, p packet) []byte { return frame(seq, p.payload) }

// outcomeOf tells what an engine's error says: that it has no room, that the engine or our own kill ended the
// query, or, as most do, what is wrong with the statement. Those pass to the client as they came.
func outcomeOf(code int) policy.Outcome {
	switch code {
	case codeTooMany, codeTooManyUser:
		return policy.Rejected
	case codeShutdown, codeInterrupted, codeUnknownStmt, codeQueryTime:
		return policy.Error
	}
	return policy.OK
}

// answered takes bytes of the query's answer.
func (x *Exchange) answered(b []byte) {
	pass, last, err := x.answer.feed(b)
	if x.phase == asked && len(pass) > 0 {
		x.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: stallWait}, attempt.Relay{Bytes: pass})
	}
	switch {
	case err != nil:
		x.malformed(attempt.Primary)
	case !x.answer.over:
	case x.phase == killing: // whatever it says, it is over
		x.finish(x.final, nil)
	case x.answer.failed == 0:
		x.finish(policy.OK, last)
	case x.answer.began: // rows went out: the error is the end of the answer
		x.finish(policy.Error, last)
	case outcomeOf(x.answer.failed) == policy.OK:
		x.finish(policy.OK, last)
	default:
		x.finish(outcomeOf(x.answer.failed), nil)
	}
}

// confirmed takes the answer to a KILL. While the query's own connection lives, its end is awaited there.
func (x *Exchange) confirmed(p packet) {
	ok := len(p.payload) > 0 && (p.payload[0] == 0 || p.payload[0] == 0xff && errorCode(p.payload) == codeNoThread)
	switch {
	case ok && !x.up[attempt.Primary]:
		x.finish(x.final, nil)
	case !ok:
		x.killed = false
		x.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	}
}

// malformed: what cannot be read proves no end. Before the query nothing ran; after, it is killed.
func (x *Exchange) malformed(lane attempt.Channel) {
	x.drop(lane)
	switch {
	case lane == attempt.Control:
		x.killed = false
		x.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	case x.phase < asked:
		x.end(policy.NoConnection)
	case x.phase == asked:
		x.giveUp(policy.Error)
	}
}

func (x *Exchange) drop(lane attempt.Channel) {
	x.up[lane] = false
	x.do(attempt.Close{Channel: lane})
}

func (x *Exchange) end(outcome policy.Outcome) { x.finish(outcome, nil) }

// finish is the single end. Where rows went out without their end, the client is told so.
func (x *Exchange) finish(outcome policy.Outcome, last []byte) {
	if last == nil && x.answer.began {
		last = x.answer.broken()
	}
	clean := x.phase == logging || x.phase == asked // a late KILL must not hit another's query
	x.phase = finished
	for a := range attempt.TimerCount {
		x.do(attempt.SetTimer{Timer: a})
	}
	for _, lane := range []attempt.Channel{attempt.Primary, attempt.Control} {
		s := x.lane[lane]
		switch {
		case !x.up[lane]:
			x.do(attempt.Close{Channel: lane})
		case s.ready && len(s.in.buf) == 0 && len(s.prepared) <= maxPrepared && (lane == attempt.Primary && clean):
			x.do(attempt.Release{Channel: lane})
		default: // in the middle of something
			x.do(attempt.Close{Channel: lane})
		}
		x.up[lane] = false
	}
	x.do(attempt.End{Outcome: outcome, Result: last})
}
