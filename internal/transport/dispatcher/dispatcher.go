// Package dispatcher connects the frontends and the connection pools with the core: it passes requests, engine lists and outcomes of
// attempts to the core, and executes the actions that the core returns. It owns the requests' timers and attempts, and leaves all
// decisions to the core. All methods are called on the event loop, and the package starts no goroutines.
package dispatcher

import (
	"log/slog"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Client is a frontend's side of a request: it starts the attempts and writes the reply.
type Client interface {
	// StartAttempt starts an attempt, which calls Dispatcher.AttemptEnded once.
	StartAttempt(start core.StartAttempt) Attempt
	// Reply writes the final reply; result is the result of the attempt that served the request.
	Reply(reply core.Reply, result any)
	// ReadPendingInput reads and handles all bytes that the client has sent so far. It is never called while the client calls the
	// Dispatcher.
	ReadPendingInput()
	// PeekInput reports whether bytes from the client are pending, and whether the client has closed its connection. It also checks the
	// socket for data that has not been read yet.
	PeekInput() (pending, closed bool)
}

// Attempt is an attempt in flight.
type Attempt interface {
	// Cancel cancels the attempt. The attempt ends with outcome as soon as it is no longer in flight.
	Cancel(outcome policy.Outcome)
	// ReadPending reads and handles all bytes that the engine has sent so far. They may end the attempt.
	ReadPending()
}

// Dispatcher drives the core on the event loop.
type Dispatcher struct {
	Loop  *eventloop.Loop
	Core  *core.Core
	Pool  *enginepool.Pool   // connections to the platform's engines
	Pools []*enginepool.Pool // all pools of connections to engines
	Log   *slog.Logger

	requests map[core.RequestID]*request
	onIdle   func() // called once when no request is open and no attempt is in flight
}

// request is a request that has not been replied to or still has an attempt in flight.
type request struct {
	client        Client
	attempt       Attempt          // nil if none is in flight
	attemptNumber int              // number of the latest attempt
	timeout       *eventloop.Timer // fires when the latest attempt times out
	deadline      *eventloop.Timer // fires at the core's deadline for the request
	replied       bool             // true also after the client has cancelled the request
}

// New returns a Dispatcher with a single pool.
func New(loop *eventloop.Loop, c *core.Core, pool *enginepool.Pool, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		Loop:     loop,
		Core:     c,
		Pool:     pool,
		Pools:    []*enginepool.Pool{pool},
		Log:      log,
		requests: map[core.RequestID]*request{},
	}
}

// Bounds of the margin between the core's deadline for a request and the client's.
const (
	minDeadlineMargin      = 60 * time.Millisecond
	maxDeadlineMarginShare = 0.25 // largest margin, as a share of the client's remaining time
)

// coreTimeBudget returns the part of a client's remaining time that the core may use. The loop's lag is subtracted twice: the request may
// have waited that long to be read, and the reply may wait that long to be written. A reply after the client's deadline is lost, however
// early the core decided on it.
func coreTimeBudget(remaining, lag time.Duration) time.Duration {
	margin := minDeadlineMargin + 2*lag
	maxMargin := time.Duration(maxDeadlineMarginShare * float64(remaining))
	return remaining - min(margin, maxMargin)
}

// Submit submits a request to the core. A client counts its time from when it sent the request, so the time in which the request may have
// waited to be read is subtracted. onID is called with the request's ID before any of the core's actions is executed.
func (d *Dispatcher) Submit(query core.Query, client Client, onID func(core.RequestID)) {
	query.Remaining = coreTimeBudget(query.Remaining-d.Loop.ReadDelay(), d.Loop.Lag())
	id, actions := d.Core.Submit(d.Loop.Now(), query)
	deadline := d.Loop.AfterWithPriority(query.Remaining, func() { d.deadlinePassed(id) })
	d.requests[id] = &request{client: client, deadline: deadline}
	onID(id)
	d.execute(actions, nil)
}

// deadlinePassed is called at the core's deadline for a request that has no reply. A response that has arrived is handled first, since it
// may be in time for the client.
func (d *Dispatcher) deadlinePassed(id core.RequestID) {
	if r := d.requests[id]; r != nil && r.attempt != nil {
		r.attempt.ReadPending()
	}
	d.execute(d.Core.DeadlinePassed(d.Loop.Now(), id), nil)
}

// Cancel cancels a request whose client no longer waits for a reply.
func (d *Dispatcher) Cancel(id core.RequestID) {
	if r := d.requests[id]; r != nil {
		r.setReplied()
		d.execute(d.Core.Cancel(d.Loop.Now(), id), nil)
		d.removeIfDone(id, r)
	}
}

// UpdateEngines applies an engine list, either the full list or only its changes, and returns the number of engines listed now.
func (d *Dispatcher) UpdateEngines(full bool, engines []core.ListedEngine) (listed int) {
	removed, actions := d.Core.UpdateEngines(d.Loop.Now(), full, engines)
	for _, e := range removed {
		d.disconnect(e.ID)
	}
	d.execute(actions, nil)
	return d.Core.EngineCount()
}

