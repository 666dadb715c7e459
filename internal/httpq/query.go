package httpq

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"frostpier/policy"
)

// Lane is one of the two connections that a query may use: a call that must not queue behind a poll has its own.
type Lane uint8

// The lanes.
const (
	Main Lane = iota // the POST, polls and pages
	Side             // the DELETE
)

// Alarm is a wait of a query.
type Alarm uint8

// The alarms.
const (
	Silence Alarm = iota // no answer to a call for longer than any poll takes
	Lost                 // the engine was not asked for so long that it has given the query up by itself
	Again                // pause before a further try to reach the engine
	alarms
)

// Times that follow from the engines' protocol: a poll is answered after 250 ms, and a query that was not asked
// for in 2 s ends by itself.
const (
	pollWait   = 250 * time.Millisecond
	unasked    = 2 * time.Second
	slack      = 250 * time.Millisecond
	silentWait = 4 * pollWait
	lostWait   = pollWait + unasked + slack
	againWait  = 150 * time.Millisecond
	maxPages   = 64
	maxResult  = 48000
	pageTries  = 2
)

// Step is something that the driver is to do for a query.
type Step interface{ step() }

type (
	// Open asks for a connection: an idle one or, if Fresh, a new one.
	Open struct {
		Lane  Lane
		Fresh bool
	}
	// Write sends bytes.
	Write struct {
		Lane  Lane
		Bytes []byte
	}
	// Release gives a connection back for other queries, Drop closes it.
	Release struct{ Lane Lane }
	// Drop closes a connection, or ends the wait for one.
	Drop struct{ Lane Lane }
	// Set starts an alarm anew; 0 stops it.
	Set struct {
		Alarm Alarm
		After time.Duration
	}
	// News is a note on a running query: the share done.
	News struct{ Done float64 }
	// End is the one end of the attempt: it is not out any more.
	End struct {
		Outcome policy.Outcome
		Result  []byte
		Report  string // the load report as it came
	}
)

func (Open) step()    {}
func (Write) step()   {}
func (Release) step() {}
func (Drop) step()    {}
func (Set) step()     {}
func (News) step()    {}
func (End) step()     {}

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
	req     Request
	state   state
	read    [2]Reader
	up      [2]bool // the lane has a connection
	asked   [2]bool // and a call on it awaits its response
	calls   int     // answered on the main lane's connection
	final   policy.Outcome
	pages   [][]byte
	size    int
	total   int // pages
	tries   int // of the present page
	report  string
	deletes int
	steps   []Step
}

// NewQuery makes a query and its first steps.
func NewQuery(req Request) (*Query, []Step) {
	q := &Query{req: req}
	return q, q.flush(Open{Lane: Main})
}

func (q *Query) do(s ...Step) { q.steps = append(q.steps, s...) }

func (q *Query) flush(s ...Step) []Step {
	q.do(s...)
	out := q.steps
	q.steps = nil
	return out
}

// Opened says that a lane has its connection. leave tells, before the first byte, whether the attempt may still go
// out, and how long it may take.
func (q *Query) Opened(lane Lane, leave func() (time.Duration, bool)) []Step {
	if q.state == ended {
		return q.flush(Release{lane})
	}
	q.up[lane], q.read[lane] = true, Reader{}
	switch {
	case lane == Side:
		q.write(Side, q.call("DELETE", ""))
	case q.state == opening:
		left, ok := leave()
		if !ok {
			q.do(Release{Main})
			q.up[Main] = false
			q.end(policy.Moot)
			break
		}
		q.state = running
		q.write(Main, q.post(left))
	case q.state == running:
		q.write(Main, q.call("GET", "/0"))
	case q.state == paging:
		q.write(Main, q.call("GET", "/"+strconv.Itoa(len(q.pages))))
	default:
		q.do(Release{Main})
		q.up[Main] = false
	}
	return q.flush()
}

