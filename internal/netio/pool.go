package netio

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"frostpier/policy"
)

const (
	engineQueue = 4 << 20 // a statement and a call: no more waits at an engine
	idleShare   = 3       // idle connections are closed after a third of the time that engines leave them
)

// Share is a number of descriptors: so many at most, and beyond that a few for what cannot wait.
type Share struct{ Most, Urgent int }

// Pool keeps connections to engines, by the engine's name in the list: an address may change hands.
type Pool struct {
	loop    *Loop
	log     *slog.Logger
	dialer  net.Dialer
	idle    map[policy.EngineID][]*Link
	idleFor time.Duration
	budget  Share // of connections, dials included
	held    int
	waited  int // how often a descriptor had to be waited for
	queue   []*waiter
}

// waiter waits for a descriptor.
type waiter struct {
	engine  policy.EngineID
	fresh   bool
	stopped *bool
	user    Handler
	dial    func()
	done    func(*Link, error)
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

// NewPool makes a Pool of at most budget connections; the urgent ones give attempts up.
func NewPool(loop *Loop, log *slog.Logger, connect, idle time.Duration, budget Share) *Pool {
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
	l.pool.unhold()
	if l.user != nil {
		l.user.Closed(err)
		return
	}
	l.pool.unlist(l)
}

// Drop closes the connection.
func (l *Link) Drop() {
	l.drop()
	l.pool.admit()
}

func (l *Link) drop() {
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
	l.Resume()
	if l.pool.handOver(l) {
		return
	}
	l.user = nil
	l.timer = l.pool.loop.After(l.pool.idleFor, func() { l.pool.unlist(l); l.Drop() })
	l.pool.idle[l.engine] = append(l.pool.idle[l.engine], l)
	l.pool.admit()
}

// handOver gives a connection that has become free to the first that waits for one to the same engine. Without it
// every one was closed to make room for a dial: seen on an overloaded day, with three connections made for one needed.
func (p *Pool) handOver(l *Link) bool {
	for i, w := range p.queue {
		if w.engine != l.engine || w.fresh || *w.stopped {
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		l.user = w.user
		p.loop.After(0, func() {
			switch {
			case *w.stopped:
				l.Release()
			case l.closed:
				w.dial() // the engine closed it meanwhile
			default:
				w.done(l, nil)
			}
		})
		return true
	}
	return false
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
func (p *Pool) Get(engine policy.EngineID, addr string, fresh, urgent bool, user Handler, done func(*Link, error)) func() {
	stopped := false
	end := func() { stopped = true } // what ends the wait changes as it goes on
	if list := p.idle[engine]; len(list) > 0 && !fresh {
		l := list[len(list)-1] // the last used is the least likely to be stale
		p.unlist(l)
		l.user = user
		p.loop.After(0, func() {
			switch {
			case stopped && !l.closed:
				l.Release()
			case !stopped && l.closed: // the engine closed it meanwhile, which says nothing against the engine
				end = p.Get(engine, addr, true, urgent, user, done)
			case !stopped:
				done(l, nil)
			}
		})
		return func() { end() }
	}
	dial := func() {
		p.held++
		ctx, cancel := context.WithCancel(context.Background())
		end = func() { stopped = true; cancel() }
		go func() {
			nc, err := p.dialer.DialContext(ctx, "tcp", addr)
			cancel()
			p.loop.Post(func() { p.dialed(engine, nc, err, user, &stopped, done) })
		}()
	}
	if p.room(urgent) {
		dial()
	} else { // no fault of the engine: it waits until another attempt ends
		if len(p.queue) == 0 {
			p.log.Warn("attempts wait for a descriptor", "held", p.held)
		}
		p.queue = append(p.queue, &waiter{engine, fresh, &stopped, user, dial, done})
	}
	return func() { end() }
}

// room makes room for one more connection if it can. A few descriptors are kept for what gives attempts up.
func (p *Pool) room(urgent bool) bool {
	most := p.budget.Most
	if urgent {
		most += p.budget.Urgent
	}
	return p.held < most || p.dropOneIdle()
}

// unhold gives a descriptor back, for the next that waits for one.
func (p *Pool) unhold() {
	p.held--
	p.admit()
}

// admit lets those that wait have what room there is.
func (p *Pool) admit() {
	for len(p.queue) > 0 {
		next := p.queue[0]
		if !*next.stopped && !p.room(false) {
			return
		}
		p.queue = p.queue[1:]
		if !*next.stopped {
			next.dial()
		}
	}
}

func (p *Pool) dialed(engine policy.EngineID, nc net.Conn, err error, user Handler, stopped *bool, done func(*Link, error)) {
	if err != nil {
		p.unhold()
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
		l.drop()
		return true
	}
	return false
}
