package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// What the module remembers; what is done with it stands in policy.go.

// class is what is known of a class of queries.
type class struct {
	Class
	threads      float64
	bias         float64 // true work over estimated work, or over the prior where there are no estimates
	memory       float64 // logarithm of memory needed over memory estimated
	memorySpread float64 // its variance
	took         float64 // seconds an answer takes, running mean
	stretch      float64 // time taken over work a thread
	tail         float64 // time taken over time expected, about the 99th percentile
	usual        float64 // work of a query
	seen         int
}

// engine is what this gateway knows of an engine.
type engine struct {
	EngineInfo
	listedAt        time.Duration // when the list last told of it
	cores, memoryMB float64
	used            bool    // this gateway has sent to it since its start
	threads         float64 // #T: threads of own queries out
	granted         float64 // memory granted to own queries out
	out             []*attempt
	due             deadlineList
	others          float64 // threads of other gateways, by its latest report
	reportAt        time.Duration
	othersNow       float64 // the belief held at othersAt
	othersAt        time.Duration
	sole            int     // overloaded groups that have it in their set
	ownThen         float64 // own queries out, smoothed over a report's age
	bad             float64
	shut            bool
	probeAt         time.Duration // no probe of a suspect before this
	shutUntil       time.Duration
	ease            float64       // factor of its target, moved by reports
	adjustAt        time.Duration // when that may move next
	pause           time.Duration // the next pause when it is shut
	openedAt        time.Duration // when it last went on trial
	trial           int           // answers still wanted before it is trusted; 0 = trusted
	probing         bool
	fullUntil       time.Duration
	fullPause       time.Duration // its next pause for turning work away
	rates           []letRate     // by class
	heard           time.Duration // last answer of any kind
	sentWork        window
}

// letRate is at what rate an engine that has room lets a class in.
type letRate struct {
	rate  float64       // a second; 0 = no limit is known
	cutAt time.Duration // when one was last turned away
	next  time.Duration // no further one before this
}

func coresOf(e *engine) float64 { return e.cores }

// group is a table group with its affinity set.
type group struct {
	id      int
	threads float64 // group #T
	set     []*engine
	usedAt  map[EngineID]time.Duration
	cores   float64 // of the set
	over    bool    // it was overloaded when last looked at
	sent    fading  // threads
}

type attempt struct {
	req                   *request
	n                     int
	engine                *engine
	sent                  time.Duration
	threads, grant, wants float64 // wants: expected seconds
	over, cancelled       bool
	erred                 bool // the engine's error is not yet known to be the engine's fault
	late                  bool // its priority was lowered
}

type request struct {
	Arrival
	class      *class
	group      *group
	end        time.Duration // the client gives up
	due        time.Duration // its deadline in the paper's sense: the aim
	attempts   []*attempt
	resent     int // times that an attempt went out once more
	out        int
	mayRun     *attempt // first attempt that may have run
	over, held bool
	streaming  bool
}

// keyLine keeps the requests of one key in the order they were taken.
type keyLine struct {
	line      []*request
	restUntil time.Duration
	restOf    *request
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	s           Settings
	classes     []*class
	engines     []*engine // sorted by ID
	ready       []*engine // those that the list calls ready
	byID        map[EngineID]*engine
	groups      map[int]*group
	requests    map[RequestID]*request
	open        []*request // in the order they were taken
	line        []*request // held, in the order to be served
	keys        map[uint64]*keyLine
	taken       window // requests, for the budget of further attempts
	extras      window // further attempts
	started     time.Duration
	begun       bool
	beating     bool
	wave        float64 // threads a query, over what runs
	inService   float64 // gateways held to be in service
	subset      bool    // the listed engines are a part of the fleet's
	mean        float64 // threads a core of other gateways, over the fleet's latest reports
	meanAt      time.Duration
	told        bool            // reports came that tell of load
	threads     float64         // own queries' threads out, over all engines
	cores       float64         // of the ready engines
	sent        fading          // threads
	homes       map[int]*engine // by group; nil when to be worked out anew
	grantThread float64         // memory granted a thread, over what runs
	window      float64         // threads that may be out for each core of able
	able        float64         // warm cores in use
	usedCores   float64         // cores of the engines used
	unseen      float64         // weight of what other gateways do unseen: 0 alone, towards 1 as one of many
	rnd         *rand.Rand
	now         time.Duration
	acts        []Action
}

