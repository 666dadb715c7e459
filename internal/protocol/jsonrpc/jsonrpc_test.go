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

const good = `{"jsonrpc":"2.0","id":7,"method":"report","params":{"rid":"9b1f03aa5c7e2d41","budget":1500,"again":1,"token":"5c0f","est":820.0,"ram":96,"blob":"U0VMRUNU"}}` + "\n"

func TestCallInAnyPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, rest := NewSession(classes{}), []byte(good)
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

func TestBadLinesGetAnError(t *testing.T) {
	edit := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	for text, code := range map[string]int{
		"nonsense\n": codeParse, "[" + good[:len(good)-1] + "]\n": codeParse, "{}\n": codeRequest,
		edit(`"2.0"`, `"1.0"`): codeRequest, edit(`7`, `{}`): codeRequest, edit("report", "nosuch"): codeMethod,
		edit("1500", "0"): codeParams, edit("1500", `"x"`): codeParams, edit("1500", "-1"): codeParams,
		edit("1500", "1e99"): codeParams, edit("U0VMRUNU", "%"): codeParams, edit("9b1f", `9\r\nX: `): codeParams,
		edit("9b1f", "../"): codeParams, edit("5c0f", "a b"): codeParams, edit("96", "-96"): codeParams,
		edit(`,"blob":"U0VMRUNU"`, ""): codeParams, edit(`"id":7,`, ""): codeRequest,
	} {
		events, err := NewSession(classes{}).Feed([]byte(text))
		if err != nil || len(events) != 1 || !bytes.Contains(events[0].Reply, fmt.Appendf(nil, `"code":%d`, code)) {
			t.Errorf("%.60q: %+v, %v, want %d", text, events, err, code)
		}
	}
}

// Guards against two answers for one id: whatever else comes under an open id is not taken, and the error bears no id,
// as it would be taken for the first call's answer.
func TestIDInUse(t *testing.T) {
	for _, second := range []string{good, strings.Replace(good, "1500", "-1", 1), strings.Replace(good, "report", "ping", 1),
		strings.Replace(good, "report", "nosuch", 1), `{"jsonrpc":"2.0","id":7,"method":"abort","params":[]}` + "\n"} {
		s := NewSession(classes{})
		events, _ := s.Feed([]byte(good + second))
		if len(events) != 2 || !bytes.Contains(events[1].Reply, []byte(`"id":null,"error"`)) || s.Open() != 1 {
			t.Errorf("%s: %+v", second, events)
		}
	}
}

func TestAbort(t *testing.T) {
	for _, params := range []string{`"params":{"id":7}`, `"params":{"rid":"9b1f03aa5c7e2d41"}`, `"id":7`} {
		s := NewSession(classes{})
		events, _ := s.Feed([]byte(good + `{"jsonrpc":"2.0","method":"abort",` + params + "}\n"))
		if events[1].Abort != "7" {
			t.Errorf("%s: %+v", params, events[1])
		}
	}
}

func TestOverlongLineLosesTheFraming(t *testing.T) {
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
	parts := rapid.SampledFrom([]string{good, good[:40], "{", "}", `"jsonrpc":"2.0",`, `"id":`, "null", `"params":`, "[]", "\n", "7", ","})
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSession(classes{})
		s.Feed([]byte(strings.Join(rapid.SliceOf(parts).Draw(rt, "parts"), "")))
		s.Feed(append(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"), '\n'))
	})
}
