package enginehttp

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/attempt"
	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

func leave(bool) (time.Duration, bool) { return time.Second, true }

func begin(t testing.TB) *Query {
	t.Helper()
	q, _ := NewQuery(Request{Host: "e:1", ID: "9b1f", Class: "lookup", Statement: []byte("SELECT 1")})
	var memory any
	steps := q.Connected(attempt.Primary, &memory, leave)
	if w := wrote(steps); !strings.HasPrefix(w, "POST /v2/q HTTP/1.1\r\n") || !strings.HasSuffix(w, "\r\n\r\nSELECT 1") {
		t.Fatalf("wrote %q", w)
	}
	return q
}

func wrote(steps []attempt.Step) string {
	for _, s := range steps {
		if w, ok := s.(attempt.Write); ok {
			return string(w.Bytes)
		}
	}
	return ""
}

func endOf(steps []attempt.Step) *attempt.End {
	for _, s := range steps {
		if e, ok := s.(attempt.End); ok {
			return &e
		}
	}
	return nil
}

func opens(steps []attempt.Step, lane attempt.Channel) bool {
	for _, s := range steps {
		if o, ok := s.(attempt.Open); ok && o.Channel == lane {
			return true
		}
	}
	return false
}

func drops(steps []attempt.Step, lane attempt.Channel) bool {
	return slices.Contains(steps, attempt.Step(attempt.Close{Channel: lane}))
}

func response(status int, body string, heads ...string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(heads, ""), "\r\n"), body)
}

func TestOutcomes(t *testing.T) {
	for want, bytes := range map[policy.Outcome][]byte{
		policy.OK: response(200, "a\n", "Page-Count: 1"), policy.Rejected: response(503, "", "X-No-Effect: 1"),
		policy.Error: response(500, ""), policy.NotSent: response(504, "", "X-No-Effect: 1"),
	} {
		if e := endOf(begin(t).Received(attempt.Primary, bytes)); e == nil || e.Outcome != want {
			t.Errorf("%.20q ends as %+v, want %v", bytes, e, want)
		}
	}
}

// Guards against taking a lost connection for a lost query: it runs on until nobody has asked for it in 2 s, and a
// further attempt before would be the second one out. An engine whose table of connections is full refuses too, so
// not even that proves an end.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	q := begin(t)
	if steps := q.ConnectionLost(attempt.Primary); endOf(steps) != nil || !opens(steps, attempt.Primary) {
		t.Fatalf("%+v", steps)
	}
	if steps := q.ConnectFailed(attempt.Primary); endOf(steps) != nil {
		t.Fatalf("refused: %+v", steps)
	}
	if steps := q.TimerFired(attempt.RetryBackoff); !opens(steps, attempt.Primary) {
		t.Fatalf("does not try again: %+v", steps)
	}
	if e := endOf(q.TimerFired(attempt.UnreachableTimeout)); e == nil || e.Outcome != policy.Reset {
		t.Fatalf("after 2 s unasked: %+v", e)
	}
}

// Guards against reporting a cancelled attempt as ended before the engine has confirmed it.
func TestGivenUpIsOutUntilConfirmed(t *testing.T) {
	q := begin(t)
	if steps := q.Cancel(policy.Cancelled); endOf(steps) != nil || !opens(steps, attempt.Control) {
		t.Fatalf("%+v", steps)
	}
	var memory any
	if w := wrote(q.Connected(attempt.Control, &memory, leave)); !strings.HasPrefix(w, "DELETE /v2/q/9b1f HTTP/1.1\r\n") {
		t.Fatalf("wrote %q", w)
	}
	if steps := q.Received(attempt.Primary, response(202, "")); endOf(steps) != nil || wrote(steps) != "" {
		t.Fatalf("asked for again, or ended: %+v", steps)
	}
	if steps := q.Received(attempt.Control, response(500, "")); endOf(steps) != nil {
		t.Fatalf("500 taken for a confirmation: %+v", steps)
	}
	q.TimerFired(attempt.RetryBackoff)
	if e := endOf(q.Received(attempt.Control, response(204, ""))); e == nil || e.Outcome != policy.Cancelled {
		t.Fatalf("%+v", e)
	}
}