// ---- Upkeep of these fields; no decisions ----

// list takes over what the list of engines says; a fresh start makes an engine cold and forgets its past.
func (g *Gateway) list(l EngineList) {
	if l.Kind == ListFailed {
		g.do(Subscribe{})
		return
	}
	if l.Kind != ListDelta {
		for _, e := range g.engines {
			e.Health = Gone
		}
	}
	for _, info := range l.Engines {
		e := g.byID[info.ID]
		if e == nil {
			e = &engine{ease: 1, rates: make([]letRate, len(g.classes))}
			g.byID[info.ID] = e
			e.ID = info.ID
			g.engines = append(g.engines, e)
			slices.SortFunc(g.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
		} else if info.Started > e.Started {
			e.bad, e.shut, e.trial, e.pause, e.probing = 0, false, 0, 0, false
			e.others, e.reportAt = 0, g.now
			clear(e.rates)
		}
		e.EngineInfo, e.listedAt = info, g.now
		e.cores, e.memoryMB = 1, 0
		if info.Kind < len(g.s.Kinds) {
			e.cores, e.memoryMB = max(1, g.s.Kinds[info.Kind].Cores), g.s.Kinds[info.Kind].MemoryMB
		}
	}
	g.forget()
	g.ready = filter(g.engines, g.notDraining)
	g.cores, g.homes = sum(g.ready, coresOf), nil
	g.able = max(1, sum(g.ready, g.ability))
	if g.window == 0 {
		g.window = g.firstWindow()
	}
	g.usedCores = sum(filter(g.ready, func(e *engine) bool { return e.used }), coresOf)
	g.drain()
}

func (g *Gateway) groupOf(id int) *group {
	if g.groups[id] == nil {
		g.groups[id] = &group{id: id, usedAt: map[EngineID]time.Duration{}}
		g.homes = nil
	}
	return g.groups[id]
}

// join adds an engine to a group's set.
func (g *Gateway) join(gr *group, e *engine) {
	gr.set = append(gr.set, e)
	gr.cores += e.cores
	gr.usedAt[e.ID] = g.now
	if gr.over {
		e.sole++
	}
}

// leave takes it out again.
func (g *Gateway) leave(gr *group, e *engine) {
	gr.set = without(gr.set, e)
	gr.cores -= e.cores
	delete(gr.usedAt, e.ID)
	if gr.over {
		e.sole--
	}
}

// mark keeps the count of overloaded groups at each engine of a set.
func (g *Gateway) mark(gr *group, over bool) {
	for _, e := range gr.set {
		switch {
		case over && !gr.over:
			e.sole++
		case !over && gr.over:
			e.sole--
		}
	}
	gr.over = over
}

// believe notes what an engine is thought to hold of other gateways' threads; what was worked out before is void.
func (g *Gateway) believe(e *engine, threads float64) {
	e.others, e.othersAt, e.reportAt = threads, -1, g.now
}

// applyPeerReports takes over the reports of peers on engines that the own list names, where they are later than the own report.
func (g *Gateway) applyPeerReports(reports []PeerReport) {
	for _, r := range reports {
		if e := g.byID[r.Engine]; e != nil && r.ReportedAt > e.reportAt && r.ReportedAt <= g.now {
			g.noteLoad(e, max(0, r.Inflight-e.ownThen)*g.wave)
			e.reportAt = r.ReportedAt
		}
	}
	// The mean over reports leaves out engines that are too crowded to answer; over engines it does not.
	known := filter(g.ready, func(e *engine) bool { return e.reportAt > 0 && g.now-e.reportAt < 2*reportAge })
	if 2*len(known) > len(g.ready) {
		g.mean = sum(known, func(e *engine) float64 { return e.others / g.warmth(e) }) / sum(known, coresOf)
	}
	g.drain()
}

// meanThreads is how many threads a query has, over what runs: classes count by how many of them run at a time. A running
// mean over answers began at one, and a gateway that sees a few a second believed half of every engine's load.
func (g *Gateway) meanThreads() float64 {
	return sum(g.classes, func(c *class) float64 { return float64(c.seen+1) * c.took * c.threads }) /
		sum(g.classes, func(c *class) float64 { return float64(c.seen+1) * c.took })
}

// hold puts a request in line.
func (g *Gateway) hold(r *request) {
	r.held = true
	i, _ := slices.BinarySearchFunc(g.line, r, g.before)
	g.line = slices.Insert(g.line, i, r)
}

// book enters an attempt in the books of its request, engine and group.
func (g *Gateway) book(a *attempt) {
	r, e := a.req, a.engine
	if a.n > 0 {
		g.count(&g.extras)
	}
	if g.grantThread == 0 {
		g.grantThread = a.grant / a.threads
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if r.mayRun == nil {
		r.mayRun = a
	}
	if len(e.out) == 0 {
		e.heard = g.now
	}
	if !e.used {
		e.used = true
		g.usedCores += e.cores
	}
	e.threads += a.threads
	g.threads += a.threads
	e.granted += a.grant
	e.out = append(e.out, a)
	e.due.add(r.due)
	r.group.threads += a.threads
	r.group.sent.add(g.now, a.threads)
	g.sent.add(g.now, a.threads)
}

// land takes an attempt off the books of its engine and group.
func (g *Gateway) land(a *attempt) {
	e := a.engine
	a.over = true
	a.req.out--
	e.threads = max(0, e.threads-a.threads)
	g.threads = max(0, g.threads-a.threads)
	e.granted = max(0, e.granted-a.grant)
	e.out = without(e.out, a)
	e.due.remove(a.req.due)
	a.req.group.threads = max(0, a.req.group.threads-a.threads)
}

// finish closes a request; it stays known while attempts are out, and in its key's line as long.
func (g *Gateway) finish(r *request) {
	if !r.over {
		r.over = true
		g.open = without(g.open, r)
	}
	if r.held {
		r.held = false
		g.line = without(g.line, r)
	}
	if r.out > 0 {
		return
	}
	delete(g.requests, r.ID)
	if k := g.keys[r.Key]; k != nil {
		k.line = without(k.line, r)
		if len(k.line) == 0 && g.now >= k.restUntil {
			delete(g.keys, r.Key)
		}
	}
}

// count notes an event for the budget of further attempts, where there is one.
func (g *Gateway) count(w *window) {
	if g.s.Rules.RetryBudget {
		w.add(g.now, 1)
		w.total(g.now, g.s.Rules.RetryBudgetSpan+g.s.Tick)
	}
}

// forget drops engines long gone, groups long idle and keys that have rested, so that nothing grows without bound.
func (g *Gateway) forget() {
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		gone := e.Health == Gone && len(e.out) == 0 && g.now-max(e.listedAt, e.heard) > forgetAfter
		if gone {
			delete(g.byID, e.ID)
			for _, gr := range g.groups {
				if slices.Contains(gr.set, e) {
					g.leave(gr, e)
				}
			}
		}
		return gone
	})
	for id, gr := range g.groups {
		if gr.threads == 0 && g.now-gr.sent.at > forgetAfter {
			for len(gr.set) > 0 {
				g.leave(gr, gr.set[0])
			}
			delete(g.groups, id)
		}
	}
	for key, k := range g.keys {
		if len(k.line) == 0 && g.now >= k.restUntil {
			delete(g.keys, key)
		}
	}
}