// disconnect invalidates all existing connections to an engine.
func (d *Dispatcher) disconnect(engine policy.EngineID) {
	for _, p := range d.Pools {
		p.Invalidate(engine)
	}
}

// MaySend is called before the first byte of an attempt is sent, or with resend set before the attempt is sent again. It returns how long
// the attempt may take and whether it may be sent at all. Nothing is sent if the client has closed its connection, and nothing is resent
// while input from the client is pending, since it may contain a cancellation. Both are checked with PeekInput, since the data may still
// be in the socket or queued for the loop.
func (d *Dispatcher) MaySend(id core.RequestID, attempt int, resend bool) (time.Duration, bool) {
	r := d.requests[id]
	if r == nil {
		return 0, false
	}
	pending, closed := r.client.PeekInput()
	if closed || pending && resend {
		return 0, false
	}
	return d.Core.MaySend(d.Loop.Now(), id, attempt, resend)
}

// ReadPendingInput reads and handles all bytes that a request's client has sent so far. They may cancel the request.
func (d *Dispatcher) ReadPendingInput(id core.RequestID) {
	if r := d.requests[id]; r != nil {
		r.client.ReadPendingInput()
	}
}

// ResponseStarted reports to the core that an attempt's response has started, and returns whether the response is relayed to the client.
func (d *Dispatcher) ResponseStarted(id core.RequestID, attempt int) bool {
	relayed, actions := d.Core.ResponseStarted(d.Loop.Now(), id, attempt)
	if r := d.requests[id]; r != nil && len(actions) > 0 {
		r.timeout.Stop()
	}
	d.execute(actions, nil)
	return relayed
}

// Progress reports the completed share of a running query, from 0 to 1.
func (d *Dispatcher) Progress(id core.RequestID, attempt int, done float64) {
	d.execute(d.Core.Progress(d.Loop.Now(), id, attempt, done), nil)
}

// ResponseOverdue reports that an engine withholds the response of an attempt.
func (d *Dispatcher) ResponseOverdue(id core.RequestID, attempt int) {
	d.execute(d.Core.ResponseOverdue(d.Loop.Now(), id, attempt), nil)
}

// AttemptEnded reports the end of an attempt. It is called exactly once for each attempt.
func (d *Dispatcher) AttemptEnded(id core.RequestID, attempt int, outcome policy.Outcome, report []core.ReportField, result any) {
	r := d.requests[id]
	if r != nil && r.attemptNumber == attempt {
		r.timeout.Stop()
		r.attempt = nil
	}
	if outcome != policy.OK && r != nil && !r.replied {
		if _, closed := r.client.PeekInput(); closed {
			d.Cancel(id) // otherwise the core would retry for a client that has disconnected
		}
	}
	d.execute(d.Core.AttemptEnded(d.Loop.Now(), id, attempt, outcome, report), result)
	if r != nil {
		d.removeIfDone(id, r)
	}
}

// InServiceChanged reports the number of gateways in service.
func (d *Dispatcher) InServiceChanged(gateways int) {
	d.execute(d.Core.SetGatewaysInService(d.Loop.Now(), gateways), nil)
}

// ReceiveLoadReports applies the load reports of another gateway.
func (d *Dispatcher) ReceiveLoadReports(body []byte) {
	d.execute(d.Core.ReceiveLoadReports(d.Loop.Now(), body), nil)
}

// Close makes the core reply immediately to all open requests.
func (d *Dispatcher) Close() { d.execute(d.Core.Shutdown(d.Loop.Now()), nil) }

// OnIdle sets a function that is called once, as soon as no request is open and no attempt is in flight.
func (d *Dispatcher) OnIdle(f func()) {
	d.onIdle = f
	d.checkIdle()
}

// checkIdle schedules the call of the OnIdle function if the dispatcher is idle. The function is not called directly, since a client may be
// handling a read that contains further requests.
func (d *Dispatcher) checkIdle() {
	if d.onIdle != nil && d.isIdle() {
		d.Loop.After(0, d.callIfIdle)
	}
}

// callIfIdle calls the OnIdle function if the dispatcher is still idle.
func (d *Dispatcher) callIfIdle() {
	if f := d.onIdle; f != nil && d.isIdle() {
		d.onIdle = nil
		f()
	}
}

// isIdle reports whether no request is open and no attempt is in flight.
func (d *Dispatcher) isIdle() bool {
	return d.Core.PendingRequests() == 0 && d.Core.AttemptsInFlight() == 0
}

// execute executes actions of the core; result is the result of the attempt whose end caused them, if any.
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
				r.setReplied()
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
			r.attempt.ReadPending()
		}
		if r.attempt != nil && r.attemptNumber == start.Attempt {
			r.attempt.Cancel(policy.Timeout)
		}
	})
}

// setReplied records that the request has its reply, or that its client does not wait for one.
func (r *request) setReplied() {
	r.replied = true
	r.deadline.Stop()
}

// removeIfDone removes a request that has been replied to and has no attempt in flight.
func (d *Dispatcher) removeIfDone(id core.RequestID, r *request) {
	if r.replied && r.attempt == nil {
		r.timeout.Stop()
		delete(d.requests, id)
	}
}
