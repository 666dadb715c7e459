// Package policy makes the decisions of an admission controller (a gateway) for queries on a pool of engines.
//
// # What it owns
//
// The module decides which requests are admitted, in which order they are dispatched, which engine each attempt goes
// to, with how much memory and at which priority, when an attempt is cancelled or retried, which engines are ejected,
// and when a request is rejected. It keeps the state that these decisions need: open requests, attempts in flight, the
// engine list, affinity sets, and running estimates of durations and memory.
//
// # What it never does
//
// It performs no input or output, reads no clock, starts no goroutine and holds no lock. Time enters only as the
// argument of Handle, randomness only from the seed given to New: the same seed and the same events give the same
// actions.
//
// # Who calls it
//
// A host (the gateway program's core or the simulator's adapter) creates one Gateway with New, passes every Event to
// Handle together with the reading of a monotonic clock, and executes the returned actions in order. A Gateway is not
// safe for concurrent use: all calls on it come from one goroutine, or are otherwise serialized by the host. Gateways
// share no state, so different ones may run in parallel.
//
// # Names used throughout
//
// In the code r is a request, a an attempt, e an engine, c a class of queries, and gr a table group. "Own" refers to
// this gateway, "peer" to the other gateways of the fleet.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reviewTimerToken marks the only timer that the module sets.
	reviewTimerToken = 1 << 63

	// reviewTicks is the number of ticks between two reviews of the open requests.
	reviewTicks = 4
)

// Gateway makes the decisions of one gateway. Create it with New. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	random   *rand.Rand

	now             time.Duration // time of the current event
	actions         []Action      // collected while the current event is handled
	hasStarted      bool          // the first event has arrived
	startedAt       time.Duration // when it arrived
	reviewScheduled bool          // a review timer is pending

	// Requests and classes.
	classes      []*class
	requests     map[RequestID]*request
	openRequests []*request // without a final answer, in order of arrival
	queue        []*request // waiting for dispatch, in queue order
	keyQueues    map[uint64]*keyQueue

	// Engines and table groups.
	engines           []*engine // sorted by ID
	readyEngines      []*engine // the engines whose listed health is Ready
	engineByID        map[EngineID]*engine
	readyCores        float64 // cores of the ready engines
	usedCores         float64 // cores of the engines to which this gateway has sent
	groups            map[int]*group
	homeByGroup       map[int]*engine // nil when it must be recomputed
	usesSubset        bool            // the engine list is a subset of the fleet
	gatewaysInService float64

	// Load.
	ownThreads      float64     // threads of this gateway's attempts in flight, over all engines
	recentThreads   decayingSum // threads sent recently, over all groups
	threadsPerQuery float64     // mean threads of a running query
	grantPerThread  float64     // MB, mean memory grant per thread of a running query
	loadReported    bool        // at least one load report has arrived
	meanPeerLoad    float64     // peer threads per core, mean over the fleet's latest reports
	meanPeerLoadAt  time.Duration
	unseenPeerShare float64 // 0 for a single gateway, towards 1 for one of many: how much it does not see itself

	// Concurrency window.
	windowPerCore  float64 // threads that may be in flight for each available core
	availableCores float64 // cores of engines in use, reduced by slow start

	// Retry budget.
	acceptedRequests slidingSum
	retries          slidingSum
}

// New creates a Gateway. It returns a *SettingError if a setting is out of bounds. All randomness comes from seed.
func New(settings Settings, seed uint64) (*Gateway, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:          settings,
		random:            rand.New(rand.NewPCG(seed, 0)),
		requests:          map[RequestID]*request{},
		keyQueues:         map[uint64]*keyQueue{},
		engineByID:        map[EngineID]*engine{},
		groups:            map[int]*group{},
		gatewaysInService: float64(settings.Gateways),
		threadsPerQuery:   1,
		unseenPeerShare:   1 - 1/math.Sqrt(float64(settings.Gateways)),
	}
	for _, c := range settings.Classes {
		g.classes = append(g.classes, newClass(c))
	}
	g.threadsPerQuery = g.estimateThreadsPerQuery()
	return g, nil
}

