package enginepool

import (
	"time"

	"frostpier/internal/transport/eventloop"
)

// Conn is a connection to an engine. It is used by one attempt at a time, or idle in the pool.
type Conn struct {
	*eventloop.Conn // nil while the dial is in progress

	// ProtocolState is the protocol state of the connection. It is kept for the next attempt that uses the connection.
	ProtocolState any

	pool            *Pool
	key             endpointKey
	stale           bool              // the engine was removed or its address changed: not to be reused
	handler         eventloop.Handler // handler of the attempt that uses the connection; nil if no attempt uses it
	releasedAt      time.Duration     // time of the last Release, on the loop's clock
	onDrainDelayEnd func()            // called at the end of a reserved connection's drain delay; nil if it is not reserved
	timer           *eventloop.Timer  // idle timeout or drain delay
}

// Data passes received bytes to the attempt. A connection that receives bytes while no attempt uses it is closed, even if it is reserved
// for one.
func (c *Conn) Data(b []byte) {
	if c.handler != nil {
		c.handler.Data(b)
		return
	}
	c.pool.removeIdle(c)
	c.Discard()
	c.endDrainDelay()
}

// Closed reports the loss of the connection to the attempt.
func (c *Conn) Closed(err error) {
	if c.handler == nil {
		c.pool.removeIdle(c)
	}
	c.pool.release(c)
	c.pool.admitWaiters()
	if c.handler != nil {
		c.handler.Closed(err)
		return
	}
	c.endDrainDelay()
}

// Discard closes the connection and frees its descriptor for waiting requests.
func (c *Conn) Discard() {
	c.discardWithoutAdmitting()
	c.pool.admitWaiters()
}

// discardWithoutAdmitting closes the connection like Discard, but does not call Pool.admitWaiters: the caller does.
func (c *Conn) discardWithoutAdmitting() {
	c.timer.Stop()
	if c.IsOpen() {
		c.pool.release(c)
		c.Close()
	}
}

// Release returns the connection to the pool after an attempt. It is handed to a waiting request or becomes idle, or is closed if it is
// stale.
func (c *Conn) Release() {
	if !c.IsOpen() {
		return
	}
	if c.stale {
		c.Discard()
		return
	}
	c.Resume()
	c.handler = nil
	c.releasedAt = c.pool.loop.Now()
	if c.pool.handToWaiter(c) {
		return
	}
	c.timer = c.pool.loop.After(c.pool.idleTimeout, func() {
		c.pool.removeIdle(c)
		c.Discard()
	})
	c.pool.idle[c.key] = append(c.pool.idle[c.key], c)
	c.pool.admitWaiters()
}

// awaitDrainDelay reserves a released connection until its drain delay has elapsed, and then calls done. If bytes or EOF were received
// on the connection meanwhile, it is closed and not usable.
func (c *Conn) awaitDrainDelay(done func(usable bool)) {
	c.onDrainDelayEnd = func() {
		c.onDrainDelayEnd = nil
		c.timer.Stop()
		usable := c.isReusable()
		if !usable {
			c.discardWithoutAdmitting()
		}
		done(usable)
	}
	remaining := c.releasedAt + c.pool.drainDelay - c.pool.loop.Now()
	c.timer = c.pool.loop.After(max(0, remaining), c.endDrainDelay)
}

// endDrainDelay ends the drain delay of a reserved connection. It does nothing if the connection is not reserved.
func (c *Conn) endDrainDelay() {
	if c.onDrainDelayEnd != nil {
		c.onDrainDelayEnd()
	}
}

// isReusable reports whether the connection is open and has neither unread bytes nor EOF.
func (c *Conn) isReusable() bool {
	pending, eof := c.Peek()
	return !pending && !eof && c.IsOpen()
}
