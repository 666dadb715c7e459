package enginehttp

import (
	"bytes"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// Durations given by the engines' protocol: an engine answers a poll after 250 ms at the latest, and abandons a query that
// has not been polled for 2 s.
const (
	pollWait    = 250 * time.Millisecond
	pollLease   = 2 * time.Second
	leaseMargin = 250 * time.Millisecond // for clocks and networks

	pollTimeout        = pollWait + 50*time.Millisecond // response timeout of a POST or a poll
	pageTimeout        = 150 * time.Millisecond         // response timeout of a page, which needs no waiting at the engine
	unreachableTimeout = pollWait + pollLease + leaseMargin
	retryBackoff       = 150 * time.Millisecond
	earliestUpdate     = pollWait / 2 // well before a response without an update is due
)

// Limits of a query.
const (
	maxPages               = 64
	maxResultBytes         = 48000
	maxConsecutiveFailures = 4 // corrupt or missing responses in a row
	maxPosts               = 3 // a query that the engine did not read is sent so often at most
)

type state uint8

const (
	connecting    state = iota // nothing has been written
	running                    // the engine may have the query
	fetchingPages              // the query succeeded and pages of its result are missing
	cancelling                 // the query is cancelled and the engine has not confirmed it
	ended
)

// Request is a query as it is sent to the engine. No field is changed on the way.
type Request struct {
	Host, ID, Class string
	IdempotencyKey  string // idempotency key; empty for none
	Statement       []byte
}

// Query is the state machine of one attempt. It implements attempt.Machine.
type Query struct {
	req           Request
	state         state
	steps         []attempt.Step     // returned by the event that is being handled
	permission    attempt.Permission // asked before every POST
	cancelOutcome policy.Outcome     // outcome once the engine has confirmed a cancellation
	report        string             // latest load report of the engine

	// Connections, by channel.
	connected        [2]bool
	awaitingResponse [2]bool
	readers          [2]Reader

	deleteConnections int // connections requested for the DELETE
	postsSent         int
	repostPending     bool // the POST is to be sent again on the next connection
	bytesReceived     bool // since the last POST
	// possiblyUnread is set when the connection of the POST was lost before a byte came: perhaps the engine never read it.
	possiblyUnread      bool
	responseMissed      bool // the response timeout of the POST passed without a byte
	consecutiveFailures int  // corrupt responses and lost connections in a row

	// Detection of duplicate responses on the primary connection.
	beforeEarliestUpdate bool      // a response without an update cannot be due yet
	lastUpdate           [2]string // update headers of the last response
	// ambiguous is set when a response may have been a duplicate, so that another one may still be on its way.
	ambiguous bool

	pages       [][]byte
	pageCount   int // pages of the result
	resultBytes int // bytes in pages
}

var _ attempt.Machine = (*Query)(nil)

// NewQuery returns the state machine of an attempt and its first steps.
func NewQuery(req Request) (*Query, []attempt.Step) {
	q := &Query{req: req}
	return q, q.flush(attempt.Open{Channel: attempt.Primary})
}

// emit appends steps to those that the current event returns.
func (q *Query) emit(s ...attempt.Step) { q.steps = append(q.steps, s...) }

// flush returns the steps of the current event.
func (q *Query) flush(s ...attempt.Step) []attempt.Step {
	q.emit(s...)
	out := q.steps
	q.steps = nil
	return out
}

// Connected handles a new connection of a channel. permission is asked before the first byte whether the attempt may still
// be sent, and how long it may take.
func (q *Query) Connected(channel attempt.Channel, _ *any, permission attempt.Permission) []attempt.Step {
	if q.state == ended {
		return q.flush(attempt.Release{Channel: channel})
	}
	q.connected[channel] = true
	q.readers[channel] = Reader{}
	if channel == attempt.Control {
		q.write(attempt.Control, q.formatRequest("DELETE", ""))
		return q.flush()
	}
	q.ambiguous = false
	q.lastUpdate = [2]string{}
	q.primaryConnected(permission)
	return q.flush()
}

func (q *Query) primaryConnected(permission attempt.Permission) {
	switch {
	case q.state == connecting:
		q.permission = permission
		if budget, ok := permission(false); ok {
			q.writePost(budget)
			return
		}
		q.releasePrimary()
		q.end(policy.NotSent)
	case q.state == running && q.repostPending:
		q.repost()
	case q.state == running:
		q.poll()
	case q.state == fetchingPages:
		q.requestPage()
	default:
		q.releasePrimary()
	}
}

// ConnectFailed handles a failed dial.
func (q *Query) ConnectFailed(_ attempt.Channel) []attempt.Step {
	switch q.state {
	case connecting:
		q.end(policy.NoConnection)
	case fetchingPages:
		q.retryPage()
	case running, cancelling:
		// No proof that the query has ended: an engine whose connection table is full refuses too.
		q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
	}
	return q.flush()
}

// ConnectionLost handles the end of a channel's connection.
func (q *Query) ConnectionLost(channel attempt.Channel) []attempt.Step {
	if !q.connected[channel] {
		return nil
	}
	q.connected[channel] = false
	q.awaitingResponse[channel] = false
	switch {
	case q.state == running && channel == attempt.Primary:
		q.reconnectPrimary()
	case q.state == fetchingPages:
		q.retryPage()
	case q.state == cancelling && channel == attempt.Control:
		q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
	}
	return q.flush()
}

// reconnectPrimary polls a running query on a new connection, since the query is not tied to the lost one. The second
// failure in a row waits for a backoff first.
func (q *Query) reconnectPrimary() {
	q.possiblyUnread = q.possiblyUnread || !q.bytesReceived
	q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	q.consecutiveFailures++
	if q.consecutiveFailures > 1 {
		q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
		return
	}
	q.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
}

// Received handles bytes read from a channel.
func (q *Query) Received(channel attempt.Channel, b []byte) []attempt.Step {
	if !q.connected[channel] {
		return nil
	}
	q.bytesReceived = q.bytesReceived || channel == attempt.Primary
	res, err := q.readers[channel].Feed(b)
	switch {
	case res != nil && q.awaitingResponse[channel]:
		q.awaitingResponse[channel] = false
		if res.Close || err != nil {
			q.closeChannel(channel)
		}
		if channel == attempt.Control {
			q.handleDeleteResponse(res)
		} else {
			q.handleResponse(res)
		}
	case err != nil || res != nil:
		q.handleMalformed(channel)
	}
	return q.flush()
}

// TimerFired handles a timer that expired.
func (q *Query) TimerFired(timer attempt.Timer) []attempt.Step {
	if q.state == ended {
		return q.flush()
	}
	switch timer {
	case attempt.EarliestUpdate:
		q.beforeEarliestUpdate = false
	case attempt.UnreachableTimeout:
		q.leaseExpired()
	case attempt.ResponseTimeout:
		q.responseTimedOut()
	case attempt.RetryBackoff:
		q.backoffExpired()
	}
	return q.flush()
}

// leaseExpired ends an attempt whose query the engine has abandoned for want of polls.
func (q *Query) leaseExpired() {
	switch q.state {
	case running:
		q.cancelOutcome = policy.Reset
		q.end(q.cancelOutcome)
	case cancelling:
		q.end(q.cancelOutcome)
	}
}

func (q *Query) responseTimedOut() {
	switch q.state {
	case running:
		q.responseMissed = q.responseMissed || !q.bytesReceived
		q.closeChannel(attempt.Primary)
		q.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
	case fetchingPages:
		q.handleMalformed(attempt.Primary)
	}
}

func (q *Query) backoffExpired() {
	switch {
	case q.state == running && !q.connected[attempt.Primary]:
		q.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
	case q.state == cancelling && !q.awaitingResponse[attempt.Control]:
		q.requestDelete()
	}
}

// Cancel cancels the attempt. It ends with outcome once the engine has confirmed.
func (q *Query) Cancel(outcome policy.Outcome) []attempt.Step {
	switch q.state {
	case connecting: // nothing was written: other attempts can use the connection
		q.emit(attempt.Release{Channel: attempt.Primary})
		q.end(policy.NotSent)
	case running:
		q.cancelAtEngine(outcome)
	case fetchingPages: // the query has ended at the engine: only the rest of its result is not wanted
		q.end(outcome)
	}
	return q.flush()
}

func (q *Query) cancelAtEngine(outcome policy.Outcome) {
	q.state = cancelling
	q.cancelOutcome = outcome
	q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	if !q.connected[attempt.Primary] {
		q.emit(attempt.Close{Channel: attempt.Primary}) // a pending reconnect is not needed any more
	}
	q.requestDelete()
}

// end emits the single end of an attempt, and releases the connections on which no response is outstanding. After a second
// POST, a response that the query had no effect proves nothing about the first one.
func (q *Query) end(outcome policy.Outcome) {
	if q.postsSent > 1 && outcome.NeverRan() {
		outcome = policy.Error
	}
	q.state = ended
	for timer := range attempt.TimerCount {
		q.emit(attempt.SetTimer{Timer: timer, After: 0})
	}
	for _, channel := range []attempt.Channel{attempt.Primary, attempt.Control} {
		if q.reusable(channel) {
			q.emit(attempt.Release{Channel: channel})
		} else {
			q.emit(attempt.Close{Channel: channel})
		}
		q.connected[channel] = false
	}
	end := attempt.End{Outcome: outcome, Report: q.report}
	if outcome == policy.OK {
		end.Result = bytes.Join(q.pages, nil)
	}
	q.emit(end)
}

// reusable reports whether a channel's connection can serve another attempt: nothing more may come on it.
func (q *Query) reusable(channel attempt.Channel) bool {
	if !q.connected[channel] || q.awaitingResponse[channel] || !q.readers[channel].Idle() {
		return false
	}
	return channel != attempt.Primary || !q.ambiguous
}

func (q *Query) closeChannel(channel attempt.Channel) {
	if q.connected[channel] {
		q.connected[channel] = false
		q.awaitingResponse[channel] = false
		q.emit(attempt.Close{Channel: channel})
	}
}

func (q *Query) releasePrimary() {
	q.emit(attempt.Release{Channel: attempt.Primary})
	q.connected[attempt.Primary] = false
}
