package jsonrpc

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

type classes struct{}

func (classes) Class(name string) (int, bool) { return 3, name == "report" }
func (classes) NeedsIdempotencyKey(int) bool  { return false }

// validCall is the line of a query with all parameters.
const validCall = `{"jsonrpc":"2.0","id":7,"method":"report","params":{` +
	`"rid":"9b1f03aa5c7e2d41","budget":1500,"again":1,"token":"5c0f","est":820.0,"ram":96,"blob":"U0VMRUNU"}}` + "\n"

// A call is parsed independently of how the input is split.
func TestCallWithSplitInput(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, rest := NewSession(classes{}), []byte(validCall)
		var got []Event
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			events, err := s.Feed(rest[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got, rest = append(got, events...), rest[n:]
		}
		if len(got) != 1 || got[0].Call == nil {
			rt.Fatalf("events %+v, want one call", got)
		}
		if c := got[0].Call; c.Class != 3 || c.ID != "7" || c.RID != "9b1f03aa5c7e2d41" || c.Token != "5c0f" ||
			string(c.Statement) != "SELECT" || c.Budget != 1500*time.Millisecond || c.EstimatedWork != 820*time.Millisecond ||
			c.EstimatedMemoryMB != 96 || !c.IsClientRetry {
			rt.Fatalf("parsed call %+v does not match the line %q", c, validCall)
		}
	})
}

// The response to an invalid line has the error code of the first check that fails.
func TestInvalidLinesGetAnError(t *testing.T) {
	edit := func(from, to string) string { return strings.Replace(validCall, from, to, 1) }
	for name, c := range map[string]struct {
		line string
		code int
	}{
		"not JSON":            {"nonsense\n", codeParseError},
		"batch":               {"[" + validCall[:len(validCall)-1] + "]\n", codeParseError},
		"empty object":        {"{}\n", codeInvalidRequest},
		"wrong version":       {edit(`"2.0"`, `"1.0"`), codeInvalidRequest},
		"object as id":        {edit(`7`, `{}`), codeInvalidRequest},
		"unknown method":      {edit("report", "nosuch"), codeMethodNotFound},
		"budget of 0":         {edit("1500", "0"), codeInvalidParams},
		"text as budget":      {edit("1500", `"x"`), codeInvalidParams},
		"negative budget":     {edit("1500", "-1"), codeInvalidParams},
		"huge budget":         {edit("1500", "1e99"), codeInvalidParams},
		"blob not in base64":  {edit("U0VMRUNU", "%"), codeInvalidParams},
		"line feed in rid":    {edit("9b1f", `9\r\nX: `), codeInvalidParams},
		"path in rid":         {edit("9b1f", "../"), codeInvalidParams},
		"space in token":      {edit("5c0f", "a b"), codeInvalidParams},
		"negative memory":     {edit("96", "-96"), codeInvalidParams},
		"no blob":             {edit(`,"blob":"U0VMRUNU"`, ""), codeInvalidParams},
		"query without an id": {edit(`"id":7,`, ""), codeInvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := NewSession(classes{}).Feed([]byte(c.line))
			if err != nil || len(events) != 1 || !bytes.Contains(events[0].Reply, fmt.Appendf(nil, `"code":%d`, c.code)) {
				t.Errorf("line %.60q: events %+v and error %v, want one reply with error code %d", c.line, events, err, c.code)
			}
		})
	}
}

// A message with the ID of an open call is rejected. The error has a null ID, because a client would read an error with that ID as
// the response to the open call.
func TestIDOfOpenCallIsRejected(t *testing.T) {
	for name, second := range map[string]string{
		"query":          validCall,
		"invalid query":  strings.Replace(validCall, "1500", "-1", 1),
		"ping":           strings.Replace(validCall, "report", "ping", 1),
		"unknown method": strings.Replace(validCall, "report", "nosuch", 1),
		"invalid abort":  `{"jsonrpc":"2.0","id":7,"method":"abort","params":[]}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSession(classes{})
			events, _ := s.Feed([]byte(validCall + second))
			if len(events) != 2 || !bytes.Contains(events[1].Reply, []byte(`"id":null,"error"`)) || s.OpenCalls() != 1 {
				t.Errorf("second message %s: events %+v and %d open calls, want an error reply with a null ID and 1 open call", second, events, s.OpenCalls())
			}
		})
	}
}

func TestAbortFindsOpenCall(t *testing.T) {
	for name, params := range map[string]string{
		"by id":         `"params":{"id":7}`,
		"by rid":        `"params":{"rid":"9b1f03aa5c7e2d41"}`,
		"by message id": `"id":7`,
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSession(classes{})
			events, _ := s.Feed([]byte(validCall + `{"jsonrpc":"2.0","method":"abort",` + params + "}\n"))
			if events[1].Abort != "7" {
				t.Errorf("event %+v, want an abort of call 7", events[1])
			}
		})
	}
}

func TestTooLongLineIsRejected(t *testing.T) {
	s, line := NewSession(classes{}), bytes.Repeat([]byte("x"), 1<<16)
	var err error
	for i := 0; err == nil && i < 2*maxLineBytes/len(line); i++ {
		_, err = s.Feed(line)
	}
	if !errors.Is(err, ErrLineTooLong) {
		t.Fatalf("error %v, want ErrLineTooLong", err)
	}
}

// Random lines and bytes never cause a panic.
func TestSessionRandomInputNeverPanics(t *testing.T) {
	parts := rapid.SampledFrom([]string{validCall, validCall[:40], "{", "}", `"jsonrpc":"2.0",`, `"id":`, "null", `"params":`, "[]", "\n", "7", ","})
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSession(classes{})
		s.Feed([]byte(strings.Join(rapid.SliceOf(parts).Draw(rt, "parts"), "")))
		s.Feed(append(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"), '\n'))
	})
}
