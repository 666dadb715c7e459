package enginehttp

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// corruptResponses are malformed responses that engines have sent or might send. None may be served to a client.
var corruptResponses = map[string][]byte{
	"two lengths":   []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\nPage-Count: 1\r\n\r\na\tb\tc\n"),
	"length -1":     []byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nPage-Count: 1\r\n\r\na\n"),
	"signed length": []byte("HTTP/1.1 200 OK\r\nContent-Length: +2\r\nPage-Count: 1\r\n\r\na\n"),
	"two framings":  []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nPage-Count: 1\r\n\r\na\n"),
	"gzip coding":   []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nPage-Count: 1\r\n\r\na\n"),
	"bad chunks":    []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"),
	"no colon":      []byte("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"status 2x0":    []byte("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"not HTTP":      []byte("ICY 200 OK\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"partial row":   response(200, "a\tb", "Page-Count: 1"),
	"noise":         []byte("\x9b\xd1\r\n\r\n"),
	"long header":   bytes.Repeat([]byte("X-Pad: p\r\n"), maxHeaderBytes/8),
	"3 GB":          []byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\nPage-Count: 1\r\n\r\nnoise"),
}

// A corrupt response is never served, and the query is polled on a new connection within the same attempt, since the engine still
// has the result. The reader once used the first of two lengths, and other corrupt responses caused a retry.
func TestQueryIsPolledAfterCorruptResponse(t *testing.T) {
	for name, b := range corruptResponses {
		t.Run(name, func(t *testing.T) {
			var protocolState any
			q := startQuery(t)
			for range maxConsecutiveFailures - 1 {
				steps := q.Received(attempt.Primary, b)
				if endStep(steps) != nil || !opens(steps, attempt.Primary) || !closes(steps, attempt.Primary) {
					t.Fatalf("after a corrupt response: steps %+v, want a new connection and no end", steps)
				}
				if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
					t.Fatalf("wrote %q, want a poll", w)
				}
			}
			good := *q
			e := endStep(good.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1")))
			if e == nil || string(e.Result) != "a\n" {
				t.Errorf("after a valid response: end %+v, want its result", e)
			}
			if steps := q.Received(attempt.Primary, b); endStep(steps) != nil || !opens(steps, attempt.Control) {
				t.Errorf("after the last failure: steps %+v, want a control connection and no end", steps)
			}
		})
	}
}

// A page that is corrupt, missing or has another page's number is requested again. If all requests of a page fail, the attempt
// ends with an error: a result without the page must not be served.
func TestCorruptPageIsRequestedAgain(t *testing.T) {
	for name, fail := range map[string]func(q *Query) []attempt.Step{
		"wrong number":    func(q *Query) []attempt.Step { return q.Received(attempt.Primary, response(200, "b\n", "Page-No: 2")) },
		"truncated row":   func(q *Query) []attempt.Step { return q.Received(attempt.Primary, response(200, "b", "Page-No: 1")) },
		"connection lost": func(q *Query) []attempt.Step { return q.ConnectionLost(attempt.Primary) },
		"timeout":         func(q *Query) []attempt.Step { return q.TimerFired(attempt.ResponseTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			var protocolState any
			q := startQuery(t)
			q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))
			for range maxConsecutiveFailures - 1 {
				if steps := fail(q); endStep(steps) != nil || !opens(steps, attempt.Primary) {
					t.Fatalf("after a failed page request: steps %+v, want a new connection and no end", steps)
				}
				q.Connected(attempt.Primary, &protocolState, permitted)
			}
			good := *q
			e := endStep(good.Received(attempt.Primary, response(200, "b\n", "Page-No: 1")))
			if e == nil || string(e.Result) != "a\nb\n" {
				t.Errorf("after a valid page: end %+v, want a result of both pages", e)
			}
			if e := endStep(fail(q)); e == nil || e.Outcome != policy.Error {
				t.Errorf("after the last failure: end %+v, want outcome Error", e)
			}
		})
	}
}

