package enginehttp

import (
	"fmt"
	"strings"
	"time"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

func (q *Query) askDelete() {
	if q.up[attempt.Control] {
		q.write(attempt.Control, q.call("DELETE", ""))
		return
	}
	q.do(attempt.Open{Channel: attempt.Control, Fresh: q.deletes > 0})
	q.deletes++
}

// postAgain sends the query once more, in the same attempt. The connection broke before a byte of an answer and the
// engine does not know the query: it never read it, or has nothing more of it, so there are never two out. Whether
// it may be repeated at all, now and there, leave tells.
func (q *Query) postAgain() {
	if !q.up[attempt.Primary] {
		q.due = true
		q.do(attempt.Open{Channel: attempt.Primary, Fresh: true})
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
	q.write(attempt.Primary, q.post(left))
}

// deleted takes the response to a DELETE: 204 confirms, anything else does not.
func (q *Query) deleted(res *Response) {
	if res.Status == 204 {
		q.end(q.final)
		return
	}
	q.do(attempt.SetTimer{Timer: attempt.RetryBackoff, After: againWait})
}

func (q *Query) write(lane attempt.Channel, b []byte) {
	q.asked[lane] = true
	q.do(attempt.Write{Channel: lane, Bytes: b})
	switch {
	case lane == attempt.Primary && q.state == running:
		q.early = true
		q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: pollSilent}, attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: lostWait},
			attempt.SetTimer{Timer: attempt.EarliestUpdate, After: earlyWait})
	case lane == attempt.Primary && q.state == paging:
		q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: pageSilent})
	}
}

func (q *Query) drop(lane attempt.Channel) {
	if q.up[lane] {
		q.up[lane], q.asked[lane] = false, false
		q.do(attempt.Close{Channel: lane})
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
