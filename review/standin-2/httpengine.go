package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines' protocol.
const (
	pollWait  = 250 * time.Millisecond
	pollLease = 2 * time.Second
)

// httpEngine is a query engine with the HTTP protocol of the platform. Each query takes a fixed time and has a fixed number of rows.
type httpEngine struct {
	work     time.Duration
	rows     int
	spoilAt  int           // each spoilAt-th good answer has a length that is too short; 0 = none
	gap      time.Duration // time between the two parts of a spoilt answer
	mu       sync.Mutex
	queries  map[string]*httpQuery
	answered int
}

type httpQuery struct {
	asked     time.Time // last asked for
	endsAt    time.Time
	cancelled bool
}

func runHTTPEngine(args []string) {
	flags := flag.NewFlagSet("http-engine", flag.ExitOnError)
	e := &httpEngine{queries: map[string]*httpQuery{}}
	flags.DurationVar(&e.work, "work", 150*time.Millisecond, "time that a query takes")
	flags.IntVar(&e.rows, "rows", 20, "rows of a result")
	flags.IntVar(&e.spoilAt, "spoil", 0, "each so many answers, one has a length that is too short")
	flags.DurationVar(&e.gap, "gap", 10*time.Millisecond, "time between the parts of a spoilt answer")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnusable)
	}
	fmt.Println(ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// resultRows returns the result of a query: rows of three columns that name the query.
func resultRows(id string, rows int) []string {
	out := make([]string, rows)
	for i := range out {
		out[i] = fmt.Sprintf("%s\trow %d of %d\tvalue %d\n", id, i+1, rows, i*7)
	}
	return out
}

// serve handles the calls of a connection, one at a time.
func (e *httpEngine) serve(conn net.Conn) {
	defer conn.Close()
	in := textproto.NewReader(bufio.NewReader(conn))
	for {
		line, err := in.ReadLine()
		if err != nil {
			return
		}
		header, err := in.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length"))
		body := make([]byte, length)
		if _, err := io.ReadFull(in.R, body); err != nil {
			return
		}
		method, rest, _ := strings.Cut(line, " ")
		path, _, _ := strings.Cut(rest, " ")
		switch method {
		case "POST":
			id := header.Get("X-Hop-Id")
			e.begin(id)
			e.answerNews(conn, id)
		case "GET":
			id, _, _ := strings.Cut(strings.TrimPrefix(path, "/v2/q/"), "/")
			e.answerNews(conn, id)
		case "DELETE":
			e.cancel(strings.TrimPrefix(path, "/v2/q/"))
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

func (e *httpEngine) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queries[id] == nil {
		now := time.Now()
		e.queries[id] = &httpQuery{asked: now, endsAt: now.Add(e.work)}
		fmt.Println("runs", id)
	}
}

func (e *httpEngine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queries, id)
}

// answerNews waits for the end of a query, at most pollWait, and answers with it or with 202.
func (e *httpEngine) answerNews(conn net.Conn, id string) {
	deadline := time.Now().Add(pollWait)
	for {
		e.mu.Lock()
		q := e.queries[id]
		now := time.Now()
		known := q != nil && (now.After(q.endsAt) || now.Sub(q.asked) < pollLease)
		ended := known && !now.Before(q.endsAt)
		if known {
			q.asked = now
		}
		e.mu.Unlock()
		switch {
		case !known:
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			return
		case ended:
			e.answerEnd(conn, id)
			return
		case now.After(deadline):
			_, _ = io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nX-Report: queue:0;inflight:1;x0:0.1;x1:0.1\r\n\r\n")
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// answerEnd writes the result, which has one page. The length of a spoilt answer covers only the first half of the rows, and the second
// half follows as a piece of its own.
func (e *httpEngine) answerEnd(conn net.Conn, id string) {
	e.mu.Lock()
	e.answered++
	spoilt := e.spoilAt > 0 && e.answered%e.spoilAt == 0
	e.mu.Unlock()
	rows := resultRows(id, e.rows)
	first, second := strings.Join(rows[:e.rows/2], ""), strings.Join(rows[e.rows/2:], "")
	length := len(first) + len(second)
	if spoilt {
		length = len(first)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nX-Report: queue:0;inflight:1;x0:0.1;x1:0.1\r\nContent-Length: %d\r\n\r\n", length)
	if !spoilt {
		_, _ = io.WriteString(conn, head+first+second)
		return
	}
	fmt.Println("spoilt the length of", id)
	_, _ = io.WriteString(conn, head+first)
	time.Sleep(e.gap)
	_, _ = io.WriteString(conn, second)
}
