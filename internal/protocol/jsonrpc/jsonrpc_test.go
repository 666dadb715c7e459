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

// validCall is a query with all parameters.
const validCall = `{"jsonrpc":"2.0","id":7,"method":"report","params":{` +
	`"rid":"9b1f03aa5c7e2d41","budget":1500,"again":1,"token":"5c0f","est":820.0,"ram":96,"blob":"U0VMRUNU"}}` + "\n"

func TestCallInAnyPieces(t *testing.T) {
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
			rt.Fatalf("%+v", got)
		}
		if c := got[0].Call; c.Class != 3 || c.ID != "7" || c.RID != "9b1f03aa5c7e2d41" || c.Token != "5c0f" ||
			string(c.Statement) != "SELECT" || c.Budget != 1500*time.Millisecond || c.EstimatedWork != 820*time.Millisecond ||
			c.EstimatedMemoryMB != 96 || !c.IsClientRetry {
			rt.Fatalf("%+v", c)
		}
	})
}

func TestInvalidLinesGetAnError(t *testing.T) {
	edit := func(from, to string) string { return strings.Replace(validCall, from, to, 1) }
	for name, c := range map[string]struct {
		line string
		code int
	}{
		"no JSON":             {"nonsense\n", codeParse},
		"batch":               {"[" + validCall[:len(validCall)-1] + "]\n", codeParse},
		"empty object":        {"{}\n", codeRequest},
		"other version":       {edit(`"2.0"`, `"1.0"`), codeRequest},
		"object as id":        {edit(`7`, `{}`), codeRequest},
		"unknown method":      {edit("report", "nosuch"), codeMethod},
		"budget of 0":         {edit("1500", "0"), codeParams},
		"text as budget":      {edit("1500", `"x"`), codeParams},
		"negative budget":     {edit("1500", "-1"), codeParams},
		"huge budget":         {edit("1500", "1e99"), codeParams},
		"blob not in base64":  {edit("U0VMRUNU", "%"), codeParams},
		"line feed in rid":    {edit("9b1f", `9\r\nX: `), codeParams},
		"path in rid":         {edit("9b1f", "../"), codeParams},
		"space in token":      {edit("5c0f", "a b"), codeParams},
		"negative memory":     {edit("96", "-96"), codeParams},
		"no blob":             {edit(`,"blob":"U0VMRUNU"`, ""), codeParams},
		"query without an id": {edit(`"id":7,`, ""), codeRequest},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := NewSession(classes{}).Feed([]byte(c.line))
			if err != nil || len(events) != 1 || !bytes.Contains(events[0].Reply, fmt.Appendf(nil, `"code":%d`, c.code)) {
				t.Errorf("%.60q: %+v, %v, want %d", c.line, events, err, c.code)
			}
		})
	}
}

// There are never two responses for one ID: whatever else comes with the ID of an open call is rejected, and the error has no ID,
// as it would be read as the response to the open call.
func TestIDInUse(t *testing.T) {
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
				t.Errorf("%s: %+v", second, events)
			}
		})
	}
}

func TestAbort(t *testing.T) {
	for name, params := range map[string]string{
		"by id":         `"params":{"id":7}`,
		"by rid":        `"params":{"rid":"9b1f03aa5c7e2d41"}`,
		"by its own id": `"id":7`,
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSession(classes{})
			events, _ := s.Feed([]byte(validCall + `{"jsonrpc":"2.0","method":"abort",` + params + "}\n"))
			if events[1].Abort != "7" {
				t.Errorf("%+v", events[1])
			}
		})
	}
}

func TestLineTooLong(t *testing.T) {
	s, line := NewSession(classes{}), bytes.Repeat([]byte("x"), 1<<16)
	var err error
	for i := 0; err == nil && i < 2*maxLineBytes/len(line); i++ {
		_, err = s.Feed(line)
	}
	if !errors.Is(err, ErrLineTooLong) {
		t.Fatal(err)
	}
}

func TestGarbageNeverPanics(t *testing.T) {
	parts := rapid.SampledFrom([]string{validCall, validCall[:40], "{", "}", `"jsonrpc":"2.0",`, `"id":`, "null", `"params":`, "[]", "\n", "7", ","})
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSession(classes{})
		s.Feed([]byte(strings.Join(rapid.SliceOf(parts).Draw(rt, "parts"), "")))
		s.Feed(append(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"), '\n'))
	})
}
