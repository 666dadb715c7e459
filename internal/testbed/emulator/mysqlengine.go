package emulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Constants of the MySQL client/server protocol.
const (
	mysqlHeaderBytes         = 4
	mysqlComQuit             = 0x01
	mysqlComQuery            = 0x03
	mysqlComPing             = 0x0e
	mysqlErrNoSuchThread     = 1094 // ER_NO_SUCH_THREAD
	mysqlErrQueryInterrupted = 1317 // ER_QUERY_INTERRUPTED
	mysqlErrUnknownCommand   = 1047 // ER_UNKNOWN_COM_ERROR

	// Status of OK and EOF packets: autocommit, no warnings.
	mysqlOK  = "\x00\x00\x00\x02\x00\x00\x00"
	mysqlEOF = "\xfe\x00\x00\x02\x00"
	// Protocol::ColumnDefinition41 of a VARCHAR named c.
	mysqlColumn = "\x03def\x00\x00\x00\x01c\x00\x0c\x2d\x00\xff\x00\x00\x00\xfd\x00\x00\x00\x00\x00"
	// Protocol::HandshakeV10 before and after the thread ID: protocol 4.1 without TLS and without CLIENT_DEPRECATE_EOF.
	mysqlHandshakeHead = "\x0a5.7.0\x00"
	mysqlHandshakeTail = "abcdefgh\x00\xff\xf7\x2d\x02\x00\xff\x80\x15" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"ijklmnopqrst\x00mysql_native_password\x00"
)

// MySQLEngine is an emulated engine that speaks the MySQL protocol. It accepts any login and supports text queries and KILL
// QUERY. A query from MySQLStatement takes the specified time and returns one row with its ID; any other query returns an OK
// packet.
type MySQLEngine struct {
	listener   net.Listener
	mu         sync.Mutex
	conns      map[net.Conn]bool
	running    map[uint32]chan struct{} // by thread ID; closed to kill the thread's query
	received   map[string]bool          // by query ID
	lastThread uint32
	closed     bool
	goroutines sync.WaitGroup
}

// MySQLStatement returns the text of a query that takes this time and returns MySQLRow(id).
func MySQLStatement(id string, duration time.Duration) string {
	return fmt.Sprintf("SELECT '%s' /* ms=%d */", id, duration.Milliseconds())
}

// MySQLRow returns the row of the result of the query with this ID.
func MySQLRow(id string) string { return "row " + id }

// StartMySQL starts an engine on a free loopback port. The caller stops it with Close.
func StartMySQL() (*MySQLEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("MySQL engine: %w", err)
	}
	e := &MySQLEngine{listener: listener, conns: map[net.Conn]bool{}, running: map[uint32]chan struct{}{}, received: map[string]bool{}}
	e.goroutines.Add(1)
	go e.accept()
	return e, nil
}

// Addr returns the address on which the engine listens.
func (e *MySQLEngine) Addr() string { return e.listener.Addr().String() }

// Received reports whether the engine has received the query with this ID.
func (e *MySQLEngine) Received(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[id]
}

// Close stops the engine, closes its connections and waits for its goroutines.
func (e *MySQLEngine) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	e.closed = true
	for conn := range e.conns {
		_ = conn.Close()
	}
	for thread, stop := range e.running {
		delete(e.running, thread)
		close(stop)
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

func (e *MySQLEngine) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		thread, ok := e.register(conn)
		if !ok {
			_ = conn.Close()
			return
		}
		go e.serve(conn, thread)
	}
}

// register adds a connection to those that Close closes, and assigns its thread ID; false if the engine is closed.
func (e *MySQLEngine) register(conn net.Conn) (thread uint32, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return 0, false
	}
	e.lastThread++
	e.conns[conn] = true
	e.goroutines.Add(1)
	return e.lastThread, true
}