func TestNothingWrittenNeverRan(t *testing.T) {
	q, _ := NewQuery(Request{})
	if e := endOf(q.Cancel(policy.Cancelled)); e == nil || e.Outcome != policy.NotSent {
		t.Fatalf("given up before its connection: %+v", e)
	}
	q, _ = NewQuery(Request{})
	if e := endOf(q.ConnectFailed(attempt.Primary)); e == nil || e.Outcome != policy.NoConnection {
		t.Fatalf("no connection: %+v", e)
	}
	q, _ = NewQuery(Request{})
	var memory any
	steps := q.Connected(attempt.Primary, &memory, func(bool) (time.Duration, bool) { return 0, false })
	if e := endOf(steps); e == nil || e.Outcome != policy.NotSent || wrote(steps) != "" {
		t.Fatalf("no leave: %+v", steps)
	}
}

func TestPages(t *testing.T) {
	q := begin(t)
	if w := wrote(q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))); !strings.HasPrefix(w, "GET /v2/q/9b1f/1 ") {
		t.Fatalf("wrote %q", w)
	}
	if e := endOf(q.Received(attempt.Primary, response(200, "b\n", "Page-No: 1"))); e == nil || string(e.Result) != "a\nb\n" {
		t.Fatalf("%+v", e)
	}
	for name, page := range map[string][]byte{"missing": response(500, ""),
		"too large": response(200, strings.Repeat("x", maxResult)+"\n", "Page-No: 1")} {
		q := begin(t)
		q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))
		if e := endOf(q.Received(attempt.Primary, page)); e == nil || e.Outcome != policy.Error {
			t.Errorf("%s page: %+v", name, e)
		}
	}
}

// spoilt is what was seen to come in place of good answers, or could as well; none of it may be served.
var spoilt = map[string][]byte{
	"two lengths":   []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\nPage-Count: 1\r\n\r\na\tb\tc\n"),
	"length -1":     []byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nPage-Count: 1\r\n\r\na\n"),
	"signed length": []byte("HTTP/1.1 200 OK\r\nContent-Length: +2\r\nPage-Count: 1\r\n\r\na\n"),
	"two framings":  []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nPage-Count: 1\r\n\r\na\n"),
	"odd coding":    []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nPage-Count: 1\r\n\r\na\n"),
	"bad chunks":    []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"),
	"no colon":      []byte("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"status 2x0":    []byte("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"not HTTP":      []byte("ICY 200 OK\r\nContent-Length: 2\r\nPage-Count: 1\r\n\r\na\n"),
	"cut row":       response(200, "a\tb", "Page-Count: 1"),
	"noise":         []byte("\x9b\xd1\r\n\r\n"),
	"endless head":  bytes.Repeat([]byte("X-Pad: p\r\n"), maxHead/8),
	"3 GB":          []byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\nPage-Count: 1\r\n\r\nnoise"),
}

// Guards against serving what no engine made, and against losing a result that the engine still has: seen on a day
// of bad peers, where of two lengths the first was taken, and every other spoilt answer cost a further attempt. The
// query is asked for again on a new connection, without another attempt and without the old connection.
func TestSpoiltAnswerIsAskedForAgain(t *testing.T) {
	var memory any
	for name, b := range spoilt {
		q := begin(t)
		for range tries - 1 {
			steps := q.Received(attempt.Primary, b)
			if endOf(steps) != nil || !opens(steps, attempt.Primary) || !drops(steps, attempt.Primary) {
				t.Fatalf("%s: %+v", name, steps)
			}
			if w := wrote(q.Connected(attempt.Primary, &memory, leave)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
				t.Fatalf("%s: wrote %q", name, w)
			}
		}
		good := *q
		if e := endOf(good.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1"))); e == nil || string(e.Result) != "a\n" {
			t.Errorf("%s: %+v after it came well", name, e)
		}
		if steps := q.Received(attempt.Primary, b); endOf(steps) != nil || !opens(steps, attempt.Control) {
			t.Errorf("%s: %+v, want it called off at last", name, steps)
		}
	}
}

// Guards against a result with a hole: a page that comes spoilt, with another's number or not at all is asked for
// again, and one that never comes makes the whole an error.
func TestSpoiltPageIsAskedForAgain(t *testing.T) {
	var memory any
	for name, lose := range map[string]func(q *Query) []attempt.Step{
		"another": func(q *Query) []attempt.Step { return q.Received(attempt.Primary, response(200, "b\n", "Page-No: 2")) },
		"noise":   func(q *Query) []attempt.Step { return q.Received(attempt.Primary, []byte("\x9b\r\n\r\n")) },
		"cut row": func(q *Query) []attempt.Step { return q.Received(attempt.Primary, response(200, "b", "Page-No: 1")) },
		"broken":  func(q *Query) []attempt.Step { return q.ConnectionLost(attempt.Primary) },
		"silence": func(q *Query) []attempt.Step { return q.TimerFired(attempt.ResponseTimeout) },
	} {
		q := begin(t)
		q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))
		for range tries - 1 {
			if steps := lose(q); endOf(steps) != nil || !opens(steps, attempt.Primary) {
				t.Fatalf("%s: %+v", name, steps)
			}
			q.Connected(attempt.Primary, &memory, leave)
		}
		good := *q
		if e := endOf(good.Received(attempt.Primary, response(200, "b\n", "Page-No: 1"))); e == nil || string(e.Result) != "a\nb\n" {
			t.Errorf("%s: %+v after it came well", name, e)
		}
		if e := endOf(lose(q)); e == nil || e.Outcome != policy.Error {
			t.Errorf("%s: %+v, want an error at last", name, e)
		}
	}
}

