package enginehttp

import (
	"net/http"
	"strconv"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// handleResponse handles a response on the primary channel.
func (q *Query) handleResponse(res *Response) {
	q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0})
	if q.state == fetchingPages {
		q.handlePage(res)
		return
	}
	if report := res.Header.Get("X-Report"); report != "" {
		q.report = report
	}
	noEffect := res.Header.Get("X-No-Effect") == "1"
	switch {
	case res.Status == http.StatusAccepted:
		q.handleStillRunning(res)
	case res.Status == http.StatusOK:
		q.handleFirstPage(res)
	case res.Status == http.StatusServiceUnavailable && noEffect:
		q.end(policy.Rejected)
	case res.Status == http.StatusGatewayTimeout && noEffect:
		q.end(policy.NotSent)
	case res.Status == http.StatusInternalServerError:
		q.handleUnknownOrFailed()
	default:
		q.handleMalformed(attempt.Primary)
	}
}

// handleStillRunning handles status 202: the query is running.
func (q *Query) handleStillRunning(res *Response) {
	q.consecutiveFailures = 0
	q.possiblyUnread = false
	q.detectAmbiguousResponse(res)
	q.reportProgress(res)
	if q.state == cancelling { // stops polling: if the DELETE fails, the engine abandons the query when its lease expires
		q.emit(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: pollLease + leaseMargin})
		return
	}
	if q.connected[attempt.Primary] {
		q.poll()
	} else {
		q.emit(attempt.Open{Channel: attempt.Primary})
	}
	if q.responseMissed { // a response that was only lost in transit would have been resent by now
		q.responseMissed = false
		q.emit(attempt.ResponseOverdue{})
	}
}

// handleUnknownOrFailed handles status 500: the query failed, or is unknown to the engine.
func (q *Query) handleUnknownOrFailed() {
	switch {
	case q.state == cancelling: // unknown because the engine has cancelled the query
		q.end(q.cancelOutcome)
	case q.possiblyUnread && q.postsSent < maxPosts:
		q.repost()
	default:
		q.end(policy.Error)
	}
}

// handleMalformed handles a corrupt response. The query may still be running, and the connection cannot be used any more. The
// engine resends the result of a successful query when polled, so the query is polled on a new connection. After
// maxConsecutiveFailures it is cancelled and ends with an error. The corrupt response may have been the query's result, so the
// POST is not sent again.
func (q *Query) handleMalformed(channel attempt.Channel) {
	q.closeChannel(channel)
	q.emptyPageSeen = q.emptyPageSeen && channel != attempt.Primary
	switch {
	case channel == attempt.Control:
		q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
	case q.state == fetchingPages:
		q.retryPage()
	case q.state == running:
		q.possiblyUnread = false
		q.consecutiveFailures++
		if q.consecutiveFailures >= maxConsecutiveFailures {
			q.cancelAtEngine(policy.Error)
			return
		}
		q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0},
			attempt.Open{Channel: attempt.Primary, Fresh: true})
	}
}

// handleDeleteResponse handles the response to a DELETE. Only status 204 confirms the cancellation.
func (q *Query) handleDeleteResponse(res *Response) {
	if res.Status == http.StatusNoContent {
		q.end(q.cancelOutcome)
		return
	}
	q.emit(attempt.SetTimer{Timer: attempt.RetryBackoff, After: retryBackoff})
}

// detectAmbiguousResponse detects a possible duplicate of the previous response: one that repeats the last update, or has none,
// although the engine would still be waiting for a new update. From then on every response may belong to the previous request,
// and one more may arrive after the query has ended, so the connection must not be reused.
func (q *Query) detectAmbiguousResponse(res *Response) {
	update := [2]string{res.Header.Get("X-Tell"), res.Header.Get("Figure")}
	noNewUpdate := update[0] == "" || update == q.lastUpdate
	q.ambiguous = q.ambiguous || q.beforeEarliestUpdate && noNewUpdate
	q.lastUpdate = update
}

// reportProgress emits the progress that a response reports, if any.
func (q *Query) reportProgress(res *Response) {
	if res.Header.Get("X-Tell") != "done" {
		return
	}
	done, err := strconv.ParseFloat(res.Header.Get("Figure"), 64)
	if err == nil && done >= 0 && done <= 1 {
		q.emit(attempt.Progress{Done: done})
	}
}
