// Package enginepool keeps TCP connections to engines within a budget of descriptors: it dials them, hands each to one attempt at
// a time, and keeps idle ones for reuse. It does not know the engines' protocol. All methods are called on the event loop; dials
// run on goroutines of their own.
package enginepool

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

const (
	engineQueue       = 4 << 20               // a statement and a call: no more waits at an engine
	idleShare         = 3                     // idle connections are closed after a third of the time that engines leave them
	defaultDrainDelay = 25 * time.Millisecond // in which a second answer shows: some engines send one milliseconds late
)

// Budget is a number of descriptors: so many at most, and beyond that a few for what cannot wait.
type Budget struct{ Most, Urgent int }

// place is where a connection leads: an address may change hands between engines, and an engine its address.
type place struct {
	engine policy.EngineID
	addr   string
}

// Pool keeps connections to engines.
type Pool struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	dialer     net.Dialer
	idle       map[place][]*Conn
	links      map[*Conn]bool // all that there are, those that are being made included
	idleFor    time.Duration
	drainDelay time.Duration
	budget     Budget // of connections, dials included
	held       int
	queue      []*waiter
}

// waiter waits for a descriptor.
type waiter struct {
	to      place
	fresh   bool
	stopped *bool
	user    eventloop.Handler
	dial    func()
	done    func(*Conn, error)
}

// Conn is a connection to an engine, owned by one call at a time or idle in the pool.
type Conn struct {
	*eventloop.Conn
	pool   *Pool
	to     place
	stale  bool              // its engine has gone or is elsewhere
	user   eventloop.Handler // nil while idle
	free   time.Duration     // when it was last released
	claim  func()            // looks at it for somebody who is to have it; nil if nobody is
	Memory any               // what a state machine keeps with the connection
	timer  *eventloop.Timer
}

// New makes a Pool of at most budget connections; the urgent ones give attempts up.
func New(loop *eventloop.Loop, log *slog.Logger, connect, idle time.Duration, budget Budget) *Pool {
	return &Pool{loop: loop, log: log, dialer: net.Dialer{Timeout: connect, KeepAlive: -1},
		idle: map[place][]*Conn{}, links: map[*Conn]bool{}, idleFor: idle / idleShare, drainDelay: defaultDrainDelay,
		budget: budget}
}

// Data passes on what the connection brings; an idle one that speaks is of no use, also if it is about to be used.
func (l *Conn) Data(b []byte) {
	if l.user != nil {
		l.user.Data(b)
		return
	}
	l.pool.unlist(l)
	l.Drop()
	l.lookNow()
}

// Closed passes on that the connection ended.
func (l *Conn) Closed(err error) {
	if l.user == nil {
		l.pool.unlist(l)
	}
	l.pool.forgetLink(l)
	l.pool.admit()
	if l.user != nil {
		l.user.Closed(err)
		return
	}
	l.lookNow()
}

// lookNow tells whoever is to have the connection that there is no use in waiting.
func (l *Conn) lookNow() {
	if l.claim != nil {
		l.claim()
	}
}

// Drop closes the connection.
func (l *Conn) Drop() {
	l.drop()
	l.pool.admit()
}

func (l *Conn) drop() {
	l.timer.Stop()
	if l.IsOpen() {
		l.pool.forgetLink(l)
		l.Close()
	}
}

// Release makes it idle, unless its engine has gone meanwhile or is elsewhere.
func (l *Conn) Release() {
	if !l.IsOpen() {
		return
	}
	if l.stale {
		l.Drop()
		return
	}
	l.Resume()
	l.user, l.free = nil, l.pool.loop.Now()
	if l.pool.handOver(l) {
		return
	}
	l.timer = l.pool.loop.After(l.pool.idleFor, func() { l.pool.unlist(l); l.Drop() })
	l.pool.idle[l.to] = append(l.pool.idle[l.to], l)
	l.pool.admit()
}

// clean reports whether an idle connection may be used: nothing has come on it since, not even its end.
func (l *Conn) clean() bool {
	some, eof := l.Peek()
	return !some && !eof && l.IsOpen()
}

// keep keeps a free connection for somebody until a second answer would have shown on it, and then reports whether it is of use:
// one that is not is closed.
func (p *Pool) keep(l *Conn, then func(usable bool)) {
	l.claim = func() {
		l.claim = nil
		l.timer.Stop()
		usable := l.clean()
		if !usable {
			l.drop()
		}
		then(usable)
	}
	l.timer = p.loop.After(max(0, l.free+p.drainDelay-p.loop.Now()), l.lookNow)
}

