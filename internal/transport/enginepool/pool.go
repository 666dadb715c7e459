// Package enginepool keeps TCP connections to engines within a budget of file descriptors: it dials them, hands each to one attempt at a
// time, and keeps idle ones for reuse. It does not know the engines' protocol and never writes to a connection. All methods are called
// on the event loop. Each dial runs on a separate goroutine, which posts the result to the loop and returns.
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
	writeLimit         = 4 << 20               // bytes queued for an engine: one query with its statement is always smaller
	idleTimeoutDivisor = 3                     // idle connections are closed after 1/3 of the engines' idle timeout
	defaultDrainDelay  = 25 * time.Millisecond // some engines send a duplicate several milliseconds after the response
)

// Budget is the number of file descriptors that a pool may use: Max for any request, and Urgent more for requests that must not wait.
type Budget struct{ Max, Urgent int }

// endpointKey identifies the endpoint of a connection. Both fields are needed: an address may be reassigned to another engine, and an
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
	idle    map[endpointKey][]*Conn // idle connections, least recently released first
	waiters []*request              // requests that wait for a descriptor, in order of arrival
}

// New returns a Pool that uses at most budget descriptors, the urgent ones only for cancellations. engineIdleTimeout is the time after
// which engines close idle connections.
func New(loop *eventloop.Loop, log *slog.Logger, dialTimeout, engineIdleTimeout time.Duration, budget Budget) *Pool {
	return &Pool{
		loop:        loop,
		log:         log,
		dialer:      net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		idleTimeout: engineIdleTimeout / idleTimeoutDivisor,
		drainDelay:  defaultDrainDelay,
		budget:      budget,
		conns:       map[*Conn]bool{},
		idle:        map[endpointKey][]*Conn{},
	}
}

// Get requests a connection for handler: an idle one once its drain delay has elapsed, or a new one if there is none or fresh is set.
// done is called on the loop with the connection or the dial error, never before Get returns. The returned function cancels the request;
// done is not called after that.
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

// Invalidate closes all connections to an engine that was removed or whose address changed: idle ones now, those in use when they are
// released, and those being dialed once the dial is complete and no request uses them.
func (p *Pool) Invalidate(engine policy.EngineID) {
	for c := range p.conns {
		c.stale = c.stale || c.key.engine == engine
	}
	for key, conns := range p.idle {
		if key.engine != engine {
			continue
		}
		for _, c := range conns {
			c.discardWithoutAdmitting()
		}
		delete(p.idle, key)
	}
	p.admitWaiters()
}

// acquireIdle removes an idle connection from the pool and returns it, or nil if there is none. It prefers connections whose drain delay has
// elapsed, and among them the one that was released last, since it is the least likely to be stale.
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

// ensureCapacity reports whether one more descriptor may be used. If the budget is exhausted, it closes an idle connection.
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
		oldest.discardWithoutAdmitting()
		return true
	}
	return false
}

// admitWaiters starts the dials of requests that wait for a descriptor, in order of arrival, while there is capacity.
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

// handToWaiter hands a released connection to the first request that waits for one to the same endpoint, and reports whether there is
// one. Without it, the connection would be closed to free a descriptor for that request's dial: under overload, three connections were
// dialed for each one needed.
func (p *Pool) handToWaiter(c *Conn) bool {
	for i, r := range p.waiters {
		if r.key != c.key || r.fresh || r.cancelled {
			continue
		}
		p.waiters = slices.Delete(p.waiters, i, i+1)
		c.awaitDrainDelay(func(usable bool) { r.drainDelayEnded(c, usable, r.dial) })
		return true
	}
	return false
}

// release returns the descriptor of a connection to the budget.
func (p *Pool) release(c *Conn) {
	p.inUse--
	delete(p.conns, c)
}

// Waiting returns the number of requests that wait for a descriptor.
func (p *Pool) Waiting() int { return len(p.waiters) }

// SetDrainDelay sets the time after its release during which a connection is not reused, so that a late duplicate response of the engine
// is detected.
func (p *Pool) SetDrainDelay(d time.Duration) { p.drainDelay = d }

// IdleEngines returns the engines that have idle connections.
func (p *Pool) IdleEngines() []policy.EngineID {
	var engines []policy.EngineID
	for key := range p.idle {
		engines = append(engines, key.engine)
	}
	return engines
}
