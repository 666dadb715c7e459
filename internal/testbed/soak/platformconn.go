package soak

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"

	"frostpier/internal/testbed/emulator"
)

// codeRejected is the JSON-RPC error code of a rejected request.
const codeRejected = -32008

// platformConn is one connection of a platformClient. A separate goroutine reads its answers.
type platformConn struct {
	client     *platformClient
	conn       *net.TCPConn
	slots      chan struct{} // holds an element for each open request
	ended      chan struct{} // closed when the reader has reached the end of the connection
	lastNumber int           // number of the last request; used only by the client's goroutine

	writing sync.Mutex // held while a line is written in one or two parts

	mu       sync.Mutex
	open     map[int]*Request
	answered map[int]*Request
	closed   bool // set when the reader has reached the end of the connection
}

func newPlatformConn(conn *net.TCPConn, c *platformClient) *platformConn {
	p := &platformConn{
		client: c, conn: conn,
		slots:    make(chan struct{}, c.maxOpen),
		ended:    make(chan struct{}),
		open:     map[int]*Request{},
		answered: map[int]*Request{},
	}
	go p.read()
	return p
}

func (p *platformConn) close() {
	_ = p.conn.Close() // this also stops the reader
	<-p.ended
}

func (p *platformConn) write(b []byte) error {
	_, err := p.conn.Write(b)
	return err
}

// hasEnded reports whether the gateway has closed the connection, even if the reader has not seen it yet.
func (p *platformConn) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	return AtEOF(p.conn)
}

// AtEOF reports whether the next read would return the end of the connection or a connection reset.
func AtEOF(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return ended || err != nil
}

// send writes the rest of a request's line, unless the connection is closed. The reader detects a failed write as a closed connection.
// After the write send checks for a close that is already in the socket's buffer, since the reader may be scheduled late.
func (p *platformConn) send(r *Request, line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	clock := p.client.gateway.clock
	r.Sent = clock()
	p.client.recorder.add(r)
	p.open[r.Number] = r
	_ = p.write(line)
	r.racedClose = AtEOF(p.conn) && clock()-r.Sent <= closeRaceWindow
}

// abort aborts a request if it is still open.
func (p *platformConn) abort(r *Request) {
	p.writing.Lock()
	defer p.writing.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[r.Number] != r {
		return
	}
	p.finish(r, Aborted)
	_ = p.write(fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"abort","params":{"id":%d}}`+"\n", r.Number))
}

// finish records the outcome of an open request. The caller holds p.mu.
func (p *platformConn) finish(r *Request, outcome Outcome) {
	r.Outcome = outcome
	r.Latency = p.client.gateway.clock() - r.Sent
	delete(p.open, r.Number)
	p.answered[r.Number] = r
	<-p.slots
}

// read reads answers until the connection is closed, and then finishes all open requests.
func (p *platformConn) read() {
	defer close(p.ended)
	lines := bufio.NewReader(p.conn)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			p.connectionEnded(len(line) > 0)
			return
		}
		p.answer(line)
	}
}

// platformAnswer is a JSON-RPC answer of a gateway.
type platformAnswer struct {
	ID     int `json:"id"`
	Result *struct {
		Blob string `json:"blob"`
	} `json:"result"`
	Error *struct {
		Code int `json:"code"`
	} `json:"error"`
}

// answer handles one line received from the gateway.
func (p *platformConn) answer(line []byte) {
	var a platformAnswer
	err := json.Unmarshal(line, &a)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.open[a.ID]
	switch {
	case r != nil && err == nil:
		p.finish(r, p.outcomeOf(r, a))
	case p.answered[a.ID] != nil && p.answered[a.ID].Outcome != Aborted:
		p.answered[a.ID].Duplicates++
	}
}

// outcomeOf returns the outcome of a request that got this answer.
func (p *platformConn) outcomeOf(r *Request, a platformAnswer) Outcome {
	switch {
	case p.client.gateway.isLate(r):
		return Late
	case a.Error != nil && a.Error.Code == codeRejected:
		return Rejected
	case a.Error != nil:
		return Failed
	case a.Result != nil && a.Result.Blob == base64.StdEncoding.EncodeToString([]byte(emulator.Rows(r.ID))):
		return Served
	}
	return Corrupted
}

// connectionEnded finishes the open requests of a closed connection. partial says whether the last answer was incomplete.
func (p *platformConn) connectionEnded(partial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.open {
		p.finish(r, p.client.gateway.unansweredOutcome(r, p.client.engines.received(r.ID), partial))
	}
}
