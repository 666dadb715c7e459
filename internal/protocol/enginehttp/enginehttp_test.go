package enginehttp

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/attempt"
	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

// permitted is a permission that allows every attempt to take one second.
func permitted(bool) (time.Duration, bool) { return time.Second, true }

// startQuery returns a query whose POST has been written.
func startQuery(t testing.TB) *Query {
	t.Helper()
	q, _ := NewQuery(Request{Host: "e:1", ID: "9b1f", Class: "lookup", Statement: []byte("SELECT 1")})
	var protocolState any
	steps := q.Connected(attempt.Primary, &protocolState, permitted)
	if w := written(steps); !strings.HasPrefix(w, "POST /v2/q HTTP/1.1\r\n") || !strings.HasSuffix(w, "\r\n\r\nSELECT 1") {
		t.Fatalf("wrote %q, want a POST with the statement", w)
	}
	return q
}

// written returns the bytes of the first write.
func written(steps []attempt.Step) string {
	for _, s := range steps {
		if w, ok := s.(attempt.Write); ok {
			return string(w.Bytes)
		}
	}
	return ""
}

// endStep returns the End step, or nil.
func endStep(steps []attempt.Step) *attempt.End {
	for _, s := range steps {
		if e, ok := s.(attempt.End); ok {
			return &e
		}
	}
	return nil
}

func opens(steps []attempt.Step, channel attempt.Channel) bool {
	for _, s := range steps {
		if o, ok := s.(attempt.Open); ok && o.Channel == channel {
			return true
		}
	}
	return false
}

func closes(steps []attempt.Step, channel attempt.Channel) bool {
	return slices.Contains(steps, attempt.Step(attempt.Close{Channel: channel}))
}

func response(status int, body string, headers ...string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(headers, ""), "\r\n"), body)
}

// The status of a response, with its X-No-Effect header, decides the outcome of the attempt.
func TestResponseStatusDecidesOutcome(t *testing.T) {
	for want, bytes := range map[policy.Outcome][]byte{
		policy.OK:       response(200, "a\n", "Page-Count: 1"),
		policy.Rejected: response(503, "", "X-No-Effect: 1"),
		policy.Error:    response(500, ""),
		policy.NotSent:  response(504, "", "X-No-Effect: 1"),
	} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			if e := endStep(startQuery(t).Received(attempt.Primary, bytes)); e == nil || e.Outcome != want {
				t.Errorf("after %.20q: end %+v, want outcome %v", bytes, e, want)
			}
		})
	}
}

// A lost connection does not end its attempt, because the engine executes the query until it has not been polled for 2 s: a retry
// before that would run concurrently with it. A refused connection does not end the attempt either, because an engine also refuses
// connections when its connection table is full.
func TestLostConnectionDoesNotEndAttempt(t *testing.T) {
	q := startQuery(t)
	if steps := q.ConnectionLost(attempt.Primary); endStep(steps) != nil || !opens(steps, attempt.Primary) {
		t.Fatalf("after a lost connection: steps %+v, want a reconnect and no end", steps)
	}
	if steps := q.ConnectFailed(attempt.Primary); endStep(steps) != nil {
		t.Fatalf("after a refused connection: steps %+v, want no end", steps)
	}
	if steps := q.TimerFired(attempt.RetryBackoff); !opens(steps, attempt.Primary) {
		t.Fatalf("after the backoff: steps %+v, want a reconnect", steps)
	}
	if e := endStep(q.TimerFired(attempt.UnreachableTimeout)); e == nil || e.Outcome != policy.Reset {
		t.Fatalf("after 2 s without a poll: end %+v, want outcome Reset", e)
	}
}

// A cancelled attempt ends only when the engine confirms the cancellation with status 204.
func TestCancelledAttemptEndsWhenConfirmed(t *testing.T) {
	q := startQuery(t)
	if steps := q.Cancel(policy.Cancelled); endStep(steps) != nil || !opens(steps, attempt.Control) {
		t.Fatalf("after Cancel: steps %+v, want a control connection and no end", steps)
	}
	var protocolState any
	if w := written(q.Connected(attempt.Control, &protocolState, permitted)); !strings.HasPrefix(w, "DELETE /v2/q/9b1f HTTP/1.1\r\n") {
		t.Fatalf("wrote %q, want a DELETE", w)
	}
	if steps := q.Received(attempt.Primary, response(202, "")); endStep(steps) != nil || written(steps) != "" {
		t.Fatalf("after a poll response: steps %+v, want no further poll and no end", steps)
	}
	if steps := q.Received(attempt.Control, response(500, "")); endStep(steps) != nil {
		t.Fatalf("after status 500 to the DELETE: steps %+v, want no end", steps)
	}
	q.TimerFired(attempt.RetryBackoff)
	if e := endStep(q.Received(attempt.Control, response(204, ""))); e == nil || e.Outcome != policy.Cancelled {
		t.Fatalf("after status 204 to the DELETE: end %+v, want outcome Cancelled", e)
	}
}