// Failed says that a lane got no connection.
func (q *Query) Failed(lane Lane) []Step {
	switch {
	case q.state == opening:
		q.end(policy.NoConnection)
	case q.state == paging:
		q.pageLost()
	case q.state == running || q.state == closing:
		// No proof that the query is over: an engine whose table of connections is full refuses too.
		q.do(Set{Again, againWait})
	}
	return q.flush()
}

// Broke says that a lane's connection ended.
func (q *Query) Broke(lane Lane) []Step {
	if !q.up[lane] {
		return nil
	}
	q.up[lane], q.asked[lane] = false, false
	q.broken(lane)
	return q.flush()
}

func (q *Query) broken(lane Lane) {
	switch {
	case q.state == running && lane == Main:
		q.do(Set{Silence, 0}, Open{Lane: Main, Fresh: true}) // the query is tied to no connection: ask for it anew
	case q.state == paging:
		q.pageLost()
	case q.state == closing && lane == Side:
		q.do(Set{Again, againWait})
	}
}

// Fed takes bytes of a lane.
func (q *Query) Fed(lane Lane, b []byte) []Step {
	if !q.up[lane] {
		return nil
	}
	res, err := q.read[lane].Feed(b)
	if res != nil && q.asked[lane] {
		q.asked[lane] = false
		if res.Close || err != nil {
			q.drop(lane)
		}
		if lane == Side {
			q.deleted(res)
		} else {
			q.answered(res)
		}
		return q.flush()
	}
	if err != nil || res != nil {
		q.drop(lane)
		q.malformed(lane)
	}
	return q.flush()
}

// Rang says that an alarm went off.
func (q *Query) Rang(a Alarm) []Step {
	switch {
	case q.state == ended:
	case a == Lost && (q.state == running || q.state == closing):
		if q.state == running {
			q.final = policy.Reset
		}
		q.end(q.final)
	case a == Silence && q.state == running:
		q.drop(Main)
		q.do(Open{Lane: Main, Fresh: true})
	case a == Silence && q.state == paging:
		q.drop(Main)
		q.pageLost()
	case a == Again && q.state == running && !q.up[Main]:
		q.do(Open{Lane: Main, Fresh: true})
	case a == Again && q.state == closing && !q.asked[Side]:
		q.askDelete()
	}
	return q.flush()
}

// GiveUp calls the attempt off; outcome is what it ends with once the engine has confirmed.
func (q *Query) GiveUp(outcome policy.Outcome) []Step {
	switch q.state {
	case opening: // nothing was written
		q.do(Drop{Main})
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
	q.do(Set{Silence, 0})
	if !q.up[Main] {
		q.do(Drop{Main}) // a reconnect under way is not wanted any more
	}
	q.askDelete()
}

func (q *Query) askDelete() {
	if q.up[Side] {
		q.write(Side, q.call("DELETE", ""))
		return
	}
	q.do(Open{Lane: Side, Fresh: q.deletes > 0})
	q.deletes++
}

// answered takes a response of the main lane.
func (q *Query) answered(res *Response) {
	q.calls++
	q.do(Set{Silence, 0})
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
		q.note(res)
		if q.state == closing { // no further poll: the engine gives it up by itself, if the DELETE fails
			q.do(Set{Lost, unasked + slack})
			return
		}
		if q.up[Main] {
			q.write(Main, q.call("GET", "/0"))
		} else {
			q.do(Open{Lane: Main})
		}
	case res.Status == 200:
		q.firstPage(res)
	case res.Status == 503 && never:
		q.end(policy.Full)
	case res.Status == 504 && never:
		q.end(policy.Moot)
	case res.Status == 500:
		q.end(policy.Error)
	default:
		q.malformed(Main)
	}
}

// malformed: an answer that cannot be read proves no end. The query is called off, and counts as failed.
func (q *Query) malformed(lane Lane) {
	switch {
	case lane == Side:
		q.do(Set{Again, againWait})
	case q.state == running:
		q.giveUp(policy.Error)
	case q.state == paging:
		q.end(policy.Error)
	}
}

