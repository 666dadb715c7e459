package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// readPacket reads a MySQL packet.
func readPacket(r io.Reader) (seq byte, payload []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	payload = make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err = io.ReadFull(r, payload)
	return head[3], payload, err
}

// encodePacket returns an encoded MySQL packet.
func encodePacket(seq byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}) + payload
}

// encodeResponse returns the packets of a response to a command, with sequence numbers from 1.
func encodeResponse(payloads ...string) string {
	out := ""
	for i, p := range payloads {
		out += encodePacket(byte(i+1), p)
	}
	return out
}

const (
	okPayload        = "\x00\x00\x00\x02\x00\x00\x00"
	eofPayload       = "\xfe\x00\x00\x02\x00"
	columnDefinition = "\x03def\x00\x00\x00\x01c\x00\x0c\x2d\x00\xff\x00\x00\x00\xfd\x00\x00\x00\x00\x00"
)

// errPayload returns the payload of an error packet.
func errPayload(code int, text string) string {
	return "\xff" + string(binary.LittleEndian.AppendUint16(nil, uint16(code))) + "#HY000" + text
}

// executionRecord records what the fake engines of a test executed, and which loads took effect. All engines of the test share it.
type executionRecord struct {
	mu             sync.Mutex
	executions     []string       // "engine:statement", in order of execution
	inFlight       map[string]int // attempts in flight by statement
	maxInFlight    int            // highest number of concurrent attempts of one statement, over all engines
	effects        map[string]int // number of loads that took effect, by idempotency key
	kills          int
	connectionLost bool // whether a "lose" statement has closed its connection already
}

func newExecutionRecord() *executionRecord {
	return &executionRecord{inFlight: map[string]int{}, effects: map[string]int{}}
}

// count returns how many executions have the text in their "engine:statement".
func (r *executionRecord) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, execution := range r.executions {
		if strings.Contains(execution, text) {
			n++
		}
	}
	return n
}

func (r *executionRecord) killCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kills
}

// totalInFlight returns how many attempts are in flight at the engines.
func (r *executionRecord) totalInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, attempts := range r.inFlight {
		n += attempts
	}
	return n
}

// sqlEngine is a fake engine that speaks the MySQL protocol. A word in the statement selects its behavior: "sleep" runs until it is
// killed, "many" returns rows until it is killed, "cut" returns a row and closes the connection, "wrong" fails with an error of the
// statement, "down" with an error of the engine, "lose" takes effect and closes the connection, but only the first time. A "load"
// returns OK, and any other statement returns two rows.
type sqlEngine struct {
	name               string
	ln                 net.Listener
	record             *executionRecord
	mu                 sync.Mutex
	nextID             uint32
	running            map[uint32]chan struct{} // channels by connection ID; closing one kills the statement
	rejectsConnections bool                     // rejects connections with the error "Too many connections"
	executes           [][]byte
	longData           []string
}

func newSQLEngine(t *testing.T, name string, record *executionRecord) *sqlEngine {
	t.Helper()
	e := &sqlEngine{name: name, record: record, running: map[uint32]chan struct{}{}}
	e.ln = serveTCP(t, e.serve)
	return e
}

func (e *sqlEngine) addr() string { return e.ln.Addr().String() }

// sqlSession is a connection to a sqlEngine.
type sqlSession struct {
	conn           net.Conn
	id             uint32
	idempotencyKey string
	statements     map[uint32]string
	lastStatement  uint32
}

func (e *sqlEngine) serve(nc net.Conn) {
	defer nc.Close()
	e.mu.Lock()
	full := e.rejectsConnections
	e.mu.Unlock()
	if full {
		io.WriteString(nc, encodePacket(0, errPayload(1040, "Too many connections")))
		return
	}
	e.mu.Lock()
	e.nextID++
	// Statement IDs start above those that the gateway assigns, so that the two differ.
	s := &sqlSession{conn: nc, id: e.nextID, statements: map[uint32]string{}, lastStatement: 70}
	e.mu.Unlock()
	id := string(binary.LittleEndian.AppendUint32(nil, s.id))
	io.WriteString(nc, encodePacket(0, "\x0a5.7.0\x00"+id+"abcdefgh\x00\xff\xf7\x2d\x02\x00\xff\x81\x15"+strings.Repeat("\x00", 10)+
		"ijklmnopqrst\x00mysql_native_password\x00"))
	if _, _, err := readPacket(nc); err != nil {
		return
	}
	io.WriteString(nc, encodePacket(2, okPayload))
	for {
		_, p, err := readPacket(nc)
		if err != nil || len(p) == 0 || !e.command(s, p) {
			return
		}
	}
}

