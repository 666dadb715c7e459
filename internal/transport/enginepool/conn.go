package enginepool

import (
	"time"

	"frostpier/internal/transport/eventloop"
)

// Conn is a connection to an engine: used by one attempt at a time, or idle in the pool.
type Conn struct {
	*eventloop.Conn // nil while the dial is in progress

	// ProtocolState is kept for the state machines of attempts from one use of the connection to the next.
	ProtocolState any

	pool       *Pool
	key        endpointKey
	stale      bool              // the engine was removed or has moved: not reused
	handler    eventloop.Handler // of the attempt that uses it; nil while there is none
	releasedAt time.Duration     // on the loop's clock
	settled    func()            // ends the drain delay of a connection that is reserved; nil if it is not
	timer      *eventloop.Timer  // idle timeout or drain delay
}

// Data passes received bytes to the attempt. A connection that receives bytes while no attempt uses it is closed, also if it is
// reserved for one.
func (c *Conn) Data(b []byte) {
	if c.handler != nil {
		c.handler.Data(b)
		return
	}
	c.pool.removeIdle(c)
	c.Discard()
	c.endDrainDelay()
}

// Closed passes the end of the connection to the attempt.
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

// Discard closes the connection.
func (c *Conn) Discard() {
	c.dropWithoutAdmitting()
	c.pool.admitWaiters()
}

// dropWithoutAdmitting closes the connection and leaves it to the caller to admit waiters.
func (c *Conn) dropWithoutAdmitting() {
	c.timer.Stop()
	if c.IsOpen() {
		c.pool.release(c)
		c.Close()
	}
}

// Release ends the use of the connection by an attempt. It is handed to a waiter or becomes idle; a stale one is closed.
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

// settle reserves a released connection until its drain delay is over, and then calls done. If something came on the
// connection, or its end, it is closed and not usable.
func (c *Conn) settle(done func(usable bool)) {
	c.settled = func() {
		c.settled = nil
		c.timer.Stop()
		usable := c.clean()
		if !usable {
			c.dropWithoutAdmitting()
		}
		done(usable)
	}
	remaining := c.releasedAt + c.pool.drainDelay - c.pool.loop.Now()
	c.timer = c.pool.loop.After(max(0, remaining), c.endDrainDelay)
}

// endDrainDelay ends the drain delay of a reserved connection. It does nothing if the connection is not reserved.
func (c *Conn) endDrainDelay() {
	if c.settled != nil {
		c.settled()
	}
}

// clean reports whether the connection is open and nothing waits to be read from it, not even its end.
func (c *Conn) clean() bool {
	pending, eof := c.Peek()
	return !pending && !eof && c.IsOpen()
}
