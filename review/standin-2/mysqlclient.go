package main

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Capabilities that the clients announce: protocol 4.1, secure connection, plugin names.
const (
	capConnectWithDB = 1 << 3
	capabilities     = 1<<0 | 1<<9 | 1<<13 | 1<<15 | 1<<19
)

const mysqlPassword = "password"

// mysqlClient is a MySQL client with one connection.
type mysqlClient struct {
	conn net.Conn
	in   *bufio.Reader
}

// mysqlAnswer is the answer to a statement.
type mysqlAnswer struct {
	rows    []string
	errCode int    // 0 = none
	errText string // of an ERR packet, or how the connection ended
	ended   bool   // the client knows that the answer is over
}

// dialMySQL logs in to the gateway; schema may be empty.
func dialMySQL(addr, user, schema string) (*mysqlClient, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &mysqlClient{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	greeting, err := readPacket(c.in)
	if err != nil {
		return nil, err
	}
	if greeting[0] == 0xff {
		return nil, fmt.Errorf("greeting %q", greeting)
	}
	rest := greeting[strings.IndexByte(string(greeting), 0)+1:]
	scramble := append(append([]byte(nil), rest[4:12]...), rest[31:43]...)
	flags := uint32(capabilities)
	if schema != "" {
		flags |= capConnectWithDB
	}
	b := binary.LittleEndian.AppendUint32(nil, flags)
	b = binary.LittleEndian.AppendUint32(b, 1<<24-1)
	b = append(append(b, 45), make([]byte, 23)...)
	b = append(append(b, user...), 0, 20)
	b = append(b, nativePassword(scramble)...)
	if schema != "" {
		b = append(append(b, schema...), 0)
	}
	b = append(b, "mysql_native_password\x00"...)
	if err := writePackets(conn, 1, string(b)); err != nil {
		return nil, err
	}
	answer, err := readPacket(c.in)
	if err != nil {
		return nil, err
	}
	if answer[0] != 0 {
		return nil, fmt.Errorf("login %q", answer)
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

// nativePassword computes SHA1(password) XOR SHA1(scramble, SHA1(SHA1(password))).
func nativePassword(scramble []byte) []byte {
	one := sha1.Sum([]byte(mysqlPassword))
	two := sha1.Sum(one[:])
	mask := sha1.Sum(append(append([]byte(nil), scramble...), two[:]...))
	for i := range mask {
		mask[i] ^= one[i]
	}
	return mask[:]
}

// query sends a statement and reads its answer for at most the time given. onRow is called with each row; nil = not called.
func (c *mysqlClient) query(text string, timeout time.Duration, onRow func(string)) (a mysqlAnswer) {
	return c.command(string([]byte{comQuery})+text, timeout, onRow)
}

// prepare prepares a statement and returns its id; code is that of an error.
func (c *mysqlClient) prepare(text string, timeout time.Duration) (id uint32, code int, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	defer c.conn.SetDeadline(time.Time{})
	if err := writePackets(c.conn, 0, string([]byte{comStmtPrepare})+text); err != nil {
		return 0, 0, err
	}
	p, err := readPacket(c.in)
	switch {
	case err != nil:
		return 0, 0, err
	case p[0] == 0xff:
		return 0, int(binary.LittleEndian.Uint16(p[1:])), nil
	}
	if params := int(binary.LittleEndian.Uint16(p[7:])); params > 0 {
		for range params + 1 { // definitions and EOF
			if _, err := readPacket(c.in); err != nil {
				return 0, 0, err
			}
		}
	}
	return binary.LittleEndian.Uint32(p[1:]), 0, nil
}

// execute executes a prepared statement with params NULL parameters, whose types it binds.
func (c *mysqlClient) execute(id uint32, params int, timeout time.Duration) mysqlAnswer {
	b := append([]byte{comStmtExecute}, binary.LittleEndian.AppendUint32(nil, id)...)
	b = append(b, 0, 1, 0, 0, 0) // no cursor, one iteration
	if params > 0 {
		b = append(b, bytes.Repeat([]byte{0xff}, (params+7)/8)...)
		b = append(b, 1)
		b = append(b, bytes.Repeat([]byte{0xfd, 0}, params)...)
	}
	return c.command(string(b), timeout, nil)
}

// command sends a command and reads its answer.
func (c *mysqlClient) command(payload string, timeout time.Duration, onRow func(string)) (a mysqlAnswer) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	defer c.conn.SetDeadline(time.Time{})
	if err := writePackets(c.conn, 0, payload); err != nil {
		return mysqlAnswer{errText: err.Error(), ended: true}
	}
	for state := headerNext; !a.ended; {
		p, err := readPacket(c.in)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			a.errText = "no end of the answer"
			return a
		}
		if err != nil {
			a.errText, a.ended = "the connection ended: "+err.Error(), true
			return a
		}
		rows := len(a.rows)
		state = a.accept(p, state)
		if onRow != nil && len(a.rows) > rows {
			onRow(a.rows[rows])
		}
	}
	return a
}

// answerState is what a client expects next of an answer.
type answerState int

const (
	headerNext answerState = iota
	definitionsNext
	rowsNext
)

// accept handles a packet of an answer.
func (a *mysqlAnswer) accept(p []byte, state answerState) answerState {
	const okHeader, eofHeader, errHeader, maxEOF = 0x00, 0xfe, 0xff, 8
	eof := p[0] == eofHeader && len(p) <= maxEOF
	switch {
	case p[0] == errHeader:
		a.errCode, a.errText, a.ended = int(binary.LittleEndian.Uint16(p[1:])), string(p[9:]), true
	case state == headerNext:
		a.ended = p[0] == okHeader
		return definitionsNext
	case state == definitionsNext && eof:
		return rowsNext
	case state == rowsNext && eof:
		a.ended = true
	case state == rowsNext:
		a.rows = append(a.rows, rowText(p))
	}
	return state
}

// rowText returns the only column of a row.
func rowText(p []byte) string {
	if p[0] == 0 { // a binary row: header and NULL bitmap
		p = p[2:]
	}
	if p[0] == 0xfc {
		return string(p[3:])
	}
	return string(p[1:])
}