// A good answer may have more around it than belongs to it: that is left, and so is the connection.
func TestMoreThanTheAnswer(t *testing.T) {
	good := response(200, "a\n", "Page-Count: 1")
	for _, more := range [][]byte{good, []byte("noise")} {
		b := append([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"), good...)
		steps := begin(t).Received(attempt.Primary, append(b, more...))
		if e := endOf(steps); e == nil || string(e.Result) != "a\n" || !drops(steps, attempt.Primary) {
			t.Errorf("%+v", steps)
		}
	}
}

// A valid response in any pieces reads as the whole one, chunked or not.
func TestCuts(t *testing.T) {
	chunked := []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPage-Count: 1\r\n\r\n3;x=1\r\nabc\r\n2\r\nd\n\r\n0\r\n\r\n")
	rapid.Check(t, func(rt *rapid.T) {
		whole := rapid.SampledFrom([][]byte{chunked, response(200, "abcd\n", "Page-Count: 1")}).Draw(rt, "response")
		q, rest := begin(t), whole
		var e *attempt.End
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			e = endOf(q.Received(attempt.Primary, rest[:n]))
			rest = rest[n:]
		}
		if e == nil || e.Outcome != policy.OK || !bytes.Equal(e.Result, []byte("abcd\n")) {
			rt.Fatalf("%+v", e)
		}
	})
}

// Whatever comes, nothing panics, and no attempt ends twice.
func TestGarbage(t *testing.T) {
	heads := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 202 x\r\n\r\n", "Content-Length: ", "Page-Count: 2\r\n",
		"Page-No: 1\r\n", "Transfer-Encoding: chunked\r\n", "ffffffff\r\n", "\r\n", "\r\n\r\n", "-1", "7", ": ", "HTTP/1.1 204 x\r\n\r\n"})
	rapid.Check(t, func(rt *rapid.T) {
		q, ends := begin(t), 0
		var memory any
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			lane := attempt.Channel(rapid.IntRange(0, 1).Draw(rt, "lane"))
			var steps []attempt.Step
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				steps = q.Cancel(policy.Cancelled)
			case 1:
				steps = q.ConnectionLost(lane)
			case 2:
				steps = q.Connected(lane, &memory, leave)
			case 3:
				steps = q.TimerFired(attempt.Timer(rapid.IntRange(0, 2).Draw(rt, "alarm")))
			case 4:
				steps = q.Received(lane, rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(rt, "bytes"))
			default:
				steps = q.Received(lane, []byte(strings.Join(rapid.SliceOf(heads).Draw(rt, "heads"), "")))
			}
			if endOf(steps) != nil {
				ends++
			}
		}
		if ends > 1 {
			rt.Fatalf("%d ends", ends)
		}
	})
}

