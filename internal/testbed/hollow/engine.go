package hollow

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"frostpier/internal/testbed/emulator"
)

// Times of the platform's protocol, as an engine keeps them.
const (
	noNewsAfter = 250 * time.Millisecond // a call for the news of a statement that runs is answered after this
	keepAnswer  = 10 * time.Second       // the answer of a statement is given again for this long
)

const queryPath = "/v2/q/"

// engine is a hollow engine: every statement takes the same time, and its result is a stand-in's.
type engine struct {
	delay  time.Duration
	served *atomic.Int64
	mu     sync.Mutex
	ln     net.Listener // nil while it is closed
	addr   string       // where it listens, the same after each start
	ends   map[string]time.Time
	conns  map[net.Conn]bool
	done   sync.WaitGroup
}

func newEngine(addr string, delay time.Duration, served *atomic.Int64) (*engine, error) {
	e := &engine{delay: delay, served: served, addr: addr, ends: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	return e, e.open()
}

// open listens, unless it does.
func (e *engine) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp4", e.addr)
	if err != nil {
		return fmt.Errorf("hollow engine: %w", err)
	}
	e.ln, e.addr = ln, ln.Addr().String()
	e.done.Add(1)
	go e.accept(ln)
	return nil
}

// close ends it as a process dies: its connections are reset and its statements are lost.
func (e *engine) close() {
	e.mu.Lock()
	if e.ln != nil {
		e.ln.Close()
		e.ln = nil
	}
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(e.ends)
	e.mu.Unlock()
	e.done.Wait()
}

func (e *engine) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *engine) accept(ln net.Listener) {
	defer e.done.Done()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if !e.admit(ln, conn) {
			conn.Close()
			return
		}
		go e.serve(conn)
	}
}

// admit takes a connection in, unless its listener has been closed meanwhile.
func (e *engine) admit(ln net.Listener, conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ln != ln {
		return false
	}
	e.conns[conn] = true
	e.done.Add(1)
	return true
}

func (e *engine) serve(conn net.Conn) {
	defer e.done.Done()
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	calls := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		call, err := emulator.ReadCall(calls)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, e.answer(call)); err != nil {
			return
		}
	}
}

// answer works out the answer to one call, and waits for it where the protocol says so.
func (e *engine) answer(call emulator.Call) string {
	id, page, _ := strings.Cut(strings.TrimPrefix(call.Path, queryPath), "/")
	switch {
	case call.Method == http.MethodPost:
		id = call.Head.Get("X-Hop-Id")
		if id == "" {
			return emulator.Answer(http.StatusInternalServerError, "", e.report())
		}
		e.begin(id)
	case call.Method == http.MethodDelete:
		e.forget(id)
		return emulator.Answer(http.StatusNoContent, "", e.report())
	case page != "0":
		return emulator.Answer(http.StatusInternalServerError, "", e.report())
	}
	return e.news(id)
}

func (e *engine) begin(id string) {
	e.mu.Lock()
	e.ends[id] = time.Now().Add(e.delay)
	e.mu.Unlock()
	time.AfterFunc(e.delay+keepAnswer, func() { e.forget(id) })
}

func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ends, id)
}

// news waits for a statement's end, and no longer than the protocol has an engine wait.
func (e *engine) news(id string) string {
	e.mu.Lock()
	end, known := e.ends[id]
	e.mu.Unlock()
	if !known {
		return emulator.Answer(http.StatusInternalServerError, "", e.report())
	}
	if left := time.Until(end); left > noNewsAfter {
		time.Sleep(noNewsAfter)
		return emulator.Answer(http.StatusAccepted, "", e.report())
	} else if left > 0 {
		time.Sleep(left)
	}
	e.served.Add(1)
	return emulator.Answer(http.StatusOK, emulator.Rows(id), "Page-Count: 1", e.report())
}

// report is the load report that each answer carries: how many statements run.
func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, running := time.Now(), 0
	for _, end := range e.ends {
		if end.After(now) {
			running++
		}
	}
	return fmt.Sprintf("X-Report: queue:0;inflight:%d", running)
}
