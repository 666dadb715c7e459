// Package dispatcher connects the fronts and the connection pools with the core: it hands requests, engine lists and outcomes of
// attempts to the core, and carries out the actions that the core returns. It owns the requests' timers and attempts, and decides
// nothing itself. All methods are called on the event loop.
package dispatcher

import (
	"log/slog"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Client is a front's side of a request: how its attempts are made and its answer is given.
type Client interface {
	// Attempt starts an attempt, which calls Dispatcher.Ended once.
	Attempt(a core.Start) Attempt
	// Answer gives the final answer; result is what the attempt that served it brought.
	Answer(r core.Reply, result any)
	// ReadPending takes in what the client has sent by now. It is not called from within one of the caller's own calls.
	ReadPending()
	// Unread reports whether something of the client's waits to be taken in, and whether the client has ended its connection,
	// which nobody may have read yet.
	Unread() (some, gone bool)
}

// Attempt is one that is out.
type Attempt interface {
	// Cancel calls it off; it ends with outcome once it is not out any more.
	Cancel(outcome policy.Outcome)
}

// Dispatcher drives the core on the loop.
type Dispatcher struct {
	Loop  *eventloop.Loop
	Core  *core.Core
	Pool  *enginepool.Pool   // of the platform's engines
	Pools []*enginepool.Pool // all that hold connections to engines
	Log   *slog.Logger
	calls map[core.ID]*call
	idle  func() // runs when nothing is open or out
}

type call struct {
	caller  Client
	attempt Attempt
	timer   *eventloop.Timer // the attempt's time-out
	number  int
	replied bool
}

// New makes a Dispatcher.
func New(loop *eventloop.Loop, c *core.Core, pool *enginepool.Pool, log *slog.Logger) *Dispatcher {
	return &Dispatcher{Loop: loop, Core: c, Pool: pool, Pools: []*enginepool.Pool{pool}, Log: log, calls: map[core.ID]*call{}}
}

// Margins of a client's time.
const (
	leastMargin = 60 * time.Millisecond
	mostMargin  = 0.25 // of the time that a client gives
)

// withinReach is what is left of a client's time for the core to use, where this process gets its turn late: by
// that much a request may have waited to be read, and by as much its answer may wait to be written. An answer that
// comes too late for this reason is a request lost, however early the core decided on it.
func withinReach(remaining, lag time.Duration) time.Duration {
	return remaining - min(leastMargin+2*lag, time.Duration(mostMargin*float64(remaining)))
}

// Submit hands a request to the core.
func (d *Dispatcher) Submit(ask core.Query, caller Client, numbered func(core.ID)) {
	ask.Remaining = withinReach(ask.Remaining, d.Loop.Lag())
	id, actions := d.Core.Submit(d.Loop.Now(), ask)
	d.calls[id] = &call{caller: caller}
	numbered(id)
	d.carryOut(actions, nil)
}

// Cancel says that a request's client wants no answer any more.
func (d *Dispatcher) Cancel(id core.ID) {
	if c := d.calls[id]; c != nil {
		c.replied = true
		d.carryOut(d.Core.Cancel(d.Loop.Now(), id), nil)
		d.forget(id, c)
	}
}

// UpdateEngines hands a list of engines to the core, and returns how many engines are listed now.
func (d *Dispatcher) UpdateEngines(whole bool, lines []core.ListedEngine) (engines int) {
	gone, actions := d.Core.UpdateEngines(d.Loop.Now(), whole, lines)
	for _, e := range gone {
		d.forgetEngine(e.ID)
	}
	d.carryOut(actions, nil)
	return d.Core.ListedEngines()
}

// forgetEngine ends the use of the connections to an engine.
func (d *Dispatcher) forgetEngine(engine policy.EngineID) {
	for _, p := range d.Pools {
		p.Forget(engine)
	}
}

// MaySend asks leave for an attempt's first byte, or for its first byte again. For a client that has gone meanwhile
// nothing is sent: its close may stand unread behind other bytes, or wait for this loop.
func (d *Dispatcher) MaySend(id core.ID, n int, again bool) (time.Duration, bool) {
	c := d.calls[id]
	if c == nil {
		return 0, false
	}
	if some, gone := c.caller.Unread(); gone || some && again { // what waits may call the request off
		return 0, false
	}
	return d.Core.MaySend(d.Loop.Now(), id, n, again)
}

// ReadClient takes in what a request's client has sent by now: it may have called the request off.
func (d *Dispatcher) ReadClient(id core.ID) {
	if c := d.calls[id]; c != nil {
		c.caller.ReadPending()
	}
}

// ResponseStarted says that a part of an attempt's answer is there, and reports whether it is to go out.
func (d *Dispatcher) ResponseStarted(id core.ID, n int) bool {
	wanted, actions := d.Core.ResponseStarted(d.Loop.Now(), id, n)
	if c := d.calls[id]; c != nil && len(actions) > 0 {
		c.timer.Stop()
	}
	d.carryOut(actions, nil)
	return wanted
}

// Progress passes on a note.
func (d *Dispatcher) Progress(id core.ID, n int, done float64) {
	d.carryOut(d.Core.Progress(d.Loop.Now(), id, n, done), nil)
}

// ResponseOverdue passes on that an engine withholds an answer.
func (d *Dispatcher) ResponseOverdue(id core.ID, n int) {
	d.carryOut(d.Core.ResponseOverdue(d.Loop.Now(), id, n), nil)
}

// AttemptEnded reports the one end of an attempt.
func (d *Dispatcher) AttemptEnded(id core.ID, n int, outcome policy.Outcome, report []core.Field, result any) {
	c := d.calls[id]
	if c != nil && c.number == n {
		c.timer.Stop()
		c.attempt = nil
	}
	if outcome != policy.OK && c != nil && !c.replied {
		if _, gone := c.caller.Unread(); gone {
			d.Cancel(id) // else the module would try again for nobody
		}
	}
	d.carryOut(d.Core.AttemptEnded(d.Loop.Now(), id, n, outcome, report), result)
	if c != nil {
		d.forget(id, c)
	}
}

// InService passes on how many gateways are held to be in service.
func (d *Dispatcher) InService(gateways int) {
	d.carryOut(d.Core.InService(d.Loop.Now(), gateways), nil)
}

// ReceiveLoadReports applies the load reports of another gateway.
func (d *Dispatcher) ReceiveLoadReports(body []byte) {
	d.carryOut(d.Core.ReceiveLoadReports(d.Loop.Now(), body), nil)
}

// Close has all that is open answered.
func (d *Dispatcher) Close() { d.carryOut(d.Core.Close(d.Loop.Now()), nil) }

// WhenIdle sets what runs as soon as nothing is open or out.
func (d *Dispatcher) WhenIdle(f func()) {
	d.idle = f
	d.checkIdle()
}

func (d *Dispatcher) checkIdle() {
	if d.idle != nil && d.Core.PendingRequests() == 0 && d.Core.AttemptsInFlight() == 0 {
		f := d.idle
		d.idle = nil
		f()
	}
}

func (d *Dispatcher) carryOut(actions []core.Action, result any) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.Start:
			d.start(a)
		case core.Stop:
			if c := d.calls[a.ID]; c != nil && c.attempt != nil && c.number == a.Attempt {
				c.attempt.Cancel(policy.Cancelled)
			}
		case core.Reply:
			if c := d.calls[a.ID]; c != nil {
				c.replied = true
				c.caller.Answer(a, result)
				d.forget(a.ID, c)
			}
		case core.Disconnect:
			d.forgetEngine(a.Engine)
		case core.Timer:
			d.Loop.After(a.After, func() { d.carryOut(d.Core.TimerFired(d.Loop.Now(), a.Token), nil) })
		}
	}
	d.checkIdle()
}

func (d *Dispatcher) start(a core.Start) {
	c := d.calls[a.ID]
	c.number = a.Attempt
	c.attempt = c.caller.Attempt(a)
	c.timer = d.Loop.After(a.Timeout, func() {
		if c.attempt != nil {
			c.attempt.Cancel(policy.Timeout)
		}
	})
}

// forget drops what is answered and has nothing out.
func (d *Dispatcher) forget(id core.ID, c *call) {
	if c.replied && c.attempt == nil {
		c.timer.Stop()
		delete(d.calls, id)
	}
}
