// Package discovery parses the watch stream of the engine list: the events of the configuration and those of the
// discovery server, each with its resource version.
//
// The package handles the line format, the order of the events and the resource version after which a watch resumes. It does
// no I/O, reads no clock and starts no goroutine. A Stream is not safe for concurrent use; its methods must be called on the
// event loop.
package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// maxLineBytes is the maximum length of a line. An event may contain the whole engine list.
const maxLineBytes = 4 << 20

// Stream parses the events of a watch in order and tracks the last resource version. The zero value is ready for use.
type Stream struct {
	resourceVersion int64
	buffer          []byte // start of an incomplete line
	failed          bool   // set by an error: the rest of this connection's input is ignored
	linesRead       int
}

// LinesRead returns the number of complete lines received.
func (s *Stream) LinesRead() int { return s.linesRead }

// ResourceVersion returns the resource version of the last event.
func (s *Stream) ResourceVersion() int64 { return s.resourceVersion }

// Restore parses the events in a configuration, which is empty or the JSON object {"no": last resource version, "items":
// events}. The first call returns all events, the first of them as the full list. When the configuration is reloaded, Restore
// returns only the events that follow the last one; the watch delivers those that the configuration does not have. The error
// is that of the JSON decoder, or wraps ErrInvalidEvent.
func (s *Stream) Restore(text []byte) ([]Event, error) {
	if len(text) == 0 {
		return nil, nil
	}
	var config struct {
		Version int64             `json:"no"`
		Items   []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, fmt.Errorf("engine events of the configuration: %w", err)
	}
	reloaded := s.resourceVersion > 0
	events, err := s.parseEvents(config.Items)
	if err != nil || reloaded {
		return events, err
	}
	if len(events) > 0 {
		events[0].Full = true
	}
	s.resourceVersion = max(s.resourceVersion, config.Version)
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

// Request returns the watch request, which resumes after the last event. It must be the first line sent on each connection.
func (s *Stream) Request() []byte {
	s.buffer, s.failed = nil, false
	return fmt.Appendf(nil, "after %d\n", s.resourceVersion)
}

// Feed parses received bytes and returns the events that they complete. An error wraps ErrInvalidEvent. After an error the
// caller must reconnect; input is ignored until the next call of Request.
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

// nextLine removes the next complete line from the buffer and returns it.
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

// parseLine parses a line: an event, a bare resource version, or an empty heartbeat. The returned event is nil if there is
// none to apply.
func (s *Stream) parseLine(line []byte) (*Event, error) {
	if len(line) == 0 {
		return nil, nil
	}
	if version, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		return nil, s.checkVersion(version)
	}
	return s.parseEvent(line)
}

// checkVersion compares the server's latest resource version with that of the stream and returns an error if an event was
// missed.
func (s *Stream) checkVersion(version int64) error {
	if version > s.resourceVersion {
		return &EventError{Field: "resource version", Value: version, Bound: fmt.Sprintf("at most %d, that of the last event", s.resourceVersion)}
	}
	return nil
}
