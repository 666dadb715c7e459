package discovery

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

// eventLine returns an event that contains one engine.
func eventLine(no int, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"generation":%d,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.9:1",`+
		`"zone":"east","machineType":"std","cell":2,"lifecycle":%q,"weight":4,"startedAtMs":1500}]}}`, no, no, state)
}

// restoredStream returns a Stream that has restored an event with resource version 1.
func restoredStream(t testing.TB) *Stream {
	t.Helper()
	s := &Stream{}
	events, err := s.Restore([]byte(`{"no":1,"items":[` + eventLine(1, "in_service") + `]}`))
	if err != nil || len(events) != 1 || !events[0].Full {
		t.Fatalf("events %+v and error %v, want one full list", events, err)
	}
	if engine := events[0].Engines[0]; engine.Name != "s-1" || engine.Addr != "10.1.0.9:1" || engine.Cell != 2 ||
		engine.Health != policy.Ready || engine.Started != 1500*time.Millisecond {
		t.Fatalf("engine %+v does not match the event", engine)
	}
	return s
}

// Events are parsed independently of how the input is split. Bare resource versions and duplicates yield no event.
func TestFeedWithSplitInput(t *testing.T) {
	text := eventLine(2, "terminating") + "\n2\n" + eventLine(2, "terminating") + "\n{\"no\":2}\n" + eventLine(3, "terminated") + "\n"
	rapid.Check(t, func(rt *rapid.T) {
		s := restoredStream(t)
		rest := []byte(text)
		var got []Event
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			events, err := s.Feed(rest[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got = append(got, events...)
			rest = rest[n:]
		}
		if len(got) != 2 || got[0].Engines[0].Health != policy.Draining || got[1].Engines[0].Health != policy.Gone || got[1].Full {
			rt.Fatalf("events %+v, want two changes: draining and gone", got)
		}
		if string(s.Request()) != "after 3\n" {
			rt.Fatalf("watch request %q, want %q", s.Request(), "after 3\n")
		}
	})
}

// A configuration may contain changes of the engine list and, after a reset, full lists.
func TestRestoreReturnsChangesAndFullLists(t *testing.T) {
	s := &Stream{}
	reset := strings.Replace(eventLine(3, "in_service"), `"reset":false`, `"reset":true`, 1)
	events, err := s.Restore([]byte(`{"no":3,"items":[` + eventLine(1, "in_service") + "," + eventLine(2, "terminating") + "," + reset + `]}`))
	if err != nil || len(events) != 3 || !events[0].Full || events[1].Full || !events[2].Full {
		t.Fatalf("events %+v and error %v, want a full list, a change and a full list", events, err)
	}
	if string(s.Request()) != "after 3\n" {
		t.Fatalf("watch request %q, want %q", s.Request(), "after 3\n")
	}
}

// After an invalid line, the watch resumes after the last valid event, and the rest of the connection's input is ignored.
// Otherwise an event would be lost for good.
func TestWatchResumesAfterInvalidLine(t *testing.T) {
	for _, c := range []struct {
		name, text, field string
		value             any
	}{
		{"not JSON", "nonsense", "line", `"nonsense"`},
		{"no version", "{}", "line", `"{}"`},
		{"version of a wrong type", `{"no":"x"}`, "line", `"{\"no\":\"x\"}"`},
		{"gap", eventLine(4, "in_service"), "resource version", int64(4)},
		{"missed event, bare version", "5", "resource version", int64(5)},
		{"missed event, JSON version", `{"no":7}`, "resource version", int64(7)},
		{"unknown lifecycle", eventLine(2, "asleep"), `lifecycle of engine "s-1" at "10.1.0.9:1"`, `"asleep"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := restoredStream(t)
			events, err := s.Feed([]byte(c.text + "\n" + eventLine(2, "in_service") + "\n"))
			if !errors.Is(err, ErrInvalidEvent) || len(events) > 0 {
				t.Errorf("events %v and error %v, want no event and ErrInvalidEvent", events, err)
			}
			var invalid *EventError
			if !errors.As(err, &invalid) || invalid.Field != c.field || invalid.Value != c.value {
				t.Errorf("error %v, want an EventError for field %s with value %v", err, c.field, c.value)
			}
			if string(s.Request()) != "after 1\n" {
				t.Errorf("watch request %q, want %q", s.Request(), "after 1\n")
			}
		})
	}
}

// A line of the maximum length is accepted, and a longer one is rejected.
func TestLineLengthIsBounded(t *testing.T) {
	s := restoredStream(t)
	if _, err := s.Feed(make([]byte, maxLineBytes)); err != nil {
		t.Fatal(err)
	}
	_, err := s.Feed([]byte{'x'})
	var invalid *EventError
	if !errors.As(err, &invalid) || invalid.Field != "line length" || invalid.Value != maxLineBytes+1 {
		t.Errorf("error %v, want an EventError for the line length", err)
	}
}

// Random input never causes a panic.
func TestStreamRandomInputNeverPanics(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &Stream{}
		for _, b := range rapid.SliceOf(rapid.SliceOfN(rapid.SampledFrom([]byte("{}[]\":,0\nnorste")), 0, 60)).Draw(rt, "bytes") {
			if _, err := s.Feed(b); err != nil {
				s.Request()
			}
		}
		s.Restore(rapid.SliceOf(rapid.Byte()).Draw(rt, "configuration"))
	})
}

// When the configuration is reloaded, only events that follow the last one are returned, and not as full lists. The resource
// version in the configuration must not advance the stream, because the watch would then skip events.
func TestRestoreAfterReloadReturnsNewEventsOnly(t *testing.T) {
	s := &Stream{}
	first := `{"no":1,"roster":{"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"in_service"}]}}`
	if _, err := s.Restore([]byte(`{"no":1,"items":[` + first + `]}`)); err != nil {
		t.Fatal(err)
	}
	second := `{"no":2,"roster":{"instances":[{"instanceId":"b","hostPort":"h:2","lifecycle":"in_service"}]}}`
	events, err := s.Restore([]byte(`{"no":9,"items":[{"no":1,"roster":{"instances":[]}},` + second + `]}`))
	if err != nil || len(events) != 1 || events[0].ResourceVersion != 2 || events[0].Full {
		t.Fatalf("events %+v and error %v, want one change with resource version 2", events, err)
	}
	if request := string(s.Request()); request != "after 2\n" {
		t.Fatalf("watch request %q, want %q", request, "after 2\n")
	}
}

// A start time out of range becomes the nearest time, not one of another sign.
func TestStartTimeOutOfRangeKeepsItsSign(t *testing.T) {
	for n, positive := range map[int64]bool{math.MaxInt64: true, math.MaxInt64 / 1000: true, 1: true, -1: false, math.MinInt64: false} {
		if got := milliseconds(n); got > 0 != positive || got == 0 {
			t.Errorf("%d ms: %v, want a time of the same sign", n, got)
		}
	}
}