// An attempt that ends before its POST is sent has an outcome for which NeverRan is true.
func TestUnsentQueryNeverRan(t *testing.T) {
	q, _ := NewQuery(Request{})
	if e := endStep(q.Cancel(policy.Cancelled)); e == nil || e.Outcome != policy.NotSent {
		t.Fatalf("cancelled before it was connected: end %+v, want outcome NotSent", e)
	}
	q, _ = NewQuery(Request{})
	if e := endStep(q.ConnectFailed(attempt.Primary)); e == nil || e.Outcome != policy.NoConnection {
		t.Fatalf("connection failed: end %+v, want outcome NoConnection", e)
	}
	q, _ = NewQuery(Request{})
	var protocolState any
	steps := q.Connected(attempt.Primary, &protocolState, func(bool) (time.Duration, bool) { return 0, false })
	if e := endStep(steps); e == nil || e.Outcome != policy.NotSent || written(steps) != "" {
		t.Fatalf("without permission: steps %+v, want outcome NotSent and no write", steps)
	}
}

// The result is the concatenation of all pages. A missing page or a result over the size limit makes the outcome an error.
func TestResultConcatenatesPages(t *testing.T) {
	q := startQuery(t)
	if w := written(q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))); !strings.HasPrefix(w, "GET /v2/q/9b1f/1 ") {
		t.Fatalf("wrote %q, want a request for page 1", w)
	}
	if e := endStep(q.Received(attempt.Primary, response(200, "b\n", "Page-No: 1"))); e == nil || string(e.Result) != "a\nb\n" {
		t.Fatalf("end %+v, want a result of both pages", e)
	}
	for name, page := range map[string][]byte{
		"missing":   response(500, ""),
		"too large": response(200, strings.Repeat("x", maxResultBytes)+"\n", "Page-No: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			q := startQuery(t)
			q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))
			if e := endStep(q.Received(attempt.Primary, page)); e == nil || e.Outcome != policy.Error {
				t.Errorf("%s page: end %+v, want outcome Error", name, e)
			}
		})
	}
}

// A valid response, chunked or not, is parsed independently of how the input is split.
func TestResponseWithSplitInput(t *testing.T) {
	chunked := []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPage-Count: 1\r\n\r\n" +
		"3;x=1\r\nabc\r\n2\r\nd\n\r\n0\r\n\r\n")
	rapid.Check(t, func(rt *rapid.T) {
		complete := rapid.SampledFrom([][]byte{chunked, response(200, "abcd\n", "Page-Count: 1")}).Draw(rt, "response")
		q, rest := startQuery(t), complete
		var e *attempt.End
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			e = endStep(q.Received(attempt.Primary, rest[:n]))
			rest = rest[n:]
		}
		if e == nil || e.Outcome != policy.OK || !bytes.Equal(e.Result, []byte("abcd\n")) {
			rt.Fatalf("end %+v, want outcome OK with the whole body", e)
		}
	})
}

// Random input and events never cause a panic, and an attempt ends at most once.
func TestQueryRandomEventsNeverPanic(t *testing.T) {
	headerParts := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 202 x\r\n\r\n", "Content-Length: ", "Page-Count: 2\r\n",
		"Page-No: 1\r\n", "Transfer-Encoding: chunked\r\n", "ffffffff\r\n", "\r\n", "\r\n\r\n", "-1", "7", ": ", "HTTP/1.1 204 x\r\n\r\n"})
	rapid.Check(t, func(rt *rapid.T) {
		q, ends := startQuery(t), 0
		var protocolState any
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			channel := attempt.Channel(rapid.IntRange(0, 1).Draw(rt, "channel"))
			var steps []attempt.Step
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				steps = q.Cancel(policy.Cancelled)
			case 1:
				steps = q.ConnectionLost(channel)
			case 2:
				steps = q.Connected(channel, &protocolState, permitted)
			case 3:
				steps = q.TimerFired(attempt.Timer(rapid.IntRange(0, 2).Draw(rt, "timer")))
			case 4:
				steps = q.Received(channel, rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(rt, "bytes"))
			default:
				steps = q.Received(channel, []byte(strings.Join(rapid.SliceOf(headerParts).Draw(rt, "header parts"), "")))
			}
			if endStep(steps) != nil {
				ends++
			}
		}
		if ends > 1 {
			rt.Fatalf("attempt ended %d times", ends)
		}
	})
}

