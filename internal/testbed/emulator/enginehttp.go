package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// queryPath is the prefix of the path of a request about one query. The query's ID and a page number follow it.
const queryPath = "/v2/q/"

// serveConn answers the requests of a connection sequentially, until either side closes it.
func (e *Engine) serveConn(conn net.Conn) {
	defer e.goroutines.Done()
	defer func() {
		_ = conn.Close()
		e.withLock(func() { delete(e.conns, conn) })
	}()
	r := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		request, err := ReadHTTPRequest(r)
		if err != nil {
			return
		}
		response, ok := e.handle(request)
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// handle returns the response to a request, after the wait that the protocol's long poll requires. false means that the
// connection is to be closed without a response.
func (e *Engine) handle(r HTTPRequest) (response string, ok bool) {
	switch r.Method {
	case http.MethodPost:
		return e.handleSubmit(r)
	case http.MethodDelete:
		return e.handleCancel(r)
	}
	return e.handlePoll(r)
}

// handleSubmit starts the query of a POST request and waits until it ends or the long poll times out.
func (e *Engine) handleSubmit(r HTTPRequest) (string, bool) {
	id := r.Header.Get("X-Hop-Id")
	query, response := e.startQuery(id, r.Body)
	if response != "" {
		return response, true
	}
	return e.awaitQuery(id, query)
}

// startQuery starts a query, or returns the response that rejects it.
func (e *Engine) startQuery(id, statement string) (_ *queryState, rejection string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.markFinished(e.model.Advance(now))
	query, ok := ParseStatement(statement)
	if !ok || id == "" {
		return nil, FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader())
	}
	if e.queries[id] != nil && !e.queries[id].finished {
		e.totals.Resubmitted++
	}
	query.ID = id
	e.totals.Arrived++
	if !e.model.Start(query) {
		e.totals.Rejected++
		return nil, FormatHTTPResponse(http.StatusServiceUnavailable, "", "X-No-Effect: 1", e.reportHeader())
	}
	q := &queryState{done: make(chan struct{}), lastPolled: now}
	e.queries[id] = q
	e.scheduleAdvance()
	return q, ""
}

// handleCancel cancels the query of a DELETE request.
func (e *Engine) handleCancel(r HTTPRequest) (string, bool) {
	id, _ := parseQueryPath(r.Path)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.markFinished(e.model.Advance(e.clock()))
	e.cancel(id)
	e.scheduleAdvance()
	return FormatHTTPResponse(http.StatusNoContent, "", e.reportHeader()), !e.hung
}

// handlePoll waits until the query of a GET request ends or the long poll times out.
func (e *Engine) handlePoll(r HTTPRequest) (string, bool) {
	id, page := parseQueryPath(r.Path)
	e.mu.Lock()
	now := e.clock()
	e.markFinished(e.model.Advance(now))
	q := e.queries[id]
	if q == nil || page != "0" {
		defer e.mu.Unlock()
		return FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader()), !e.hung
	}
	q.lastPolled = now
	e.mu.Unlock()
	return e.awaitQuery(id, q)
}

// parseQueryPath returns the query ID and the page number in the path of a request.
func parseQueryPath(path string) (id, page string) {
	id, page, _ = strings.Cut(strings.TrimPrefix(path, queryPath), "/")
	return id, page
}

// awaitQuery waits until a query ends or the long poll times out, and returns the response.
func (e *Engine) awaitQuery(id string, q *queryState) (string, bool) {
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	select {
	case <-q.done:
	case <-timeout.C:
	case <-e.closing:
		return "", false
	}
	return e.statusResponse(id, q)
}

// statusResponse returns a query's result, or a response that it is still running or not known to the engine.
func (e *Engine) statusResponse(id string, q *queryState) (string, bool) {
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	if hung { // a hung engine keeps its connections open
		<-e.closing
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q.lastPolled = e.clock()
	switch {
	case e.queries[id] != q:
		return FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader()), true
	case !q.finished:
		return FormatHTTPResponse(http.StatusAccepted, "", e.reportHeader()), true
	}
	return FormatHTTPResponse(http.StatusOK, Rows(id), "Page-Count: 1", e.reportHeader()), true
}

// reportHeader returns the load report header of a response. The caller holds the lock.
func (e *Engine) reportHeader() string {
	var load Load
	if len(e.reports) > 0 && e.reports[0].at <= e.clock()-e.reportDelay {
		load = e.reports[0].load
	}
	return fmt.Sprintf("X-Report: queue:0;inflight:%d;x0:%.2f;x1:%.2f", load.Queries, load.MemoryShare, load.DiskShare)
}
