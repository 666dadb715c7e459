// Package jsonrpc implements the server side of the platform's JSON-RPC 2.0 protocol, with one message per line: Session parses
// the lines of a client into events, and the other functions format responses. The package owns no socket, clock or goroutine. The
// methods of a Session must be called on the event loop.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// Limits of a client's input.
const (
	maxLineBytes   = 256 << 10 // ample for statements written by people; incomplete lines are held in memory
	maxOpenCalls   = 32        // per connection
	maxBudget      = 24 * time.Hour
	maxEstimate    = 1e9 // of work in milliseconds, and of memory in MB
	maxIDBytes     = 64
	maxHeaderBytes = 256 // of a parameter value that is forwarded in an HTTP header
)

// nullID is the JSON encoding of a null ID, which also represents a missing one.
const nullID = "null"

// ErrLineTooLong is returned by Session.Feed for a line over the limit. The start of the next line is unknown then, so the caller
// must not read further input from the connection.
var ErrLineTooLong = errors.New("line too long")

// Call is a query that a client sent.
type Call struct {
	Class             int
	ID                string // as encoded in JSON
	RID               string // request ID under which the query is sent to the engine
	Token             string // idempotency key; empty for none
	Statement         []byte
	Budget            time.Duration
	EstimatedWork     time.Duration // 0 if not given
	EstimatedMemoryMB float64       // 0 if not given
	IsClientRetry     bool
}

// Event is the result of parsing one line. At most one field is set; an event without any field has no effect.
type Event struct {
	Call  *Call
	Abort string // ID of the open call to abort
	Ping  string // ID of a ping, to be answered with Pong
	Reply []byte // an error response to send at once
}

// Classes provides the classes of queries. Each is a method that clients can call.
type Classes interface {
	// Class returns the index of the class with this name, and whether it exists.
	Class(name string) (int, bool)
	// NeedsIdempotencyKey reports whether queries of a class are rejected without a token.
	NeedsIdempotencyKey(class int) bool
}

// Session is the protocol state of one client connection.
type Session struct {
	classes  Classes
	buf      []byte            // received bytes that are not parsed yet
	scanned  int               // length of the start of buf that is known to have no line feed
	openRIDs map[string]string // request IDs of the open calls, by call ID
}

// NewSession returns a Session without open calls.
func NewSession(classes Classes) *Session {
	return &Session{classes: classes, openRIDs: map[string]string{}}
}

// OpenCalls returns the number of open calls.
func (s *Session) OpenCalls() int { return len(s.openRIDs) }

// BufferedBytes returns the number of bytes buffered of an incomplete line.
func (s *Session) BufferedBytes() int { return len(s.buf) }

// DiscardInput discards an incomplete line. Feed must not be called afterwards. Open calls stay open.
func (s *Session) DiscardInput() { s.buf, s.scanned = nil, 0 }

// EndCall removes an open call whose response was sent or is not needed.
func (s *Session) EndCall(id string) { delete(s.openRIDs, id) }

// Feed parses received bytes and returns the events of the lines that they complete. The only error is ErrLineTooLong; the events
// of the lines before the long one are returned with it.
func (s *Session) Feed(b []byte) ([]Event, error) {
	s.buf = append(s.buf, b...)
	var events []Event
	for {
		end := bytes.IndexByte(s.buf[s.scanned:], '\n')
		if end < 0 {
			return events, s.keepIncompleteLine()
		}
		line := s.buf[:s.scanned+end]
		s.buf = s.buf[s.scanned+end+1:]
		s.scanned = 0
		if len(line) > maxLineBytes {
			return events, ErrLineTooLong
		}
		line = bytes.TrimSpace(line)
		if len(line) > 0 {
			events = append(events, s.parseLine(line))
		}
	}
}

func (s *Session) keepIncompleteLine() error {
	s.scanned = len(s.buf)
	if s.scanned > maxLineBytes {
		return ErrLineTooLong
	}
	if s.scanned == 0 {
		s.buf = nil // releases the memory of the last line
	}
	return nil
}

type message struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  string          `json:"method"`
	Params  params          `json:"params"`
}

