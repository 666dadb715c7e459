// Package dispatcher connects the frontends and the connection pools with the core: it hands requests, engine lists and outcomes
// of attempts to the core, and executes the actions that the core returns. It owns the requests' timers and attempts, and decides
// nothing itself. All methods are called on the event loop, and no goroutine is started here.
package dispatcher

import (
	"log/slog"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Client is a frontend's side of a request: it starts the attempts and gives the reply.
type Client interface {
	// StartAttempt starts an attempt, which calls Dispatcher.AttemptEnded once.
	StartAttempt(start core.StartAttempt) Attempt
	// Reply gives the final reply; result is what the attempt that served it returned.
	Reply(reply core.Reply, result any)
	// ReadPendingInput handles all bytes that the client has sent by now. It is not called from within a call of the client's own.
	ReadPendingInput()
	// PeekInput reports whether bytes of the client wait to be handled, and whether the client has closed its connection,
	// which may be known only from the socket.
	PeekInput() (pending, closed bool)
}

// Attempt is an attempt in flight.
type Attempt interface {
	// Cancel cancels the attempt. It ends with outcome as soon as it is no longer in flight.
	Cancel(outcome policy.Outcome)
}

// Dispatcher drives the core on the event loop.
type Dispatcher struct {
	Loop  *eventloop.Loop
	Core  *core.Core
	Pool  *enginepool.Pool   // connections to the platform's engines
	Pools []*enginepool.Pool // all pools of connections to engines
	Log   *slog.Logger

	requests map[core.ID]*request
	onIdle   func() // called once when no request is open and no attempt in flight
}

// request is a request that has no reply yet, or still has an attempt in flight.
type request struct {
	client        Client
	attempt       Attempt          // nil while none is in flight
	attemptNumber int              // of the latest attempt
	timeout       *eventloop.Timer // of the latest attempt
	replied       bool             // or cancelled by the client
}

// New returns a Dispatcher that uses a single pool.
func New(loop *eventloop.Loop, c *core.Core, pool *enginepool.Pool, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		Loop:     loop,
		Core:     c,
		Pool:     pool,
		Pools:    []*enginepool.Pool{pool},
		Log:      log,
		requests: map[core.ID]*request{},
	}
}

// The margin that is kept between the core's deadline and the client's.
const (
	minDeadlineMargin      = 60 * time.Millisecond
	maxDeadlineMarginShare = 0.25 // of the client's remaining time
)

// usableBudget returns the part of a client's remaining time that the core may use. The loop's lag counts twice: a request may
// have waited that long to be read, and its reply may wait as long to be written. A reply that is late for this reason is a lost
// request, however early the core decided on it.
func usableBudget(remaining, lag time.Duration) time.Duration {
	margin := minDeadlineMargin + 2*lag
	maxMargin := time.Duration(maxDeadlineMarginShare * float64(remaining))
	return remaining - min(margin, maxMargin)
}

// Submit submits a request to the core. numbered is called with its ID before anything else happens to it.
func (d *Dispatcher) Submit(query core.Query, client Client, numbered func(core.ID)) {
	query.Remaining = usableBudget(query.Remaining, d.Loop.Lag())
	id, actions := d.Core.Submit(d.Loop.Now(), query)
	d.requests[id] = &request{client: client}
	numbered(id)
	d.execute(actions, nil)
}

// Cancel cancels a request: its client does not wait for a reply any more.
func (d *Dispatcher) Cancel(id core.ID) {
	if r := d.requests[id]; r != nil {
		r.replied = true
		d.execute(d.Core.Cancel(d.Loop.Now(), id), nil)
		d.removeIfDone(id, r)
	}
}

// UpdateEngines applies an engine list, the full one or only its changes, and returns how many engines are listed now.
func (d *Dispatcher) UpdateEngines(full bool, engines []core.ListedEngine) (listed int) {
	removed, actions := d.Core.UpdateEngines(d.Loop.Now(), full, engines)
	for _, e := range removed {
		d.disconnect(e.ID)
	}
	d.execute(actions, nil)
	return d.Core.EngineCount()
}

// disconnect ends the use of all present connections to an engine.
func (d *Dispatcher) disconnect(engine policy.EngineID) {
	for _, p := range d.Pools {
		p.Invalidate(engine)
	}
}

// MaySend is called before the first byte of an attempt, or before it is sent again, and returns how long the attempt may take
// and whether it may be sent at all. Nothing is sent for a client that has closed its connection or may have cancelled the
// request: that may be unread behind other bytes, or queued for the loop.
func (d *Dispatcher) MaySend(id core.ID, attempt int, again bool) (time.Duration, bool) {
	r := d.requests[id]
	if r == nil {
		return 0, false
	}
	pending, closed := r.client.PeekInput()
	if closed || pending && again {
		return 0, false
	}
	return d.Core.MaySend(d.Loop.Now(), id, attempt, again)
}