// truncatedResponses are results whose body length is too short and ends with a complete row.
func truncatedResponses(header string) map[string][]byte {
	const rows = "a\tb\tc\nd\te\tf\n"
	return map[string][]byte{
		"short length":     []byte("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 6\r\n\r\n" + rows),
		"length 0":         []byte("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 0\r\n\r\n" + rows),
		"last chunk early": []byte("HTTP/1.1 200 OK\r\n" + header + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na\tb\tc\n\r\n0\r\n\r\nd\te\tf\n"),
		"closed after it":  []byte("HTTP/1.1 200 OK\r\nConnection: close\r\n" + header + "\r\nContent-Length: 6\r\n\r\n" + rows),
	}
}

// A result that bytes follow is requested again: they may be its last rows. Guards against results without their last rows being
// served, which happened when a length that was too short ended with a row.
func TestResultFollowedByBytesIsRequestedAgain(t *testing.T) {
	const rows = "a\tb\tc\nd\te\tf\n"
	for name, truncated := range truncatedResponses("Page-Count: 1") {
		t.Run("first page/"+name, func(t *testing.T) {
			checkRequestedAgain(t, startQuery(t), truncated, "/v2/q/9b1f/0", response(200, rows, "Page-Count: 1"), rows)
		})
	}
	for name, truncated := range truncatedResponses("Page-No: 1") {
		t.Run("second page/"+name, func(t *testing.T) {
			q := startQuery(t)
			q.Received(attempt.Primary, response(200, "x\n", "Page-Count: 2"))
			checkRequestedAgain(t, q, truncated, "/v2/q/9b1f/1", response(200, rows, "Page-No: 1"), "x\n"+rows)
		})
	}
}

// checkRequestedAgain checks that a truncated page is requested again from path on a new connection, and that the whole page then
// completes the result.
func checkRequestedAgain(t *testing.T, q *Query, truncated []byte, path string, whole []byte, result string) {
	t.Helper()
	var protocolState any
	if steps := q.Received(attempt.Primary, truncated); endStep(steps) != nil || !opens(steps, attempt.Primary) {
		t.Fatalf("after the truncated page: steps %+v, want a new connection and no end", steps)
	}
	if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET "+path+" ") {
		t.Fatalf("wrote %q, want a request for %s", w, path)
	}
	if e := endStep(q.Received(attempt.Primary, whole)); e == nil || string(e.Result) != result {
		t.Errorf("end %+v, want the result %q", e, result)
	}
}

// lateRests are ways in which the rest of a page arrives after its length, which was too short, has ended.
var lateRests = map[string]func(q *Query) []attempt.Step{
	"before the response": func(q *Query) []attempt.Step {
		return q.Received(attempt.Primary, append([]byte("rest\n"), response(200, "c\n", "Page-No: 1")...))
	},
	"before a timeout": func(q *Query) []attempt.Step {
		q.Received(attempt.Primary, []byte("rest\n"))
		return q.TimerFired(attempt.ResponseTimeout)
	},
	"before a lost connection": func(q *Query) []attempt.Step {
		q.Received(attempt.Primary, []byte("rest\n"))
		return q.ConnectionLost(attempt.Primary)
	},
}

// resultWithLateRest is a result of which a page ends too early and the rest of that page arrives late.
type resultWithLateRest struct {
	before  [][]byte // responses up to the page that ends too early
	request string   // path of that page
	after   [][]byte // responses from the whole page on
	result  string
}

var resultsWithLateRest = map[string]resultWithLateRest{
	"first page": {
		before:  [][]byte{response(200, "a\n", "Page-Count: 2")},
		request: "/v2/q/9b1f/0",
		after:   [][]byte{response(200, "a\nrest\n", "Page-Count: 2"), response(200, "b\n", "Page-No: 1")},
		result:  "a\nrest\nb\n",
	},
	"second page": {
		before:  [][]byte{response(200, "a\n", "Page-Count: 3"), response(200, "b\n", "Page-No: 1")},
		request: "/v2/q/9b1f/1",
		after:   [][]byte{response(200, "b\nrest\n", "Page-No: 1"), response(200, "c\n", "Page-No: 2")},
		result:  "a\nb\nrest\nc\n",
	},
}

