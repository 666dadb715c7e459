package enginehttp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// requestDelete sends the DELETE that cancels the query, or opens a connection for it. The first DELETE may use an idle
// connection; a retry uses a new one.
func (q *Query) requestDelete() {
	if q.connected[attempt.Control] {
		q.write(attempt.Control, q.formatRequest("DELETE", ""))
		return
	}
	q.emit(attempt.Open{Channel: attempt.Control, Fresh: q.deleteConnections > 0})
	q.deleteConnections++
}

// repost sends the POST again within the same attempt if permission allows it. The previous connection was lost before any
// byte of a response and the engine does not know the query, so two executions cannot overlap.
func (q *Query) repost() {
	if !q.connected[attempt.Primary] {
		q.repostPending = true
		q.emit(attempt.Open{Channel: attempt.Primary, Fresh: true})
		return
	}
	if budget, ok := q.permission(true); ok {
		q.writePost(budget)
		return
	}
	q.end(policy.Error)
}

func (q *Query) writePost(budget time.Duration) {
	q.state = running
	q.repostPending = false
	q.bytesReceived = false
	q.possiblyUnread = false
	q.responseMissed = false
	q.postsSent++
	q.write(attempt.Primary, q.formatPost(budget))
}

// poll requests the first page of the result. While the query is running, the engine responds with an update instead.
func (q *Query) poll() { q.write(attempt.Primary, q.formatRequest("GET", "/0")) }

// requestPage requests the next page of the result.
func (q *Query) requestPage() {
	q.write(attempt.Primary, q.formatRequest("GET", "/"+strconv.Itoa(len(q.pages))))
}

// write emits a request and starts the timers for its response.
func (q *Query) write(channel attempt.Channel, b []byte) {
	q.awaitingResponse[channel] = true
	q.emit(attempt.Write{Channel: channel, Bytes: b})
	switch {
	case channel == attempt.Primary && q.state == running:
		q.beforeEarliestUpdate = true
		q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: pollTimeout},
			attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: unreachableTimeout},
			attempt.SetTimer{Timer: attempt.EarliestUpdate, After: earliestUpdate})
	case channel == attempt.Primary && q.state == fetchingPages:
		q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: pageTimeout})
	}
}

func (q *Query) formatPost(budget time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /v2/q HTTP/1.1\r\nHost: %s\r\nX-Hop-Id: %s\r\nX-Sort: %s\r\nX-Budget: %d\r\n",
		q.req.Host, q.req.ID, q.req.Class, max(1, budget.Milliseconds()))
	if q.req.IdempotencyKey != "" {
		fmt.Fprintf(&b, "X-Replay-Key: %s\r\n", q.req.IdempotencyKey)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.req.Statement))
	return append([]byte(b.String()), q.req.Statement...)
}

// formatRequest formats a request without a body. path is appended to the query's path.
func (q *Query) formatRequest(method, path string) []byte {
	return fmt.Appendf(nil, "%s /v2/q/%s%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, q.req.ID, path, q.req.Host)
}