// ReadPendingInput handles all bytes that a request's client has sent by now: they may cancel the request.
func (d *Dispatcher) ReadPendingInput(id core.ID) {
	if r := d.requests[id]; r != nil {
		r.client.ReadPendingInput()
	}
}

// ResponseStarted reports the first part of an attempt's response to the core, and returns whether it goes to the client.
func (d *Dispatcher) ResponseStarted(id core.ID, attempt int) bool {
	wanted, actions := d.Core.ResponseStarted(d.Loop.Now(), id, attempt)
	if r := d.requests[id]; r != nil && len(actions) > 0 {
		r.timeout.Stop()
	}
	d.execute(actions, nil)
	return wanted
}

// Progress reports the share done of a running query, between 0 and 1.
func (d *Dispatcher) Progress(id core.ID, attempt int, done float64) {
	d.execute(d.Core.Progress(d.Loop.Now(), id, attempt, done), nil)
}

// ResponseOverdue reports that an engine withholds the response of an attempt.
func (d *Dispatcher) ResponseOverdue(id core.ID, attempt int) {
	d.execute(d.Core.ResponseOverdue(d.Loop.Now(), id, attempt), nil)
}

// AttemptEnded reports the end of an attempt. It is called once for each attempt.
func (d *Dispatcher) AttemptEnded(id core.ID, attempt int, outcome policy.Outcome, report []core.ReportField, result any) {
	r := d.requests[id]
	if r != nil && r.attemptNumber == attempt {
		r.timeout.Stop()
		r.attempt = nil
	}
	if outcome != policy.OK && r != nil && !r.replied {
		if _, closed := r.client.PeekInput(); closed {
			d.Cancel(id) // otherwise the core would retry for a client that has gone
		}
	}
	d.execute(d.Core.AttemptEnded(d.Loop.Now(), id, attempt, outcome, report), result)
	if r != nil {
		d.removeIfDone(id, r)
	}
}

// InServiceChanged reports how many gateways are in service.
func (d *Dispatcher) InServiceChanged(gateways int) {
	d.execute(d.Core.SetGatewaysInService(d.Loop.Now(), gateways), nil)
}

// ReceiveLoadReports applies the load reports of another gateway.
func (d *Dispatcher) ReceiveLoadReports(body []byte) {
	d.execute(d.Core.ReceiveLoadReports(d.Loop.Now(), body), nil)
}

// Close makes the core reply to all open requests at once.
func (d *Dispatcher) Close() { d.execute(d.Core.Shutdown(d.Loop.Now()), nil) }

// OnIdle sets a function that is called once, as soon as no request is open and no attempt in flight.
func (d *Dispatcher) OnIdle(f func()) {
	d.onIdle = f
	d.checkIdle()
}

// checkIdle has the function of OnIdle called if the dispatcher is idle. That is done behind what the loop is doing now: a client may
// be in the middle of a read, with further requests in it.
func (d *Dispatcher) checkIdle() {
	if d.onIdle != nil && d.isIdle() {
		d.Loop.After(0, d.callIfIdle)
	}
}

// callIfIdle calls the function of OnIdle if the dispatcher is still idle.
func (d *Dispatcher) callIfIdle() {
	if f := d.onIdle; f != nil && d.isIdle() {
		d.onIdle = nil
		f()
	}
}

// isIdle reports whether no request is open and no attempt in flight.
func (d *Dispatcher) isIdle() bool {
	return d.Core.PendingRequests() == 0 && d.Core.AttemptsInFlight() == 0
}

// execute executes actions of the core; result is what the attempt that caused them returned.
func (d *Dispatcher) execute(actions []core.Action, result any) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.StartAttempt:
			d.startAttempt(a)
		case core.CancelAttempt:
			if r := d.requests[a.ID]; r != nil && r.attempt != nil && r.attemptNumber == a.Attempt {
				r.attempt.Cancel(policy.Cancelled)
			}
		case core.Reply:
			if r := d.requests[a.ID]; r != nil {
				r.replied = true
				r.client.Reply(a, result)
				d.removeIfDone(a.ID, r)
			}
		case core.Disconnect:
			d.disconnect(a.Engine)
		case core.StartTimer:
			d.Loop.After(a.After, func() { d.execute(d.Core.TimerFired(d.Loop.Now(), a.Token), nil) })
		}
	}
	d.checkIdle()
}

func (d *Dispatcher) startAttempt(start core.StartAttempt) {
	r := d.requests[start.ID]
	r.attemptNumber = start.Attempt
	r.attempt = r.client.StartAttempt(start)
	r.timeout = d.Loop.After(start.Timeout, func() {
		if r.attempt != nil {
			r.attempt.Cancel(policy.Timeout)
		}
	})
}

// removeIfDone removes a request that has its reply and no attempt in flight.
func (d *Dispatcher) removeIfDone(id core.ID, r *request) {
	if r.replied && r.attempt == nil {
		r.timeout.Stop()
		delete(d.requests, id)
	}
}
