// Package jsonrpc implements the gateway's side of the platform's JSON-RPC 2.0 protocol, one message a line: Session parses the
// lines of a client into events, and the other functions format responses. It owns no socket, clock or goroutine. The methods of a
// Session are called on the event loop.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// Limits of what a client may send.
const (
	maxLineBytes   = 256 << 10 // a statement is written by a person; incomplete lines are kept in memory
	maxOpenCalls   = 32        // of one connection
	maxBudget      = 24 * time.Hour
	maxEstimate    = 1e9 // milliseconds or MB
	maxIDBytes     = 64
	maxHeaderBytes = 256 // of a field that is sent on in an HTTP header
)

// nullID stands for a missing ID.
const nullID = "null"

// ErrLineTooLong is returned by Session.Feed for a line over the limit. The lines behind it cannot be found any more, so nothing
// more of the connection is to be read.
var ErrLineTooLong = errors.New("line too long")

// Call is a query of a client.
type Call struct {
	Class             int
	ID                string // as encoded in JSON
	RID               string // names the query towards the engine
	Token             string // idempotency key; empty for none
	Statement         []byte
	Budget            time.Duration
	EstimatedWork     time.Duration // 0 if the client gives none
	EstimatedMemoryMB float64       // 0 if the client gives none
	IsClientRetry     bool
}

// Event is the meaning of one line. One field is set at most; an event without any has no effect.
type Event struct {
	Call  *Call
	Abort string // ID of the call that its client has aborted
	Ping  string // ID of the ping, to be answered with Pong
	Reply []byte // a line to be sent at once
}

// Classes are the classes of queries, each of which is a method that clients can call.
type Classes interface {
	// Class returns the number of a class, and whether there is one of this name.
	Class(name string) (int, bool)
	// NeedsIdempotencyKey reports whether queries of a class are only accepted with a token.
	NeedsIdempotencyKey(class int) bool
}

// Session is one connection of a client.
type Session struct {
	classes  Classes
	buf      []byte            // received, not parsed yet
	scanned  int               // bytes of buf in which there is no line feed
	openRIDs map[string]string // of the open calls, by ID
}

// NewSession returns a Session without open calls.
func NewSession(classes Classes) *Session {
	return &Session{classes: classes, openRIDs: map[string]string{}}
}

// OpenCalls returns how many calls are open.
func (s *Session) OpenCalls() int { return len(s.openRIDs) }

// BufferedBytes returns how many bytes of an incomplete line have been received.
func (s *Session) BufferedBytes() int { return len(s.buf) }

// DiscardInput discards an incomplete line, after which Feed must not be called any more. Open calls stay open.
func (s *Session) DiscardInput() { s.buf, s.scanned = nil, 0 }

// EndCall removes an open call that has its response, or needs none.
func (s *Session) EndCall(id string) { delete(s.openRIDs, id) }

// Feed parses further bytes and returns the events of the lines that they complete. The only error is ErrLineTooLong, with which
// the events of the lines before it are returned.
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
		s.buf = nil // frees the memory of the last line
	}
	return nil
}

type message struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
}

// params has the parameters of all methods.
type params struct {
	RID               string          `json:"rid"`
	ID                json.RawMessage `json:"id"`
	BudgetMS          float64         `json:"budget"`
	IsRetry           any             `json:"again"` // set unless missing, null, false or 0
	Token             string          `json:"token"`
	EstimatedMS       float64         `json:"est"`
	EstimatedMemoryMB float64         `json:"ram"`
	Blob              *string         `json:"blob"`
}

func (s *Session) parseLine(line []byte) Event {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return errorReply(nullID, codeParse, "not a JSON-RPC line")
	}
	id := string(m.ID)
	if id == "" {
		id = nullID
	}
	if m.Version != "2.0" || m.Method == "" || !plainID(id) {
		return errorReply(nullID, codeRequest, "not a JSON-RPC 2.0 request")
	}
	_, inUse := s.openRIDs[id]
	if inUse && m.Method != "abort" { // an error with that ID would be read as the response to the open call
		return errorReply(nullID, codeRequest, "the id is in use")
	}
	var p params
	if len(m.Params) > 0 {
		if err := json.Unmarshal(m.Params, &p); err != nil {
			if inUse {
				id = nullID
			}
			return errorReply(id, codeParams, "params are of another form")
		}
	}
	return s.parseMethod(id, m.Method, p)
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
		return errorReply(id, codeMethod, "no such method")
	}
	if id == nullID {
		return errorReply(id, codeRequest, "a query needs an id")
	}
	return s.parseCall(id, class, p)
}

func (s *Session) parseCall(id string, class int, p params) Event {
	statement, err := decodeBlob(p.Blob)
	switch {
	case err != nil:
		return errorReply(id, codeParams, "blob is not base64")
	case !(p.BudgetMS > 0) || p.BudgetMS > float64(maxBudget/time.Millisecond):
		return errorReply(id, codeParams, "budget is not a time")
	case !headerSafe(p.RID) || p.RID == "" || strings.ContainsAny(p.RID, "/ ?#%"):
		return errorReply(id, codeParams, "rid is not a name")
	case !headerSafe(p.Token):
		return errorReply(id, codeParams, "token is not a key")
	case s.classes.NeedsIdempotencyKey(class) && p.Token == "":
		return errorReply(id, codeParams, "this class needs a token")
	case !validEstimate(p.EstimatedMS) || !validEstimate(p.EstimatedMemoryMB):
		return errorReply(id, codeParams, "est or ram is no figure")
	case len(s.openRIDs) >= maxOpenCalls:
		return errorReply(id, codeRequest, "too many calls are open")
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

// findAborted returns the open call that an abort names: by the ID or the RID in its params, or by its own ID. An abort that names
// none has no effect.
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
