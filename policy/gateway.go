// Package policy implements the decisions of a gateway: admission, scheduling, load balancing and retries of queries on
// a pool of engines.
//
// # Scope
//
// The module decides which requests are admitted and in which order they are dispatched; the engine, memory grant and
// priority of each attempt; when an attempt is cancelled or retried; when a request is rejected; and which engines are
// ejected. It keeps the state that these decisions need: open requests, attempts in flight, the engine list, affinity
// sets, and running estimates of durations and memory use.
//
// # Determinism
//
// The module performs no I/O, reads no clock, starts no goroutine and holds no lock. Time comes only from the arguments
// of its methods, randomness only from the seed passed to New: the same seed and the same events produce the same
// actions.
//
// # Usage
//
// A host (the gateway program's core or the simulator's adapter) creates one Gateway with New, passes every Event to
// Handle together with the time of a monotonic clock, and executes the returned actions in order. A Gateway is not safe
// for concurrent use: the host must serialize all calls on it. Gateways share no state, so different ones may run in
// parallel.
//
// # Conventions
//
// In the code, r is a request, a an attempt, e an engine, c a class of queries, and gr a table group. "Own" refers to
// this gateway, "peer" to another gateway of the fleet.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reviewTimerToken identifies the review timer, the only timer that the module sets.
	reviewTimerToken = 1 << 63

	// reviewTicks is the interval between two reviews of the open requests, in ticks.
	reviewTicks = 4
)

// Gateway makes the decisions for one gateway. Use New to create one. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	random   *rand.Rand

	now             time.Duration // time of the current event
	actions         []Action      // actions of the current Handle call
	hasStarted      bool          // the first event was handled
	startedAt       time.Duration // time of the first event
	reviewScheduled bool          // a review timer is pending

	// Requests and classes.
	classes      []*class
	requests     map[RequestID]*request
	openRequests []*request // requests without a final answer, in order of arrival
	queue        []*request // requests waiting for dispatch, in queue order
	keyQueues    map[uint64]*keyQueue

	nextKeyExpiry time.Duration // earliest time of the next search for ordering keys that are not needed any more

	// Engines and table groups.
	engines           []*engine // sorted by ID
	readyEngines      []*engine // engines listed with the health Ready
	engineByID        map[EngineID]*engine
	readyCores        float64 // sum of the cores of the ready engines
	usedCores         float64 // sum of the cores of the ready engines that this gateway has used
	groups            map[int]*group
	groupsByID        []*group // the same groups, sorted by ID
	homesAssigned     bool     // the groups have their home engines
	usesSubset        bool     // the engine list is a subset of the fleet
	gatewaysInService float64

	// Load.
	ownThreads      float64     // threads of this gateway's attempts in flight
	recentThreads   decayingSum // threads of recent sends, over all groups
	threadsPerQuery float64     // mean number of threads of a running query
	grantPerThread  float64     // mean memory grant per thread of a running query, in MB
	loadReported    bool        // at least one load report was received
	meanPeerLoad    float64     // peer threads per core: mean over the latest reports of the fleet
	meanPeerLoadAt  time.Duration
	loadUncertainty float64 // 0 = knows the fleet's whole load (a single gateway), close to 1 = knows little of it

	// Concurrency window.
	windowPerCore  float64 // threads that may be in flight per available core
	availableCores float64 // sum of the cores of available engines, reduced by slow start

	// Retry budget.
	acceptedRequests slidingSum
	retries          slidingSum
}

// New returns a new Gateway, or a *SettingError if a setting is out of bounds. The seed determines all random choices.
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
		loadUncertainty:   1 - 1/math.Sqrt(float64(settings.Gateways)),
	}
	for i, c := range settings.Classes {
		g.classes = append(g.classes, newClass(i, c))
	}
	g.threadsPerQuery = g.estimateThreadsPerQuery()
	return g, nil
}

