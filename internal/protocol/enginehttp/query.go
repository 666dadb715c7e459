package enginehttp

import (
	"bytes"
	"net/http"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// Timeouts. The engines' protocol defines the first two: an engine answers a poll within 250 ms, and abandons a query that has
// not been polled for 2 s.
const (
	pollWait    = 250 * time.Millisecond
	pollLease   = 2 * time.Second
	leaseMargin = 250 * time.Millisecond // margin for clock skew and network delay

	pollTimeout        = pollWait + 50*time.Millisecond // response timeout of a POST or a poll
	pageTimeout        = 150 * time.Millisecond         // response timeout of a page request, which engines answer at once
	unreachableTimeout = pollWait + pollLease + leaseMargin
	retryBackoff       = 150 * time.Millisecond
	earliestUpdate     = pollWait / 2 // an engine without a new update waits longer than this before it responds
)

// Limits of a query.
const (
	maxPages               = 64
	maxResultBytes         = 48000
	maxConsecutiveFailures = 4 // consecutive corrupt or missing responses
	maxPosts               = 3 // POSTs of one attempt, counting resends of a query that the engine never read
)

type state uint8

const (
	connecting    state = iota // the POST has not been sent
	running                    // the POST was sent; the engine may be executing the query
	fetchingPages              // the query succeeded; its result is not complete yet
	cancelling                 // the engine has not confirmed the cancellation yet
	ended
)

// Request is a query for an engine. Its fields are sent unchanged.
type Request struct {
	Host, ID, Class string
	IdempotencyKey  string // empty for none
	Statement       []byte
}

// Query is the state machine of one attempt. It implements attempt.StateMachine.
type Query struct {
	req           Request
	state         state
	steps         []attempt.Step     // emitted by the event that is being handled
	permission    attempt.Permission // called before every POST; decides whether it may be sent
	cancelOutcome policy.Outcome     // outcome of the attempt when the engine confirms its cancellation
	report        string             // latest load report of the engine

	// Connections, by channel.
	connected        [2]bool
	awaitingResponse [2]bool
	readers          [2]Reader

	deleteConnections int // connections opened for the DELETE
	postsSent         int
	repostPending     bool // send the POST again on the next connection
	bytesReceived     bool // bytes were received on the primary channel since the last POST
	// possiblyUnread is set when the connection was lost before any response byte: the engine may never have read the POST.
	possiblyUnread      bool
	responseMissed      bool // the response timeout of the POST expired before any response byte
	consecutiveFailures int  // consecutive corrupt responses and lost connections

	// Detection of duplicate responses on the primary connection.
	beforeEarliestUpdate bool      // a response without a new update is not due yet
	lastUpdate           [2]string // X-Tell and Figure headers of the last response
	// ambiguous is set when a response may have been a duplicate, so that one more response than requests may arrive.
	ambiguous bool

	pages        [][]byte
	pageCount    int // number of pages of the result
	resultBytes  int // total size of pages
	pagesReached int // largest number of pages so far
	// lastPageUnverified is set while the rest of the last page could still arrive on the primary connection: a body length that
	// is too short is noticed only by the bytes that precede the next response.
	lastPageUnverified bool
	// emptyPageSeen is set after a page without rows, until other bytes than a valid response follow. Such a page is requested
	// twice, since its rows may follow a length of 0 later than the header: they would precede the second response.
	emptyPageSeen bool
}

var _ attempt.StateMachine = (*Query)(nil)

// NewQuery returns the state machine of a new attempt and its first steps.
func NewQuery(req Request) (*Query, []attempt.Step) {
	q := &Query{req: req}
	return q, q.flush(attempt.Open{Channel: attempt.Primary})
}

// emit adds steps to those of the current event.
func (q *Query) emit(s ...attempt.Step) { q.steps = append(q.steps, s...) }

// flush emits s, and returns and clears the steps of the current event.
func (q *Query) flush(s ...attempt.Step) []attempt.Step {
	q.emit(s...)
	out := q.steps
	q.steps = nil
	return out
}

// Connected handles a new connection of a channel. Before it sends a POST, the query calls permission, which returns whether
// the attempt may still be sent and how long it may take.
func (q *Query) Connected(channel attempt.Channel, _ *any, permission attempt.Permission) []attempt.Step {
	if q.state == ended {
		return q.flush(attempt.Release{Channel: channel})
	}
	q.connected[channel] = true
	if channel == attempt.Primary {
		q.lastPageUnverified = false
		q.emptyPageSeen = q.emptyPageSeen && q.readers[channel].Idle()
	}
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

// ConnectFailed handles a failed connection attempt.
func (q *Query) ConnectFailed(_ attempt.Channel) []attempt.Step {
	switch q.state {
	case connecting:
		q.end(policy.NoConnection)
	case fetchingPages:
		q.retryPage()
	case running, cancelling:
		// This does not prove that the query has ended: an engine also refuses connections when its connection table is full.
		q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
	}
	return q.flush()
}

// ConnectionLost handles the loss of a channel's connection.
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

// reconnectPrimary opens a new connection on which to poll a running query: engines continue a query whose connection is
// lost. From the second consecutive failure on, it waits for a backoff first.
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

// Received handles bytes received on a channel.
func (q *Query) Received(channel attempt.Channel, b []byte) []attempt.Step {
	if !q.connected[channel] {
		return nil
	}
	q.bytesReceived = q.bytesReceived || channel == attempt.Primary
	res, err := q.readers[channel].Feed(b)
	q.lastPageUnverified = q.lastPageUnverified && (res == nil || channel != attempt.Primary)
	switch {
	case res != nil && err != nil && res.Status == http.StatusOK: // its length may be too short
		q.handleMalformed(channel)
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

// TimerFired handles the expiry of a timer.
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

// leaseExpired ends an attempt whose query was not polled for so long that the engine has abandoned it.
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

// Cancel cancels the attempt. A query that may be running ends with outcome when the engine confirms the cancellation.
func (q *Query) Cancel(outcome policy.Outcome) []attempt.Step {
	switch q.state {
	case connecting: // nothing was sent, so the connection can be reused
		q.emit(attempt.Release{Channel: attempt.Primary})
		q.end(policy.NotSent)
	case running:
		q.cancelAtEngine(outcome)
	case fetchingPages: // the query has ended at the engine; the rest of its result is discarded
		q.end(outcome)
	}
	return q.flush()
}

func (q *Query) cancelAtEngine(outcome policy.Outcome) {
	q.state = cancelling
	q.cancelOutcome = outcome
	q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	if !q.connected[attempt.Primary] {
		q.emit(attempt.Close{Channel: attempt.Primary}) // cancels a pending reconnect
	}
	q.requestDelete()
}

// end stops all timers, releases the connections that can be reused, closes the others and emits the End step. After more
// than one POST, the response to the last one does not prove that the query never ran, so such an outcome becomes an error.
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

// reusable reports whether another attempt can use a channel's connection: no further response may arrive on it.
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
