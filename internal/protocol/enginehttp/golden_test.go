package enginehttp

import (
	"strings"
	"testing"

	"frostpier/internal/attempt"
	"frostpier/internal/testutil"
	"frostpier/internal/testutil/transcript"
	"frostpier/policy"
)

// conversation is one attempt and what the engine and the driver do with it.
type conversation struct {
	name string
	play func(q *Query, note func(event string, steps []attempt.Step))
}

var goldenRequest = Request{Host: "e:1", ID: "9b1f03aa5c7e2d41", Class: "lookup", Key: "5c0f", Statement: []byte("SELECT 1")}

var goldenConversations = []conversation{
	{"served at once", func(q *Query, note func(string, []attempt.Step)) {
		note("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1")))
	}},
	{"served in pages after polls", func(q *Query, note func(string, []attempt.Step)) {
		note("202", q.Received(attempt.Primary, response(202, "", "X-Tell: done", "Figure: 0.25", "X-Report: inflight=3")))
		note("202", q.Received(attempt.Primary, response(202, "", "X-Tell: spill", "Figure: 40")))
		note("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 2", "X-Report: inflight=4")))
		note("200", q.Received(attempt.Primary, response(200, "b\n", "Page-No: 1")))
	}},
	{"turned away", func(q *Query, note func(string, []attempt.Step)) {
		note("503", q.Received(attempt.Primary, response(503, "", "X-No-Effect: 1")))
	}},
	{"failed", func(q *Query, note func(string, []attempt.Step)) {
		note("500", q.Received(attempt.Primary, response(500, "x")))
	}},
	{"connection lost, then found", func(q *Query, note func(string, []attempt.Step)) {
		var memory any
		note("lost", q.ConnectionLost(attempt.Primary))
		note("opened", q.Connected(attempt.Primary, &memory, leave))
		note("404", q.Received(attempt.Primary, response(404, "")))
		note("opened", q.Connected(attempt.Primary, &memory, leave))
		note("200", q.Received(attempt.Primary, response(200, "a\n", "Page-Count: 1")))
	}},
	{"cancelled and confirmed", func(q *Query, note func(string, []attempt.Step)) {
		var memory any
		note("cancel", q.Cancel(policy.Cancelled))
		note("opened", q.Connected(attempt.Control, &memory, leave))
		note("204", q.Received(attempt.Control, response(204, "")))
	}},
	{"no answer in time", func(q *Query, note func(string, []attempt.Step)) {
		for a := range attempt.TimerCount {
			note("timer", q.TimerFired(a))
		}
	}},
	{"no connection", func(q *Query, note func(string, []attempt.Step)) {
		note("broke", q.ConnectionLost(attempt.Primary))
		note("failed", q.ConnectFailed(attempt.Primary))
		note("timer", q.TimerFired(attempt.RetryBackoff))
		note("timer", q.TimerFired(attempt.UnreachableTimeout))
	}},
	{"unreadable answer", func(q *Query, note func(string, []attempt.Step)) {
		note("noise", q.Received(attempt.Primary, []byte("noise\r\n\r\n")))
	}},
}

// The calls to engines are, byte for byte, what they were before the code was rearranged.
func TestEngineTranscripts(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	for _, c := range goldenConversations {
		out.WriteString("== " + c.name + "\n")
		note := func(event string, steps []attempt.Step) { out.WriteString(transcript.Steps(event, steps)) }
		var memory any
		q, steps := NewQuery(goldenRequest)
		note("new", steps)
		note("opened", q.Connected(attempt.Primary, &memory, leave))
		c.play(q, note)
	}
	testutil.Golden(t, "engine.golden", []byte(out.String()))
}
