package emulator

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Options configure an emulated engine.
type Options struct {
	Name           string
	Addr           string // listen address; "" = a free port of 127.0.0.1
	Spec           Spec
	WarmingUp      bool
	ReportInterval time.Duration // time between refreshes of the load report
	ReportDelay    time.Duration // time from a refresh until responses carry the refreshed report
}

// Times of the platform's protocol.
const (
	longPollTimeout = 250 * time.Millisecond // after this, a poll is answered even if its query is still running
	pollLease       = 2 * time.Second        // a query that is not polled for this long is cancelled
	resultRetention = 10 * time.Second       // how long after its last poll a result is kept
	sweepInterval   = 500 * time.Millisecond // time between checks for expired queries, if no report interval is configured
	acceptBackoff   = 50 * time.Millisecond  // wait after a failed accept
)

// Engine serves a Model over the platform's HTTP protocol.
type Engine struct {
	options     Options
	listener    net.Listener
	clock       func() time.Duration
	mu          sync.Mutex
	model       *Model
	queries     map[string]*queryState
	conns       map[net.Conn]bool
	reports     []loadSnapshot // oldest first
	timer       *time.Timer    // fires at the model's next change
	hung        bool           // the engine accepts requests but does not answer any
	reportDelay time.Duration
	closed      bool
	totals      Totals
	goroutines  sync.WaitGroup
	closing     chan struct{}
}

// Totals are counters since an engine's start, and its number of open connections.
type Totals struct {
	Arrived     int // queries received
	Rejected    int // queries of Arrived that were rejected: the engine was full, had collapsed or had too little memory
	Conns       int // connections currently open
	Resubmitted int // queries of Arrived that were submitted while a query with the same ID was running
}

// queryState is the state of a query that is running or whose result is retained.
type queryState struct {
	finished   bool
	done       chan struct{} // closed when the query ends
	lastPolled time.Duration
}

// loadSnapshot is a load report and the time when it was taken.
type loadSnapshot struct {
	at   time.Duration
	load Load
}

// StartEngine starts an engine, which the caller stops with Close. All engines of a test share the clock. It returns an
// error if it cannot listen on the address.
func StartEngine(options Options, clock func() time.Duration) (*Engine, error) {
	addr := options.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", options.Name, err)
	}
	e := &Engine{
		options:     options,
		listener:    listener,
		clock:       clock,
		model:       NewModel(options.Spec, clock(), options.WarmingUp),
		queries:     map[string]*queryState{},
		conns:       map[net.Conn]bool{},
		reportDelay: options.ReportDelay,
		closing:     make(chan struct{}),
	}
	e.goroutines.Add(2)
	go e.accept()
	go e.maintain()
	return e, nil
}

// Name returns the engine's name in the engine list.
func (e *Engine) Name() string { return e.options.Name }

// Addr returns the address on which the engine listens.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Close stops the engine and waits for its goroutines. It resets the engine's connections, as a crash of the process would.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	close(e.closing)
	_ = e.listener.Close()
	if e.timer != nil {
		e.timer.Stop()
	}
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

// SetHung sets whether the engine hangs: it then accepts requests but does not answer any.
func (e *Engine) SetHung(on bool) { e.withLock(func() { e.hung = on }) }

// HasQuery reports whether the engine runs a query or retains its result.
func (e *Engine) HasQuery(id string) (known bool) {
	e.withLock(func() { known = e.queries[id] != nil })
	return known
}

// SetReportDelay changes Options.ReportDelay: responses carry only load reports that are at least this old.
func (e *Engine) SetReportDelay(d time.Duration) { e.withLock(func() { e.reportDelay = d }) }

// Load returns the engine's current load, its totals, and whether it has collapsed from overload while warming up.
func (e *Engine) Load() (load Load, totals Totals, collapsed bool) {
	e.withLock(func() {
		e.markFinished(e.model.Advance(e.clock()))
		load, totals, collapsed = e.model.Load(), e.totals, e.model.Collapsed()
		totals.Conns = len(e.conns)
	})
	return load, totals, collapsed
}

// PeakWarmUpLoad returns the highest load on the engine while it was warming up, relative to the limit at that time.
func (e *Engine) PeakWarmUpLoad() (p WarmUpLoad) {
	e.withLock(func() { p = e.model.PeakWarmUpLoad() })
	return p
}

// withLock calls f with the lock held.
func (e *Engine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// markFinished marks queries as finished and wakes the requests that wait for them. The caller holds the lock.
func (e *Engine) markFinished(ids []string) {
	for _, id := range ids {
		if q := e.queries[id]; q != nil && !q.finished {
			q.finished = true
			close(q.done)
		}
	}
}

// scheduleAdvance sets the timer for the model's next change. The caller holds the lock.
func (e *Engine) scheduleAdvance() {
	if e.timer != nil {
		e.timer.Stop()
	}
	at, changes := e.model.NextChange()
	if !changes || e.closed {
		return
	}
	e.timer = time.AfterFunc(at-e.clock(), func() {
		e.withLock(func() {
			e.markFinished(e.model.Advance(e.clock()))
			e.scheduleAdvance()
		})
	})
}

// maintain refreshes the load report and removes expired queries, until Close.
func (e *Engine) maintain() {
	defer e.goroutines.Done()
	interval := e.options.ReportInterval
	if interval <= 0 {
		interval = sweepInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-e.closing:
			return
		case <-tick.C:
		}
		e.withLock(func() {
			now := e.clock()
			e.markFinished(e.model.Advance(now))
			e.refreshReport(now)
			e.expireQueries(now)
			e.scheduleAdvance()
		})
	}
}

// refreshReport adds a load report, and drops reports older than the newest one that may be sent. The caller holds the
// lock.
func (e *Engine) refreshReport(now time.Duration) {
	e.reports = append(e.reports, loadSnapshot{now, e.model.Load()})
	for len(e.reports) > 1 && e.reports[1].at <= now-e.reportDelay {
		e.reports = e.reports[1:]
	}
}

// expireQueries removes expired results and cancels queries whose poll lease has expired. The caller holds the lock.
func (e *Engine) expireQueries(now time.Duration) {
	for id, q := range e.queries {
		idle := now - q.lastPolled
		switch {
		case q.finished && idle > resultRetention:
			delete(e.queries, id)
		case !q.finished && idle > pollLease:
			e.cancel(id)
		}
	}
}

// cancel stops and removes a query. The caller holds the lock.
func (e *Engine) cancel(id string) {
	if q := e.queries[id]; q != nil {
		e.model.Cancel(id)
		e.markFinished([]string{id})
		delete(e.queries, id)
	}
}

// accept serves each connection on a separate goroutine, until Close.
func (e *Engine) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Most likely the process is out of file descriptors. Retrying immediately would take CPU time from the goroutines
			// that could free one.
			time.Sleep(acceptBackoff)
			continue
		}
		if !e.register(conn) {
			_ = conn.Close()
			return
		}
		go e.serveConn(conn)
	}
}

// register adds a connection to those that Close resets, unless the engine is closed.
func (e *Engine) register(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.conns[conn] = true
	e.goroutines.Add(1)
	return true
}