// serve accepts any login and executes commands until either side closes the connection.
func (e *MySQLEngine) serve(conn net.Conn, thread uint32) {
	defer e.goroutines.Done()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, conn)
	}()
	in := bufio.NewReader(conn)
	id := string(binary.LittleEndian.AppendUint32(nil, thread))
	_, _ = io.WriteString(conn, mysqlPacket(0, mysqlHandshakeHead+id+mysqlHandshakeTail))
	if _, err := readMySQLPacket(in); err != nil {
		return
	}
	_, _ = io.WriteString(conn, mysqlPacket(2, mysqlOK))
	for {
		command, err := readMySQLPacket(in)
		if err != nil || len(command) == 0 || command[0] == mysqlComQuit {
			return
		}
		if _, err := io.WriteString(conn, e.respond(thread, command)); err != nil {
			return
		}
	}
}

// respond executes a command and returns the packets of the response.
func (e *MySQLEngine) respond(thread uint32, command []byte) string {
	switch command[0] {
	case mysqlComPing:
		return mysqlResponse(mysqlOK)
	case mysqlComQuery:
		return e.query(thread, string(command[1:]))
	}
	return mysqlResponse(mysqlError(mysqlErrUnknownCommand, "unknown command"))
}

// query executes a text query and returns the packets of the response.
func (e *MySQLEngine) query(thread uint32, text string) string {
	var killed uint32
	if n, _ := fmt.Sscanf(text, "KILL QUERY %d", &killed); n == 1 {
		return e.kill(killed)
	}
	_, quoted, _ := strings.Cut(text, "'")
	id, comment, found := strings.Cut(quoted, "' /* ")
	milliseconds := 0
	if n, _ := fmt.Sscanf(comment, "ms=%d", &milliseconds); !found || n != 1 {
		return mysqlResponse(mysqlOK)
	}
	if !e.run(thread, id, time.Duration(milliseconds)*time.Millisecond) {
		return mysqlResponse(mysqlError(mysqlErrQueryInterrupted, "query execution was interrupted"))
	}
	row := MySQLRow(id)
	return mysqlResponse("\x01", mysqlColumn, mysqlEOF, string([]byte{byte(len(row))})+row, mysqlEOF)
}

// run waits for the duration of a query, and returns false if the query is killed.
func (e *MySQLEngine) run(thread uint32, id string, duration time.Duration) bool {
	stop := make(chan struct{})
	e.mu.Lock()
	e.received[id] = true
	e.running[thread] = stop
	e.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-stop:
		return false
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	killed := e.running[thread] != stop
	delete(e.running, thread)
	return !killed
}

// kill kills a thread's query and returns the packets of the response to KILL QUERY.
func (e *MySQLEngine) kill(thread uint32) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	stop := e.running[thread]
	if stop == nil {
		return mysqlResponse(mysqlError(mysqlErrNoSuchThread, "unknown thread id"))
	}
	delete(e.running, thread)
	close(stop)
	return mysqlResponse(mysqlOK)
}

// errMySQLPacketTooLarge is the error of a packet larger than maxBodyBytes, which no statement of the test bed reaches.
var errMySQLPacketTooLarge = errors.New("MySQL packet too large")

// readMySQLPacket reads the payload of a packet.
func readMySQLPacket(r io.Reader) ([]byte, error) {
	var head [mysqlHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := int(head[0]) | int(head[1])<<8 | int(head[2])<<16
	if size > maxBodyBytes {
		return nil, errMySQLPacketTooLarge
	}
	payload := make([]byte, size)
	_, err := io.ReadFull(r, payload)
	return payload, err
}

// mysqlPacket encodes a packet.
func mysqlPacket(sequence byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence}) + payload
}

// mysqlResponse encodes the packets of a response, numbered from 1.
func mysqlResponse(payloads ...string) string {
	var b strings.Builder
	for i, payload := range payloads {
		b.WriteString(mysqlPacket(byte(i+1), payload))
	}
	return b.String()
}

// mysqlError returns the payload of an ERR packet.
func mysqlError(code uint16, text string) string {
	return "\xff" + string(binary.LittleEndian.AppendUint16(nil, code)) + "#HY000" + text
}
