package main

import (
	"bufio"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Constants of the MySQL client/server protocol, from its public description.
const (
	comQuit   = 0x01
	comInitDB = 0x02
	comQuery  = 0x03
	comPing   = 0x0e

	comStmtPrepare = 0x16
	comStmtExecute = 0x17

	errTooManyConns = 1040
	errNoDatabase   = 1046
	errUnknownCom   = 1047
	errNoThread     = 1094
	errInterrupted  = 1317

	errUnknownStatement = 1243

	okPayload = "\x00\x00\x00\x02\x00\x00\x00"
	// columnDefinition describes a VARCHAR named c.
	columnDefinition = "\x03def\x00\x00\x00\x01c\x00\x0c\x2d\x00\xff\xff\x00\x00\xfd\x00\x00\x00\x00\x00"

	eofPayload = "\xfe\x00\x00\x02\x00"
	// netBuffer is the size at which a server writes what it has of a result.
	netBuffer = 16 << 10
)

// mysqlEngine is a query engine with the MySQL protocol. Like a MySQL server it keeps a schema for each session, continues a query whose
// connection is lost until it writes to it, and counts that connection until then.
//
// A statement's comment tells what it does: /* id=ID ms=WORK rows=N gap=MS bytes=SIZE */ works for WORK milliseconds, and then returns N
// rows of SIZE bytes, one each MS milliseconds. Each row begins with the name of the schema that the statement read.
type mysqlEngine struct {
	maxConns int
	mu       sync.Mutex
	conns    int
	thread   uint32
	running  map[uint32]chan struct{} // by thread; closed by KILL QUERY
}

// mysqlSession is the state of one connection to an engine.
type mysqlSession struct {
	engine *mysqlEngine
	thread uint32
	conn   net.Conn
	schema string
	// prepared holds the texts of prepared statements; the id of a statement is its index plus one.
	prepared []string
}

func runMySQLEngine(args []string) {
	flags := flag.NewFlagSet("mysql-engine", flag.ExitOnError)
	e := &mysqlEngine{running: map[uint32]chan struct{}{}}
	flags.IntVar(&e.maxConns, "max-connections", 100, "connections that the engine holds at most")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnusable)
	}
	fmt.Println(ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// enter counts a connection and returns its thread, or false if the engine holds no more.
func (e *mysqlEngine) enter() (uint32, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns >= e.maxConns {
		fmt.Println("refused a connection: too many connections")
		return 0, false
	}
	e.conns++
	e.thread++
	fmt.Println("connections", e.conns)
	return e.thread, true
}

func (e *mysqlEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns--
	fmt.Println("connections", e.conns)
}

func (e *mysqlEngine) serve(conn net.Conn) {
	defer conn.Close()
	thread, ok := e.enter()
	if !ok {
		writePackets(conn, 0, errPayload(errTooManyConns, "Too many connections"))
		return
	}
	defer e.leave()
	s := &mysqlSession{engine: e, thread: thread, conn: conn}
	in := bufio.NewReader(conn)
	greeting := "\x0a8.0.0\x00" + string(binary.LittleEndian.AppendUint32(nil, thread)) + "abcdefgh\x00\xff\xf7\x2d\x02\x00\xff\x80\x15" +
		strings.Repeat("\x00", 10) + "ijklmnopqrst\x00mysql_native_password\x00"
	writePackets(conn, 0, greeting)
	if _, err := readPacket(in); err != nil {
		return
	}
	writePackets(conn, 2, okPayload)
	for {
		command, err := readPacket(in)
		if err != nil || len(command) == 0 || command[0] == comQuit || s.execute(command) != nil {
			return
		}
	}
}

var (
	comments       = regexp.MustCompile(`(?s)/\*.*?\*/`)
	useStatement   = regexp.MustCompile("(?i)^\\s*USE\\s+`?(\\w+)`?\\s*;?\\s*$")
	killStatement  = regexp.MustCompile(`(?i)^\s*KILL\s+QUERY\s+(\d+)\s*$`)
	directive      = regexp.MustCompile(`(\w+)=(\w+)`)
	qualifiedTable = regexp.MustCompile(`(?i)(?:FROM|INTO)\s+(\w+)\.\w+`)
)

// execute executes a command and writes the response.
func (s *mysqlSession) execute(command []byte) error {
	text := string(command[1:])
	plain := comments.ReplaceAllString(text, " ")
	switch {
	case command[0] == comPing:
		return writePackets(s.conn, 1, okPayload)
	case command[0] == comInitDB:
		s.schema = text
		return writePackets(s.conn, 1, okPayload)
	case command[0] == comStmtPrepare:
		return s.prepare(text)
	case command[0] == comStmtExecute && len(command) > 5:
		return s.executePrepared(int(binary.LittleEndian.Uint32(command[1:])))
	case command[0] != comQuery:
		return writePackets(s.conn, 1, errPayload(errUnknownCom, "unknown command"))
	}
	if m := killStatement.FindStringSubmatch(plain); m != nil {
		return s.kill(m[1])
	}
	if m := useStatement.FindStringSubmatch(plain); m != nil {
		s.schema = m[1]
		fmt.Printf("thread %d: schema is now %s, by %q\n", s.thread, s.schema, text)
		return writePackets(s.conn, 1, okPayload)
	}
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(plain)), "SET ") {
		return writePackets(s.conn, 1, okPayload)
	}
	return s.query(text, plain, false)
}

