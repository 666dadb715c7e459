package enginehttp

import (
	"strings"
	"testing"

	"frostpier/internal/attempt"
	"frostpier/internal/testutil"
	"frostpier/internal/testutil/transcript"
	"frostpier/policy"
)

// attemptScript is an attempt with the events that follow its first connection.
type attemptScript struct {
	name string // heading in the golden file
	run  func(q *Query, record func(event string, steps []attempt.Step))
}

var goldenRequest = Request{Host: "e:1", ID: "9b1f03aa5c7e2d41", Class: "lookup", IdempotencyKey: "5c0f", Statement: []byte("SELECT 1")}

var goldenScripts = []attemptScript{
	{"served at once", func(q *Query, record func(string, []attempt.Step)) {
		record("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1")))
	}},
	{"served in pages after polls", func(q *Query, record func(string, []attempt.Step)) {
		record("202", q.Received(attempt.Primary, response(202, "", "X-Tell: done", "Figure: 0.25", "X-Report: inflight=3")))
		record("202", q.Received(attempt.Primary, response(202, "", "X-Tell: spill", "Figure: 40")))
		record("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2", "X-Report: inflight=4")))
		record("200", q.Received(attempt.Primary, response(200, "b\n", "Page-No: 1")))
	}},
	{"turned away", func(q *Query, record func(string, []attempt.Step)) {
		record("503", q.Received(attempt.Primary, response(503, "", "X-No-Effect: 1")))
	}},
	{"failed", func(q *Query, record func(string, []attempt.Step)) {
		record("500", q.Received(attempt.Primary, response(500, "x")))
	}},
	{"connection lost, then found", func(q *Query, record func(string, []attempt.Step)) {
		var protocolState any
		record("lost", q.ConnectionLost(attempt.Primary))
		record("opened", q.Connected(attempt.Primary, &protocolState, permitted))
		record("404", q.Received(attempt.Primary, response(404, "")))
		record("opened", q.Connected(attempt.Primary, &protocolState, permitted))
		record("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1")))
	}},
	{"cancelled and confirmed", func(q *Query, record func(string, []attempt.Step)) {
		var protocolState any
		record("cancel", q.Cancel(policy.Cancelled))
		record("opened", q.Connected(attempt.Control, &protocolState, permitted))
		record("204", q.Received(attempt.Control, response(204, "")))
	}},
	{"no answer in time", func(q *Query, record func(string, []attempt.Step)) {
		for timer := range attempt.TimerCount {
			record("timer", q.TimerFired(timer))
		}
	}},
	{"no connection", func(q *Query, record func(string, []attempt.Step)) {
		record("broke", q.ConnectionLost(attempt.Primary))
		record("failed", q.ConnectFailed(attempt.Primary))
		record("timer", q.TimerFired(attempt.RetryBackoff))
		record("timer", q.TimerFired(attempt.UnreachableTimeout))
	}},
	{"unreadable answer", func(q *Query, record func(string, []attempt.Step)) {
		record("noise", q.Received(attempt.Primary, []byte("noise\r\n\r\n")))
	}},
}

// The steps of each attempt, including the bytes of its requests, equal the golden file.
func TestEngineTranscripts(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	for _, c := range goldenScripts {
		out.WriteString("== " + c.name + "\n")
		record := func(event string, steps []attempt.Step) { out.WriteString(transcript.Steps(event, steps)) }
		var protocolState any
		q, steps := NewQuery(goldenRequest)
		record("new", steps)
		record("opened", q.Connected(attempt.Primary, &protocolState, permitted))
		c.run(q, record)
	}
	testutil.Golden(t, "engine.golden", []byte(out.String()))
}
