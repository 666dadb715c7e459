// Package enginepool keeps TCP connections to engines within a budget of descriptors: it dials them, hands each to one attempt at
// a time, and keeps idle ones for reuse. It does not know the engines' protocol, and never writes. All methods are called on the
// event loop. Each dial runs on a goroutine of its own, which ends with the dial and posts its result to the loop.
package enginepool

import (
	"log/slog"
	"net"
	"slices"
	"time"

	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

const (
	writeLimit        = 4 << 20               // bytes queued for an engine: a statement and a request on it are always less
	idleTimeoutParts  = 3                     // idle connections are closed after this part of the engines' own idle timeout
	defaultDrainDelay = 25 * time.Millisecond // some engines send a duplicate response up to milliseconds late
)

// Budget is a number of descriptors: Most for any use, and Urgent more for what must not wait.
type Budget struct{ Max, Urgent int }

// endpointKey identifies where a connection leads. Both parts are needed: an address may pass from one engine to another, and an
// engine may change its address.
type endpointKey struct {
	engine policy.EngineID
	addr   string
}

// Pool keeps connections to engines.
type Pool struct {
	loop        *eventloop.Loop
	log         *slog.Logger
	dialer      net.Dialer
	idleTimeout time.Duration
	drainDelay  time.Duration
	budget      Budget

	conns   map[*Conn]bool          // all connections, dials included
	inUse   int                     // descriptors in use, dials included
	idle    map[endpointKey][]*Conn // in the order of their release
	waiters []*request              // for a descriptor, in order of arrival
}

// New returns a Pool of at most budget connections; the urgent ones are for cancellations. connect is the timeout of a dial, idle
// the time after which engines close idle connections.
func New(loop *eventloop.Loop, log *slog.Logger, connect, idle time.Duration, budget Budget) *Pool {
	return &Pool{
		loop:        loop,
		log:         log,
		dialer:      net.Dialer{Timeout: connect, KeepAlive: -1},
		idleTimeout: idle / idleTimeoutParts,
		drainDelay:  defaultDrainDelay,
		budget:      budget,
		conns:       map[*Conn]bool{},
		idle:        map[endpointKey][]*Conn{},
	}
}

// Get requests a connection for handler: an idle one as soon as its drain delay is over, unless fresh, or a new one. done is
// called on the loop with the connection or the error of the dial, never before Get returns. The returned function cancels the
// request; done is not called after that.
func (p *Pool) Get(engine policy.EngineID, addr string, fresh, urgent bool, handler eventloop.Handler,
	done func(*Conn, error)) (cancel func()) {
	r := &request{
		pool:    p,
		key:     endpointKey{engine, addr},
		fresh:   fresh,
		urgent:  urgent,
		handler: handler,
		done:    done,
	}
	r.start()
	return r.cancel
}

// Invalidate ends the use of all connections to an engine that was removed or has moved: idle ones are closed now, those in use when
// they are released, and those that are being dialed when they come up.
func (p *Pool) Invalidate(engine policy.EngineID) {
	for c := range p.conns {
		c.stale = c.stale || c.key.engine == engine
	}
	for key, conns := range p.idle {
		if key.engine != engine {
			continue
		}
		for _, c := range conns {
			c.dropWithoutAdmitting()
		}
		delete(p.idle, key)
	}
	p.admitWaiters()
}

// acquireIdle returns an idle connection, or nil. The one released last is the least likely to be stale, but one whose drain delay is
// over is preferred.
func (p *Pool) acquireIdle(key endpointKey) *Conn {
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	now := p.loop.Now()
	chosen := conns[len(conns)-1]
	for _, c := range slices.Backward(conns) {
		if now-c.releasedAt >= p.drainDelay {
			chosen = c
			break
		}
	}
	p.removeIdle(chosen)
	return chosen
}

func (p *Pool) removeIdle(c *Conn) {
	c.timer.Stop()
	conns := p.idle[c.key]
	for i, other := range conns {
		if other == c {
			p.idle[c.key] = append(conns[:i:i], conns[i+1:]...)
		}
	}
	if len(p.idle[c.key]) == 0 {
		delete(p.idle, c.key)
	}
}

// ensureCapacity reports whether one more descriptor may be used. If the budget is used up, it closes an idle connection.
func (p *Pool) ensureCapacity(urgent bool) bool {
	limit := p.budget.Max
	if urgent {
		limit += p.budget.Urgent
	}
	return p.inUse < limit || p.closeOneIdle()
}

func (p *Pool) closeOneIdle() bool {
	for _, conns := range p.idle {
		oldest := conns[0]
		p.removeIdle(oldest)
		oldest.dropWithoutAdmitting()
		return true
	}
	return false
}

// admitWaiters starts the dials of the requests that wait for a descriptor, as far as there is capacity.
func (p *Pool) admitWaiters() {
	for len(p.waiters) > 0 {
		next := p.waiters[0]
		if !next.cancelled && !p.ensureCapacity(false) {
			return
		}
		p.waiters = p.waiters[1:]
		if !next.cancelled {
			next.dial()
		}
	}
}

// handToWaiter gives a connection that was released to the first request that waits for one to the same endpoint, and reports
// whether there is one. Otherwise it would be closed to free a descriptor for that request's dial: on an overloaded day three
// connections were made for each one needed.
func (p *Pool) handToWaiter(c *Conn) bool {
	for i, r := range p.waiters {
		if r.key != c.key || r.fresh || r.cancelled {
			continue
		}
		p.waiters = slices.Delete(p.waiters, i, i+1)
		c.settle(func(usable bool) { r.offered(c, usable, r.dial) })
		return true
	}
	return false
}

// release returns the descriptor of a connection to the budget.
func (p *Pool) release(c *Conn) {
	p.inUse--
	delete(p.conns, c)
}

// Waiting returns how many requests wait for a descriptor. It is called on the loop.
func (p *Pool) Waiting() int { return len(p.waiters) }

// SetDrainDelay sets how long a released connection is not reused, so that a duplicate response of the engine shows. It is called
// on the loop.
func (p *Pool) SetDrainDelay(d time.Duration) { p.drainDelay = d }

// IdleEngines returns the engines to which idle connections lead. It is called on the loop.
func (p *Pool) IdleEngines() []policy.EngineID {
	var engines []policy.EngineID
	for key := range p.idle {
		engines = append(engines, key.engine)
	}
	return engines
}
