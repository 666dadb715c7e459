// Package discovery parses the watch stream of the engine list: the events of the configuration and those of the
// discovery server, each with its resource version. It does no input or output and reads no clock.
package discovery

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

const maxLineBytes = 4 << 20 // an event may carry a whole list

// ErrBadEvent reports an event that cannot be used. The caller must reconnect and resume after the last good event.
var ErrBadEvent = errors.New("bad discovery event")

// Event is one change of the engine list. If Full is set, it replaces the whole list.
type Event struct {
	ResourceVersion int64
	Full            bool
	Engines         []core.ListedEngine
}

type wireEvent struct {
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

var lifecycles = map[string]policy.Health{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone,
}

// Stream parses the events of a watch in order and remembers the last resource version.
type Stream struct {
	resourceVersion int64
	buf             []byte
	failed          bool // no line of this connection is of use any more
	linesRead       int  // lines
}

// LinesRead returns the number of complete lines received.
func (s *Stream) LinesRead() int { return s.linesRead }

// ResourceVersion returns the number of the last event received.
func (s *Stream) ResourceVersion() int64 { return s.resourceVersion }

// Restore takes the events of a configuration: at the start all of them, the first as the full list; when the
// configuration is reloaded only those that follow the last one. The watch delivers what it leaves out.
func (s *Stream) Restore(text []byte) ([]Event, error) {
	again := s.resourceVersion > 0
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
		ev, err := s.parseEvent(raw)
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
		out[0].Full = true
	}
	s.resourceVersion = max(s.resourceVersion, known.No)
	return out, nil
}

// Request returns the watch request, which resumes after the last event. It is sent first on every connection.
func (s *Stream) Request() []byte {
	s.buf, s.failed = nil, false
	return fmt.Appendf(nil, "after %d\n", s.resourceVersion)
}

// Feed takes received bytes and returns the events that they complete. After an error the driver must reconnect.
func (s *Stream) Feed(b []byte) ([]Event, error) {
	if s.failed {
		return nil, nil
	}
	s.buf = append(s.buf, b...)
	var out []Event
	for {
		end := bytes.IndexByte(s.buf, '\n')
		if end < 0 {
			if len(s.buf) > maxLineBytes {
				s.failed = true
				return out, fmt.Errorf("%w: over %d bytes", ErrBadEvent, maxLineBytes)
			}
			return out, nil
		}
		ev, err := s.parseLine(bytes.TrimSpace(s.buf[:end]))
		s.buf = s.buf[end+1:]
		s.linesRead++
		if err != nil {
			s.failed = true
			return out, err
		}
		if ev != nil {
			out = append(out, *ev)
		}
	}
}

func (s *Stream) parseLine(text []byte) (*Event, error) {
	if len(text) == 0 {
		return nil, nil
	}
	if no, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		return nil, s.checkVersion(no)
	}
	return s.parseEvent(text)
}

// checkVersion takes the server's latest resource version and reports an event that was missed.
func (s *Stream) checkVersion(no int64) error {
	if no > s.resourceVersion {
		return fmt.Errorf("%w: event %d is the last, %d the last here", ErrBadEvent, no, s.resourceVersion)
	}
	return nil
}

func (s *Stream) parseEvent(text []byte) (*Event, error) {
	var it wireEvent
	if err := json.Unmarshal(text, &it); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadEvent, err)
	}
	switch {
	case it.No == nil:
		return nil, fmt.Errorf("%w: no number in %.80q", ErrBadEvent, text)
	case it.Roster == nil:
		return nil, s.checkVersion(*it.No)
	case *it.No <= s.resourceVersion: // sent again after a reconnect
		return nil, nil
	case *it.No > s.resourceVersion+1 && !it.Roster.Reset && s.resourceVersion > 0:
		return nil, fmt.Errorf("%w: event %d follows %d", ErrBadEvent, *it.No, s.resourceVersion)
	}
	ev := &Event{ResourceVersion: *it.No, Full: it.Roster.Reset || s.resourceVersion == 0}
	for _, e := range it.Roster.Instances {
		health, known := lifecycles[e.State]
		if !known || e.ID == "" || health == policy.Ready && e.Addr == "" {
			return nil, fmt.Errorf("%w: engine %q at %q is %q", ErrBadEvent, e.ID, e.Addr, e.State)
		}
		ev.Engines = append(ev.Engines, core.ListedEngine{Name: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
			Health: health, Weight: e.Weight, Started: time.Duration(e.Started) * time.Millisecond})
	}
	s.resourceVersion = *it.No
	return ev, nil
}
