package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

func line(no int, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"generation":%d,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.9:1",`+
		`"zone":"east","machineType":"std","cell":2,"lifecycle":%q,"weight":4,"startedAtMs":1500}]}}`, no, no, state)
}

func known(t testing.TB) *Stream {
	t.Helper()
	s := &Stream{}
	events, err := s.Restore([]byte(`{"no":1,"items":[` + line(1, "in_service") + `]}`))
	if err != nil || len(events) != 1 || !events[0].Full {
		t.Fatalf("%+v, %v", events, err)
	}
	if l := events[0].Engines[0]; l.Name != "s-1" || l.Addr != "10.1.0.9:1" || l.Cell != 2 || l.Health != policy.Ready ||
		l.Started != 1500*time.Millisecond {
		t.Fatalf("%+v", l)
	}
	return s
}

func TestEventsInAnyPieces(t *testing.T) {
	text := line(2, "terminating") + "\n2\n" + line(2, "terminating") + "\n{\"no\":2}\n" + line(3, "terminated") + "\n"
	rapid.Check(t, func(rt *rapid.T) {
		s, rest := known(t), []byte(text)
		var got []Event
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			events, err := s.Feed(rest[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got, rest = append(got, events...), rest[n:]
		}
		if len(got) != 2 || got[0].Engines[0].Health != policy.Draining || got[1].Engines[0].Health != policy.Gone || got[1].Full {
			rt.Fatalf("%+v", got)
		}
		if string(s.Request()) != "after 3\n" {
			rt.Fatalf("asks %q", s.Request())
		}
	})
}

// A restart knows only what its configuration holds: changes and a new whole list among it.
func TestKnownHoldsChangesAndResets(t *testing.T) {
	s := &Stream{}
	reset := strings.Replace(line(3, "in_service"), `"reset":false`, `"reset":true`, 1)
	events, err := s.Restore([]byte(`{"no":3,"items":[` + line(1, "in_service") + "," + line(2, "terminating") + "," + reset + `]}`))
	if err != nil || len(events) != 3 || !events[0].Full || events[1].Full || !events[2].Full {
		t.Fatalf("%+v, %v", events, err)
	}
	if string(s.Request()) != "after 3\n" {
		t.Fatalf("asks %q", s.Request())
	}
}

// Guards against a change of the list that is never asked for: what cannot be used does not count as had.
func TestBadLinesAreAskedForAgain(t *testing.T) {
	for _, text := range []string{"nonsense", "{}", line(4, "in_service"), "5", `{"no":7}`, line(2, "asleep"), `{"no":"x"}`} {
		s := known(t)
		if events, err := s.Feed([]byte(text + "\n" + line(2, "in_service") + "\n")); !errors.Is(err, ErrBadEvent) || len(events) > 0 {
			t.Errorf("%.40q: %v, %v", text, events, err)
		}
		if string(s.Request()) != "after 1\n" {
			t.Errorf("%.40q: asks %q", text, s.Request())
		}
	}
}

func TestGarbageNeverPanics(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &Stream{}
		for _, b := range rapid.SliceOf(rapid.SliceOfN(rapid.SampledFrom([]byte("{}[]\":,0\nnorste")), 0, 60)).Draw(rt, "bytes") {
			if _, err := s.Feed(b); err != nil {
				s.Request()
			}
		}
		s.Restore(rapid.SliceOf(rapid.Byte()).Draw(rt, "known"))
	})
}

// Guards against events lost or taken for a whole list when the configuration is read again: only those that follow
// on the last one count, and the number that the file names as its last skips none.
func TestKnownAgain(t *testing.T) {
	s := &Stream{}
	if _, err := s.Restore([]byte(`{"no":1,"items":[{"no":1,"roster":{"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"in_service"}]}}]}`)); err != nil {
		t.Fatal(err)
	}
	second := `{"no":2,"roster":{"instances":[{"instanceId":"b","hostPort":"h:2","lifecycle":"in_service"}]}}`
	events, err := s.Restore([]byte(`{"no":9,"items":[{"no":1,"roster":{"instances":[]}},` + second + `]}`))
	if err != nil || len(events) != 1 || events[0].ResourceVersion != 2 || events[0].Full {
		t.Fatalf("%+v, %v", events, err)
	}
	if ask := string(s.Request()); ask != "after 2\n" {
		t.Fatalf("asks %q", ask)
	}
}