// command responds to a command. It returns false to close the connection.
func (e *sqlEngine) command(s *sqlSession, p []byte) bool {
	switch p[0] {
	case 0x02:
		io.WriteString(s.conn, encodeResponse(okPayload))
	case 0x03:
		return e.query(s, string(p[1:]))
	case 0x16:
		s.lastStatement++
		s.statements[s.lastStatement] = string(p[1:])
		params := strings.Count(string(p[1:]), "?")
		head := "\x00" + string(binary.LittleEndian.AppendUint32(nil, s.lastStatement)) + "\x01\x00" + string([]byte{byte(params), 0}) + "\x00\x00\x00"
		payloads := []string{head}
		for range params {
			payloads = append(payloads, columnDefinition)
		}
		if params > 0 {
			payloads = append(payloads, eofPayload)
		}
		io.WriteString(s.conn, encodeResponse(append(payloads, columnDefinition, eofPayload)...))
	case 0x17:
		e.mu.Lock()
		e.executes = append(e.executes, p)
		e.mu.Unlock()
		text, known := s.statements[binary.LittleEndian.Uint32(p[1:])]
		if !known {
			io.WriteString(s.conn, encodeResponse(errPayload(1243, "unknown statement")))
			return true
		}
		return e.run(s, text)
	case 0x18:
		e.mu.Lock()
		e.longData = append(e.longData, string(p[7:]))
		e.mu.Unlock()
	default:
		return false
	}
	return true
}

// query responds to a text query. It returns false to close the connection.
func (e *sqlEngine) query(s *sqlSession, text string) bool {
	if key, ok := strings.CutPrefix(text, "SET @replay_key="); ok {
		s.idempotencyKey = key
		io.WriteString(s.conn, encodeResponse(okPayload))
		return true
	}
	var id uint32
	if n, _ := fmt.Sscanf(text, "KILL QUERY %d", &id); n == 1 {
		e.kill(s, id)
		return true
	}
	return e.run(s, text)
}

// kill kills the statement that a connection runs.
func (e *sqlEngine) kill(s *sqlSession, id uint32) {
	e.record.mu.Lock()
	e.record.kills++
	e.record.mu.Unlock()
	e.mu.Lock()
	stop := e.running[id]
	delete(e.running, id)
	e.mu.Unlock()
	if stop == nil {
		io.WriteString(s.conn, encodeResponse(errPayload(1094, "Unknown thread id")))
		return
	}
	close(stop)
	io.WriteString(s.conn, encodeResponse(okPayload))
}

// run executes a statement and responds. It returns false to close the connection.
func (e *sqlEngine) run(s *sqlSession, text string) bool {
	stop := make(chan struct{})
	e.mu.Lock()
	e.running[s.id] = stop
	e.mu.Unlock()
	e.record.mu.Lock()
	first := !e.record.connectionLost
	e.record.connectionLost = first && strings.Contains(text, "lose") || e.record.connectionLost
	e.record.executions = append(e.record.executions, e.name+":"+text)
	e.record.inFlight[text]++
	e.record.maxInFlight = max(e.record.maxInFlight, e.record.inFlight[text])
	if s.idempotencyKey != "" && e.record.effects[s.idempotencyKey] == 0 { // a duplicate within the deduplication window has no effect
		e.record.effects[s.idempotencyKey]++
	}
	e.record.mu.Unlock()
	s.idempotencyKey = ""
	defer func() {
		e.mu.Lock()
		delete(e.running, s.id)
		e.mu.Unlock()
	}()
	ended := func() {
		e.record.mu.Lock()
		e.record.inFlight[text]--
		e.record.mu.Unlock()
	}
	switch {
	case strings.Contains(text, "sleep"):
		<-stop
		ended()
		io.WriteString(s.conn, encodeResponse(errPayload(1317, "interrupted")))
	case strings.Contains(text, "many"):
		return e.streamRows(s, stop, ended)
	case strings.Contains(text, "cut"):
		ended()
		io.WriteString(s.conn, encodeResponse("\x01", columnDefinition, eofPayload, "\x05row 1"))
		return false
	case strings.Contains(text, "lose") && first:
		ended()
		return false
	case strings.Contains(text, "wrong"):
		ended()
		io.WriteString(s.conn, encodeResponse(errPayload(1064, "You have an error")))
	case strings.Contains(text, "down"):
		ended()
		io.WriteString(s.conn, encodeResponse(errPayload(1053, "Server shutdown in progress")))
	case strings.Contains(text, "load"):
		ended()
		io.WriteString(s.conn, encodeResponse(okPayload))
	default:
		ended()
		io.WriteString(s.conn, encodeResponse("\x01", columnDefinition, eofPayload, "\x05row 1", "\x05row 2", eofPayload))
	}
	return true
}

// streamRows sends rows until the query is killed. As on a real engine, the query keeps running if the client does not read them.
func (e *sqlEngine) streamRows(s *sqlSession, stop chan struct{}, ended func()) bool {
	io.WriteString(s.conn, encodeResponse("\x01", columnDefinition, eofPayload))
	rows := make(chan bool)
	go func() {
		defer close(rows)
		row := encodePacket(4, "\xfc\x00\x04"+strings.Repeat("r", 1024))
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := io.WriteString(s.conn, row); err != nil {
					return
				}
			}
		}
	}()
	<-stop
	ended()
	<-rows
	_, err := io.WriteString(s.conn, encodePacket(5, errPayload(1317, "interrupted")))
	return err == nil
}