// Handle processes one event and returns the actions that the host must execute, in order. now is the host's monotonic
// clock; it must not run backwards. Events for unknown requests or engines are ignored.
func (g *Gateway) Handle(now time.Duration, event Event) []Action {
	g.now, g.actions = now, nil
	g.start()
	g.handleEvent(event)
	g.scheduleReview()
	return g.actions
}

// ReserveResend reports whether an attempt may be sent once more to the same engine. The host asks when the connection
// broke before a response and the engine does not know the query, so that it probably never read it. If the answer is
// yes, the resend is counted against the retry budget.
func (g *Gateway) ReserveResend(now time.Duration, id RequestID, attempt int) bool {
	g.now = max(now, g.now)
	a := g.findAttempt(id, attempt)
	return a != nil && g.allowResend(a)
}

// AttemptAllowed reports whether an attempt may still be sent. The host asks just before the first byte leaves,
// because a dial or a wait for a connection may have outlasted the deduplication window of the class.
func (g *Gateway) AttemptAllowed(now time.Duration, id RequestID, attempt int) bool {
	g.now = max(now, g.now)
	a := g.findAttempt(id, attempt)
	if a == nil {
		return false
	}
	r := a.request
	return r.firstPossibleRun == a || g.safeToRepeat(r) && g.withinDedupWindow(r)
}

// start runs once, on the first event.
func (g *Gateway) start() {
	if g.hasStarted {
		return
	}
	g.hasStarted, g.startedAt = true, g.now
	if g.settings.PollEngineList {
		g.emit(Subscribe{})
	}
}

// handleEvent calls the handler of the event's type.
func (g *Gateway) handleEvent(event Event) {
	switch e := event.(type) {
	case EngineList:
		g.handleEngineList(e)
	case Arrival:
		g.handleArrival(e)
	case ClientGone:
		g.handleClientGone(e)
	case ResponseStarted:
		g.handleResponseStarted(e)
	case AttemptEnded:
		g.handleAttemptEnded(e)
	case ResponseOverdue:
		g.handleResponseOverdue(e)
	case ProbeEnded:
		g.handleProbeEnded(e)
	case GatewaysInService:
		g.handleInService(e)
	case PeerReports:
		g.handlePeerReports(e)
	case ShuttingDown:
		g.handleShuttingDown()
	case TimerFired:
		if e.Token == reviewTimerToken {
			g.review()
		}
	}
}

// scheduleReview sets the review timer if none is pending and there is something to review.
func (g *Gateway) scheduleReview() {
	if g.reviewScheduled || len(g.openRequests) == 0 {
		return
	}
	g.reviewScheduled = true
	g.emit(SetTimer{After: reviewTicks * g.settings.Tick, Token: reviewTimerToken})
}

// maxReviewDelay is the longest time until the open requests are reviewed again.
func (g *Gateway) maxReviewDelay() time.Duration { return (reviewTicks + 1) * g.settings.Tick }

// review checks engine health, finishes requests that are out of time, cancels attempts that run too long, and
// dispatches the queue.
func (g *Gateway) review() {
	g.reviewScheduled = false
	for _, e := range g.engines {
		g.checkHealth(e)
	}
	g.updateAvailableCores()
	slices.SortStableFunc(g.queue, g.compareQueueOrder)
	queuedWork := sumOf(g.queue, g.expectedWork)
	for _, r := range slices.Clone(g.openRequests) {
		if r.streaming || r.done {
			continue
		}
		if r.deadline-g.now <= g.maxReviewDelay() || g.shouldShed(r, queuedWork) {
			g.finishUnserved(r)
		} else {
			g.reviewAttempts(r)
		}
	}
	g.dispatch()
}

// handleInService applies the number of gateways in service. It changes shares of concurrency, memory and the window,
// but neither the warm-up budget nor the retry budget, because the gateways' views of this number may differ.
func (g *Gateway) handleInService(event GatewaysInService) {
	g.gatewaysInService = float64(min(max(1, event.Count), g.settings.Gateways))
	if event.Subset != g.usesSubset {
		g.usesSubset, g.homeByGroup = event.Subset, nil
	}
}

// handleShuttingDown finishes all open requests except those whose response is already streaming to the client.
func (g *Gateway) handleShuttingDown() {
	for _, r := range slices.Clone(g.openRequests) {
		if !r.streaming {
			g.finishUnserved(r)
		}
	}
}

// emit appends an action to those that the current Handle call returns.
func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }
