package enginepool

import (
	"context"
	"net"

	"frostpier/internal/transport/eventloop"
)

// request is a pending call of Pool.Get: it ends with a connection, a dial error or its cancellation.
type request struct {
	pool          *Pool
	key           endpointKey
	fresh, urgent bool
	handler       eventloop.Handler
	done          func(*Conn, error)

	cancelled  bool
	cancelDial context.CancelFunc // nil until the dial starts
}

// start reserves an idle connection, or dials a new one as soon as a descriptor is available.
func (r *request) start() {
	if !r.fresh {
		if c := r.pool.acquireIdle(r.key); c != nil {
			// An idle connection that the engine has closed is not a failure of the engine: start again.
			c.awaitDrainDelay(func(usable bool) { r.drainDelayEnded(c, usable, r.start) })
			return
		}
	}
	if r.pool.ensureCapacity(r.urgent) {
		r.dial()
		return
	}
	// Running out of descriptors is not a failure of the engine: the request waits until another connection is released.
	if len(r.pool.waiters) == 0 {
		r.pool.log.Warn("descriptor limit for engine connections reached, attempts wait", "in_use", r.pool.inUse)
	}
	r.pool.waiters = append(r.pool.waiters, r)
}

// cancel cancels the request; done is not called after that.
func (r *request) cancel() {
	r.cancelled = true
	if r.cancelDial != nil {
		r.cancelDial()
	}
}

// drainDelayEnded handles the end of the drain delay of a connection that was reserved for the request. It calls retry if the connection
// is not usable.
func (r *request) drainDelayEnded(c *Conn, usable bool, retry func()) {
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
	if r.cancelled { // the connection is kept for other attempts
		c.Release()
		return
	}
	r.done(c, nil)
}