// params holds the parameters of all methods.
type params struct {
	RID               string          `json:"rid"`
	ID                json.RawMessage `json:"id"`
	BudgetMS          float64         `json:"budget"`
	IsRetry           any             `json:"again"` // true unless missing, null, false or 0
	Token             string          `json:"token"`
	EstimatedMS       float64         `json:"est"`
	EstimatedMemoryMB float64         `json:"ram"`
	Blob              *string         `json:"blob"`
}

func (s *Session) parseLine(line []byte) Event {
	var m message
	err := json.Unmarshal(line, &m)
	malformedParams := isParamsError(err)
	if err != nil && !malformedParams {
		return errorReply(nullID, codeParseError, "not a JSON-RPC line")
	}
	id := string(m.ID)
	if id == "" {
		id = nullID
	}
	if m.Version != "2.0" || m.Method == "" || !validID(id) {
		return errorReply(nullID, codeInvalidRequest, "not a JSON-RPC 2.0 request")
	}
	_, inUse := s.openRIDs[id]
	if inUse && m.Method != "abort" { // an error with that ID would be read as the response to the open call
		return errorReply(nullID, codeInvalidRequest, "the id is in use")
	}
	if malformedParams {
		if inUse {
			id = nullID
		}
		return errorReply(id, codeInvalidParams, "params are of another form")
	}
	return s.parseMethod(id, m.Method, m.Params)
}

// paramsField is the name of the parameters in a message.
const paramsField = "params"

// isParamsError reports whether a message was decoded but for its parameters, which are of another type.
func isParamsError(err error) bool {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return false
	}
	field, _, _ := strings.Cut(typeError.Field, ".")
	return field == paramsField
}

func (s *Session) parseMethod(id, method string, p params) Event {
	switch method {
	case "ping":
		return Event{Ping: id}
	case "abort":
		return s.findAborted(id, p)
	}
	class, known := s.classes.Class(method)
	if !known {
		return errorReply(id, codeMethodNotFound, "no such method")
	}
	if id == nullID {
		return errorReply(id, codeInvalidRequest, "a query needs an id")
	}
	return s.parseCall(id, class, p)
}

func (s *Session) parseCall(id string, class int, p params) Event {
	statement, err := decodeBlob(p.Blob)
	switch {
	case err != nil:
		return errorReply(id, codeInvalidParams, "blob is not base64")
	case !(p.BudgetMS > 0) || p.BudgetMS > float64(maxBudget/time.Millisecond):
		return errorReply(id, codeInvalidParams, "budget is not a time")
	case !headerSafe(p.RID) || p.RID == "" || strings.ContainsAny(p.RID, "/ ?#%"):
		return errorReply(id, codeInvalidParams, "rid is not a name")
	case !headerSafe(p.Token):
		return errorReply(id, codeInvalidParams, "token is not a key")
	case s.classes.NeedsIdempotencyKey(class) && p.Token == "":
		return errorReply(id, codeInvalidParams, "this class needs a token")
	case !validEstimate(p.EstimatedMS) || !validEstimate(p.EstimatedMemoryMB):
		return errorReply(id, codeInvalidParams, "est or ram is no figure")
	case len(s.openRIDs) >= maxOpenCalls:
		return errorReply(id, codeInvalidRequest, "too many calls are open")
	}
	s.openRIDs[id] = p.RID
	return Event{Call: &Call{
		Class:             class,
		ID:                id,
		RID:               p.RID,
		Token:             p.Token,
		Statement:         statement,
		Budget:            milliseconds(p.BudgetMS),
		EstimatedWork:     milliseconds(p.EstimatedMS),
		EstimatedMemoryMB: p.EstimatedMemoryMB,
		IsClientRetry:     p.IsRetry != nil && p.IsRetry != false && p.IsRetry != 0.0,
	}}
}

// findAborted returns an event for the open call that an abort identifies: by the ID or RID in its params, or by the ID of the abort
// message itself. An abort that matches no open call has no effect.
func (s *Session) findAborted(id string, p params) Event {
	for _, candidate := range []string{string(p.ID), id} {
		if _, open := s.openRIDs[candidate]; open {
			return Event{Abort: candidate}
		}
	}
	for open, rid := range s.openRIDs {
		if p.RID != "" && rid == p.RID {
			return Event{Abort: open}
		}
	}
	return Event{}
}
