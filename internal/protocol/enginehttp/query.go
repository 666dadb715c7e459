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
	leave      attempt.Leave
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
	return q, q.flush(attempt.Open{Lane: attempt.Main})
}

func (q *Query) do(s ...attempt.Step) { q.steps = append(q.steps, s...) }

func (q *Query) flush(s ...attempt.Step) []attempt.Step {
	q.do(s...)
	out := q.steps
	q.steps = nil
	return out
}

// Opened says that a lane has its connection. leave tells, before the first byte, whether the attempt may still go
// out, and how long it may take.
func (q *Query) Opened(lane attempt.Lane, _ *any, leave attempt.Leave) []attempt.Step {
	if q.state == ended {
		return q.flush(attempt.Release{Lane: lane})
	}
	q.up[lane], q.read[lane] = true, Reader{}
	if lane == attempt.Main {
		q.doubt, q.news = false, [2]string{}
	}
	switch {
	case lane == attempt.Side:
		q.write(attempt.Side, q.call("DELETE", ""))
	case q.state == opening:
		q.leave = leave
		if left, ok := leave(false); ok {
			q.writePost(left)
			break
		}
		q.do(attempt.Release{Lane: attempt.Main})
		q.up[attempt.Main] = false
		q.end(policy.Moot)
	case q.state == running && q.due:
		q.postAgain()
	case q.state == running:
		q.write(attempt.Main, q.call("GET", "/0"))
	case q.state == paging:
		q.write(attempt.Main, q.call("GET", "/"+strconv.Itoa(len(q.pages))))
	default:
		q.do(attempt.Release{Lane: attempt.Main})
		q.up[attempt.Main] = false
	}
	return q.flush()
}

// Failed says that a lane got no connection.
func (q *Query) Failed(lane attempt.Lane) []attempt.Step {
	switch {
	case q.state == opening:
		q.end(policy.NoConnection)
	case q.state == paging:
		q.pageLost()
	case q.state == running || q.state == closing:
		// No proof that the query is over: an engine whose table of connections is full refuses too.
		q.do(attempt.Set{Alarm: attempt.Again, After: againWait})
	}
	return q.flush()
}

// Broke says that a lane's connection ended.
func (q *Query) Broke(lane attempt.Lane) []attempt.Step {
	if !q.up[lane] {
		return nil
	}
	q.up[lane], q.asked[lane] = false, false
	q.broken(lane)
	return q.flush()
}

func (q *Query) broken(lane attempt.Lane) {
	switch {
	case q.state == running && lane == attempt.Main:
		q.unread = q.unread || !q.responded
		// The query is tied to no connection: ask for it anew. An engine that breaks every one is not asked in a rush.
		q.do(attempt.Set{Alarm: attempt.Silence, After: 0})
		if q.spoilt++; q.spoilt > 1 {
			q.do(attempt.Set{Alarm: attempt.Again, After: againWait})
			return
		}
		q.do(attempt.Open{Lane: attempt.Main, Fresh: true})
	case q.state == paging:
		q.pageLost()
	case q.state == closing && lane == attempt.Side:
		q.do(attempt.Set{Alarm: attempt.Again, After: againWait})
	}
}

