// Package bulletin reads the numbered events that tell of the engines: those known at the start and the lines of
// the stream. It knows no socket and no clock.
package bulletin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

const maxLine = 4 << 20 // an event may carry a whole list

// ErrLine is a line that cannot be used; the stream is to be asked for anew behind the last event.
var ErrLine = errors.New("bad line of the bulletin")

// Event is one change of the list of engines.
type Event struct {
	No    int64
	Whole bool
	Lines []core.Line
}

type item struct {
	No     *int64 `json:"no"`
	Roster *struct {
		Reset     bool `json:"reset"`
		Instances []struct {
			ID      string  `json:"instanceId"`
			Addr    string  `json:"hostPort"`
			Zone    string  `json:"zone"`
			Kind    string  `json:"machineType"`
			Cell    int     `json:"cell"`
			State   string  `json:"lifecycle"`
			Weight  float64 `json:"weight"`
			Started int64   `json:"startedAtMs"`
		} `json:"instances"`
	} `json:"roster"`
}

var states = map[string]policy.Health{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone,
}

// Stream follows the events in their order.
type Stream struct {
	last int64
	buf  []byte
	skip bool // no line of this connection is of use any more
	read int  // lines
}

// Lines is how many whole lines have come.
func (s *Stream) Lines() int { return s.read }

// Known takes in the events that a configuration holds: at the start all of them, the first as the whole list; when
// it is read again only those that follow on the last one. What it leaves out the bulletin tells.
func (s *Stream) Known(text []byte) ([]Event, error) {
	again := s.last > 0
	var known struct {
		No    int64             `json:"no"`
		Items []json.RawMessage `json:"items"`
	}
	if len(text) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, fmt.Errorf("known events: %w", err)
	}
	var out []Event
	for _, raw := range known.Items {
		ev, err := s.event(raw)
		if err != nil {
			return out, err
		}
		if ev != nil {
			out = append(out, *ev)
		}
	}
	if again {
		return out, nil
	}
	if len(out) > 0 {
		out[0].Whole = true
	}
	s.last = max(s.last, known.No)
	return out, nil
}

// Ask is the line that asks for what came after the last event; it goes first on every connection.
func (s *Stream) Ask() []byte {
	s.buf, s.skip = nil, false
	return fmt.Appendf(nil, "after %d\n", s.last)
}

// Feed takes bytes in and returns the events that are whole with them. After an error the driver asks anew.
func (s *Stream) Feed(b []byte) ([]Event, error) {
	if s.skip {
		return nil, nil
	}
	s.buf = append(s.buf, b...)
	var out []Event
	for {
		end := bytes.IndexByte(s.buf, '\n')
		if end < 0 {
			if len(s.buf) > maxLine {
				s.skip = true
				return out, fmt.Errorf("%w: over %d bytes", ErrLine, maxLine)
			}
			return out, nil
		}
		ev, err := s.line(bytes.TrimSpace(s.buf[:end]))
		s.buf = s.buf[end+1:]
		s.read++
		if err != nil {
			s.skip = true
			return out, err
		}
		if ev != nil {
			out = append(out, *ev)
		}
	}
}

func (s *Stream) line(text []byte) (*Event, error) {
	if len(text) == 0 {
		return nil, nil
	}
	if no, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		return nil, s.beat(no)
	}
	return s.event(text)
}

// beat takes the number of the last event that there is: one that was missed is asked for.
func (s *Stream) beat(no int64) error {
	if no > s.last {
		return fmt.Errorf("%w: event %d is the last, %d the last here", ErrLine, no, s.last)
	}
	return nil
}

func (s *Stream) event(text []byte) (*Event, error) {
	var it item
	if err := json.Unmarshal(text, &it); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLine, err)
	}
	switch {
	case it.No == nil:
		return nil, fmt.Errorf("%w: no number in %.80q", ErrLine, text)
	case it.Roster == nil:
		return nil, s.beat(*it.No)
	case *it.No <= s.last: // told again after a reconnect
		return nil, nil
	case *it.No > s.last+1 && !it.Roster.Reset && s.last > 0:
		return nil, fmt.Errorf("%w: event %d follows %d", ErrLine, *it.No, s.last)
	}
	ev := &Event{No: *it.No, Whole: it.Roster.Reset || s.last == 0}
	for _, e := range it.Roster.Instances {
		health, known := states[e.State]
		if !known || e.ID == "" || health == policy.Ready && e.Addr == "" {
			return nil, fmt.Errorf("%w: engine %q at %q is %q", ErrLine, e.ID, e.Addr, e.State)
		}
		ev.Lines = append(ev.Lines, core.Line{Name: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			Health: health, Weight: e.Weight, Started: time.Duration(e.Started) * time.Millisecond})
	}
	s.last = *it.No
	return ev, nil
}
