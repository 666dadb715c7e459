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

// queryPath prefixes the path of a call that concerns one query: it is followed by the query's ID and a page number.
const queryPath = "/v2/q/"

// serveConn answers the calls of a connection, one after the other, until either side closes it.
func (e *Engine) serveConn(conn net.Conn) {
	defer e.goroutines.Done()
	defer func() {
		_ = conn.Close()
		e.locked(func() { delete(e.conns, conn) })
	}()
	r := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		call, err := ReadHTTPRequest(r)
		if err != nil {
			return
		}
		response, ok := e.handle(call)
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// handle answers one call. It waits where the protocol says so; false means that the connection is to be closed
// without an answer.
func (e *Engine) handle(c HTTPRequest) (response string, ok bool) {
	switch c.Method {
	case http.MethodPost:
		return e.handleSubmit(c)
	case http.MethodDelete:
		return e.handleCancel(c)
	}
	return e.handlePoll(c)
}

// handleSubmit starts the query of a POST and waits for its end or the long poll's timeout.
func (e *Engine) handleSubmit(c HTTPRequest) (string, bool) {
	id := c.Header.Get("X-Hop-Id")
	query, response := e.startQuery(id, c.Body)
	if response != "" {
		return response, true
	}
	return e.awaitQuery(id, query)
}

// startQuery starts the query, or returns the response that rejects it.
func (e *Engine) startQuery(id, statement string) (_ *queryState, rejection string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.finish(e.model.Advance(now))
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

// handleCancel cancels the query that a DELETE names.
func (e *Engine) handleCancel(c HTTPRequest) (string, bool) {
	id, _ := queryOfPath(c.Path)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(e.model.Advance(e.clock()))
	e.cancel(id)
	e.scheduleAdvance()
	return FormatHTTPResponse(http.StatusNoContent, "", e.reportHeader()), !e.silent
}

// handlePoll waits for the end of the query that a GET names.
func (e *Engine) handlePoll(c HTTPRequest) (string, bool) {
	id, page := queryOfPath(c.Path)
	e.mu.Lock()
	now := e.clock()
	e.finish(e.model.Advance(now))
	q := e.queries[id]
	if q == nil || page != "0" {
		defer e.mu.Unlock()
		return FormatHTTPResponse(http.StatusInternalServerError, "", e.reportHeader()), !e.silent
	}
	q.lastPolled = now
	e.mu.Unlock()
	return e.awaitQuery(id, q)
}

// queryOfPath is the ID and the page number in the path of a call.
func queryOfPath(path string) (id, page string) {
	id, page, _ = strings.Cut(strings.TrimPrefix(path, queryPath), "/")
	return id, page
}

// awaitQuery waits for the end of a query, though no longer than the long poll's timeout, and answers the call.
func (e *Engine) awaitQuery(id string, q *queryState) (string, bool) {
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	select {
	case <-q.done:
	case <-timeout.C:
	case <-e.closing:
		return "", false
	}
	return e.pollResponse(id, q)
}

// pollResponse reports a query: its result, that it still runs, or that the engine does not know it.
func (e *Engine) pollResponse(id string, q *queryState) (string, bool) {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent { // a hung engine keeps its connections open
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

// reportHeader is the load report that each response carries; the lock is held.
func (e *Engine) reportHeader() string {
	var load Load
	if len(e.reports) > 0 && e.reports[0].at <= e.clock()-e.reportDelay {
		load = e.reports[0].load
	}
	return fmt.Sprintf("X-Report: queue:0;inflight:%d;x0:%.2f;x1:%.2f", load.Queries, load.MemoryShare, load.DiskShare)
}
