package policy

import (
	"cmp"
	"slices"
	"time"
)

// stateExpiry is how long engines that left and table groups without traffic are remembered. It exceeds the time that
// any client waits and the time after which an unused engine leaves an affinity set.
const stateExpiry = time.Minute

// engine is the state that this gateway keeps of an engine.
type engine struct {
	EngineInfo
	listedAt        time.Duration // last mention in the engine list
	cores, memoryMB float64
	used            bool // this gateway has sent to it

	// Own load.
	inFlight         []*attempt   // own attempts, in order of their sends
	deadlines        deadlineList // of their requests
	ownThreads       float64      // #T of the paper: threads of own attempts in flight
	grantedMB        float64      // memory granted to them
	smoothedInFlight float64      // len(inFlight), smoothed over the age of a report
	overloadedGroups int          // overloaded groups that have the engine in their affinity set

	// Load of the peers, from load reports.
	reportedPeerThreads float64 // threads of other gateways, at reportedAt
	reportedAt          time.Duration
	cachedPeerThreads   float64       // result of Gateway.peerThreads
	peerThreadsCachedAt time.Duration // the time it was computed for; -1 = invalid

	// Concurrency target.
	targetFactor float64 // multiplies the target; adjusted by load reports
	nextAdjustAt time.Duration

	// Outlier detection.
	failureScore      float64 // 0 = only successes, 1 = only failures
	ejected           bool
	ejectedUntil      time.Duration
	ejectionTime      time.Duration // of the latest ejection
	halfOpenSince     time.Duration
	halfOpenRemaining int // successes needed to leave the half-open state; 0 = not half-open
	lastResponseAt    time.Duration
	probeInFlight     bool
	nextProbeAt       time.Duration

	// Rejections and slow start.
	rejectingUntil   time.Duration // no sends before this
	rejectionBackoff time.Duration // the latest backoff
	classRates       []rateLimit   // by class
	warmupWork       slidingSum    // seconds of work sent while the engine is warming up
}

// rateLimit is the adaptive rate at which an engine that has capacity admits one class.
type rateLimit struct {
	perSecond   float64       // queries per second; 0 = no limit
	decreasedAt time.Duration // the last decrease
	nextSendAt  time.Duration
}

func engineCores(e *engine) float64 { return e.cores }

// handleEngineList applies the engine list or a change of it and dispatches the queue.
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

// applyEngineInfo adds an engine or updates it. If the engine has restarted, its health and load are reset.
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
		kind := g.settings.MachineTypes[info.MachineType]
		e.cores, e.memoryMB = max(1, kind.Cores), kind.MemoryMB
	}
}

func (g *Gateway) addEngine(id EngineID) *engine {
	e := &engine{targetFactor: 1, classRates: make([]rateLimit, len(g.classes))}
	e.ID = id
	g.engineByID[id] = e
	g.engines = append(g.engines, e)
	slices.SortFunc(g.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// resetEngine forgets what was learned before an engine's restart.
func (g *Gateway) resetEngine(e *engine) {
	e.failureScore, e.ejected, e.halfOpenRemaining, e.ejectionTime, e.probeInFlight = 0, false, 0, 0, false
	e.reportedPeerThreads, e.reportedAt = 0, g.now
	clear(e.classRates)
}

// updateFleet recomputes what depends on the set of ready engines.
func (g *Gateway) updateFleet() {
	g.readyEngines = filter(g.engines, g.engineReady)
	g.readyCores, g.homeByGroup = sumOf(g.readyEngines, engineCores), nil
	g.updateAvailableCores()
	if g.windowPerCore == 0 {
		g.windowPerCore = g.initialWindow()
	}
	g.usedCores = sumOf(filter(g.readyEngines, func(e *engine) bool { return e.used }), engineCores)
}

// expireState drops engines that left, groups without traffic and unused keys, so that the state stays bounded.
func (g *Gateway) expireState() {
	g.engines = slices.DeleteFunc(g.engines, g.expireEngine)
	for id, gr := range g.groups {
		if gr.ownThreads == 0 && g.now-gr.recentThreads.updatedAt > stateExpiry {
			for len(gr.affinitySet) > 0 {
				g.removeFromSet(gr, gr.affinitySet[0])
			}
			delete(g.groups, id)
		}
	}
	for key, queue := range g.keyQueues {
		if len(queue.requests) == 0 && g.now >= queue.pausedUntil {
			delete(g.keyQueues, key)
		}
	}
}

// expireEngine removes an engine that left long ago from the index and all affinity sets, and reports whether it did.
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