// If bytes that are no response follow a page on its connection, they may be the rest of the page, so that page is requested again
// too. Guards against a result without the last rows of a page, which happened when the page's length was too short and the rest
// arrived later than the page.
func TestPageIsRequestedAgainIfItsRestArrivesLate(t *testing.T) {
	for name, arriveLate := range lateRests {
		for page, c := range resultsWithLateRest {
			t.Run(page+"/"+name, func(t *testing.T) { checkLateRest(t, c, arriveLate) })
		}
	}
}

func checkLateRest(t *testing.T, c resultWithLateRest, arriveLate func(q *Query) []attempt.Step) {
	var protocolState any
	q := startQuery(t)
	for _, r := range c.before {
		q.Received(attempt.Primary, r)
	}
	if steps := arriveLate(q); endStep(steps) != nil || !opens(steps, attempt.Primary) {
		t.Fatalf("after the late rest: steps %+v, want a new connection and no end", steps)
	}
	if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET "+c.request+" ") {
		t.Fatalf("wrote %q, want a request for %s", w, c.request)
	}
	var e *attempt.End
	for _, r := range c.after {
		e = endStep(q.Received(attempt.Primary, r))
	}
	if e == nil || string(e.Result) != c.result {
		t.Errorf("end %+v, want the result %q", e, c.result)
	}
}

// A page without rows is requested twice on its connection: its length may be 0 by mistake, and its rows may arrive later than the
// header. Guards against an empty result being served for a query with rows, which happened when an engine wrote the header and the
// rows separately.
func TestEmptyResultIsRequestedTwice(t *testing.T) {
	var protocolState any
	empty := response(200, "", "Page-Count: 1")
	for name, arriveLate := range lateRests {
		t.Run(name, func(t *testing.T) {
			q := startQuery(t)
			if w := written(q.Received(attempt.Primary, empty)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
				t.Fatalf("wrote %q after an empty result, want a poll", w)
			}
			if steps := arriveLate(q); endStep(steps) != nil || !opens(steps, attempt.Primary) {
				t.Fatalf("after the late rows: steps %+v, want a new connection and no end", steps)
			}
			q.Connected(attempt.Primary, &protocolState, permitted)
			again := *q
			if e := endStep(again.Received(attempt.Primary, empty)); e != nil {
				t.Errorf("after another empty result: end %+v, want none", e)
			}
			e := endStep(q.Received(attempt.Primary, response(200, "rest\n", "Page-Count: 1")))
			if e == nil || string(e.Result) != "rest\n" {
				t.Errorf("end %+v, want the rows", e)
			}
		})
	}
	for name, headers := range map[string][]string{"open": {"Page-Count: 1"}, "closed": {"Page-Count: 1", "Connection: close"}} {
		t.Run("no rows, connection "+name, func(t *testing.T) {
			q := startQuery(t)
			if steps := q.Received(attempt.Primary, response(200, "", headers...)); endStep(steps) != nil {
				t.Fatalf("after the first empty result: steps %+v, want no end", steps)
			}
			if name == "closed" {
				q.Connected(attempt.Primary, &protocolState, permitted)
			}
			e := endStep(q.Received(attempt.Primary, response(200, "", headers...)))
			if e == nil || e.Outcome != policy.OK || len(e.Result) != 0 {
				t.Errorf("after the second empty result: end %+v, want an empty result", e)
			}
		})
	}
}

// If noise follows a page each time, the attempt ends with an error after maxConsecutiveFailures, although the page itself is
// received each time.
func TestNoiseAfterPagesEndsWithError(t *testing.T) {
	var protocolState any
	q := startQuery(t)
	for failure := 1; ; failure++ {
		q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))
		steps := q.Received(attempt.Primary, []byte("\x9b\r\n\r\n"))
		if e := endStep(steps); e != nil {
			if e.Outcome != policy.Error || failure != maxConsecutiveFailures {
				t.Errorf("end %+v after %d failures, want outcome Error after %d", e, failure, maxConsecutiveFailures)
			}
			return
		}
		if !opens(steps, attempt.Primary) || failure > maxConsecutiveFailures {
			t.Fatalf("after failure %d: steps %+v, want a new connection, and an end after %d failures", failure, steps, maxConsecutiveFailures)
		}
		q.Connected(attempt.Primary, &protocolState, permitted)
	}
}

