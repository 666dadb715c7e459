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
	longPollTimeout = 250 * time.Millisecond // after this, a poll is answered even if its statement is still running
	resultRetention = 10 * time.Second       // how long a result is kept for further polls
)

// queryPath is the prefix of the path of a request about one statement. The statement's ID and a page number follow it.
const queryPath = "/v2/q/"

// engine is a hollow engine: every statement takes the same time, and its result is emulator.Rows.
type engine struct {
	delay       time.Duration
	served      *atomic.Int64
	mu          sync.Mutex
	listener    net.Listener         // nil while the engine is closed
	addr        string               // listen address, the same after the engine is reopened
	finishTimes map[string]time.Time // by statement ID
	conns       map[net.Conn]bool
	goroutines  sync.WaitGroup
}

// newEngine starts an engine that counts the results that it returns in served.
func newEngine(addr string, delay time.Duration, served *atomic.Int64) (*engine, error) {
	e := &engine{delay: delay, served: served, addr: addr, finishTimes: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	return e, e.open()
}

// open starts the listener, unless the engine is already open.
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

// close stops the engine as a crash of its process would: its connections are reset and its statements are lost.
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

// openConns returns the number of open connections.
func (e *engine) openConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// accept serves each connection on a separate goroutine, until the listener is closed.
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

// register adds a connection to those that close resets, unless its listener has been closed in the meantime.
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

// serve answers the requests of a connection sequentially, until either side closes it.
func (e *engine) serve(conn net.Conn) {
	defer e.goroutines.Done()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		request, err := emulator.ReadHTTPRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, e.handle(request)); err != nil {
			return
		}
	}
}

// handle returns the response to a request, after the wait that the protocol's long poll requires.
func (e *engine) handle(request emulator.HTTPRequest) string {
	id, page, _ := strings.Cut(strings.TrimPrefix(request.Path, queryPath), "/")
	switch {
	case request.Method == http.MethodPost:
		id = request.Header.Get("X-Hop-Id")
		if id == "" {
			return emulator.FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
		}
		e.submit(id)
	case request.Method == http.MethodDelete:
		e.remove(id)
		return emulator.FormatHTTPResponse(http.StatusNoContent, "", e.reportHeader())
	case page != "0":
		return emulator.FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
	}
	return e.awaitResult(id)
}

// submit starts a statement and schedules its removal.
func (e *engine) submit(id string) {
	e.mu.Lock()
	e.finishTimes[id] = time.Now().Add(e.delay)
	e.mu.Unlock()
	time.AfterFunc(e.delay+resultRetention, func() { e.remove(id) })
}

// remove removes a statement, whether or not it is still running.
func (e *engine) remove(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.finishTimes, id)
}

// awaitResult waits until a statement ends or the long poll times out, and returns the response.
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

// reportHeader returns the load report header of a response: the number of running statements.
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
