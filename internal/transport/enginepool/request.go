package enginepool

import (
	"context"
	"net"

	"frostpier/internal/transport/eventloop"
)

// request is one call of Pool.Get, until its connection comes or it is cancelled.
type request struct {
	pool          *Pool
	key           endpointKey
	fresh, urgent bool
	handler       eventloop.Handler
	done          func(*Conn, error)

	cancelled  bool
	cancelDial context.CancelFunc // nil before the dial
}

// start reserves an idle connection, or dials one as soon as there is a descriptor for it.
func (r *request) start() {
	if !r.fresh {
		if c := r.pool.acquireIdle(r.key); c != nil {
			// An idle connection that the engine has closed says nothing against the engine: start again.
			c.settle(func(usable bool) { r.offered(c, usable, r.start) })
			return
		}
	}
	if r.pool.ensureCapacity(r.urgent) {
		r.dial()
		return
	}
	// A lack of descriptors is no fault of the engine: the request waits until another connection is released.
	if len(r.pool.waiters) == 0 {
		r.pool.log.Warn("attempts wait for a descriptor", "in_use", r.pool.inUse)
	}
	r.pool.waiters = append(r.pool.waiters, r)
}

// cancel ends the request; done is not called any more.
func (r *request) cancel() {
	r.cancelled = true
	if r.cancelDial != nil {
		r.cancelDial()
	}
}

// offered handles the end of the drain delay of a connection that was reserved for the request. If it is not usable, retry is
// called.
func (r *request) offered(c *Conn, usable bool, retry func()) {
	switch {
	case r.cancelled && usable:
		c.Release()
	case r.cancelled:
		r.pool.admitWaiters()
	case usable:
		c.handler = r.handler
		r.done(c, nil)
	default:
		retry()
	}
}

func (r *request) dial() {
	p := r.pool
	c := &Conn{pool: p, key: r.key, handler: r.handler}
	p.conns[c] = true
	p.inUse++
	ctx, cancel := context.WithCancel(context.Background())
	r.cancelDial = cancel
	go func() {
		nc, err := p.dialer.DialContext(ctx, "tcp", r.key.addr)
		cancel()
		p.loop.Post(func() { r.dialed(c, nc, err) })
	}()
}

// dialed handles the result of a dial.
func (r *request) dialed(c *Conn, nc net.Conn, err error) {
	p := r.pool
	if err != nil {
		p.release(c)
		p.admitWaiters()
		if !r.cancelled {
			r.done(nil, err)
		}
		return
	}
	c.Conn = eventloop.NewConn(p.loop, nc, c, writeLimit)
	if r.cancelled { // the connection came up late and serves another attempt
		c.Release()
		return
	}
	r.done(c, nil)
}