// handOver gives a connection that has become free to the first that waits for one to the same engine. Without it every one was
// closed to make room for a dial: seen on an overloaded day, with three connections made for one needed.
func (p *Pool) handOver(l *Conn) bool {
	for i, w := range p.queue {
		if w.to != l.to || w.fresh || *w.stopped {
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.keep(l, func(usable bool) {
			switch {
			case *w.stopped && usable:
				l.Release()
			case *w.stopped:
				p.admit()
			case usable:
				l.user = w.user
				w.done(l, nil)
			default: // the engine closed it meanwhile, or sent what nobody asked for
				w.dial()
			}
		})
		return true
	}
	return false
}

func (p *Pool) unlist(l *Conn) {
	l.timer.Stop()
	list := p.idle[l.to]
	for i, o := range list {
		if o == l {
			p.idle[l.to] = append(list[:i:i], list[i+1:]...)
		}
	}
	if len(p.idle[l.to]) == 0 {
		delete(p.idle, l.to)
	}
}

// Forget ends the use of what leads to an engine that has gone or is elsewhere: idle connections now, those in use
// when they are released, and those that are still being made.
func (p *Pool) Forget(engine policy.EngineID) {
	for l := range p.links {
		l.stale = l.stale || l.to.engine == engine
	}
	for to, list := range p.idle {
		if to.engine != engine {
			continue
		}
		for _, l := range list {
			l.drop()
		}
		delete(p.idle, to)
	}
	p.admit()
}

// take finds an idle connection. The last used is the least likely to be stale, but one that has settled goes before.
func (p *Pool) take(to place) *Conn {
	list, now := p.idle[to], p.loop.Now()
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	for _, o := range slices.Backward(list) {
		if now-o.free >= p.drainDelay {
			l = o
			break
		}
	}
	p.unlist(l)
	return l
}

// Get brings a connection for user: an idle one as soon as it has settled, unless fresh, or a new one. The returned function
// ends the wait. done runs on the loop, never before Get returns.
func (p *Pool) Get(engine policy.EngineID, addr string, fresh, urgent bool, user eventloop.Handler, done func(*Conn, error)) func() {
	stopped := false
	end := func() { stopped = true } // what ends the wait changes as it goes on
	to := place{engine, addr}
	var l *Conn
	if !fresh {
		l = p.take(to)
	}
	if l != nil {
		p.keep(l, func(usable bool) {
			switch {
			case stopped && usable:
				l.Release()
			case stopped:
				p.admit()
			case usable:
				l.user = user
				done(l, nil)
			default: // the engine closed it meanwhile, which says nothing against the engine
				end = p.Get(engine, addr, false, urgent, user, done)
			}
		})
		return func() { end() }
	}
	dial := func() {
		l := &Conn{pool: p, to: to, user: user}
		p.links[l] = true
		p.held++
		ctx, cancel := context.WithCancel(context.Background())
		end = func() { stopped = true; cancel() }
		go func() {
			nc, err := p.dialer.DialContext(ctx, "tcp", addr)
			cancel()
			p.loop.Post(func() { p.dialed(l, nc, err, &stopped, done) })
		}()
	}
	if p.room(urgent) {
		dial()
	} else { // no fault of the engine: it waits until another attempt ends
		if len(p.queue) == 0 {
			p.log.Warn("attempts wait for a descriptor", "held", p.held)
		}
		p.queue = append(p.queue, &waiter{to, fresh, &stopped, user, dial, done})
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

// forgetLink gives a connection's descriptor back.
func (p *Pool) forgetLink(l *Conn) {
	p.held--
	delete(p.links, l)
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

func (p *Pool) dialed(l *Conn, nc net.Conn, err error, stopped *bool, done func(*Conn, error)) {
	if err != nil {
		p.forgetLink(l)
		p.admit()
		if !*stopped {
			done(nil, err)
		}
		return
	}
	l.Conn = eventloop.NewConn(p.loop, nc, l, engineQueue)
	if *stopped { // it came up late: its attempt is over
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

// Waiting returns how many callers wait for a descriptor. It is called on the loop.
func (p *Pool) Waiting() int { return len(p.queue) }

// SetDrainDelay sets how long a released connection settles before it is used again, so that a second answer of the engine shows.
// It is called on the loop.
func (p *Pool) SetDrainDelay(d time.Duration) { p.drainDelay = d }

// IdleEngines returns the engines to which idle connections lead. It is called on the loop.
func (p *Pool) IdleEngines() []policy.EngineID {
	var engines []policy.EngineID
	for to := range p.idle {
		engines = append(engines, to.engine)
	}
	return engines
}
