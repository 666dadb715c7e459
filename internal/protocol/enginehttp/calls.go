package enginehttp

import (
	"fmt"
	"strings"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

func (q *Query) askDelete() {
	if q.up[attempt.Side] {
		q.write(attempt.Side, q.call("DELETE", ""))
		return
	}
	q.do(attempt.Open{Lane: attempt.Side, Fresh: q.deletes > 0})
	q.deletes++
}

// postAgain sends the query once more, in the same attempt. The connection broke before a byte of an answer and the
// engine does not know the query: it never read it, or has nothing more of it, so there are never two out. Whether
// it may be repeated at all, now and there, leave tells.
func (q *Query) postAgain() {
	if !q.up[attempt.Main] {
		q.due = true
		q.do(attempt.Open{Lane: attempt.Main, Fresh: true})
		return
	}
	if left, ok := q.leave(true); ok {
		q.writePost(left)
		return
	}
	q.end(policy.Error)
}

func (q *Query) writePost(left time.Duration) {
	q.state, q.due, q.responded, q.unread, q.unanswered = running, false, false, false, false
	q.posted++
	q.write(attempt.Main, q.post(left))
}

// deleted takes the response to a DELETE: 204 confirms, anything else does not.
func (q *Query) deleted(res *Response) {
	if res.Status == 204 {
		q.end(q.final)
		return
	}
	q.do(attempt.Set{Alarm: attempt.Again, After: againWait})
}

func (q *Query) write(lane attempt.Lane, b []byte) {
	q.asked[lane] = true
	q.do(attempt.Write{Lane: lane, Bytes: b})
	switch {
	case lane == attempt.Main && q.state == running:
		q.early = true
		q.do(attempt.Set{Alarm: attempt.Silence, After: pollSilent}, attempt.Set{Alarm: attempt.Lost, After: lostWait},
			attempt.Set{Alarm: attempt.Early, After: earlyWait})
	case lane == attempt.Main && q.state == paging:
		q.do(attempt.Set{Alarm: attempt.Silence, After: pageSilent})
	}
}

func (q *Query) drop(lane attempt.Lane) {
	if q.up[lane] {
		q.up[lane], q.asked[lane] = false, false
		q.do(attempt.Drop{Lane: lane})
	}
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
