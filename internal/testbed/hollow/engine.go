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

// Times of the platform's protocol.
const (
	longPollTimeout = 250 * time.Millisecond // a poll of a statement that runs is answered after this
	resultRetention = 10 * time.Second       // a result can be polled again for this long
)

// queryPath prefixes the path of a call that concerns one statement: its ID and a page number follow.
const queryPath = "/v2/q/"

// engine is a hollow engine: every statement takes the same time, and its result is that of package emulator.
type engine struct {
	delay       time.Duration
	served      *atomic.Int64
	mu          sync.Mutex
	listener    net.Listener         // nil while it is closed
	addr        string               // where it listens, the same after each start
	finishTimes map[string]time.Time // by statement ID
	conns       map[net.Conn]bool
	goroutines  sync.WaitGroup
}

// newEngine starts an engine, which counts the statements that it has answered in served.
func newEngine(addr string, delay time.Duration, served *atomic.Int64) (*engine, error) {
	e := &engine{delay: delay, served: served, addr: addr, finishTimes: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	return e, e.open()
}

// open starts to listen, unless the engine does already.
func (e *engine) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		return nil
	}
	ln, err := net.Listen("tcp4", e.addr)
	if err != nil {
		return fmt.Errorf("hollow engine: %w", err)
	}
	e.listener, e.addr = ln, ln.Addr().String()
	e.goroutines.Add(1)
	go e.accept(ln)
	return nil
}

// close ends the engine as when its process dies: its connections are reset and its statements are lost.
func (e *engine) close() {
	e.mu.Lock()
	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(e.finishTimes)
	e.mu.Unlock()
	e.goroutines.Wait()
}

// connections is how many connections are open.
func (e *engine) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// accept serves each connection on a goroutine of its own until the listener is closed.
func (e *engine) accept(ln net.Listener) {
	defer e.goroutines.Done()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if !e.register(ln, conn) {
			_ = conn.Close()
			return
		}
		go e.serve(conn)
	}
}

// register adds a connection to those that close resets, unless its listener has been closed meanwhile.
func (e *engine) register(ln net.Listener, conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != ln {
		return false
	}
	e.conns[conn] = true
	e.goroutines.Add(1)
	return true
}

// serve answers the calls of a connection, one after the other.
func (e *engine) serve(conn net.Conn) {
	defer e.goroutines.Done()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	calls := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		call, err := emulator.ReadHTTPRequest(calls)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, e.handle(call)); err != nil {
			return
		}
	}
}

// handle returns the response to one call. It waits where the protocol says so.
func (e *engine) handle(call emulator.HTTPRequest) string {
	id, page, _ := strings.Cut(strings.TrimPrefix(call.Path, queryPath), "/")
	switch {
	case call.Method == http.MethodPost:
		id = call.Header.Get("X-Hop-Id")
		if id == "" {
			return emulator.FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
		}
		e.submit(id)
	case call.Method == http.MethodDelete:
		e.forget(id)
		return emulator.FormatHTTPResponse(http.StatusNoContent, "", e.reportHeader())
	case page != "0":
		return emulator.FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
	}
	return e.awaitResult(id)
}

// submit starts a statement.
func (e *engine) submit(id string) {
	e.mu.Lock()
	e.finishTimes[id] = time.Now().Add(e.delay)
	e.mu.Unlock()
	time.AfterFunc(e.delay+resultRetention, func() { e.forget(id) })
}

// forget removes a statement, whether it has ended or not.
func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.finishTimes, id)
}

// awaitResult waits for a statement's end, though no longer than the long poll's timeout, and returns the response.
func (e *engine) awaitResult(id string) string {
	e.mu.Lock()
	end, known := e.finishTimes[id]
	e.mu.Unlock()
	if !known {
		return emulator.FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
	}
	if left := time.Until(end); left > longPollTimeout {
		time.Sleep(longPollTimeout)
		return emulator.FormatHTTPResponse(http.StatusAccepted, "", e.reportHeader())
	} else if left > 0 {
		time.Sleep(left)
	}
	e.served.Add(1)
	return emulator.FormatHTTPResponse(http.StatusOK, emulator.Rows(id), "Page-Count: 1", e.reportHeader())
}

// reportHeader is the load report that each answer carries: how many statements run.
func (e *engine) reportHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, running := time.Now(), 0
	for _, end := range e.finishTimes {
		if end.After(now) {
			running++
		}
	}
	return fmt.Sprintf("X-Report: queue:0;inflight:%d", running)
}
