package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the engines' protocol (PROTOCOL, "Workload managers to query engines").
const (
	longPoll  = 250 * time.Millisecond
	leaseTime = 2 * time.Second
)

// engine is a query engine that speaks the platform's HTTP/1.1. A query runs for the time that its statement names. It keeps
// running until it ends, is deleted, or has gone 2 s without being asked for.
type engine struct {
	name, addr string
	rec        *record
	outs       *outs
	server     *http.Server

	mu      sync.Mutex
	queries map[string]*query
	onPost  func(rid string, at time.Time) // called for each POST that has come whole
	spoil   func() bool                    // reports whether the next good answer is spoilt; nil = none
}

type query struct {
	out       *out
	started   time.Time
	duration  time.Duration
	lastAsked time.Time
	asking    int // calls that wait for news of the query
	over      chan struct{}
	state     string // "running", "ok", "deleted" or "abandoned"
}

func startEngine(name string, rec *record, o *outs) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{name: name, addr: ln.Addr().String(), rec: rec, outs: o, queries: map[string]*query{}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(ln) }()
	go e.watchLeases()
	return e, nil
}

// setOnPost sets a function that is called for each POST.
func (e *engine) setOnPost(f func(rid string, at time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onPost = f
}

// setSpoil sets a function that decides for each good answer whether it is spoilt.
func (e *engine) setSpoil(f func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoil = f
}

// watchLeases abandons the queries that nobody has asked for in 2 s.
func (e *engine) watchLeases() {
	for range time.Tick(20 * time.Millisecond) {
		e.mu.Lock()
		for rid, q := range e.queries {
			if q.state == "running" && q.asking == 0 && time.Since(q.lastAsked) > leaseTime {
				e.end(rid, q, "abandoned")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a query. The caller holds the lock.
func (e *engine) end(rid string, q *query, state string) {
	if q.state != "running" {
		return
	}
	q.state = state
	close(q.over)
	if state != "ok" { // the end of a good query is the writing of its answer
		e.outs.finish(q.out, state)
	}
	e.rec.add("engine %s: query %s %s after %.3f s", e.name, rid, state, time.Since(q.started).Seconds())
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rid, page, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v2/q/"), "/")
	switch {
	case r.Method == http.MethodPost:
		rid = r.Header.Get("X-Hop-Id")
		e.post(w, rid, r.Header, string(body))
	case r.Method == http.MethodDelete:
		e.mu.Lock()
		if q := e.queries[rid]; q != nil {
			e.end(rid, q, "deleted")
		}
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case page == "0":
		e.mu.Lock()
		q := e.queries[rid]
		e.mu.Unlock()
		if q == nil {
			e.answer(w, http.StatusInternalServerError, "")
			return
		}
		e.news(w, rid, q)
	default:
		e.answer(w, http.StatusInternalServerError, "")
	}
}

func (e *engine) post(w http.ResponseWriter, rid string, h http.Header, text string) {
	q := &query{started: time.Now(), lastAsked: time.Now(), duration: durationOf(text), over: make(chan struct{}), state: "running"}
	q.out = e.outs.begin(rid, e.name, h.Get("X-Sort"))
	e.rec.add("engine %s: POST %s class %s budget %s key %s takes %v", e.name, rid, h.Get("X-Sort"), h.Get("X-Budget"), h.Get("X-Replay-Key"), q.duration)
	e.mu.Lock()
	onPost := e.onPost
	e.mu.Unlock()
	if onPost != nil {
		onPost(rid, time.Now())
	}
	if !strings.HasPrefix(text, "SELECT") { // not a statement
		e.outs.finish(q.out, "error")
		e.answer(w, http.StatusInternalServerError, "")
		return
	}
	e.mu.Lock()
	e.queries[rid] = q
	e.mu.Unlock()
	time.AfterFunc(q.duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(rid, q, "ok")
	})
	e.news(w, rid, q)
}

// news waits for the end of a query, for at most 250 ms, and answers with what there is.
func (e *engine) news(w http.ResponseWriter, rid string, q *query) {
	e.mu.Lock()
	q.asking++
	q.lastAsked = time.Now()
	e.mu.Unlock()
	select {
	case <-q.over:
	case <-time.After(longPoll):
	}
	e.mu.Lock()
	q.asking--
	q.lastAsked = time.Now()
	state := q.state
	e.mu.Unlock()
	switch state {
	case "running":
		share := time.Since(q.started).Seconds() / q.duration.Seconds()
		w.Header().Set("X-Tell", "done")
		w.Header().Set("Figure", fmt.Sprintf("%.2f", min(1, share)))
		e.answer(w, http.StatusAccepted, "")
	case "ok":
		e.goodAnswer(w, rid)
		e.outs.finish(q.out, "ok")
	default:
		e.answer(w, http.StatusInternalServerError, "")
	}
}

// rowsOf returns the result of a query: rows of three text columns.
func rowsOf(rid string) string {
	places := []string{"Akureyri", "Egilsstadir", "Hofn", "Isafjordur", "Keflavik", "Selfoss", "Vik"}
	var b strings.Builder
	for i := range 10 + int(rid[0])%20 {
		fmt.Fprintf(&b, "%s\t%d\t%s\n", places[(i+int(rid[1]))%len(places)], i+1, rid[:4])
	}
	return b.String()
}

// goodAnswer answers with the result of a query, in one page.
func (e *engine) goodAnswer(w http.ResponseWriter, rid string) {
	e.mu.Lock()
	spoil := e.spoil
	e.mu.Unlock()
	rows := rowsOf(rid)
	if spoil != nil && spoil() {
		e.wrongLength(w, rid, rows)
		return
	}
	w.Header().Set("Page-Count", "1")
	e.answer(w, http.StatusOK, rows)
}

// wrongLength writes a good answer with a length that does not fit: any length below that of the body. The connection is left
// open, and of no further use.
func (e *engine) wrongLength(w http.ResponseWriter, rid, rows string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	length := rand.IntN(len(rows))
	e.rec.add("engine %s: answer to %s is spoilt: Content-Length %d, %d bytes", e.name, rid, length, len(rows))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: %d\r\n\r\n%s", length, rows)
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

func (e *engine) answer(w http.ResponseWriter, status int, body string) {
	e.mu.Lock()
	running := 0
	for _, q := range e.queries {
		if q.state == "running" {
			running++
		}
	}
	e.mu.Unlock()
	w.Header().Set("X-Report", fmt.Sprintf("queue:0;inflight:%d;x0:%.2f;x1:%.2f", running, min(1, float64(running)*0.05), min(1, float64(running)*0.05)))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