// Fed takes bytes of a lane.
func (q *Query) Fed(lane attempt.Lane, b []byte) []attempt.Step {
	if !q.up[lane] {
		return nil
	}
	q.responded = q.responded || lane == attempt.Main
	res, err := q.read[lane].Feed(b)
	if res != nil && q.asked[lane] {
		q.asked[lane] = false
		if res.Close || err != nil {
			q.drop(lane)
		}
		if lane == attempt.Side {
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

// Rang says that an alarm went off.
func (q *Query) Rang(a attempt.Alarm) []attempt.Step {
	switch {
	case q.state == ended:
	case a == attempt.Early:
		q.early = false
	case a == attempt.Lost && (q.state == running || q.state == closing):
		if q.state == running {
			q.final = policy.Reset
		}
		q.end(q.final)
	case a == attempt.Silence && q.state == running:
		q.unanswered = q.unanswered || !q.responded
		q.drop(attempt.Main)
		q.do(attempt.Open{Lane: attempt.Main, Fresh: true})
	case a == attempt.Silence && q.state == paging:
		q.malformed(attempt.Main)
	case a == attempt.Again && q.state == running && !q.up[attempt.Main]:
		q.do(attempt.Open{Lane: attempt.Main, Fresh: true})
	case a == attempt.Again && q.state == closing && !q.asked[attempt.Side]:
		q.askDelete()
	}
	return q.flush()
}

// GiveUp calls the attempt off; outcome is what it ends with once the engine has confirmed.
func (q *Query) GiveUp(outcome policy.Outcome) []attempt.Step {
	switch q.state {
	case opening: // nothing was written: a connection that is there serves others
		q.do(attempt.Release{Lane: attempt.Main})
		q.end(policy.Moot)
	case running:
		q.giveUp(outcome)
	case paging: // it is over at the engine: only the rest of its result is not wanted
		q.end(outcome)
	}
	return q.flush()
}

func (q *Query) giveUp(outcome policy.Outcome) {
	q.state, q.final = closing, outcome
	q.do(attempt.Set{Alarm: attempt.Silence, After: 0})
	if !q.up[attempt.Main] {
		q.do(attempt.Drop{Lane: attempt.Main}) // a reconnect under way is not wanted any more
	}
	q.askDelete()
}

// answered takes a response of the main lane.
func (q *Query) answered(res *Response) {
	q.calls++
	q.do(attempt.Set{Alarm: attempt.Silence, After: 0})
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
			q.do(attempt.Set{Alarm: attempt.Lost, After: unasked + slack})
			return
		}
		if q.up[attempt.Main] {
			q.write(attempt.Main, q.call("GET", "/0"))
		} else {
			q.do(attempt.Open{Lane: attempt.Main})
		}
		if q.unanswered { // an answer that was only lost would have been given again by now
			q.unanswered = false
			q.do(attempt.Overdue{})
		}
	case res.Status == 200:
		q.firstPage(res)
	case res.Status == 503 && never:
		q.end(policy.Full)
	case res.Status == 504 && never:
		q.end(policy.Moot)
	case res.Status == 500 && q.state == closing: // it is not known any more: given up, as was asked
		q.end(q.final)
	case res.Status == 500 && q.unread && q.posted < posts:
		q.postAgain()
	case res.Status == 500:
		q.end(policy.Error)
	default:
		q.malformed(attempt.Main)
	}
}

// malformed: an answer that cannot be read proves no end, and its connection is of no more use. The engine gives the
// answer of a query that ended well again, so it is asked for on a new one; only if that comes spoilt time after time
// is the query called off, and counts as failed.
func (q *Query) malformed(lane attempt.Lane) {
	q.drop(lane)
	switch {
	case lane == attempt.Side:
		q.do(attempt.Set{Alarm: attempt.Again, After: againWait})
	case q.state == paging:
		q.pageLost()
	case q.state == running:
		if q.spoilt++; q.spoilt >= tries {
			q.giveUp(policy.Error)
			return
		}
		q.do(attempt.Set{Alarm: attempt.Silence, After: 0}, attempt.Open{Lane: attempt.Main, Fresh: true})
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
		q.do(attempt.News{Done: done})
	}
}

// end is the single end of an attempt; connections with no call on them serve others. What an engine says of a query
// that it was sent twice proves nothing of the first time.
func (q *Query) end(outcome policy.Outcome) {
	if q.posted > 1 && outcome.NeverRan() {
		outcome = policy.Error
	}
	q.state = ended
	for a := range attempt.Alarms {
		q.do(attempt.Set{Alarm: a, After: 0})
	}
	for _, lane := range []attempt.Lane{attempt.Main, attempt.Side} {
		switch {
		case q.up[lane] && !q.asked[lane] && q.read[lane].Idle() && !(q.doubt && lane == attempt.Main):
			q.do(attempt.Release{Lane: lane})
		default:
			q.do(attempt.Drop{Lane: lane})
		}
		q.up[lane] = false
	}
	e := attempt.End{Outcome: outcome, Report: q.report}
	if outcome == policy.OK {
		e.Result = bytes.Join(q.pages, nil)
	}
	q.do(e)
}
