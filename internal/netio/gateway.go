package netio

import (
	"log/slog"
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

// Caller is a front's side of a request: how its attempts are made and its answer is given.
type Caller interface {
	// Attempt starts an attempt, which calls Gateway.Ended once.
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
	// GiveUp calls it off; it ends with outcome once it is not out any more.
	GiveUp(outcome policy.Outcome)
}

// Gateway drives the core on the loop.
type Gateway struct {
	Loop  *Loop
	Core  *core.Core
	Pool  *Pool   // of the platform's engines
	Pools []*Pool // all that hold connections to engines
	Log   *slog.Logger
	calls map[core.ID]*call
	idle  func() // runs when nothing is open or out
}

type call struct {
	caller  Caller
	attempt Attempt
	timer   *Timer // the attempt's time-out
	number  int
	replied bool
}

// NewGateway makes a Gateway.
func NewGateway(loop *Loop, c *core.Core, pool *Pool, log *slog.Logger) *Gateway {
	return &Gateway{Loop: loop, Core: c, Pool: pool, Pools: []*Pool{pool}, Log: log, calls: map[core.ID]*call{}}
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

// Take hands a request to the core.
func (g *Gateway) Take(ask core.Ask, caller Caller, numbered func(core.ID)) {
	ask.Remaining = withinReach(ask.Remaining, g.Loop.Lag())
	id, actions := g.Core.Take(g.Loop.Now(), ask)
	g.calls[id] = &call{caller: caller}
	numbered(id)
	g.carryOut(actions, nil)
}

// Leave says that a request's client wants no answer any more.
func (g *Gateway) Leave(id core.ID) {
	if c := g.calls[id]; c != nil {
		c.replied = true
		g.carryOut(g.Core.Leave(g.Loop.Now(), id), nil)
		g.forget(id, c)
	}
}

// UpdateEngines hands a list of engines to the core, and returns how many engines are listed now.
func (g *Gateway) UpdateEngines(whole bool, lines []core.ListedEngine) (engines int) {
	gone, actions := g.Core.UpdateEngines(g.Loop.Now(), whole, lines)
	for _, e := range gone {
		g.forgetEngine(e.ID)
	}
	g.carryOut(actions, nil)
	return g.Core.ListedEngines()
}

// forgetEngine ends the use of the connections to an engine.
func (g *Gateway) forgetEngine(engine policy.EngineID) {
	for _, p := range g.Pools {
		p.Forget(engine)
	}
}

// MaySend asks leave for an attempt's first byte, or for its first byte again. For a client that has gone meanwhile
// nothing is sent: its close may stand unread behind other bytes, or wait for this loop.
func (g *Gateway) MaySend(id core.ID, n int, again bool) (time.Duration, bool) {
	c := g.calls[id]
	if c == nil {
		return 0, false
	}
	if some, gone := c.caller.Unread(); gone || some && again { // what waits may call the request off
		return 0, false
	}
	return g.Core.MaySend(g.Loop.Now(), id, n, again)
}

// Listen takes in what a request's client has sent by now: it may have called the request off.
func (g *Gateway) Listen(id core.ID) {
	if c := g.calls[id]; c != nil {
		c.caller.ReadPending()
	}
}

// Began says that a part of an attempt's answer is there, and reports whether it is to go out.
func (g *Gateway) Began(id core.ID, n int) bool {
	wanted, actions := g.Core.Began(g.Loop.Now(), id, n)
	if c := g.calls[id]; c != nil && len(actions) > 0 {
		c.timer.Stop()
	}
	g.carryOut(actions, nil)
	return wanted
}

// Progress passes on a note.
func (g *Gateway) Progress(id core.ID, n int, done float64) {
	g.carryOut(g.Core.Progress(g.Loop.Now(), id, n, done), nil)
}

// Overdue passes on that an engine withholds an answer.
func (g *Gateway) Overdue(id core.ID, n int) {
	g.carryOut(g.Core.Overdue(g.Loop.Now(), id, n), nil)
}

// Ended reports the one end of an attempt.
func (g *Gateway) Ended(id core.ID, n int, outcome policy.Outcome, report []core.Field, result any) {
	c := g.calls[id]
	if c != nil && c.number == n {
		c.timer.Stop()
		c.attempt = nil
	}
	if outcome != policy.OK && c != nil && !c.replied {
		if _, gone := c.caller.Unread(); gone {
			g.Leave(id) // else the module would try again for nobody
		}
	}
	g.carryOut(g.Core.Ended(g.Loop.Now(), id, n, outcome, report), result)
	if c != nil {
		g.forget(id, c)
	}
}

// InService passes on how many gateways are held to be in service.
func (g *Gateway) InService(gateways int) {
	g.carryOut(g.Core.InService(g.Loop.Now(), gateways), nil)
}

// ReceiveLoadReports applies the load reports of another gateway.
func (g *Gateway) ReceiveLoadReports(body []byte) {
	g.carryOut(g.Core.ReceiveLoadReports(g.Loop.Now(), body), nil)
}

// Close has all that is open answered.
func (g *Gateway) Close() { g.carryOut(g.Core.Close(g.Loop.Now()), nil) }

// WhenIdle sets what runs as soon as nothing is open or out.
func (g *Gateway) WhenIdle(f func()) {
	g.idle = f
	g.checkIdle()
}

func (g *Gateway) checkIdle() {
	if g.idle != nil && g.Core.Open() == 0 && g.Core.Out() == 0 {
		f := g.idle
		g.idle = nil
		f()
	}
}

func (g *Gateway) carryOut(actions []core.Action, result any) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.Start:
			g.start(a)
		case core.Stop:
			if c := g.calls[a.ID]; c != nil && c.attempt != nil && c.number == a.Attempt {
				c.attempt.GiveUp(policy.Cancelled)
			}
		case core.Reply:
			if c := g.calls[a.ID]; c != nil {
				c.replied = true
				c.caller.Answer(a, result)
				g.forget(a.ID, c)
			}
		case core.Disconnect:
			g.forgetEngine(a.Engine)
		case core.Timer:
			g.Loop.After(a.After, func() { g.carryOut(g.Core.Due(g.Loop.Now(), a.Token), nil) })
		}
	}
	g.checkIdle()
}

func (g *Gateway) start(a core.Start) {
	c := g.calls[a.ID]
	c.number = a.Attempt
	c.attempt = c.caller.Attempt(a)
	c.timer = g.Loop.After(a.Timeout, func() {
		if c.attempt != nil {
			c.attempt.GiveUp(policy.Timeout)
		}
	})
}

// forget drops what is answered and has nothing out.
func (g *Gateway) forget(id core.ID, c *call) {
	if c.replied && c.attempt == nil {
		c.timer.Stop()
		delete(g.calls, id)
	}
}