// Guards against a further attempt spent on a query that its engine never read: seen on a day of resets, 580 times in
// 7,200 queries, until the ration was used up and others had none left. Connections break before an answer; if the
// engine then does not know the query, it is sent again within the attempt, as far as leave allows.
func TestUnreadQueryIsSentAgain(t *testing.T) {
	var memory any
	unread := func(allowed int) (*Query, []attempt.Step) {
		q, _ := NewQuery(Request{Host: "e:1", ID: "9b1f"})
		var steps []attempt.Step
		all := allowed
		leave := func(again bool) (time.Duration, bool) {
			allowed--
			return time.Second, allowed >= 0 && again == (allowed < all-1)
		}
		for w := wrote(q.Connected(attempt.Primary, &memory, leave)); strings.HasPrefix(w, "POST "); w = wrote(steps) {
			q.ConnectionLost(attempt.Primary)
			if w := wrote(q.Connected(attempt.Primary, &memory, leave)); !strings.HasPrefix(w, "GET /v2/q/9b1f/0 ") {
				t.Fatalf("wrote %q", w)
			}
			steps = q.Received(attempt.Primary, response(500, ""))
		}
		return q, steps
	}
	for allowed, posted := range map[int]int{1: 1, 2: 2, 100: posts} {
		q, steps := unread(allowed)
		if e := endOf(steps); e == nil || e.Outcome != policy.Error || q.posted != posted {
			t.Errorf("%d allowed: posted %d times, want %d; %+v", allowed, q.posted, posted, e)
		}
	}
	q := begin(t)
	q.ConnectionLost(attempt.Primary)
	q.Connected(attempt.Primary, &memory, leave)
	steps := q.Received(attempt.Primary, response(500, "", "Connection: close"))
	if !opens(steps, attempt.Primary) || endOf(steps) != nil {
		t.Fatalf("%+v", steps)
	}
	if w := wrote(q.Connected(attempt.Primary, &memory, leave)); !strings.HasPrefix(w, "POST ") {
		t.Fatalf("wrote %q on the new connection", w)
	}
	q = begin(t) // one that the engine had
	q.Received(attempt.Primary, response(202, ""))
	q.ConnectionLost(attempt.Primary)
	q.Connected(attempt.Primary, &memory, leave)
	if e := endOf(q.Received(attempt.Primary, response(500, ""))); e == nil || e.Outcome != policy.Error {
		t.Fatalf("sent again though it ran: %+v", e)
	}
}

// Guards against an error counted against an engine that only did what was asked: a poll under way when the DELETE
// arrives is answered 500, as the query is not known any more.
func TestUnknownAfterGivingUpIsItsEnd(t *testing.T) {
	q := begin(t)
	q.Cancel(policy.Cancelled)
	if e := endOf(q.Received(attempt.Primary, response(500, ""))); e == nil || e.Outcome != policy.Cancelled {
		t.Fatalf("%+v", e)
	}
}

// Guards against look-ups that are late for an answer that never came: the engine has it, and asking again right after
// the time in which it must have answered is soon enough for most. Seen on a recorded day, where 0.6 s were waited.
func TestSilenceIsNoticedSoon(t *testing.T) {
	var memory any
	silence := func(steps []attempt.Step) time.Duration {
		for _, s := range steps {
			if a, ok := s.(attempt.SetTimer); ok && a.Timer == attempt.ResponseTimeout && a.After > 0 {
				return a.After
			}
		}
		return 0
	}
	q, _ := NewQuery(Request{})
	if d := silence(q.Connected(attempt.Primary, &memory, leave)); d <= pollWait || d > pollWait+100*time.Millisecond {
		t.Errorf("%v after a POST", d)
	}
	if d := silence(q.Received(attempt.Primary, response(202, ""))); d <= pollWait || d > pollWait+100*time.Millisecond {
		t.Errorf("%v after a poll", d)
	}
	if d := silence(q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2"))); d <= 0 || d >= pollWait {
		t.Errorf("%v after asking for a page", d)
	}
}

