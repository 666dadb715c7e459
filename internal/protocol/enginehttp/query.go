package enginehttp

import (
	"bytes"
	"strconv"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// Times that follow from the engines' protocol: a poll is answered after 250 ms, and a query that was not asked
// for in 2 s ends by itself.
const (
	pollWait   = 250 * time.Millisecond
	unasked    = 2 * time.Second
	slack      = 250 * time.Millisecond
	pollSilent = pollWait + 50*time.Millisecond // a POST or a poll is answered after pollWait at the latest
	pageSilent = 150 * time.Millisecond         // and a page at once
	lostWait   = pollWait + unasked + slack
	againWait  = 150 * time.Millisecond
	earlyWait  = pollWait / 2 // well before an answer with no news is due
	maxPages   = 64
	maxResult  = 48000
	tries      = 4 // of a page, and of an answer that came spoilt
	posts      = 3 // of a query that the engine did not read
)

type state uint8

const (
	opening state = iota // nothing is written
	running              // the engine may have it
	paging               // it ended well, and pages are still to come
	closing              // it is given up, and the engine has not confirmed that
	ended
)

// Request is what a query hands to the engine, unchanged.
type Request struct {
	Host, ID, Class, Key string
	Statement            []byte
}

// Query carries one attempt.
type Query struct {
	req        Request
	state      state
	read       [2]Reader
	up         [2]bool // the lane has a connection
	asked      [2]bool // and a call on it awaits its response
	calls      int     // answered on the main lane's connection
	final      policy.Outcome
	pages      [][]byte
	size       int
	total      int // pages
	spoilt     int // answers in a row that could not be read
	report     string
	deletes    int
	leave      attempt.Permission
	posted     int       // how often the POST was written
	due        bool      // it is to be written anew
	responded  bool      // something came since it was
	unread     bool      // its connection broke before: perhaps the engine never had it
	unanswered bool      // nothing came of the POST in its time
	early      bool      // the answer to the last call cannot be one without news yet
	doubt      bool      // an answer on the main lane's connection may have been the second to a call: more may be under way
	news       [2]string // of the last answer on it
	steps      []attempt.Step
}

// NewQuery makes a query and its first steps.
func NewQuery(req Request) (*Query, []attempt.Step) {
	q := &Query{req: req}
	return q, q.flush(attempt.Open{Channel: attempt.Primary})
}

func (q *Query) do(s ...attempt.Step) { q.steps = append(q.steps, s...) }

func (q *Query) flush(s ...attempt.Step) []attempt.Step {
	q.do(s...)
	out := q.steps
	q.steps = nil
	return out
}

// Connected says that a lane has its connection. leave tells, before the first byte, whether the attempt may still go
// out, and how long it may take.
func (q *Query) Connected(lane attempt.Channel, _ *any, leave attempt.Permission) []attempt.Step {
	if q.state == ended {
		return q.flush(attempt.Release{Channel: lane})
	}
	q.up[lane], q.read[lane] = true, Reader{}
	if lane == attempt.Primary {
		q.doubt, q.news = false, [2]string{}
	}
	switch {
	case lane == attempt.Control:
		q.write(attempt.Control, q.call("DELETE", ""))
	case q.state == opening:
		q.leave = leave
		if left, ok := leave(false); ok {
			q.writePost(left)
			break
		}
		q.do(attempt.Release{Channel: attempt.Primary})
		q.up[attempt.Primary] = false
		q.end(policy.NotSent)
	case q.state == running && q.due:
		q.postAgain()
	case q.state == running:
		q.write(attempt.Primary, q.call("GET", "/0"))
	case q.state == paging:
		q.write(attempt.Primary, q.call("GET", "/"+strconv.Itoa(len(q.pages))))
	default:
		q.do(attempt.Release{Channel: attempt.Primary})
		q.up[attempt.Primary] = false
	}
	return q.flush()
}

// ConnectFailed says that a lane got no connection.
func (q *Query) ConnectFailed(lane attempt.Channel) []attempt.Step {
	switch {
	case q.state == opening:
		q.end(policy.NoConnection)
	case q.state == paging:
		q.pageLost()
	case q.state == running || q.state == closing:
		// No proof that the query is over: an engine whose table of connections is full refuses too.
		q.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	}
	return q.flush()
}

// ConnectionLost says that a lane's connection ended.
func (q *Query) ConnectionLost(lane attempt.Channel) []attempt.Step {
	if !q.up[lane] {
		return nil
	}
	q.up[lane], q.asked[lane] = false, false
	q.broken(lane)
	return q.flush()
}

func (q *Query) broken(lane attempt.Channel) {
	switch {
	case q.state == running && lane == attempt.Primary:
		q.unread = q.unread || !q.responded
		// The query is tied to no connection: ask for it anew. An engine that breaks every one is not asked in a rush.
		q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
		if q.spoilt++; q.spoilt > 1 {
			q.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
			return
		}
		q.do(attempt.Open{Channel: attempt.Primary, Fresh: true})
	case q.state == paging:
		q.pageLost()
	case q.state == closing && lane == attempt.Control:
		q.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	}
}

// Received takes bytes of a lane.
func (q *Query) Received(lane attempt.Channel, b []byte) []attempt.Step {
	if !q.up[lane] {
		return nil
	}
	q.responded = q.responded || lane == attempt.Primary
	res, err := q.read[lane].Feed(b)
	if res != nil && q.asked[lane] {
		q.asked[lane] = false
		if res.Close || err != nil {
			q.drop(lane)
		}
		if lane == attempt.Control {
			q.deleted(res)
		} else {
			q.answered(res)
		}
		return q.flush()
	}
	if err != nil || res != nil {
		q.malformed(lane)
	}
	return q.flush()
}

// TimerFired says that an alarm went off.
func (q *Query) TimerFired(a attempt.Timer) []attempt.Step {
	switch {
	case q.state == ended:
	case a == attempt.EarliestUpdate:
		q.early = false
	case a == attempt.UnreachableTimeout && (q.state == running || q.state == closing):
		if q.state == running {
			q.final = policy.Reset
		}
		q.end(q.final)
	case a == attempt.ResponseTimeout && q.state == running:
		q.unanswered = q.unanswered || !q.responded
		q.drop(attempt.Primary)
		q.do(attempt.Open{Channel: attempt.Primary, Fresh: true})
	case a == attempt.ResponseTimeout && q.state == paging:
		q.malformed(attempt.Primary)
	case a == attempt.RetryBackoff && q.state == running && !q.up[attempt.Primary]:
		q.do(attempt.Open{Channel: attempt.Primary, Fresh: true})
	case a == attempt.RetryBackoff && q.state == closing && !q.asked[attempt.Control]:
		q.askDelete()
	}
	return q.flush()
}

// Cancel calls the attempt off; outcome is what it ends with once the engine has confirmed.
func (q *Query) Cancel(outcome policy.Outcome) []attempt.Step {
	switch q.state {
	case opening: // nothing was written: a connection that is there serves others
		q.do(attempt.Release{Channel: attempt.Primary})
		q.end(policy.NotSent)
	case running:
		q.giveUp(outcome)
	case paging: // it is over at the engine: only the rest of its result is not wanted
		q.end(outcome)
	}
	return q.flush()
}

func (q *Query) giveUp(outcome policy.Outcome) {
	q.state, q.final = closing, outcome
	q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	if !q.up[attempt.Primary] {
		q.do(attempt.Close{Channel: attempt.Primary}) // a reconnect under way is not wanted any more
	}
	q.askDelete()
}

// answered takes a response of the main lane.
func (q *Query) answered(res *Response) {
	q.calls++
	q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	if q.state == paging {
		q.page(res)
		return
	}
	if report := res.Head.Get("X-Report"); report != "" {
		q.report = report
	}
	never := res.Head.Get("X-No-Effect") == "1"
	switch {
	case res.Status == 202:
		q.spoilt, q.unread = 0, false
		q.suspect(res)
		q.note(res)
		if q.state == closing { // no further poll: the engine gives it up by itself, if the DELETE fails
			q.do(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: unasked + slack})
			return
		}
		if q.up[attempt.Primary] {
			q.write(attempt.Primary, q.call("GET", "/0"))
		} else {
			q.do(attempt.Open{Channel: attempt.Primary})
		}
		if q.unanswered { // an answer that was only lost would have been given again by now
			q.unanswered = false
			q.do(attempt.ResponseOverdue{})
		}
	case res.Status == 200:
		q.firstPage(res)
	case res.Status == 503 && never:
		q.end(policy.Rejected)
	case res.Status == 504 && never:
		q.end(policy.NotSent)
	case res.Status == 500 && q.state == closing: // it is not known any more: given up, as was asked
		q.end(q.final)
	case res.Status == 500 && q.unread && q.posted < posts:
		q.postAgain()
	case res.Status == 500:
		q.end(policy.Error)
	default:
		q.malformed(attempt.Primary)
	}
}