// Noise instead of a page, on a connection that brought no page, makes that page alone be requested again. If all its requests
// fail, the attempt ends with an error.
func TestNoiseInsteadOfPageIsRequestedAgain(t *testing.T) {
	var protocolState any
	q := startQuery(t)
	q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2", "Connection: close"))
	for range maxConsecutiveFailures - 1 {
		if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET /v2/q/9b1f/1 ") {
			t.Fatalf("wrote %q, want a request for page 1", w)
		}
		if steps := q.Received(attempt.Primary, []byte("\x9b\r\n\r\n")); endStep(steps) != nil || !opens(steps, attempt.Primary) {
			t.Fatalf("after noise: steps %+v, want a new connection and no end", steps)
		}
	}
	q.Connected(attempt.Primary, &protocolState, permitted)
	good := *q
	if e := endStep(good.Received(attempt.Primary, response(200, "b\n", "Page-No: 1"))); e == nil || string(e.Result) != "a\nb\n" {
		t.Errorf("after a valid page: end %+v, want a result of both pages", e)
	}
	if e := endStep(q.Received(attempt.Primary, []byte("\x9b\r\n\r\n"))); e == nil || e.Outcome != policy.Error {
		t.Errorf("after the last failure: end %+v, want outcome Error", e)
	}
}

// Interim responses before a valid response are skipped. If unexpected bytes follow it, they are discarded with the response, which
// is requested again on a new connection; the query is not sent again.
func TestInterimResponsesAndExtraBytesAreDiscarded(t *testing.T) {
	var protocolState any
	good := response(200, "a\n", "Page-Count: 1")
	interim := []byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
	for _, more := range [][]byte{good, []byte("noise")} {
		q := startQuery(t)
		steps := q.Received(attempt.Primary, slices.Concat(interim, good, more))
		if endStep(steps) != nil || !closes(steps, attempt.Primary) || !opens(steps, attempt.Primary) {
			t.Fatalf("with extra bytes %q: steps %+v, want a new connection and no end", more, steps)
		}
		if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
			t.Fatalf("wrote %q, want a poll", w)
		}
		steps = q.Received(attempt.Primary, slices.Concat(interim, good))
		if e := endStep(steps); e == nil || string(e.Result) != "a\n" || closes(steps, attempt.Primary) {
			t.Errorf("without extra bytes: steps %+v, want the result and a connection that stays open", steps)
		}
	}
}

// After a corrupt response, an engine that does not know the query is not sent it again: the response may have been its result.
// Guards against a second execution of a query that must not run twice, which happened when the connection of its POST was lost
// before any response and the poll then had a corrupt response.
func TestQueryIsNotResentAfterCorruptResponse(t *testing.T) {
	var protocolState any
	corrupt := maps.Clone(corruptResponses)
	maps.Copy(corrupt, truncatedResponses("Page-Count: 1"))
	for name, b := range corrupt {
		t.Run(name, func(t *testing.T) {
			q := startQuery(t)
			q.ConnectionLost(attempt.Primary)
			q.Connected(attempt.Primary, &protocolState, permitted)
			q.Received(attempt.Primary, b)
			if w := written(q.Connected(attempt.Primary, &protocolState, permitted)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
				t.Fatalf("wrote %q, want a poll", w)
			}
			e := endStep(q.Received(attempt.Primary, response(500, "")))
			if e == nil || e.Outcome != policy.Error || q.postsSent != 1 {
				t.Errorf("end %+v after %d POSTs, want outcome Error after one", e, q.postsSent)
			}
		})
	}
}

// The reader rejects a response that never ends before it has buffered 1 MB, even if the chunks are small and have long extensions.
func TestEndlessResponseIsRejected(t *testing.T) {
	var r Reader
	if _, err := r.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	chunk := []byte("1;" + strings.Repeat("x", 1000) + "\r\ny\r\n")
	for sent := 0; sent < 1<<20; sent += len(chunk) {
		if _, err := r.Feed(chunk); err != nil {
			return
		}
	}
	t.Fatalf("no error with %d bytes buffered", len(r.buf))
}