// prepare stores a statement and answers with the definitions of its parameters.
func (s *mysqlSession) prepare(text string) error {
	s.prepared = append(s.prepared, text)
	params := strings.Count(comments.ReplaceAllString(text, " "), "?")
	head := binary.LittleEndian.AppendUint32([]byte{0}, uint32(len(s.prepared)))
	head = append(head, 0, 0, byte(params), byte(params>>8), 0, 0, 0) // no columns yet
	payloads := []string{string(head)}
	for range params {
		payloads = append(payloads, columnDefinition)
	}
	if params > 0 {
		payloads = append(payloads, eofPayload)
	}
	return writePackets(s.conn, 1, payloads...)
}

// executePrepared runs a prepared statement. The values of its parameters are ignored.
func (s *mysqlSession) executePrepared(id int) error {
	if id < 1 || id > len(s.prepared) {
		return writePackets(s.conn, 1, errPayload(errUnknownStatement, "Unknown prepared statement"))
	}
	text := s.prepared[id-1]
	return s.query(text, comments.ReplaceAllString(text, " "), true)
}

func (s *mysqlSession) kill(number string) error {
	n, _ := strconv.Atoi(number)
	e := s.engine
	e.mu.Lock()
	stop := e.running[uint32(n)]
	delete(e.running, uint32(n))
	e.mu.Unlock()
	fmt.Printf("KILL QUERY %d, running: %v\n", n, stop != nil)
	if stop == nil {
		return writePackets(s.conn, 1, errPayload(errNoThread, "Unknown thread id"))
	}
	close(stop)
	return writePackets(s.conn, 1, okPayload)
}

// query runs a statement and writes its result.
func (s *mysqlSession) query(text, plain string, binaryRows bool) error {
	schema := s.schema
	if m := qualifiedTable.FindStringSubmatch(plain); m != nil {
		schema = m[1]
	}
	if schema == "" {
		return writePackets(s.conn, 1, errPayload(errNoDatabase, "No database selected"))
	}
	values := map[string]string{}
	for _, m := range directive.FindAllStringSubmatch(strings.Join(comments.FindAllString(text, -1), " "), -1) {
		values[m[1]] = m[2]
	}
	number := func(name string) int {
		n, _ := strconv.Atoi(values[name])
		return n
	}
	stop := make(chan struct{})
	e := s.engine
	e.mu.Lock()
	e.running[s.thread] = stop
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, s.thread)
		e.mu.Unlock()
	}()
	fmt.Printf("begins %s on thread %d in schema %s\n", values["id"], s.thread, schema)
	outcome := s.run(stop, schema, values["id"], number, binaryRows)
	fmt.Printf("ends %s: %s\n", values["id"], outcome)
	if outcome == "connection lost" {
		return io.ErrClosedPipe
	}
	return nil
}

// run works, and then produces the rows. It writes whenever netBuffer bytes have come together, and at the end.
func (s *mysqlSession) run(stop chan struct{}, schema, id string, number func(string) int, binaryRows bool) (outcome string) {
	if !wait(stop, number("ms")) {
		return s.finish("interrupted", packets(1, errPayload(errInterrupted, "Query execution was interrupted")))
	}
	out := packets(1, "\x01", columnDefinition, eofPayload)
	sequence := byte(4)
	for i := range max(1, number("rows")) {
		if i > 0 && !wait(stop, number("gap")) {
			return s.finish("interrupted", out+packets(sequence, errPayload(errInterrupted, "Query execution was interrupted")))
		}
		row := fmt.Sprintf("%s row %d of %s ", schema, i+1, id)
		row += strings.Repeat(".", max(0, number("bytes")-len(row)))
		row = string([]byte{0xfc, byte(len(row)), byte(len(row) >> 8)}) + row
		if binaryRows {
			row = "\x00\x00" + row // header and NULL bitmap
		}
		out += packets(sequence, row)
		sequence++
		if len(out) >= netBuffer {
			if _, err := io.WriteString(s.conn, out); err != nil {
				return "connection lost"
			}
			out = ""
		}
	}
	return s.finish("complete", out+packets(sequence, eofPayload))
}

func (s *mysqlSession) finish(outcome, out string) string {
	if _, err := io.WriteString(s.conn, out); err != nil {
		return "connection lost"
	}
	return outcome
}

// wait waits some milliseconds, and returns false if stop is closed first.
func wait(stop chan struct{}, ms int) bool {
	select {
	case <-stop:
		return false
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	}
}

func readPacket(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(r, payload)
	return payload, err
}

// packets encodes packets whose sequence ids begin with first.
func packets(first byte, payloads ...string) string {
	var b strings.Builder
	for i, p := range payloads {
		n := len(p)
		b.WriteString(string([]byte{byte(n), byte(n >> 8), byte(n >> 16), first + byte(i)}) + p)
	}
	return b.String()
}

func writePackets(w io.Writer, first byte, payloads ...string) error {
	_, err := io.WriteString(w, packets(first, payloads...))
	return err
}

func errPayload(code uint16, text string) string {
	return "\xff" + string(binary.LittleEndian.AppendUint16(nil, code)) + "#HY000" + text
}