// Guards against waiting on for an answer that the engine withholds: seen on a recorded day, where each of 140 queries
// that got no word after their POST and then 'not yet over' stayed without an answer to the end. One whose answer
// was only lost gets it again at once, and one that had a word before runs on.
func TestWithheldAnswerIsTold(t *testing.T) {
	var memory any
	overdue := func(steps []attempt.Step) bool {
		return slices.Contains(steps, attempt.Step(attempt.ResponseOverdue{}))
	}
	q := begin(t)
	q.TimerFired(attempt.ResponseTimeout)
	q.Connected(attempt.Primary, &memory, leave)
	steps := q.Received(attempt.Primary, response(202, ""))
	if !overdue(steps) || endOf(steps) != nil {
		t.Fatalf("%+v", steps)
	}
	if overdue(q.Received(attempt.Primary, response(202, ""))) {
		t.Error("told twice")
	}
	q = begin(t)
	q.Received(attempt.Primary, response(202, ""))
	q.TimerFired(attempt.ResponseTimeout)
	q.Connected(attempt.Primary, &memory, leave)
	if overdue(q.Received(attempt.Primary, response(202, ""))) {
		t.Error("told of one that had a word before")
	}
}

// Guards against a proof that is none: an engine that turns a query away, or says that its time is over, when it is sent a
// second time proves nothing of the first, which may have run. A keyed query went on as if it never had, without its window.
func TestRefusalOfASecondSendIsNoProof(t *testing.T) {
	for _, status := range []int{503, 504} {
		var memory any
		q := begin(t)
		q.ConnectionLost(attempt.Primary)
		q.Connected(attempt.Primary, &memory, leave)
		if w := wrote(q.Received(attempt.Primary, response(500, ""))); !strings.HasPrefix(w, "POST ") {
			t.Fatalf("wrote %q, want the query once more", w)
		}
		if e := endOf(q.Received(attempt.Primary, response(status, "", "X-No-Effect: 1"))); e == nil || e.Outcome.NeverRan() {
			t.Errorf("%d: %+v", status, e)
		}
	}
}

// Guards against an answer without an end that fills the memory: in one chunk after the other, each with a long word on itself.
func TestEndlessAnswerIsBounded(t *testing.T) {
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
	t.Fatalf("%d bytes are held", len(r.buf))
}

// Guards against a query that is served with another's answer: an answer without news that comes twice makes every call after it
// look answered one too early, and the last answer comes when the connection serves somebody else. Such a connection is closed.
func TestSecondAnswerWithoutNewsSpoilsTheConnection(t *testing.T) {
	bare, note, other := response(202, ""), response(202, "", "X-Tell: done", "Figure: 0.5"), response(202, "", "X-Tell: done", "Figure: 0.6")
	for name, c := range map[string]struct {
		first, second []byte
		due           bool // the second comes when an answer without news is due
		spoils        bool
	}{
		"none twice at once": {bare, bare, false, true}, "news twice at once": {note, note, false, true},
		"none twice in time": {bare, bare, true, false}, "other news": {note, other, false, false},
		"news, then none in time": {note, bare, true, false}, "news again in time": {note, note, true, false},
	} {
		q := begin(t)
		q.TimerFired(attempt.EarliestUpdate)
		q.Received(attempt.Primary, c.first)
		if c.due {
			q.TimerFired(attempt.EarliestUpdate)
		}
		q.Received(attempt.Primary, c.second)
		steps := q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1"))
		if e := endOf(steps); e == nil || e.Outcome != policy.OK || drops(steps, attempt.Primary) != c.spoils {
			t.Errorf("%s: %+v", name, steps)
		}
	}
}