// Handle processes an event and returns the actions that the host must execute, in order. now is the time of the host's
// monotonic clock. Events about unknown requests or engines are ignored.
func (g *Gateway) Handle(now time.Duration, event Event) []Action {
	g.now, g.actions = now, nil
	g.start()
	g.handleEvent(event)
	g.scheduleReview()
	return g.actions
}

// ReserveResend reports whether an attempt may be sent again to the same engine. If so, it charges the resend to the
// retry budget. The host calls it when the connection closed before a response and the engine does not know the query,
// which means that the engine probably never read it.
func (g *Gateway) ReserveResend(now time.Duration, id RequestID, attempt int) bool {
	g.now = max(now, g.now)
	a := g.findAttempt(id, attempt)
	return a != nil && g.allowResend(a)
}

// AttemptAllowed reports whether an attempt may still be sent. The host calls it just before it writes the first byte,
// because the deduplication window of the class may have ended while the host waited for a connection.
func (g *Gateway) AttemptAllowed(now time.Duration, id RequestID, attempt int) bool {
	g.now = max(now, g.now)
	a := g.findAttempt(id, attempt)
	if a == nil {
		return false
	}
	r := a.request
	return r.firstPossibleRun == a || g.safeToRepeat(r) && g.withinDedupWindow(r)
}

// start initializes the Gateway on the first event.
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
		g.handleGatewaysInService(e)
	case PeerReports:
		g.handlePeerReports(e)
	case ShuttingDown:
		g.handleShuttingDown()
	case DeadlinePassed:
		g.handleDeadlinePassed(e)
	case TimerFired:
		if e.Token == reviewTimerToken {
			g.review()
		}
	}
}

// scheduleReview sets the review timer, unless it is set already or no request is open.
func (g *Gateway) scheduleReview() {
	if g.reviewScheduled || len(g.openRequests) == 0 {
		return
	}
	g.reviewScheduled = true
	g.emit(SetTimer{After: reviewTicks * g.settings.Tick, Token: reviewTimerToken})
}

// maxReviewDelay returns the maximum time until the next review, including the inaccuracy of the host's timers.
func (g *Gateway) maxReviewDelay() time.Duration { return (reviewTicks + 1) * g.settings.Tick }

// review runs periodically. It checks the health of the engines, finishes requests that have run out of time, cancels
// attempts that run too long, and dispatches the queue.
func (g *Gateway) review() {
	g.reviewScheduled = false
	for _, e := range g.engines {
		g.checkHealth(e)
	}
	if g.now >= g.nextKeyExpiry {
		g.expireKeyQueues()
	}
	g.updateAvailableCores()
	slices.SortStableFunc(g.queue, g.compareQueueOrder)
	queuedWork := sumOf(g.queue, g.expectedWork)
	for _, r := range slices.Clone(g.openRequests) {
		if r.streaming || r.done {
			continue
		}
		if r.deadline-g.now <= g.maxReviewDelay() || g.shouldShed(r, queuedWork) {
			g.rejectOrFail(r)
		} else {
			g.reviewAttempts(r)
		}
	}
	g.dispatch()
}

// handleGatewaysInService applies the number of gateways in service. It affects this gateway's shares of concurrency,
// memory and the window, but not the warm-up budget and the retry budget, because gateways may disagree about the
// number.
func (g *Gateway) handleGatewaysInService(event GatewaysInService) {
	g.gatewaysInService = float64(min(max(1, event.Count), g.settings.Gateways))
	if event.UsesSubset != g.usesSubset {
		g.usesSubset, g.homesAssigned = event.UsesSubset, false
	}
}

// handleShuttingDown gives all open requests a final answer, except those that are already streaming a response.
func (g *Gateway) handleShuttingDown() {
	for _, r := range slices.Clone(g.openRequests) {
		if !r.streaming {
			g.rejectOrFail(r)
		}
	}
}

// emit appends an action to the result of the current Handle call.
func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }
