// Package jsonrpc is the platform's front as a state machine: lines of a client in, calls out, answers back as
// lines. It knows no socket and no clock.
package jsonrpc

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Bounds of what a client may send.
const (
	maxLineBytes = 256 << 10 // a statement is text that somebody wrote; what waits for a line's end counts against the memory
	maxOpenCalls = 32
	maxBudget = 24 * time.Hour
)

// The codes of errors.
const (
	codeParse   = -32700
	codeRequest = -32600
	codeMethod  = -32601
	codeParams  = -32602
	codeRejected = -32008
	codeFailed  = -32013
)

// ErrLineTooLong says that the framing is lost: the connection is to be closed.
var ErrLineTooLong = errors.New("line too long")

// Call is a query that a client asks for.
type Call struct {
	Class             int
	ID                string // as it came
	RID               string
	Token             string
	Statement         []byte
	Budget            time.Duration
	EstimatedWork     time.Duration
	EstimatedMemoryMB float64
	IsClientRetry     bool
}

// Event is what a line means: exactly one of its fields is set.
type Event struct {
	Call  *Call
	Abort string // the id of the call that its client wants no more
	Ping  string // the id to answer
	Reply []byte // a line to send at once
}

// Classes tells the front which methods there are.
type Classes interface {
	Class(name string) (int, bool)
	NeedsIdempotencyKey(class int) bool
}

// Session is one connection of a client.
type Session struct {
	classes Classes
	buf     []byte
	scanned    int               // of buf, without a line feed
	openRIDs    map[string]string // rid by id
}

// NewSession makes a Session.
func NewSession(classes Classes) *Session {
	return &Session{classes: classes, openRIDs: map[string]string{}}
}

// Open is how many calls have no answer yet.
func (s *Session) Open() int { return len(s.openRIDs) }

// BufferedBytes is how many bytes of a line that is not whole have come.
func (s *Session) BufferedBytes() int { return len(s.buf) }

// DiscardInput drops what has come of a line: nothing more is read, but what is open is still to be answered.
func (s *Session) DiscardInput() { s.buf, s.scanned = nil, 0 }

// Done says that a call got its answer or needs none.
func (s *Session) Done(id string) { delete(s.openRIDs, id) }

// Feed takes bytes in and returns what the lines that are whole with them mean.
func (s *Session) Feed(b []byte) ([]Event, error) {
	s.buf = append(s.buf, b...)
	var out []Event
	for {
		end := bytes.IndexByte(s.buf[s.scanned:], '\n')
		if end < 0 {
			if s.scanned = len(s.buf); s.scanned > maxLineBytes {
				return out, ErrLineTooLong
			}
			if s.scanned == 0 {
				s.buf = nil
			}
			return out, nil
		}
		line := s.buf[:s.scanned+end]
		s.buf, s.scanned = s.buf[s.scanned+end+1:], 0
		if len(line) > maxLineBytes {
			return out, ErrLineTooLong
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			out = append(out, s.parseLine(line))
		}
	}
}

type message struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
}

type params struct {
	RID    string          `json:"rid"`
	ID     json.RawMessage `json:"id"`
	Budget float64         `json:"budget"`
	IsRetry  any             `json:"again"`
	Token  string          `json:"token"`
	EstimatedMS    float64         `json:"est"`
	EstimatedMemoryMB    float64         `json:"ram"`
	Blob   *string         `json:"blob"`
}

func (s *Session) parseLine(line []byte) Event {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return errorReply("null", codeParse, "not a JSON-RPC line")
	}
	id := string(m.ID)
	if id == "" {
		id = "null"
	}
	if m.Version != "2.0" || m.Method == "" || !plainID(id) {
		return errorReply("null", codeRequest, "not a JSON-RPC 2.0 request")
	}
	_, twice := s.openRIDs[id]
	if twice && m.Method != "abort" { // an error under that id would be taken for the first call's answer
		return errorReply("null", codeRequest, "the id is in use")
	}
	var p params
	if len(m.Params) > 0 {
		if err := json.Unmarshal(m.Params, &p); err != nil && twice {
			return errorReply("null", codeParams, "params are of another form")
		} else if err != nil {
			return errorReply(id, codeParams, "params are of another form")
		}
	}
	switch m.Method {
	case "ping":
		return Event{Ping: id}
	case "abort":
		return s.findAborted(id, p)
	}
	class, known := s.classes.Class(m.Method)
	if !known {
		return errorReply(id, codeMethod, "no such method")
	}
	if id == "null" {
		return errorReply(id, codeRequest, "a query needs an id")
	}
	return s.parseCall(id, class, p)
}

