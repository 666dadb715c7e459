package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

// ErrInvalidEvent is wrapped by the errors of Feed. The caller must reconnect and resume after the last valid event.
var ErrInvalidEvent = errors.New("invalid discovery event")

// EventError reports an invalid field of an event. It matches ErrInvalidEvent.
type EventError struct {
	Field string // field of the event, or a property of its line
	Value any
	Bound string // requirement that the value violates
	Err   error  // error of the JSON decoder, or nil
}

// Error gives the field, its value and the requirement.
func (e *EventError) Error() string {
	text := fmt.Sprintf("%v: %s is %v, must be %s", ErrInvalidEvent, e.Field, e.Value, e.Bound)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Is reports whether the target is ErrInvalidEvent.
func (e *EventError) Is(target error) bool { return target == ErrInvalidEvent }

// Unwrap returns the error of the JSON decoder, or nil.
func (e *EventError) Unwrap() error { return e.Err }

// Event is a change of the engine list.
type Event struct {
	ResourceVersion int64
	Full            bool // the event replaces the whole list
	Engines         []core.ListedEngine
}

// wireEvent is an event in JSON. Without a roster it only gives the server's latest resource version.
type wireEvent struct {
	Version *int64      `json:"no"`
	Roster  *wireRoster `json:"roster"`
}

type wireRoster struct {
	Reset     bool         `json:"reset"`
	Instances []wireEngine `json:"instances"`
}

type wireEngine struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	Started     int64   `json:"startedAtMs"` // Unix time in milliseconds
}

var healthByLifecycle = map[string]policy.Health{
	"in_service":  policy.Ready,
	"terminating": policy.Draining,
	"terminated":  policy.Gone,
}

// parseEvent parses an event and advances the stream's resource version to it. The returned event is nil if it is a duplicate
// that was resent after a reconnect, or only gives a resource version.
func (s *Stream) parseEvent(text []byte) (*Event, error) {
	var wire wireEvent
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, &EventError{Field: "line", Value: excerpt(text), Bound: "an event in JSON", Err: err}
	}
	if wire.Version == nil {
		return nil, &EventError{Field: "line", Value: excerpt(text), Bound: "an event with a resource version"}
	}
	version := *wire.Version
	switch {
	case wire.Roster == nil:
		return nil, s.checkVersion(version)
	case version <= s.resourceVersion:
		return nil, nil
	case version > s.resourceVersion+1 && !wire.Roster.Reset && s.resourceVersion > 0:
		return nil, &EventError{Field: "resource version", Value: version, Bound: fmt.Sprintf("%d, the next after the last event", s.resourceVersion+1)}
	}
	event := &Event{ResourceVersion: version, Full: wire.Roster.Reset || s.resourceVersion == 0}
	for i := range wire.Roster.Instances {
		engine, err := wire.Roster.Instances[i].listedEngine()
		if err != nil {
			return nil, err
		}
		event.Engines = append(event.Engines, engine)
	}
	s.resourceVersion = version
	return event, nil
}

// listedEngine validates and converts an engine.
func (e *wireEngine) listedEngine() (core.ListedEngine, error) {
	health, known := healthByLifecycle[e.Lifecycle]
	switch {
	case !known:
		return core.ListedEngine{}, e.invalid("lifecycle", e.Lifecycle, "in_service, terminating or terminated")
	case e.ID == "":
		return core.ListedEngine{}, e.invalid("instanceId", e.ID, "not empty")
	case health == policy.Ready && e.Addr == "":
		return core.ListedEngine{}, e.invalid("hostPort", e.Addr, "not empty while in service")
	}
	return core.ListedEngine{
		Name:        e.ID,
		Addr:        e.Addr,
		Zone:        e.Zone,
		MachineType: e.MachineType,
		Cell:        e.Cell,
		Health:      health,
		Weight:      e.Weight,
		Started:     milliseconds(e.Started),
	}, nil
}

// invalid returns an error about a field of the engine.
func (e *wireEngine) invalid(field, value, bound string) error {
	return &EventError{Field: fmt.Sprintf("%s of engine %q at %q", field, e.ID, e.Addr), Value: fmt.Sprintf("%q", value), Bound: bound}
}

// excerpt returns the quoted start of a line.
func excerpt(text []byte) string { return fmt.Sprintf("%.80q", text) }

// milliseconds converts a number of milliseconds to a time.Duration. Values out of range become the nearest one.
func milliseconds(n int64) time.Duration {
	const largest = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(max(-largest, min(largest, n))) * time.Millisecond
}