// A query that the engine never read is sent again within the same attempt, as often as permission allows. The engine never read a
// query if the connection was lost before any response and the engine then does not know the query. When each such query was retried
// in a new attempt, a run with many connection resets (580 in 7,200 queries) used up the retry budget of all queries.
func TestUnreadQueryIsResent(t *testing.T) {
	var protocolState any
	resendWhileAllowed := func(t *testing.T, allowed int) (*Query, []attempt.Step) {
		q, _ := NewQuery(Request{Host: "e:1", ID: "9b1f"})
		var steps []attempt.Step
		total := allowed
		permission := func(resend bool) (time.Duration, bool) {
			allowed--
			return time.Second, allowed >= 0 && resend == (allowed < total-1)
		}
		w := written(q.Connected(attempt.Primary, &protocolState, permission))
		for ; strings.HasPrefix(w, "POST "); w = written(steps) {
			q.ConnectionLost(attempt.Primary)
			if w := written(q.Connected(attempt.Primary, &protocolState, permission)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
				t.Fatalf("wrote %q, want a poll", w)
			}
			steps = q.Received(attempt.Primary, response(500, ""))
		}
		return q, steps
	}
	for allowed, postsSent := range map[int]int{1: 1, 2: 2, 100: maxPosts} {
		t.Run(fmt.Sprintf("%d allowed", allowed), func(t *testing.T) {
			q, steps := resendWhileAllowed(t, allowed)
			if e := endStep(steps); e == nil || e.Outcome != policy.Error || q.postsSent != postsSent {
				t.Errorf("%d POSTs and end %+v, want %d POSTs and outcome Error", q.postsSent, e, postsSent)
			}
		})
	}
	t.Run("connection closed", func(t *testing.T) {
		q := startQuery(t)
		q.ConnectionLost(attempt.Primary)
		q.Connected(attempt.Primary, &protocolState, permitted)
		steps := q.Received(attempt.Primary, response(500, "", "Connection: close"))
		if !opens(steps, attempt.Primary) || endStep(steps) != nil {
			t.Fatalf("steps %+v, want a new connection and no end", steps)
		}
		if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "POST ") {
			t.Fatalf("wrote %q on the new connection, want a POST", w)
		}
	})
	t.Run("read by the engine", func(t *testing.T) {
		q := startQuery(t)
		q.Received(attempt.Primary, response(202, ""))
		q.ConnectionLost(attempt.Primary)
		q.Connected(attempt.Primary, &protocolState, permitted)
		if e := endStep(q.Received(attempt.Primary, response(500, ""))); e == nil || e.Outcome != policy.Error {
			t.Fatalf("end %+v, want outcome Error: the engine has read the query", e)
		}
	})
}

// After a cancellation, status 500 ends the attempt as cancelled, not as an engine error: when a poll races with the DELETE, the
// engine responds to the poll with 500 because it no longer knows the query.
func TestUnknownQueryConfirmsCancellation(t *testing.T) {
	q := startQuery(t)
	q.Cancel(policy.Cancelled)
	if e := endStep(q.Received(attempt.Primary, response(500, ""))); e == nil || e.Outcome != policy.Cancelled {
		t.Fatalf("end %+v, want outcome Cancelled", e)
	}
}