func (s *Session) parseCall(id string, class int, p params) Event {
	statement, err := decodeBlob(p.Blob)
	switch {
	case err != nil:
		return errorReply(id, codeParams, "blob is not base64")
	case !(p.Budget > 0) || p.Budget > float64(maxBudget/time.Millisecond):
		return errorReply(id, codeParams, "budget is not a time")
	case !headerSafe(p.RID) || p.RID == "" || strings.ContainsAny(p.RID, "/ ?#%"):
		return errorReply(id, codeParams, "rid is not a name")
	case !headerSafe(p.Token):
		return errorReply(id, codeParams, "token is not a key")
	case s.classes.NeedsIdempotencyKey(class) && p.Token == "":
		return errorReply(id, codeParams, "this class needs a token")
	case !(p.EstimatedMS >= 0) || !(p.EstimatedMemoryMB >= 0) || p.EstimatedMS > 1e9 || p.EstimatedMemoryMB > 1e9:
		return errorReply(id, codeParams, "est or ram is no figure")
	case len(s.openRIDs) >= maxOpenCalls:
		return errorReply(id, codeRequest, "too many calls are open")
	}
	s.openRIDs[id] = p.RID
	return Event{Call: &Call{Class: class, ID: id, RID: p.RID, Token: p.Token, Statement: statement,
		Budget: milliseconds(p.Budget), EstimatedWork: milliseconds(p.EstimatedMS), EstimatedMemoryMB: p.EstimatedMemoryMB, IsClientRetry: p.IsRetry != nil && p.IsRetry != false && p.IsRetry != 0.0}}
}

// findAborted finds the call that is meant: by the id or the rid in its params, or by its own id.
func (s *Session) findAborted(id string, p params) Event {
	for _, name := range []string{string(p.ID), id} {
		if _, open := s.openRIDs[name]; open {
			return Event{Abort: name}
		}
	}
	for open, rid := range s.openRIDs {
		if p.RID != "" && rid == p.RID {
			return Event{Abort: open}
		}
	}
	return Event{}
}

func decodeBlob(blob *string) ([]byte, error) {
	if blob == nil {
		return nil, errors.New("no blob")
	}
	out, err := base64.StdEncoding.DecodeString(*blob)
	if err != nil {
		return nil, fmt.Errorf("blob: %w", err)
	}
	return out, nil
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// plainID reports whether an id can be given back: a number, a string or null.
func plainID(id string) bool {
	return len(id) <= 64 && (id == "null" || id[0] == '"' || id[0] == '-' || id[0] >= '0' && id[0] <= '9')
}

// headerSafe reports whether a text can go into a header as it is.
func headerSafe(s string) bool {
	return len(s) <= 256 && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f }) < 0
}

func errorReply(id string, code int, text string) Event {
	return Event{Reply: fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%q}}`+"\n", id, code, text)}
}

// Result is the line that serves a call.
func Result(id string, body []byte) []byte {
	b := fmt.Appendf(make([]byte, 0, len(body)*4/3+80), `{"jsonrpc":"2.0","id":%s,"result":{"blob":"`, id)
	b = base64.StdEncoding.AppendEncode(b, body)
	return append(b, "\"}}\n"...)
}

// Rejected is the line that refuses a call and says when to come back.
func Rejected(id string, back time.Duration) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":"Overloaded","data":{"backoff":%d}}}`+"\n",
		id, codeRejected, back.Milliseconds())
}

// Failed is the line that fails a call.
func Failed(id, why string) []byte { return errorReply(id, codeFailed, why).Reply }

// Pong answers a ping.
func Pong(id string, serving bool) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{"serving":%t}}`+"\n", id, serving)
}