// malformed: an answer that cannot be read proves no end, and its connection is of no more use. The engine gives the
// answer of a query that ended well again, so it is asked for on a new one; only if that comes spoilt time after time
// is the query called off, and counts as failed.
func (q *Query) malformed(lane attempt.Channel) {
	q.drop(lane)
	switch {
	case lane == attempt.Control:
		q.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
	case q.state == paging:
		q.pageLost()
	case q.state == running:
		if q.spoilt++; q.spoilt >= tries {
			q.giveUp(policy.Error)
			return
		}
		q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0}, attempt.Open{Channel: attempt.Primary, Fresh: true})
	}
}

// suspect looks for a second answer to the call before: one without news that comes before the engine can have waited for
// some, or the last news once more. All that is asked from then on is answered one call late, and the last answer is still to
// come when the query has ended: the connection must not serve another.
func (q *Query) suspect(res *Response) {
	news := [2]string{res.Head.Get("X-Tell"), res.Head.Get("Figure")}
	q.doubt = q.doubt || q.early && (news[0] == "" || news == q.news)
	q.news = news
}

func (q *Query) note(res *Response) {
	if res.Head.Get("X-Tell") != "done" {
		return
	}
	if done, err := strconv.ParseFloat(res.Head.Get("Figure"), 64); err == nil && done >= 0 && done <= 1 {
		q.do(attempt.Progress{Done: done})
	}
}

// end is the single end of an attempt; connections with no call on them serve others. What an engine says of a query
// that it was sent twice proves nothing of the first time.
func (q *Query) end(outcome policy.Outcome) {
	if q.posted > 1 && outcome.NeverRan() {
		outcome = policy.Error
	}
	q.state = ended
	for a := range attempt.TimerCount {
		q.do(attempt.SetTimer{Timer: a, After: 0})
	}
	for _, lane := range []attempt.Channel{attempt.Primary, attempt.Control} {
		switch {
		case q.up[lane] && !q.asked[lane] && q.read[lane].Idle() && !(q.doubt && lane == attempt.Primary):
			q.do(attempt.Release{Channel: lane})
		default:
			q.do(attempt.Close{Channel: lane})
		}
		q.up[lane] = false
	}
	e := attempt.End{Outcome: outcome, Report: q.report}
	if outcome == policy.OK {
		e.Result = bytes.Join(q.pages, nil)
	}
	q.do(e)
}
