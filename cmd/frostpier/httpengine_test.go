package main

import (
	"bufio"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"frostpier/internal/testbed/emulator"
)

// httpEngine is a fake engine that speaks the platform's HTTP protocol. A word in the statement selects its behavior: "sleep" runs
// until the query is deleted, "full" is rejected, "fault" fails, "break" runs but the connection is closed, "garbage" gets an invalid
// HTTP response, "pages" returns three pages. Any other statement returns one row.
type httpEngine struct {
	ln          net.Listener
	mu          sync.Mutex
	posts       []post
	deletedIDs  map[string]bool // IDs of deleted queries
	inFlight    map[string]int  // attempts in flight by query ID
	maxInFlight int             // highest number of concurrent attempts of one query
	servesAll   bool            // return one row for every statement; set before the program starts
}

// post is a received POST request, which submits a query.
type post struct {
	head textproto.MIMEHeader
	body string
}

func newHTTPEngine(t *testing.T) *httpEngine {
	t.Helper()
	e := &httpEngine{deletedIDs: map[string]bool{}, inFlight: map[string]int{}}
	e.ln = serveTCP(t, e.serve)
	return e
}

func (e *httpEngine) addr() string { return e.ln.Addr().String() }

// received returns how many POST requests contained the text in their body.
func (e *httpEngine) received(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, p := range e.posts {
		if strings.Contains(p.body, text) {
			n++
		}
	}
	return n
}

// deletions returns how many queries were deleted.
func (e *httpEngine) deletions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.deletedIDs)
}

func (e *httpEngine) serve(nc net.Conn) {
	defer nc.Close()
	r := textproto.NewReader(bufio.NewReader(nc))
	for {
		request, err := emulator.ReadHTTPRequest(r)
		if err != nil {
			return
		}
		response := e.respond(request.Method, request.Path, request.Header, request.Body)
		if response == "" {
			return
		}
		if _, err := io.WriteString(nc, response); err != nil {
			return
		}
	}
}

// reportHeader is a header with a load report.
const reportHeader = "X-Report: queue:0;inflight:1;x0:0.2;x1:0.1"

// respond returns the response to a request, or "" to close the connection without one.
func (e *httpEngine) respond(method, path string, head textproto.MIMEHeader, body string) string {
	id, page := head.Get("X-Hop-Id"), "0"
	if method != "POST" {
		parts := strings.Split(strings.TrimPrefix(path, "/v2/q/"), "/")
		id = parts[0]
		if len(parts) > 1 {
			page = parts[1]
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if method == "POST" {
		e.posts = append(e.posts, post{head, body})
		e.inFlight[id]++
		e.maxInFlight = max(e.maxInFlight, e.inFlight[id])
	} else {
		for _, p := range e.posts {
			if p.head.Get("X-Hop-Id") == id {
				body = p.body
			}
		}
	}
	if method == "DELETE" {
		e.deletedIDs[id] = true
		e.inFlight[id] = 0
		return emulator.FormatHTTPResponse(204, "")
	}
	e.mu.Unlock()
	defer e.mu.Lock()
	return e.result(id, page, body, method == "POST")
}

// result returns the response to a request for a page of a query's result. first is set for the POST request.
func (e *httpEngine) result(id, page, body string, first bool) string {
	end := func(response string) string {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.inFlight[id] = 0
		return response
	}
	switch {
	case body == "":
		return emulator.FormatHTTPResponse(500, "")
	case e.servesAll:
		return end(emulator.FormatHTTPResponse(200, "a\tb\tc\n", "Page-Count: 1", reportHeader))
	case strings.Contains(body, "sleep"):
		time.Sleep(30 * time.Millisecond) // a long poll, shorter than on the platform
		return emulator.FormatHTTPResponse(202, "", "X-Tell: done", "Figure: 0.5")
	case strings.Contains(body, "full"):
		return end(emulator.FormatHTTPResponse(503, "", "X-No-Effect: 1", reportHeader))
	case strings.Contains(body, "fault"):
		return end(emulator.FormatHTTPResponse(500, "", reportHeader))
	case strings.Contains(body, "garbage") && first:
		return "HTTP/1.1 nonsense\r\n\r\n"
	case strings.Contains(body, "break") && first:
		end("")
		return ""
	case strings.Contains(body, "pages") && page != "0":
		return emulator.FormatHTTPResponse(200, "page"+page+"\tx\ty\n", "Page-No: "+page)
	case strings.Contains(body, "pages"):
		return end(emulator.FormatHTTPResponse(200, "page0\tx\ty\n", "Page-Count: 3", reportHeader))
	}
	return end(emulator.FormatHTTPResponse(200, "a\tb\tc\n", "Page-Count: 1", reportHeader))
}
