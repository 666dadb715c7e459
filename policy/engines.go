package policy

import (
	"cmp"
	"slices"
	"time"
)

// stateExpiry is how long the state of engines that left the fleet and of table groups without traffic is kept. It
// exceeds all client deadlines and setMemberIdleTimeout.
const stateExpiry = time.Minute

// engine is the state that this gateway keeps for an engine.
type engine struct {
	EngineInfo
	listedAt        time.Duration // time of the latest engine list that contained the engine
	cores, memoryMB float64
	used            bool // this gateway has sent a query to the engine

	// Own load.
	inFlight         []*attempt   // own attempts, in the order in which they were sent
	deadlines        deadlineList // objective deadlines of the requests with own attempts in flight
	ownThreads       float64      // #T in the paper: threads of own attempts in flight
	grantedMB        float64      // sum of the memory grants of own attempts in flight
	smoothedInFlight float64      // len(inFlight), smoothed over about the typical age of a load report
	overloadedGroups int          // number of overloaded groups with the engine in their affinity set

	// Load of the peers, from load reports.
	reportedPeerThreads float64 // threads of other gateways at the time reportedAt
	reportedAt          time.Duration
	cachedPeerThreads   float64       // result of Gateway.peerThreads
	peerThreadsCachedAt time.Duration // time for which cachedPeerThreads was computed; -1 = invalid

	// Concurrency target.
	targetFactor float64 // multiplier of the target, adjusted by load reports
	nextAdjustAt time.Duration

	// Outlier detection.
	failureScore      float64 // 0 = only successes, 1 = only failures
	ejected           bool
	ejectedUntil      time.Duration
	ejectionTime      time.Duration // duration of the latest ejection
	halfOpenSince     time.Duration
	halfOpenRemaining int // successes left until the half-open state ends; 0 = not half-open
	lastResponseAt    time.Duration
	probeInFlight     bool
	nextProbeAt       time.Duration
	classAnswers      []answerCounts  // recent answers by class, for classes that are not idempotent
	comparison        errorComparison // of the errors among these answers with other engines

	// Rejections and slow start.
	rejectingUntil   time.Duration // time until which nothing is sent to the engine
	rejectionBackoff time.Duration // duration of the latest backoff after a rejection
	classRateLimits  []rateLimit   // indexed by class
	warmupWork       slidingSum    // work in seconds sent while the engine is warming up
}

// rateLimit is the adaptive rate limit of one class at an engine that rejects the class although it has capacity.
type rateLimit struct {
	perSecond   float64       // queries per second; 0 = no limit
	decreasedAt time.Duration // when the limit was last decreased
	nextSendAt  time.Duration
}

func engineCores(e *engine) float64 { return e.cores }

// handleEngineList applies a complete engine list or a change of it, and dispatches the queue.
func (g *Gateway) handleEngineList(list EngineList) {
	if list.Kind == ListFailed {
		g.emit(Subscribe{})
		return
	}
	if list.Kind != ListDelta {
		for _, e := range g.engines {
			e.Health = Gone
		}
	}
	for _, info := range list.Engines {
		g.applyEngineInfo(info)
	}
	g.expireState()
	g.updateFleet()
	g.dispatch()
}

// applyEngineInfo adds or updates an engine. If the engine has restarted, its health and load are reset.
func (g *Gateway) applyEngineInfo(info EngineInfo) {
	e := g.engineByID[info.ID]
	if e == nil {
		e = g.addEngine(info.ID)
	} else if info.Started > e.Started {
		g.resetEngine(e)
	}
	e.EngineInfo, e.listedAt = info, g.now
	e.cores, e.memoryMB = 1, 0
	if info.MachineType < len(g.settings.MachineTypes) {
		machineType := g.settings.MachineTypes[info.MachineType]
		e.cores, e.memoryMB = max(1, machineType.Cores), machineType.MemoryMB
	}
}

func (g *Gateway) addEngine(id EngineID) *engine {
	e := &engine{targetFactor: 1, classRateLimits: make([]rateLimit, len(g.classes)),
		classAnswers: make([]answerCounts, len(g.classes))}
	e.ID = id
	g.engineByID[id] = e
	g.engines = append(g.engines, e)
	slices.SortFunc(g.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// resetEngine discards the health, the load and the rate limits recorded before an engine's restart.
func (g *Gateway) resetEngine(e *engine) {
	e.failureScore, e.ejected, e.halfOpenRemaining, e.ejectionTime, e.probeInFlight = 0, false, 0, 0, false
	e.reportedPeerThreads, e.reportedAt = 0, g.now
	e.comparison = errorComparison{}
	clear(e.classRateLimits)
}

// updateFleet recomputes the state derived from the set of ready engines.
func (g *Gateway) updateFleet() {
	g.readyEngines = filter(g.engines, g.engineReady)
	g.readyCores, g.homesAssigned = sumOf(g.readyEngines, engineCores), false
	g.updateAvailableCores()
	if g.windowPerCore == 0 {
		g.windowPerCore = g.initialWindow()
	}
	g.usedCores = sumOf(filter(g.readyEngines, func(e *engine) bool { return e.used }), engineCores)
}

// expireState removes engines that left the fleet, groups without traffic and unused ordering keys, so that the size of
// the state stays bounded.
func (g *Gateway) expireState() {
	g.engines = slices.DeleteFunc(g.engines, g.expireEngine)
	g.expireGroups()
	g.expireKeyQueues()
}

// expireEngine reports whether an engine left the fleet long enough ago to be deleted. If so, it removes the engine
// from the index and from all affinity sets.
func (g *Gateway) expireEngine(e *engine) bool {
	lastSeen := max(e.listedAt, e.lastResponseAt)
	if e.Health != Gone || len(e.inFlight) > 0 || g.now-lastSeen <= stateExpiry {
		return false
	}
	delete(g.engineByID, e.ID)
	for _, gr := range g.groups {
		if slices.Contains(gr.affinitySet, e) {
			g.removeFromSet(gr, e)
		}
	}
	return true
}
