package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options say how an engine behaves on the wire.
type Options struct {
	Name        string
	Addr        string // to listen on; "" = a free port of 127.0.0.1
	Spec        Spec
	Cold        bool
	ReportEvery time.Duration // between two refreshes of the load report
	ReportDelay time.Duration // until a refreshed report is told
}

// Times of the platform's protocol.
const (
	notYet   = 250 * time.Millisecond // a call for news of a query that runs is answered after this
	unasked  = 2 * time.Second        // a query that nobody has asked for in this time is given up
	keepDone = 10 * time.Second       // a good end is given again for this long
	sweep    = 500 * time.Millisecond

	acceptAgain = 50 * time.Millisecond
)

// Engine serves a Model over the platform's HTTP protocol.
type Engine struct {
	opt     Options
	ln      net.Listener
	clock   func() time.Duration
	mu      sync.Mutex
	model   *Model
	queries map[string]*served
	conns   map[net.Conn]bool
	reports []snapshot
	alarm   *time.Timer
	silent  bool
	delay   time.Duration
	stopped bool
	figures Figures
	done    sync.WaitGroup
	quit    chan struct{}
}

// Figures are an engine's totals since its start.
type Figures struct {
	Arrived, Full, Conns int
	Twice                int // queries that came again while they were out here
}

type served struct {
	over  bool
	ended chan struct{} // closed at the end
	asked time.Duration
}

type snapshot struct {
	at   time.Duration
	load Load
}

// Start starts an engine; clock is the time that all engines share.
func Start(opt Options, clock func() time.Duration) (*Engine, error) {
	addr := opt.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", opt.Name, err)
	}
	e := &Engine{opt: opt, ln: ln, clock: clock, model: NewModel(opt.Spec, clock(), opt.Cold), queries: map[string]*served{},
		conns: map[net.Conn]bool{}, delay: opt.ReportDelay, quit: make(chan struct{})}
	e.done.Add(2)
	go e.accept()
	go e.upkeep()
	return e, nil
}

// Name is the engine's.
func (e *Engine) Name() string { return e.opt.Name }

// Addr is where it listens.
func (e *Engine) Addr() string { return e.ln.Addr().String() }

// Close ends it: its connections are reset, as when a process dies.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.stopped {
		e.mu.Unlock()
		return
	}
	e.stopped = true
	close(e.quit)
	e.ln.Close()
	if e.alarm != nil {
		e.alarm.Stop()
	}
	for nc := range e.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		nc.Close()
	}
	e.mu.Unlock()
	e.done.Wait()
}

// Silence has the engine take everything and say nothing, as one that hangs; or speak again.
func (e *Engine) Silence(on bool) { e.with(func() { e.silent = on }) }

// Slow has other programs take a share of its machine.
func (e *Engine) Slow(share float64) {
	e.with(func() { e.over(e.model.Slow(e.clock(), share)); e.plan() })
}

// Delay has reports come so late.
func (e *Engine) Delay(d time.Duration) { e.with(func() { e.delay = d }) }

// Load is what it holds now, and its totals.
func (e *Engine) Load() (l Load, f Figures, fallen bool) {
	e.with(func() {
		e.over(e.model.Advance(e.clock()))
		l, f, fallen = e.model.Load(), e.figures, e.model.Fallen()
		f.Conns = len(e.conns)
	})
	return l, f, fallen
}

// Pressed is the most that it was sent while cold, against what it bears.
func (e *Engine) Pressed() (p Pressure) {
	e.with(func() { p = e.model.Pressed() })
	return p
}

func (e *Engine) with(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// over ends queries.
func (e *Engine) over(ids []string) {
	for _, id := range ids {
		if q := e.queries[id]; q != nil && !q.over {
			q.over = true
			close(q.ended)
		}
	}
}

// plan sets the alarm for the model's next change.
func (e *Engine) plan() {
	if e.alarm != nil {
		e.alarm.Stop()
	}
	at, some := e.model.Next()
	if !some || e.stopped {
		return
	}
	e.alarm = time.AfterFunc(at-e.clock(), func() {
		e.with(func() {
			e.over(e.model.Advance(e.clock()))
			e.plan()
		})
	})
}

// upkeep refreshes the report and gives up what nobody asks for.
func (e *Engine) upkeep() {
	defer e.done.Done()
	every := e.opt.ReportEvery
	if every <= 0 {
		every = sweep
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-e.quit:
			return
		case <-tick.C:
		}
		e.with(func() {
			now := e.clock()
			e.over(e.model.Advance(now))
			e.reports = append(e.reports, snapshot{now, e.model.Load()})
			for len(e.reports) > 1 && e.reports[1].at <= now-e.delay {
				e.reports = e.reports[1:]
			}
			for id, q := range e.queries {
				if q.over && now-q.asked > keepDone {
					delete(e.queries, id)
				} else if !q.over && now-q.asked > unasked {
					e.drop(id)
				}
			}
			e.plan()
		})
	}
}

// drop gives a query up.
func (e *Engine) drop(id string) {
	if q := e.queries[id]; q != nil {
		e.model.Cancel(id)
		e.over([]string{id})
		delete(e.queries, id)
	}
}

func (e *Engine) report() string {
	l := Load{}
	if len(e.reports) > 0 && e.reports[0].at <= e.clock()-e.delay {
		l = e.reports[0].load
	}
	return fmt.Sprintf("X-Report: queue:0;inflight:%d;x0:%.2f;x1:%.2f", l.Queries, l.Granted, l.Reading)
}

