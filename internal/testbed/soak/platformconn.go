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

// codeRejected is the error code of a rejection.
const codeRejected = -32008

// platformConn is one connection of a platformClient. Its answers are read by a goroutine of its own.
type platformConn struct {
	client     *platformClient
	conn       *net.TCPConn
	slots      chan struct{} // holds an element for each open request
	ended      chan struct{} // closed at the connection's end
	lastNumber int           // of a request; used by the client's goroutine alone

	writing sync.Mutex // held while a line is written, in one part or two

	mu       sync.Mutex
	open     map[int]*Request
	answered map[int]*Request
	isOver   bool // the connection has ended
}

func newPlatformConn(conn *net.TCPConn, c *platformClient) *platformConn {
	p := &platformConn{
		client: c, conn: conn,
		slots:    make(chan struct{}, c.openMax),
		ended:    make(chan struct{}),
		open:     map[int]*Request{},
		answered: map[int]*Request{},
	}
	go p.read()
	return p
}

func (p *platformConn) close() {
	_ = p.conn.Close() // its reader ends with it
	<-p.ended
}

func (p *platformConn) write(b []byte) error {
	_, err := p.conn.Write(b)
	return err
}

// hasEnded reports whether the connection's end has come, read or not.
func (p *platformConn) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	return AtEOF(p.conn)
}

// AtEOF reports whether nothing is left to be read before the end of a connection.
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

// send writes the rest of a request's line, unless the connection has ended. A failed write shows as the connection's end. The end may
// stand in the socket right behind the write; it is looked for here, as the reader may be scheduled late.
func (p *platformConn) send(r *Request, line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOver {
		return
	}
	clock := p.client.gateway.clock
	r.Sent = clock()
	p.client.recorder.add(r)
	p.open[r.Number] = r
	_ = p.write(line)
	r.crossed = AtEOF(p.conn) && clock()-r.Sent <= crossingWindow
}

// abort aborts a request that is open.
func (p *platformConn) abort(r *Request) {
	p.writing.Lock()
	defer p.writing.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[r.Number] != r {
		return
	}
	p.end(r, Aborted)
	_ = p.write(fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"abort","params":{"id":%d}}`+"\n", r.Number))
}

// end ends an open request; the lock is held.
func (p *platformConn) end(r *Request, end Outcome) {
	r.Outcome = end
	r.Latency = p.client.gateway.clock() - r.Sent
	delete(p.open, r.Number)
	p.answered[r.Number] = r
	<-p.slots
}

// read reads answers until the connection's end, which ends all its open requests.
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

// platformAnswer is an answer of a gateway.
type platformAnswer struct {
	ID     int `json:"id"`
	Result *struct {
		Blob string `json:"blob"`
	} `json:"result"`
	Error *struct {
		Code int `json:"code"`
	} `json:"error"`
}

// answer handles a line of the gateway.
func (p *platformConn) answer(line []byte) {
	var a platformAnswer
	err := json.Unmarshal(line, &a)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.open[a.ID]
	switch {
	case r != nil && err == nil:
		p.end(r, p.endOf(r, a))
	case p.answered[a.ID] != nil && p.answered[a.ID].Outcome != Aborted:
		p.answered[a.ID].Duplicates++
	}
}

// endOf returns how an answer ends its request.
func (p *platformConn) endOf(r *Request, a platformAnswer) Outcome {
	switch {
	case p.client.gateway.clock()-r.Sent > r.Budget+answerSlack:
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

// connectionEnded ends the open requests of the connection. partial is set if it ended in the middle of an answer.
func (p *platformConn) connectionEnded(partial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isOver = true
	for _, r := range p.open {
		p.end(r, p.client.gateway.endOfUnanswered(r, p.client.engines.received(r.ID), partial))
	}
}