func (q *Query) note(res *Response) {
	if res.Head.Get("X-Tell") != "done" {
		return
	}
	if done, err := strconv.ParseFloat(res.Head.Get("Figure"), 64); err == nil && done >= 0 && done <= 1 {
		q.do(News{done})
	}
}

func (q *Query) firstPage(res *Response) {
	total, err := strconv.Atoi(res.Head.Get("Page-Count"))
	if err != nil || total < 1 || total > maxPages {
		q.malformed(Main)
		return
	}
	q.do(Set{Lost, 0})
	if q.state == closing && total > 1 { // the DELETE takes its pages away
		q.end(q.final)
		return
	}
	q.state, q.total = paging, total
	q.keepPage(res.Body)
}

func (q *Query) page(res *Response) {
	switch number := res.Head.Get("Page-No"); {
	case res.Status != 200:
		q.end(policy.Error) // a page that the engine no longer knows
	case number != strconv.Itoa(len(q.pages)):
		q.end(policy.Error)
	default:
		q.keepPage(res.Body)
	}
}

func (q *Query) keepPage(body []byte) {
	q.pages, q.size, q.tries = append(q.pages, body), q.size+len(body), 0
	switch {
	case q.size > maxResult:
		q.end(policy.Error)
	case len(q.pages) == q.total:
		q.end(policy.OK)
	case q.up[Main]:
		q.write(Main, q.call("GET", "/"+strconv.Itoa(len(q.pages))))
	default:
		q.do(Open{Lane: Main})
	}
}

// pageLost tries a page once more; a missing page makes the whole an error.
func (q *Query) pageLost() {
	if q.tries++; q.tries >= pageTries {
		q.end(policy.Error)
		return
	}
	q.do(Open{Lane: Main, Fresh: true})
}

// deleted takes the response to a DELETE: 204 confirms, anything else does not.
func (q *Query) deleted(res *Response) {
	if res.Status == 204 {
		q.end(q.final)
		return
	}
	q.do(Set{Again, againWait})
}

func (q *Query) write(lane Lane, b []byte) {
	q.asked[lane] = true
	q.do(Write{lane, b})
	if lane == Main && q.state != closing {
		q.do(Set{Silence, silentWait})
	}
	if lane == Main && q.state == running {
		q.do(Set{Lost, lostWait})
	}
}

func (q *Query) drop(lane Lane) {
	if q.up[lane] {
		q.up[lane], q.asked[lane] = false, false
		q.do(Drop{lane})
	}
}

// end is the single end of an attempt; connections with no call on them serve others.
func (q *Query) end(outcome policy.Outcome) {
	q.state = ended
	for a := range alarms {
		q.do(Set{a, 0})
	}
	for _, lane := range []Lane{Main, Side} {
		switch {
		case q.up[lane] && !q.asked[lane] && q.read[lane].Idle():
			q.do(Release{lane})
		default:
			q.do(Drop{lane})
		}
		q.up[lane] = false
	}
	e := End{Outcome: outcome, Report: q.report}
	if outcome == policy.OK {
		e.Result = bytes.Join(q.pages, nil)
	}
	q.do(e)
}

func (q *Query) post(left time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /v2/q HTTP/1.1\r\nHost: %s\r\nX-Hop-Id: %s\r\nX-Sort: %s\r\nX-Budget: %d\r\n",
		q.req.Host, q.req.ID, q.req.Class, max(1, left.Milliseconds()))
	if q.req.Key != "" {
		fmt.Fprintf(&b, "X-Replay-Key: %s\r\n", q.req.Key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.req.Statement))
	return append([]byte(b.String()), q.req.Statement...)
}

func (q *Query) call(method, rest string) []byte {
	return fmt.Appendf(nil, "%s /v2/q/%s%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, q.req.ID, rest, q.req.Host)
}
