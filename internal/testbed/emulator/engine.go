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
	Addr           string // to listen on; "" = a free port of 127.0.0.1
	Spec           Spec
	WarmingUp      bool
	ReportInterval time.Duration // between two refreshes of the load report
	ReportDelay    time.Duration // from a refresh until answers carry it
}

// Times of the platform's protocol.
const (
	longPollTimeout = 250 * time.Millisecond // a poll of a query that runs is answered after this
	pollLease       = 2 * time.Second        // a query that nobody has polled for this long is cancelled
	resultRetention = 10 * time.Second       // a result can be polled again for this long
	sweepInterval   = 500 * time.Millisecond // between two looks for expired queries, where there is no report interval
	acceptBackoff   = 50 * time.Millisecond  // after an accept that failed
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
	timer       *time.Timer    // for the model's next change
	silent      bool           // it accepts calls and answers none, as an engine that hangs
	reportDelay time.Duration
	closed      bool
	totals      Totals
	goroutines  sync.WaitGroup
	closing     chan struct{}
}

// Totals count what an engine has seen since its start.
type Totals struct {
	Arrived     int // queries
	Rejected    int // of them, since the engine was full
	Conns       int // connections open now
	Resubmitted int // queries submitted again while they were running
}

// queryState is a query that the engine runs, or whose result can still be polled.
type queryState struct {
	finished   bool
	done       chan struct{} // closed at the end
	lastPolled time.Duration
}

// loadSnapshot is a load report and when it was taken.
type loadSnapshot struct {
	at   time.Duration
	load Load
}

// StartEngine starts an engine, which the caller ends with Close. All engines of a test share the clock. It returns an error
// where the address cannot be listened on.
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

// Name is the engine's name in the engine list.
func (e *Engine) Name() string { return e.options.Name }

// Addr is the address that the engine listens on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Close ends the engine and waits for its goroutines. Its connections are reset, as when a process dies.
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
			_ = tcp.SetLinger(0) // a reset is what a process that dies leaves
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

// SetHung makes the engine accept every call and answer none, as one that hangs; or makes it answer again.
func (e *Engine) SetHung(on bool) { e.locked(func() { e.silent = on }) }

// HasQuery reports whether the engine runs a query, or has kept its result.
func (e *Engine) HasQuery(id string) (known bool) {
	e.locked(func() { known = e.queries[id] != nil })
	return known
}

// SetReportDelay sets how old a load report is before answers carry it.
func (e *Engine) SetReportDelay(d time.Duration) { e.locked(func() { e.reportDelay = d }) }

// Load returns the engine's present load, its totals, and whether it has collapsed under load while warming up.
func (e *Engine) Load() (load Load, totals Totals, collapsed bool) {
	e.locked(func() {
		e.finish(e.model.Advance(e.clock()))
		load, totals, collapsed = e.model.Load(), e.totals, e.model.Collapsed()
		totals.Conns = len(e.conns)
	})
	return load, totals, collapsed
}

// PeakWarmUpLoad returns the highest pressure on the engine while it was warming up.
func (e *Engine) PeakWarmUpLoad() (p WarmUpLoad) {
	e.locked(func() { p = e.model.PeakWarmUpLoad() })
	return p
}

// locked calls do with the lock held.
func (e *Engine) locked(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// finish marks queries as finished and wakes the calls that wait for them; the lock is held.
func (e *Engine) finish(ids []string) {
	for _, id := range ids {
		if q := e.queries[id]; q != nil && !q.finished {
			q.finished = true
			close(q.done)
		}
	}
}

// scheduleAdvance sets the timer for the model's next change; the lock is held.
func (e *Engine) scheduleAdvance() {
	if e.timer != nil {
		e.timer.Stop()
	}
	at, changes := e.model.NextChange()
	if !changes || e.closed {
		return
	}
	e.timer = time.AfterFunc(at-e.clock(), func() {
		e.locked(func() {
			e.finish(e.model.Advance(e.clock()))
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
		e.locked(func() {
			now := e.clock()
			e.finish(e.model.Advance(now))
			e.refreshReport(now)
			e.expireQueries(now)
			e.scheduleAdvance()
		})
	}
}

// refreshReport adds a load report and drops those that a newer one supersedes; the lock is held.
func (e *Engine) refreshReport(now time.Duration) {
	e.reports = append(e.reports, loadSnapshot{now, e.model.Load()})
	for len(e.reports) > 1 && e.reports[1].at <= now-e.reportDelay {
		e.reports = e.reports[1:]
	}
}

// expireQueries forgets old results and cancels queries that nobody polls; the lock is held.
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

// cancel ends a query without a result and forgets it; the lock is held.
func (e *Engine) cancel(id string) {
	if q := e.queries[id]; q != nil {
		e.model.Cancel(id)
		e.finish([]string{id})
		delete(e.queries, id)
	}
}

// accept serves each connection on a goroutine of its own, until Close.
func (e *Engine) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Most likely no descriptor is left: retrying at once would keep the cores from those that could free one.
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
