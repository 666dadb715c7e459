// Package discovery parses the watch stream of the engine list: the events of the configuration and those of the
// discovery server, each with its resource version.
//
// The package owns the line format, the order of the events and the resource version to resume after. It does no input or
// output, reads no clock and starts no goroutine; a Stream is not safe for concurrent use, and all its calls come from the
// gateway's event loop.
package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// maxLineBytes is the upper bound of a line: an event may carry the whole engine list.
const maxLineBytes = 4 << 20

// Stream parses the events of a watch in order and remembers the last resource version. The zero value is ready for use.
type Stream struct {
	resourceVersion int64
	buffer          []byte // the start of a line that is not complete yet
	failed          bool   // after an error: the rest of this connection's input is ignored
	linesRead       int
}

// LinesRead returns the number of complete lines received.
func (s *Stream) LinesRead() int { return s.linesRead }

// ResourceVersion returns the resource version of the last event applied.
func (s *Stream) ResourceVersion() int64 { return s.resourceVersion }

// Restore parses the events of a configuration, which is empty or the JSON object {"no": last resource version, "items":
// events}. At the start it returns all of them, the first as the full list. When the configuration is reloaded it returns
// only those that follow the last event; the watch delivers what the configuration lacks. The error is that of the JSON
// decoder, or wraps ErrInvalidEvent.
func (s *Stream) Restore(text []byte) ([]Event, error) {
	if len(text) == 0 {
		return nil, nil
	}
	var known struct {
		Version int64             `json:"no"`
		Items   []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, fmt.Errorf("known events: %w", err)
	}
	reloaded := s.resourceVersion > 0
	events, err := s.parseEvents(known.Items)
	if err != nil || reloaded {
		return events, err
	}
	if len(events) > 0 {
		events[0].Full = true
	}
	s.resourceVersion = max(s.resourceVersion, known.Version)
	return events, nil
}

// parseEvents parses events up to the first invalid one.
func (s *Stream) parseEvents(items []json.RawMessage) (events []Event, err error) {
	for _, item := range items {
		event, err := s.parseEvent(item)
		if err != nil {
			return events, err
		}
		if event != nil {
			events = append(events, *event)
		}
	}
	return events, nil
}

// Request returns the watch request, which resumes after the last event. It must be the first line of every connection.
func (s *Stream) Request() []byte {
	s.buffer, s.failed = nil, false
	return fmt.Appendf(nil, "after %d\n", s.resourceVersion)
}

// Feed parses received bytes and returns the events that they complete. An error wraps ErrInvalidEvent; after one the
// caller must reconnect, and until the next Request further input is ignored.
func (s *Stream) Feed(b []byte) ([]Event, error) {
	if s.failed {
		return nil, nil
	}
	s.buffer = append(s.buffer, b...)
	var events []Event
	for {
		line, complete := s.nextLine()
		if !complete {
			return events, s.checkLineLength()
		}
		event, err := s.parseLine(line)
		if err != nil {
			s.failed = true
			return events, err
		}
		if event != nil {
			events = append(events, *event)
		}
	}
}

// nextLine removes the next complete line from the buffer.
func (s *Stream) nextLine() (line []byte, complete bool) {
	end := bytes.IndexByte(s.buffer, '\n')
	if end < 0 {
		return nil, false
	}
	line = bytes.TrimSpace(s.buffer[:end])
	s.buffer = s.buffer[end+1:]
	s.linesRead++
	return line, true
}

// checkLineLength fails the stream if the incomplete line in the buffer is too long.
func (s *Stream) checkLineLength() error {
	if len(s.buffer) <= maxLineBytes {
		return nil
	}
	s.failed = true
	return &EventError{Field: "line length", Value: len(s.buffer), Bound: fmt.Sprintf("at most %d bytes", maxLineBytes)}
}

// parseLine parses a line: an event, a bare resource version, or nothing (a heartbeat). The event is nil if there is none
// to apply.
func (s *Stream) parseLine(line []byte) (*Event, error) {
	if len(line) == 0 {
		return nil, nil
	}
	if version, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		return nil, s.checkVersion(version)
	}
	return s.parseEvent(line)
}

// checkVersion compares the server's latest resource version with that of the stream, and returns an error if an event was
// missed.
func (s *Stream) checkVersion(version int64) error {
	if version > s.resourceVersion {
		return &EventError{Field: "resource version", Value: version, Bound: fmt.Sprintf("at most %d, that of the last event", s.resourceVersion)}
	}
	return nil
}