// The response timeout is only slightly longer than the time within which the engine must respond, so that a result lost in
// transit is polled again before the deadline of most lookups. A timeout of 0.6 s was too long.
func TestResponseTimeoutIsJustOverPollWait(t *testing.T) {
	var protocolState any
	responseTimeout := func(steps []attempt.Step) time.Duration {
		for _, s := range steps {
			if a, ok := s.(attempt.SetTimer); ok && a.Timer == attempt.ResponseTimeout && a.After > 0 {
				return a.After
			}
		}
		return 0
	}
	q, _ := NewQuery(Request{})
	if d := responseTimeout(q.Connected(attempt.Primary, &protocolState, permitted)); d <= pollWait || d > pollWait+100*time.Millisecond {
		t.Errorf("response timeout of %v after a POST, want just over %v", d, pollWait)
	}
	if d := responseTimeout(q.Received(attempt.Primary, response(202, ""))); d <= pollWait || d > pollWait+100*time.Millisecond {
		t.Errorf("response timeout of %v after a poll, want just over %v", d, pollWait)
	}
	if d := responseTimeout(q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))); d <= 0 || d >= pollWait {
		t.Errorf("response timeout of %v after a page request, want less than %v", d, pollWait)
	}
}

// ResponseOverdue is emitted when a POST got no response and the first poll finds the query still running: all 140 such queries of
// a recorded run never got a result. A result that was only lost in transit is returned by that poll. ResponseOverdue is not
// emitted for a query that got a response before.
func TestOverdueResponseIsReported(t *testing.T) {
	var protocolState any
	overdue := func(steps []attempt.Step) bool {
		return slices.Contains(steps, attempt.Step(attempt.ResponseOverdue{}))
	}
	q := startQuery(t)
	q.TimerFired(attempt.ResponseTimeout)
	q.Connected(attempt.Primary, &protocolState, permitted)
	steps := q.Received(attempt.Primary, response(202, ""))
	if !overdue(steps) || endStep(steps) != nil {
		t.Fatalf("steps %+v, want ResponseOverdue and no end", steps)
	}
	if overdue(q.Received(attempt.Primary, response(202, ""))) {
		t.Error("ResponseOverdue emitted twice")
	}
	q = startQuery(t)
	q.Received(attempt.Primary, response(202, ""))
	q.TimerFired(attempt.ResponseTimeout)
	q.Connected(attempt.Primary, &protocolState, permitted)
	if overdue(q.Received(attempt.Primary, response(202, ""))) {
		t.Error("ResponseOverdue emitted for a query that got a response before")
	}
}

// If the engine rejects the second POST of a query, or reports that its deadline has passed, the first POST may still have run, so
// the outcome must be one for which NeverRan is false. A query with an idempotency key was once retried as if it had not run.
func TestRejectedResendMayHaveRun(t *testing.T) {
	for _, status := range []int{503, 504} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			var protocolState any
			q := startQuery(t)
			q.ConnectionLost(attempt.Primary)
			q.Connected(attempt.Primary, &protocolState, permitted)
			if w := written(q.Received(attempt.Primary, response(500, ""))); !strings.HasPrefix(w, "POST ") {
				t.Fatalf("wrote %q, want a second POST", w)
			}
			e := endStep(q.Received(attempt.Primary, response(status, "", "X-No-Effect: 1")))
			if e == nil || e.Outcome.NeverRan() {
				t.Errorf("end %+v, want an outcome for which NeverRan is false", e)
			}
		})
	}
}

// A connection on which a response may have been a duplicate is closed when its query ends. A duplicate shifts all later responses
// by one, so the last would be read as the response to another query on the same connection.
func TestAmbiguousConnectionIsClosed(t *testing.T) {
	none := response(202, "")
	half := response(202, "", "X-Tell: done", "Figure: 0.5")
	more := response(202, "", "X-Tell: done", "Figure: 0.6")
	for name, c := range map[string]struct {
		first, second []byte
		due           bool // a response without a new update is due when the second response arrives
		closed        bool // whether the connection must be closed
	}{
		"no update, duplicate":       {none, none, false, true},
		"same update, duplicate":     {half, half, false, true},
		"no update twice, when due":  {none, none, true, false},
		"new update":                 {half, more, false, false},
		"no update after one, due":   {half, none, true, false},
		"same update twice when due": {half, half, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := startQuery(t)
			q.TimerFired(attempt.EarliestUpdate)
			q.Received(attempt.Primary, c.first)
			if c.due {
				q.TimerFired(attempt.EarliestUpdate)
			}
			q.Received(attempt.Primary, c.second)
			steps := q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1"))
			if e := endStep(steps); e == nil || e.Outcome != policy.OK || closes(steps, attempt.Primary) != c.closed {
				t.Errorf("steps %+v, want outcome OK and closed connection %t", steps, c.closed)
			}
		})
	}
}
