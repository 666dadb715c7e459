package netio

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"frostpier/policy"
)

var errBudget = errors.New("no descriptor left for engines")

const (
	engineQueue = 4 << 20 // a statement and a call: no more waits at an engine
	idleShare   = 3       // idle connections are closed after a third of the time that engines leave them
)

// Pool keeps connections to engines, by the engine's name in the list: an address may change hands.
type Pool struct {
	loop    *Loop
	log     *slog.Logger
	dialer  net.Dialer
	idle    map[policy.EngineID][]*Link
	idleFor time.Duration
	budget  int // connections, dials included
	held    int
}

// Link is a connection to an engine, owned by one call at a time or idle in the pool.
type Link struct {
	*Conn
	pool   *Pool
	engine policy.EngineID
	user   Handler // nil while idle
	Memory any     // what a state machine keeps with the connection
	timer  *Timer
}

// NewPool makes a Pool of at most budget connections.
func NewPool(loop *Loop, log *slog.Logger, connect, idle time.Duration, budget int) *Pool {
	return &Pool{loop: loop, log: log, dialer: net.Dialer{Timeout: connect, KeepAlive: -1},
		idle: map[policy.EngineID][]*Link{}, idleFor: idle / idleShare, budget: budget}
}

// Data passes on what the connection brings; an idle one that speaks is of no use.
func (l *Link) Data(b []byte) {
	if l.user != nil {
		l.user.Data(b)
		return
	}
	l.pool.unlist(l)
	l.Drop()
}

// Closed passes on that the connection ended.
func (l *Link) Closed(err error) {
	l.pool.held--
	if l.user != nil {
		l.user.Closed(err)
		return
	}
	l.pool.unlist(l)
}

// Drop closes the connection.
func (l *Link) Drop() {
	l.timer.Stop()
	if !l.closed {
		l.pool.held--
		l.Close()
	}
}

// Release makes it idle.
func (l *Link) Release() {
	if l.closed {
		return
	}
	l.user = nil
	l.Resume()
	l.timer = l.pool.loop.After(l.pool.idleFor, func() { l.pool.unlist(l); l.Drop() })
	l.pool.idle[l.engine] = append(l.pool.idle[l.engine], l)
}

func (p *Pool) unlist(l *Link) {
	l.timer.Stop()
	list := p.idle[l.engine]
	for i, o := range list {
		if o == l {
			p.idle[l.engine] = append(list[:i:i], list[i+1:]...)
		}
	}
	if len(p.idle[l.engine]) == 0 {
		delete(p.idle, l.engine)
	}
}

// Forget closes the idle connections to an engine that has gone.
func (p *Pool) Forget(engine policy.EngineID) {
	for _, l := range p.idle[engine] {
		l.Drop()
	}
	delete(p.idle, engine)
}

// Get brings a connection for user: an idle one at once, unless fresh, or a new one. The returned function ends
// the wait. done runs on the loop, never before Get returns.
func (p *Pool) Get(engine policy.EngineID, addr string, fresh bool, user Handler, done func(*Link, error)) (stop func()) {
	stopped := false
	stop = func() { stopped = true }
	if list := p.idle[engine]; len(list) > 0 && !fresh {
		l := list[len(list)-1] // the last used is the least likely to be stale
		p.unlist(l)
		l.user = user
		p.loop.After(0, func() {
			switch {
			case stopped && !l.closed:
				l.Release()
			case !stopped && l.closed: // the engine closed it meanwhile, which says nothing against the engine
				again := p.Get(engine, addr, true, user, done)
				stop = again
			case !stopped:
				done(l, nil)
			}
		})
		return func() { stop() }
	}
	if p.held >= p.budget && !p.dropOneIdle() {
		p.log.Warn("no descriptor left for engines", "held", p.held)
		p.loop.After(0, func() {
			if !stopped {
				done(nil, errBudget)
			}
		})
		return stop
	}
	p.held++
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		nc, err := p.dialer.DialContext(ctx, "tcp", addr)
		cancel()
		p.loop.Post(func() { p.dialed(engine, nc, err, user, &stopped, done) })
	}()
	return func() { stopped = true; cancel() }
}

func (p *Pool) dialed(engine policy.EngineID, nc net.Conn, err error, user Handler, stopped *bool, done func(*Link, error)) {
	if err != nil {
		p.held--
		if !*stopped {
			done(nil, err)
		}
		return
	}
	l := &Link{pool: p, engine: engine, user: user}
	l.Conn = NewConn(p.loop, nc, l, engineQueue)
	if *stopped {
		l.Release()
		return
	}
	done(l, nil)
}

func (p *Pool) dropOneIdle() bool {
	for _, list := range p.idle {
		l := list[0]
		p.unlist(l)
		l.Drop()
		return true
	}
	return false
}