func (e *Engine) accept() {
	defer e.done.Done()
	for {
		nc, err := e.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptAgain) // no descriptor is left: trying at once kept every core from those that would free one
			continue
		}
		e.mu.Lock()
		if e.stopped {
			e.mu.Unlock()
			nc.Close()
			return
		}
		e.conns[nc] = true
		e.done.Add(1)
		e.mu.Unlock()
		go e.serve(nc)
	}
}

func (e *Engine) serve(nc net.Conn) {
	defer e.done.Done()
	defer func() {
		nc.Close()
		e.with(func() { delete(e.conns, nc) })
	}()
	r := textproto.NewReader(bufio.NewReaderSize(nc, 1024))
	for {
		call, err := ReadCall(r)
		if err != nil {
			return
		}
		answer, stays := e.answer(call)
		if !stays {
			return
		}
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
	}
}

// Call is one call of a gateway to an engine.
type Call struct {
	Method, Path string
	Head         textproto.MIMEHeader
	Body         string
}

// mostBody is more than any statement of a stand-in's clients has, in bytes.
const mostBody = 1 << 20

var errCall = errors.New("a call's length makes no sense")

// ReadCall reads the next call of a connection.
func ReadCall(r *textproto.Reader) (c Call, err error) {
	line, err := r.ReadLine()
	if err != nil {
		return c, err
	}
	method, rest, _ := strings.Cut(line, " ")
	c.Method = method
	c.Path, _, _ = strings.Cut(rest, " ")
	if c.Head, err = r.ReadMIMEHeader(); err != nil {
		return c, err
	}
	n, err := strconv.Atoi(c.Head.Get("Content-Length"))
	if c.Head.Get("Content-Length") != "" && (err != nil || n < 0 || n > mostBody) {
		return c, errCall
	}
	body := make([]byte, n)
	_, err = io.ReadFull(r.R, body)
	c.Body = string(body)
	return c, err
}

// Answer is what an engine writes: a status, a body and further header lines.
func Answer(status int, body string, heads ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(heads, ""), "\r\n"), body)
}

// answer works out the answer to one call, and waits for it where the protocol says so.
func (e *Engine) answer(c Call) (string, bool) {
	id, page, _ := strings.Cut(strings.TrimPrefix(c.Path, "/v2/q/"), "/")
	e.mu.Lock()
	now := e.clock()
	e.over(e.model.Advance(now))
	var q *served
	switch {
	case c.Method == "POST":
		id = c.Head.Get("X-Hop-Id")
		query, ok := ParseStatement(c.Body)
		if !ok || id == "" {
			defer e.mu.Unlock()
			return Answer(500, "", e.report()), true
		}
		if e.queries[id] != nil && !e.queries[id].over {
			e.figures.Twice++
		}
		query.ID = id
		e.figures.Arrived++
		if !e.model.Start(query) {
			e.figures.Full++
			defer e.mu.Unlock()
			return Answer(503, "", "X-No-Effect: 1", e.report()), true
		}
		e.queries[id] = &served{ended: make(chan struct{}), asked: now}
		q = e.queries[id]
		e.plan()
	case c.Method == "DELETE":
		defer e.mu.Unlock()
		e.drop(id)
		e.plan()
		return Answer(204, "", e.report()), !e.silent
	default:
		if q = e.queries[id]; q == nil || page != "0" {
			defer e.mu.Unlock()
			return Answer(500, "", e.report()), !e.silent
		}
		q.asked = now
	}
	e.mu.Unlock()
	wait := time.NewTimer(notYet)
	defer wait.Stop()
	select {
	case <-q.ended:
	case <-wait.C:
	case <-e.quit:
		return "", false
	}
	return e.news(id, q)
}

// news is what there is to say of a query.
func (e *Engine) news(id string, q *served) (string, bool) {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent { // its connections stay open and nothing comes
		<-e.quit
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q.asked = e.clock()
	switch {
	case e.queries[id] != q:
		return Answer(500, "", e.report()), true
	case !q.over:
		return Answer(202, "", e.report()), true
	}
	return Answer(200, Rows(id), "Page-Count: 1", e.report()), true
}

// Rows is the result of a query: so a client knows whether it got its own, whole and unchanged.
func Rows(id string) string { return "row\t" + id + "\tof 1\n" }

// Statement is the text of a query for a stand-in, which reads from its comment what the query costs.
func Statement(q Query) string {
	load := 0
	if q.Load {
		load = 1
	}
	return fmt.Sprintf("SELECT a, b, c FROM survey_%d.answers /* work=%.4f threads=%.0f io=%.3f mb=%.0f load=%d group=%d */",
		q.Group, q.Work, q.Threads, q.IO, q.NeedMB, load, q.Group)
}

// ParseStatement reads what Statement wrote.
func ParseStatement(text string) (q Query, ok bool) {
	_, comment, found := strings.Cut(text, "/*")
	if !found {
		return q, false
	}
	load := 0
	n, err := fmt.Sscanf(strings.TrimSpace(strings.TrimSuffix(comment, "*/")), "work=%g threads=%g io=%g mb=%g load=%d group=%d",
		&q.Work, &q.Threads, &q.IO, &q.NeedMB, &load, &q.Group)
	q.Load = load == 1
	return q, err == nil && n == 6 && q.Work > 0 && q.Threads > 0
}
