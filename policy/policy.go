package policy

// Every decision, table and tuned value, in the order of a request's life; the interface is in api.go.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Tuned values. Each has its unit and its reason.
const (
	// Admission.
	targetThreads = 1.5                    // threads a core wanted at an engine: reading leaves cores free
	denseRoom     = 1.4                    // times the limit, for queries worth much for their work
	guessRoom     = 2.5                    // targets more in a limit, as one of many: others are guesses then
	fullUtil      = 0.9                    // share of busy cores up to which others leave room
	adjustEvery   = 300 * time.Millisecond // between two moves of an engine's target: about a report's age
	easeStep      = 0.04                   // of one move
	easeLeast     = 0.7                    // bounds of the factor: knees lie at one to two threads a core
	easeMost      = 1.4
	bindsFrom     = 0.8  // of its limit in use, from which an engine's limit is what holds work back
	ownStep       = 0.2  // weight of a look at what this gateway has out, for what a report's age ago was out
	busyHigh      = 0.97 // share of cores or disks busy above which the target falls
	busyLow       = 0.88 // and below which it may rise
	lateMargin    = 1.4  // expected durations that must be left to the aim: starts that end late are wasted
	blockedMost   = 4    // requests of a class looked at when none of it finds room
	backlog       = 1.0  // seconds of the fleet's work in line from which late requests are given up

	// P-DACA.
	w1Share   = 1.0              // w1 as a share of the queries that this gateway may hold at the engine
	w2Share   = 0.25             // w2 likewise: an outsider reads cold, so it must be emptier
	setIdle   = 20 * time.Second // a set member that its group did not use drops out (the design's figure)
	seedTie   = 0.5              // threads a core within which seeds count as tied, so that gateways agree
	groupFade = 5 * time.Second  // in which a group's sends fade to 1/e: hot groups come and go
	homesFrom = 20               // gateways from which a group has two homes
	growFloor = 0.3              // threads a core under which no group counts as overloaded: nothing is short

	// Estimates.
	priorShare   = 0.25 // of its aim that a query is thought to work a thread, before any answer is in
	learn        = 0.05 // weight of one answer in the running figures: about the last twenty
	stretchPrior = 1.3  // times its work a thread that a query takes, before any answer is in
	tailPrior    = 4.0  // the longest usual time likewise, in expected times
	stretchMost  = 2.0  // bound of that once learned: a jam must not end all admission
	wantsMost    = 0.6  // of its aim, that a query of untold cost is expected to take
	learnPrior   = 2.0  // answers that the priors count for
	memCover     = 1.05 // deviations of the logarithm that a grant covers: six in seven of a normal spread
	memPrior     = 0.1  // logarithm of need over estimate before any answer is in
	memSpread    = 0.1  // and its variance: together 1.6 times the estimate

	// Further attempts and health.
	killTimes    = 4.0                    // expected durations after which an attempt is taken for a bad plan
	killLeast    = 800 * time.Millisecond // and no earlier: short queries scatter more
	silentTimes  = 1.5                    // times the class's longest usual time without any answer: a hang
	silentProof  = 3.0                    // such times, over all that waits, that shut
	silentLeast  = time.Second            // and no earlier
	againMargin  = 1.2                    // expected durations that must be left to a further attempt
	tailUp       = 1.2                    // step of that longest usual time when an answer exceeds it
	tailDown     = 0.998                  // and when not; together they settle at about the 99th percentile
	suspectShare = 0.4                    // share of that silence from which a probe is sent, where permitted
	probeEvery   = time.Second            // least time between two such probes of an engine
	cheapExtras  = 0.8                    // of the ration, for queries worth little: the rest is kept for others
	soonAgain    = 20 * time.Millisecond  // when to come back from a refusal for want of a ration, not of room
	badStep      = 0.2                    // weight of one outcome in the failure figure; doubled if not reached
	badShut      = 0.5                    // figure that shuts: two lost connects or four failures in a row
	shutFirst    = time.Second            // first pause of a shut engine; it doubles up to shutMost
	shutMost     = 8 * time.Second
	trialWins    = 3                      // answers in a row that reopen an engine on trial
	fullPause    = 100 * time.Millisecond // pause of an engine that turned work away; doubles up to
	fullMost     = 3 * time.Second        // as long as a report counts
	fullLoad     = 2.0                    // targets that such an engine is thought to hold
	rateFirst    = 16.0                   // queries a second that such a class is thought to be let in at
	rateLeast    = 1.0                    // and no less, so that the end of it is seen
	rateMost     = 100.0                  // from here on the rate limits nothing
	rateUp       = 1.1                    // for each that is let in; with rateDown seven in eight are
	rateDown     = 0.5                    // for one turned away
	rateFor      = 10 * time.Second       // without one turned away, after which the rate is forgotten
	windowFirst  = 1.5                    // even parts of the fleet's target that a window starts with
	windowLeast  = 4.0                    // threads, and no less: a query of the widest class
	windowUp     = 0.1                    // of an answer's threads
	windowDown   = 0.5                    // of a late or lost attempt's threads
	windowMost   = 0.3                    // of the window, in one step
	windowStrain = 0.85                   // of the target, held by the fleet: the window may fall
	windowSpan   = 2.0                    // it falls to no less than its first width over this
	windowWiden  = 2.0                    // times, at most, that it is wider while the fleet has room
	windowUse    = 0.5                    // of the window in use, from which it grows
	panicShare   = 0.5                    // share of engines shut from which health is not believed
	reportAge    = 3 * time.Second        // in which a report's weight falls to 1/e
	meanAge      = time.Second            // of the reports that make up the fleet's mean load
	nearTie      = 0.5                    // of a mean query by which #T may differ in a tie

	// Guards.
	forgetAfter = time.Minute // gone or idle: longer than any client waits or a set member stays unused
	beatTicks   = 4           // ticks between two looks at what is open
	coldMargin  = 0.65        // of the cold budget used: speeds and true work scatter
	coldWork    = 1.25        // times the estimate charged to the cold budget, for the same reason
	coldQuery   = 1.2         // usual works of a class that a turn of its size allows
)

// priors is what is thought of a class before any answer is in.
func (g *Gateway) priors(c Class) *class {
	threads, took := max(1, float64(c.Threads)), priorShare*c.LatencyObjective.Seconds()
	return &class{Class: c, threads: threads, bias: 1, memory: memPrior, memorySpread: memSpread, took: took,
		usual: took * threads, stretch: stretchPrior, tail: tailPrior}
}

// ---- Arrival ----

// arrive takes a request into the line and lets the line out as far as there is room.
func (g *Gateway) arrive(a Arrival) {
	if g.requests[a.ID] != nil {
		return
	}
	g.count(&g.taken)
	if a.Class < 0 || a.Class >= len(g.classes) {
		g.do(Fail{a.ID})
		return
	}
	c := g.classes[a.Class]
	r := &request{Arrival: a, class: c, group: g.groupOf(a.TableGroup), end: g.now + a.Remaining}
	r.due = min(g.now+c.LatencyObjective+secs(c.ObjectivePerWork*g.work(r)/c.threads), r.end)
	g.requests[a.ID] = r
	g.open = append(g.open, r)
	if c.Ordered && a.Key != 0 {
		if g.keys[a.Key] == nil {
			g.keys[a.Key] = &keyLine{}
		}
		g.keys[a.Key].line = append(g.keys[a.Key].line, r)
	}
	if a.Remaining <= g.lookEvery() { // the next look may come after the client's end: seen with late retries
		g.answer(r)
		return
	}
	g.hold(r)
	g.drain()
}

// lookEvery is the longest time until what is open is looked at again.
func (g *Gateway) lookEvery() time.Duration { return (beatTicks + 1) * g.s.Tick }

// work is the expected work of a request in seconds on one thread: its estimate, or the class's usual,
// corrected by what answers told.
func (g *Gateway) work(r *request) float64 {
	base := r.EstimatedWork.Seconds()
	if base <= 0 {
		base = priorShare * r.class.LatencyObjective.Seconds() * r.class.threads
	}
	return base * r.class.bias
}

// wants is how many seconds an attempt is expected to take. Where no cost is told, times are all there is to
// learn from, and those of a jam would end all admission for good: then it is at most a share of the aim.
func (g *Gateway) wants(r *request) float64 {
	s := g.work(r) / r.class.threads * r.class.stretch
	if r.EstimatedWork <= 0 {
		s = min(s, wantsMost*r.class.LatencyObjective.Seconds())
	}
	return s
}

// ---- Choice of engine: P-DACA ----

// choose is the paper's section 2.3: affinity engines by rank under w1, outsiders by rank under w2, else the
// affinity engine of least #T. Only engines that the guards, health and room let through are looked at.
func (g *Gateway) choose(r *request) *engine {
	set := g.affinitySet(r.group)
	usable := filter(g.ready, func(e *engine) bool { return g.usable(r, e) && g.room(r, e) })
	if len(usable) == 0 && g.threads == 0 { // without a query out nothing would be learned
		usable = filter(g.ready, func(e *engine) bool { return g.usable(r, e) })
	}
	free := filter(usable, func(e *engine) bool { return !g.takenAlone(e, r.group) })
	inside := filter(free, func(e *engine) bool { return slices.Contains(set, e) })
	e := cmp.Or(g.lowestRank(r, filter(inside, g.near), w1Share), g.lowestRank(r, inside, w1Share)) // step 2a
	if e != nil {
		return e
	}
	outside := filter(free, func(e *engine) bool { return !slices.Contains(set, e) })
	near := filter(outside, g.near)
	e = cmp.Or(g.lowestRank(r, near, w2Share), g.lowestRank(r, outside, w2Share)) // step 2b
	if e != nil {
		return e
	}
	// Step 3. Departure: when no affinity engine has room, any engine that has, one in another's sole use last.
	return cmp.Or(lightest(inside, g.lighter), lightest(near, g.lighter),
		lightest(outside, g.lighter), lightest(usable, g.lighter))
}

// lowestRank is steps 2a and 2b: the engine of fewest own queries due earlier, under the window; ties by #T.
func (g *Gateway) lowestRank(r *request, engines []*engine, share float64) *engine {
	best, bestRank := []*engine(nil), math.MaxInt
	for _, e := range engines {
		rank := e.due.before(r.due)
		if rank > bestRank || float64(rank) >= max(1, share*g.limit(e, 1)/g.wave) {
			continue
		}
		if rank < bestRank {
			best, bestRank = nil, rank
		}
		best = append(best, e)
	}
	return lightest(g.few(best), g.lighter)
}

// lighter compares #T. Departure: where both differ by less than half a mean query, as they do nearly
// everywhere once a gateway is one of many, the load that reports tell of all gateways decides; without
// reports, chance.
func (g *Gateway) lighter(a, b *engine) bool {
	la, lb := g.ownLoad(a), g.ownLoad(b)
	if math.Abs(la-lb) > nearTie*g.wave/min(a.cores, b.cores) {
		return la < lb
	}
	if sa, sb := g.others(a)/a.cores, g.others(b)/b.cores; sa != sb {
		return sa < sb
	}
	return g.rnd.Uint64()&1 == 0
}

// near: where crossing zones has a price, this gateway's own zone comes first in each step (departure).
func (g *Gateway) near(e *engine) bool { return g.s.CrossZoneCost <= 0 || e.Zone == g.s.Zone }

func (g *Gateway) nearFirst(engines []*engine) []*engine {
	if near := filter(engines, g.near); len(near) > 0 {
		return near
	}
	return engines
}

// ownLoad is #T in threads a core; an engine not used yet counts as average.
func (g *Gateway) ownLoad(e *engine) float64 {
	if e.used || g.usedCores == 0 {
		return e.threads / e.cores
	}
	return g.threads / g.usedCores
}

// sharedLoad is the load for the overload test: what is reported of the others' queries and our own.
func (g *Gateway) sharedLoad(e *engine) float64 { return (g.others(e) + e.threads) / e.cores }

// others is how many threads of other gateways are believed to run at an engine: as its latest report says,
// the less so the older that is; for the rest as many as the fleet's engines hold on average.
func (g *Gateway) others(e *engine) float64 {
	if e.othersAt != g.now {
		trust := 0.0
		if e.reportAt > 0 {
			trust = math.Exp(-float64(g.now-e.reportAt) / float64(reportAge))
		}
		e.othersNow, e.othersAt = trust*e.others+(1-trust)*g.mean*e.cores*g.warmth(e), g.now
	}
	return e.othersNow
}

// affinitySet drops engines that the group left unused, and seeds an empty set with the least-loaded engine;
// near ties go to the group's home.
func (g *Gateway) affinitySet(gr *group) []*engine {
	for i := len(gr.set) - 1; i >= 0; i-- {
		if e := gr.set[i]; e.Health != Ready || g.now-gr.usedAt[e.ID] > setIdle {
			g.leave(gr, e)
		}
	}
	if len(gr.set) > 0 {
		return gr.set
	}
	free := filter(g.ready, func(e *engine) bool { return !g.ill(e) && !g.takenAlone(e, gr) })
	free = g.nearFirst(free)
	seed := least(g.few(free), g.sharedLoad)
	if home := g.home(gr); slices.Contains(free, home) && g.sharedLoad(home) <= g.sharedLoad(seed)+seedTie {
		seed = home
	}
	if seed != nil {
		g.join(gr, seed)
	}
	return gr.set
}

// home is the engine that gateways with the same list seed a group with, so that few keep it warm: two, by
// number, where so many see a hot group for the first time that they would crowd one.
func (g *Gateway) home(gr *group) *engine {
	if g.homes == nil {
		g.homes = spreadEvenly(slices.Sorted(maps.Keys(g.groups)), g.homeEngines(), g.s.Number%g.homesOf())
	}
	return g.homes[gr.id]
}

// overloaded is our test for the paper's group overload: its load per set engine tops the mean engine load.
// Departure: the group's part of the load is its part of what this gateway sent in the last while; a gateway
// that is one of many holds a query or two at a time, which report nothing of a group.
func (g *Gateway) overloaded(gr *group) bool {
	load := (g.mean*g.cores + g.threads) / max(1, g.cores)
	return load > growFloor && gr.sent.now(g.now)*g.cores > g.sent.now(g.now)*gr.cores
}

// grow is node expansion: the least-loaded outsider joins an overloaded group's set.
func (g *Gateway) grow(gr *group) {
	g.mark(gr, g.overloaded(gr))
	if !gr.over {
		return
	}
	outside := filter(g.ready, func(e *engine) bool {
		return !g.ill(e) && !slices.Contains(gr.set, e) && !g.takenAlone(e, gr)
	})
	if e := least(g.few(g.nearFirst(outside)), g.sharedLoad); e != nil {
		g.join(gr, e)
		g.mark(gr, g.overloaded(gr))
	}
}

// takenAlone reports whether another group that is overloaded has the engine in its set.
func (g *Gateway) takenAlone(e *engine, gr *group) bool {
	return e.sole > 1 || e.sole == 1 && !(gr.over && slices.Contains(gr.set, e))
}

// ---- Admission ----

// usable reports whether the request may go to the engine now, but for room: guards, health, refusals. Two
// loads of a table group never go to one engine together: the second would stand still and keep its memory.
func (g *Gateway) usable(r *request, e *engine) bool {
	twin := func(a *attempt) bool { return a.req.class.IsLoad && a.req.group == r.group }
	return g.allowed(r, e) && !g.ill(e) && !g.tried(r, e) && g.now >= max(e.fullUntil, e.rates[r.Class].next) &&
		!(r.class.IsLoad && slices.ContainsFunc(e.out, twin))
}

// tried keeps one bad engine from spending every attempt of a request, while there are others.
func (g *Gateway) tried(r *request, e *engine) bool {
	return len(g.engines) > 1 && slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.engine == e })
}

// limit is how many threads this gateway may have out at an engine: its share of so many times the target, or
// what the others are believed to leave of that.
func (g *Gateway) limit(e *engine, times float64) float64 {
	target := times * g.target(e)
	if !g.told {
		return target / g.inService
	}
	return max(target/g.inService, target*(1+guessRoom*max(0, 2*g.unseen-1))-g.others(e))
}

// target is how many threads all gateways together should have out at an engine.
func (g *Gateway) target(e *engine) float64 {
	return targetThreads * e.cores * e.ease * g.warmth(e)
}

// adjust moves an engine's target by its reports: down while cores or disks are full, up while neither is,
// cores are told of at all, and this gateway's limit is what holds work back.
func (g *Gateway) adjust(e *engine, r Report) {
	util, known := figure(r, Util)
	disks, also := figure(r, DiskShare)
	if !known && !also || g.now < e.adjustAt {
		return
	}
	e.adjustAt = g.now + adjustEvery
	if busy := max(util, disks); busy > busyHigh {
		e.ease = max(easeLeast, e.ease*(1-easeStep))
	} else if known && busy < busyLow && e.threads > bindsFrom*g.limit(e, 1) {
		e.ease = min(easeMost, e.ease*(1+easeStep))
	}
}

// room reports whether the engine may take the request's threads and memory; before any report, with nothing
// out there, it may.
func (g *Gateway) room(r *request, e *engine) bool {
	return e.threads == 0 && !g.told ||
		g.fits(r, e) && e.threads+r.class.threads <= g.limit(e, 1+g.more(r))
}

// more is the share by which a request may pass limits: above 0 if its worth for its work tops the mean.
func (g *Gateway) more(r *request) float64 {
	worth := sum(g.classes, func(c *class) float64 { return float64(c.seen+1) * c.Weight })
	work := sum(g.classes, func(c *class) float64 { return float64(c.seen+1) * c.took * c.threads })
	if r.class.Weight*work > g.work(r)*worth {
		return denseRoom - 1
	}
	return 0
}

// inWidth: the window, wider while the fleet seems to have room; with nothing out nothing would be learned.
func (g *Gateway) inWidth(r *request) bool {
	width := (1 + g.more(r)) * g.window * g.able / max(1/windowWiden, min(1, g.strain()))
	return g.threads == 0 || g.threads+r.class.threads <= width
}

// fits reports whether the grant fits beside ours and what the others' threads seem to be granted, each as
// much as one of ours: a gateway with one query at an engine sees none of what fills its memory.
func (g *Gateway) fits(r *request, e *engine) bool {
	mb := g.grant(r, e)
	if mb == 0 || e.memoryMB == 0 {
		return true
	}
	left := max(e.memoryMB/g.inService, e.memoryMB-g.others(e)*g.grantThread)
	return e.granted+mb <= left || e.granted == 0 && !g.told
}

// warmth is the share of its capacity that an engine is thought to have since its start.
func (g *Gateway) warmth(e *engine) float64 {
	if !g.cold(e) {
		return 1
	}
	from := g.s.Rules.InitialCapacityShare
	return from + (1-from)*float64(g.now-e.Started)/float64(g.s.Rules.WarmupTime)
}

// before orders the line: those that can still meet their aim, then worth for work in steps of two, then due.
func (g *Gateway) before(a, b *request) int {
	byRank := cmp.Compare(g.rankInLine(a), g.rankInLine(b))
	return cmp.Or(byRank, cmp.Compare(a.due, b.due), cmp.Compare(a.ID, b.ID))
}

func (g *Gateway) rankInLine(r *request) float64 {
	rank := -math.Floor(math.Log2((r.class.Weight + 1e-6) / max(1e-3, g.work(r))))
	if g.tooLate(r) {
		rank += 100
	}
	return rank
}

func (g *Gateway) tooLate(r *request) bool { return g.now+secs(lateMargin*g.wants(r)) > r.due }

// drain lets held requests out in order, each through the mechanism.
func (g *Gateway) drain() {
	if len(g.line) == 0 {
		return
	}
	blocked := make([]int, len(g.classes))
	for i := 0; i < len(g.line); {
		r := g.line[i]
		var e *engine
		if blocked[r.Class] < blockedMost && g.inWidth(r) && g.mayGo(r) {
			if e = g.choose(r); e == nil {
				blocked[r.Class]++
			}
		}
		if e == nil {
			i++
			continue
		}
		g.line = slices.Delete(g.line, i, i+1)
		r.held = false
		g.send(r, e)
	}
}

// giveUp ends at once what can no longer be answered in time, and what is late while others fill the line.
func (g *Gateway) giveUp(r *request, lineWork float64) bool {
	return r.held && (g.now+secs(g.wants(r)) > r.end ||
		g.tooLate(r) && (r.class.LateWeightShare == 0 || lineWork > backlog*g.cores))
}

// ---- Terms ----

// grant is the memory to ask for: the estimate as answers corrected it; 0 leaves it to the engine.
func (g *Gateway) grant(r *request, e *engine) float64 {
	if !g.s.HonorsGrants || r.EstimatedMemoryMB <= 0 {
		return 0
	}
	mb := r.EstimatedMemoryMB * math.Exp(r.class.memory+memCover*math.Sqrt(r.class.memorySpread))
	if g.s.MaxGrantShare > 0 && e.memoryMB > 0 {
		mb = min(mb, g.s.MaxGrantShare*e.memoryMB)
	}
	return mb
}

// priority lets short queries go first and loads, which hold up others, next; what is past its aim yields.
func (g *Gateway) priority(r *request) int {
	switch {
	case g.now > r.due:
		return 0
	case g.more(r) > 0:
		return 3
	case r.class.IsLoad:
		return 2
	}
	return 1
}

// send is the single place from which an attempt goes out; the guards have the last word.
func (g *Gateway) send(r *request, e *engine) {
	if !g.allowed(r, e) || !g.mayGo(r) {
		g.hold(r)
		return
	}
	t := SetTerms{ID: r.ID, GrantMB: g.grant(r, e), Priority: g.priority(r)}
	if g.s.HonorsGrants || g.s.HonorsPriority {
		g.do(t)
	}
	a := &attempt{req: r, n: len(r.attempts), engine: e, sent: g.now, threads: r.class.threads, grant: t.GrantMB,
		wants: g.wants(r)}
	g.do(Send{ID: r.ID, Engine: e.ID, Timeout: r.end - g.now})
	g.book(a)
	if t := &e.rates[r.Class]; t.rate > 0 {
		t.next = g.now + secs(1/t.rate)
	}
	if g.cold(e) {
		e.sentWork.add(g.now, g.coldCharge(r))
	}
	if slices.Contains(r.group.set, e) {
		r.group.usedAt[e.ID] = g.now
		g.grow(r.group)
	}
}

// ---- Outcomes and further attempts ----

// ended books an outcome, learns from it, and answers or tries again.
func (g *Gateway) ended(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].over {
		return
	}
	a := r.attempts[e.Attempt]
	g.land(a)
	g.observe(a, e)
	if e.Outcome.NeverRan() && r.mayRun == a {
		r.mayRun = nil
	}
	if k := g.keys[r.Key]; k != nil && (e.Outcome == Timeout || e.Outcome == Reset || e.Outcome == Cancelled) {
		k.restUntil, k.restOf = g.now+g.s.Rules.OrderedKeyPause, r
	}
	if e.Terminal || r.over {
		g.finish(r)
	} else if r.out == 0 {
		g.again(r)
	}
	g.drain()
}

// again puts a request back in line, or ends it where no further attempt can be allowed.
func (g *Gateway) again(r *request) {
	if !g.alive(r) || !g.mayRepeat(r) || g.now+secs(g.wants(r)) > r.end {
		g.answer(r)
		return
	}
	// Where the ration is used up, a query worth little would wait past its aim: the client's next try is a
	// first one.
	if !g.inBudget(r) && g.worthLittle(r) && g.mayRefuse(r) {
		g.do(Reject{r.ID, soonAgain})
		g.finish(r)
		return
	}
	g.hold(r)
}

// sendAgain reports whether an attempt that its engine seems not to have read may go out there once more, and
// counts it: it may have run all the same, and then it is a further attempt.
func (g *Gateway) sendAgain(a *attempt) bool {
	r := a.req
	ok := !a.over && !a.cancelled && g.notDraining(a.engine) && g.alive(r) && g.mayRepeat(r) && g.inWindow(r) &&
		g.inBudget(r)
	if ok {
		r.resent++
		g.count(&g.extras)
	}
	return ok
}

// answer is the single place for a final answer of our own: a refusal where it is honest, else a failure.
func (g *Gateway) answer(r *request) {
	g.cancel(r.attempts...)
	if g.mayRefuse(r) {
		g.do(Reject{r.ID, g.s.MaxRetryAfter})
	} else {
		g.do(Fail{r.ID})
	}
	g.finish(r)
}

// left ends a request that its client withdrew. It earns no further attempts: clients that ask and withdraw
// by the hundreds would buy them for others, and the ration holds for requests that somebody waits for.
func (g *Gateway) left(r *request) {
	if !r.over {
		g.taken.take(r.end-r.Remaining, 1)
	}
	g.cancel(r.attempts...)
	g.yield(r)
	g.finish(r)
}

// cancel calls attempts off where permitted. One whose engine said nothing for over a second counts as not
// reached: one of hundreds of gateways holds a query at a time at a cut-off engine, and never learned it.
func (g *Gateway) cancel(attempts ...*attempt) {
	for _, a := range attempts {
		if g.s.MayCancel && !a.over && !a.cancelled && !a.req.streaming {
			if a.engine.heard <= a.sent && g.now-a.sent > silentLeast {
				g.fail(a.engine, 2*badStep)
			}
			a.cancelled = true
			g.do(Cancel{a.req.ID, a.n})
		}
	}
}

// beat looks at all that is open: ends what is out of time, calls off what runs too long, lets the line out.
func (g *Gateway) beat() {
	g.beating = false
	for _, e := range g.engines {
		g.watch(e)
	}
	g.able = max(1, sum(g.ready, g.ability))
	slices.SortStableFunc(g.line, g.before)
	lineWork := sum(g.line, g.work)
	for _, r := range slices.Clone(g.open) {
		if r.streaming || r.over {
			continue
		}
		if r.end-g.now <= g.lookEvery() || g.giveUp(r, lineWork) {
			g.answer(r)
		} else {
			g.review(r)
		}
	}
	g.drain()
}

// review looks at a request's running attempt: past its aim it yields; far past its expected time it is
// taken for a bad plan and called off, if another attempt can still help.
func (g *Gateway) review(r *request) {
	for _, a := range r.attempts {
		if a.over || a.cancelled {
			continue
		}
		if g.now > r.due && !a.late {
			a.late = true
			g.yield(r)
		}
		ran := (g.now - a.sent).Seconds()
		if ran > max(killTimes*a.wants, killLeast.Seconds()) && g.worthAgain(r) {
			g.cancel(a)
		}
	}
}

// overdue calls off an attempt whose answer the engine withholds, if another can still help. It should help
// where an engine loses some of its answers; one that only paused loses the work that it did until then.
func (g *Gateway) overdue(e ResponseOverdue) {
	r := g.requests[e.ID]
	if r != nil && !r.over && e.Attempt >= 0 && e.Attempt < len(r.attempts) && g.worthAgain(r) {
		g.cancel(r.attempts[e.Attempt])
	}
}

// yield gives what still runs of a request the lowest priority: it is past its aim, or nobody waits for it.
func (g *Gateway) yield(r *request) {
	if g.s.HonorsPriority && r.out > 0 {
		g.do(SetTerms{ID: r.ID, GrantMB: r.attempts[len(r.attempts)-1].grant, Priority: 0})
	}
}

// worthAgain reports whether a further attempt is permitted and can still be in time.
func (g *Gateway) worthAgain(r *request) bool {
	return g.s.MayCancel && r.EstimatedWork > 0 && len(r.attempts) < 2 &&
		r.class.Idempotency != NotIdempotent && g.inBudget(r) &&
		g.inWindow(r) && g.now+secs(againMargin*g.wants(r)) < r.end
}

// ---- Engine health ----

// observe learns from an outcome: cost, memory and usual times from answers, health from failures.
func (g *Gateway) observe(a *attempt, o AttemptEnded) {
	e := a.engine
	g.takeReport(e, o.Report)
	g.widen(a, o)
	switch o.Outcome {
	case OK:
		e.fullPause = 0
		g.letIn(a)
		g.learnFrom(a, o)
		g.good(e)
		g.blame(a.req)
	case NoConnection:
		g.fail(e, 2*badStep)
	case Error:
		a.erred = true
	case Reset:
		g.fail(e, badStep)
	case Rejected:
		g.turnedAway(a)
	case Timeout, Cancelled:
		if e.heard <= a.sent && !a.req.over {
			g.fail(e, badStep)
		}
	}
	if o.Outcome <= Rejected {
		e.heard = g.now
	}
}

// turnedAway: an engine that seems full rests for a while. One that is known to have room lets this class in
// at a rate only, which is looked for: resting it for all classes spent the ration on what it turned away.
func (g *Gateway) turnedAway(a *attempt) {
	e, t := a.engine, &a.engine.rates[a.req.Class]
	if !g.told || g.others(e)+e.threads >= fullLoad*g.target(e) {
		e.fullPause = min(max(fullPause, 2*e.fullPause), fullMost)
		e.fullUntil = g.now + e.fullPause
		g.believe(e, fullLoad*g.target(e))
		return
	}
	if a.sent < t.cutAt { // sent before the last cut showed
		return
	}
	if t.rate == 0 || g.now-t.cutAt > rateFor {
		t.rate = rateFirst
	}
	t.rate, t.cutAt = max(rateLeast, t.rate*rateDown), g.now
	t.next = g.now + secs(1/t.rate)
}

// letIn raises the rate of a class at an engine that let one of it in.
func (g *Gateway) letIn(a *attempt) {
	t := &a.engine.rates[a.req.Class]
	if a.sent >= t.cutAt {
		t.rate *= rateUp
	}
	if t.rate > rateMost || g.now-t.cutAt > rateFor {
		*t = letRate{}
	}
}

// blame counts the errors of a query against their engines once another engine has served it. Until then they
// may be the query's own: clients whose queries no engine can use had engine after engine shut out.
func (g *Gateway) blame(r *request) {
	for _, a := range r.attempts {
		if a.erred {
			a.erred = false
			g.fail(a.engine, badStep)
		}
	}
}

// takeReport notes what a report tells of the other gateways' work: running queries less our own, or else
// busy cores, which tell least when all are busy.
func (g *Gateway) takeReport(e *engine, r Report) {
	e.ownThen += ownStep * (float64(len(e.out)) - e.ownThen)
	n, counted := figure(r, Inflight)
	u, busy := figure(r, Util)
	switch {
	case counted:
		g.noteLoad(e, max(0, n-e.ownThen)*g.wave)
	case busy && g.s.Gateways > 1:
		g.noteLoad(e, max(0, g.target(e)*u/fullUtil-e.ownThen*g.wave))
	}
	g.adjust(e, r)
}

// noteLoad takes over what an engine is thought to hold of other gateways' threads, for it and for the mean.
func (g *Gateway) noteLoad(e *engine, threads float64) {
	g.mean += (1 - math.Exp(-float64(g.now-g.meanAt)/float64(meanAge))) * (threads/e.cores/g.warmth(e) - g.mean)
	g.told, g.meanAt = true, g.now
	g.believe(e, threads)
}

// ability is how many warm cores an engine is worth for the window, none while it is shut out.
func (g *Gateway) ability(e *engine) float64 {
	if g.ill(e) {
		return 0
	}
	return e.cores * g.warmth(e)
}

// strain is the load that the fleet is thought to hold, over that at which the window may fall.
func (g *Gateway) strain() float64 {
	return (g.mean + g.threads/g.able) / (windowStrain * targetThreads)
}

// firstWindow is the window before any outcome: near an even part of the fleet's target.
func (g *Gateway) firstWindow() float64 {
	return max(windowLeast/g.able, windowFirst*targetThreads/g.inService)
}

// widen moves the window of threads that this gateway may have out for each core that it can use: up with
// answers in time while it is in use, down with late answers, time-outs and work turned away. How attempts
// end is always seen, reports or not, and every gateway gives way in proportion. It may hurt where answers
// are late for another reason than load, such as costly queries.
func (g *Gateway) widen(a *attempt, o AttemptEnded) {
	strained := g.strain() > 1
	switch {
	case o.Outcome == OK && g.now <= a.req.due:
		if g.threads+a.threads > windowUse*g.window*g.able && !strained {
			g.window += windowUp * a.threads / g.able
		}
	case g.told && !strained: // it is not load that makes it late
	case o.Outcome == OK, o.Outcome == Rejected, o.Outcome == Timeout:
		fall := min(windowDown*a.threads/g.able, windowMost*g.window)
		g.window = max(g.window-g.unseen*fall, g.firstWindow()/windowSpan)
	}
}

// learnFrom takes an answer into the running figures. The first answers weigh most: a gateway that is one of
// hundreds sees a report a second, and with even steps would have learned its estimates' lies by the evening.
func (g *Gateway) learnFrom(a *attempt, o AttemptEnded) {
	c, r := a.req.class, a.req
	took, work, guess := o.Duration.Seconds(), o.Work.Seconds(), g.work(r)
	c.seen++
	weight := max(learn, 1/float64(c.seen+learnPrior))
	c.tail = max(1, c.tail*tailDown)
	if took > c.tail*a.wants {
		c.tail *= tailUp
	}
	c.took += weight * (min(took, 5*c.took) - c.took)
	ran := learn * min(4, took/max(c.took, 0.01)) / 4
	g.wave = g.meanThreads()
	g.grantThread += ran * (a.grant/a.threads - g.grantThread)
	if work <= 0 {
		work = took * c.threads / c.stretch
	} else {
		stretch := took / max(1e-3, work/c.threads)
		c.stretch = min(stretchMost, c.stretch+weight*(min(stretch, 3*c.stretch)-c.stretch))
	}
	c.usual += weight * (min(work, 5*c.usual) - c.usual)
	c.bias *= math.Exp(weight * max(-1.5, min(1.5, math.Log(max(1e-3, work)/guess))))
	if o.UsedMB > 0 && r.EstimatedMemoryMB > 0 {
		off := math.Log(o.UsedMB/r.EstimatedMemoryMB) - c.memory
		c.memory += weight * off
		c.memorySpread += weight * (off*off - c.memorySpread)
	}
}

func (g *Gateway) good(e *engine) {
	e.bad *= 1 - badStep
	if e.trial == 0 {
		return
	}
	if e.trial--; e.trial == 0 {
		e.pause = 0
		g.do(Log{fmt.Sprintf("engine %x is trusted again", uint64(e.ID))})
	}
}

// fail counts a failure; several in a row, or one on trial, shut the engine for a while. An engine that fails
// some of its work is worth more than none while others are full, so a few failures among answers do not.
func (g *Gateway) fail(e *engine, step float64) {
	e.bad += step * (1 - e.bad)
	if e.bad >= badShut || e.trial > 0 {
		g.shutOut(e)
	}
}

func (g *Gateway) shutOut(e *engine) {
	if e.shut {
		return
	}
	e.shut = true
	e.shutUntil = g.now + e.pause // the first probe goes out at once
	e.pause = min(max(shutFirst, 2*e.pause), shutMost)
	if !g.s.MayProbe {
		e.shutUntil = g.now + e.pause
	}
	g.do(Log{fmt.Sprintf("engine %x is shut out for %v", uint64(e.ID), e.shutUntil-g.now)})
}

// watch reopens a shut engine on trial when its pause is over, and shuts one that answers nothing.
func (g *Gateway) watch(e *engine) {
	if e.shut && g.now >= e.shutUntil {
		if g.s.MayProbe && !e.probing && e.Health == Ready {
			g.probe(e)
		} else if !g.s.MayProbe {
			g.onTrial(e)
		}
	}
	silence, suspect := g.silence(e)
	if e.shut || !suspect {
		return
	}
	if g.s.MayProbe && !e.probing && g.now >= e.probeAt {
		g.probe(e)
	}
	if silence >= silentProof {
		g.abandon(e)
	}
}

func (g *Gateway) probe(e *engine) {
	e.probing, e.probeAt = true, g.now+probeEvery
	g.do(Probe{e.ID})
}

// abandon shuts an engine that answers nothing and takes away what can still be done elsewhere.
func (g *Gateway) abandon(e *engine) {
	g.shutOut(e)
	for _, a := range e.out {
		if g.worthAgain(a.req) {
			g.cancel(a)
		}
	}
}

// silence adds up, over the attempts out at an engine that has answered nothing meanwhile, the times that
// they have waited in the longest usual ones, and reports whether one of them makes the engine suspect. A
// gateway that holds one query there must not take a long query for a hang: hundreds that do so drive the
// load onto the rest. It hurts where an engine hangs and the only query there could still be saved.
func (g *Gateway) silence(e *engine) (proof float64, suspect bool) {
	for _, a := range e.out {
		if a.sent < e.openedAt {
			continue
		}
		longest := max(silentLeast.Seconds(), silentTimes*a.req.class.tail*a.wants)
		waited := (g.now - max(a.sent, e.heard)).Seconds() / longest
		if waited > 1 {
			proof += waited
		}
		suspect = suspect || waited > suspectShare
	}
	return proof, suspect
}

// onTrial reopens an engine for one query at a time. What it left unanswered before does not count: else one
// slow query would keep it shut for as long as that runs.
func (g *Gateway) onTrial(e *engine) { e.shut, e.trial, e.bad, e.openedAt = false, trialWins, 0, g.now }

func (g *Gateway) probed(p ProbeEnded) {
	e := g.byID[p.Engine]
	if e == nil || !e.probing {
		return
	}
	wasShut := e.shut
	e.probing, e.shut = false, false
	if p.Outcome != OK {
		g.abandon(e)
		return
	}
	g.takeReport(e, p.Report)
	if wasShut {
		g.onTrial(e)
	}
}

// ill reports whether health keeps an engine from work; if most engines look bad, health is not believed.
func (g *Gateway) ill(e *engine) bool {
	if !e.shut && (e.trial == 0 || len(e.out) == 0 || e.out[len(e.out)-1].sent < e.openedAt) {
		return false
	}
	shut := filter(g.ready, func(o *engine) bool { return o.shut })
	return float64(len(shut)) <= panicShare*float64(len(g.ready))
}

// ---- Guards: one small function for each rule; every send passes them in send ----

// allowed asks the guards that depend on the engine.
func (g *Gateway) allowed(r *request, e *engine) bool {
	return g.notDraining(e) && g.placed(r, e) && g.sameGroup(r, e) && g.coldBudget(r, e)
}

// mayGo asks the guards that do not.
func (g *Gateway) mayGo(r *request) bool {
	return g.alive(r) && g.alone(r) && g.mayRepeat(r) && g.inWindow(r) && g.inTurn(r) && g.inBudget(r)
}

// alive: nothing is sent for a request that is over, or beyond its attempts (rule 1).
func (g *Gateway) alive(r *request) bool {
	return !r.over && r.end > g.now && (g.s.MaxAttempts <= 0 || len(r.attempts)+r.resent < g.s.MaxAttempts)
}

// alone: never two attempts together (this module sends no second copies).
func (g *Gateway) alone(r *request) bool { return r.out == 0 }

// mayRepeat: an unsafe query that may have run is not sent again (rule 2).
func (g *Gateway) mayRepeat(r *request) bool {
	return r.class.Idempotency != NotIdempotent || r.mayRun == nil
}

// inWindow: a keyed query that may have run goes out again only while its repeats are dropped (rule 2).
func (g *Gateway) inWindow(r *request) bool {
	return r.class.Idempotency != IdempotentWithKey || r.mayRun == nil ||
		g.now-r.mayRun.sent < r.class.DedupWindow-g.s.Tick*2
}

// sameGroup: and only to the engines that drop them (rule 2).
func (g *Gateway) sameGroup(r *request, e *engine) bool {
	if r.class.Idempotency != IdempotentWithKey || r.mayRun == nil || r.class.DedupScope == DedupAll {
		return true
	}
	first := r.mayRun.engine
	return first.Zone == e.Zone && (r.class.DedupScope == DedupZone || first.Cell == e.Cell)
}

// mayRefuse: a refusal says that trying again is harmless (rule 2).
func (g *Gateway) mayRefuse(r *request) bool {
	return r.class.Idempotency == Idempotent || r.mayRun == nil ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll
}

// notDraining: nothing new once told (rule 3).
func (g *Gateway) notDraining(e *engine) bool { return e.Health == Ready }

// cold reports whether the engine may still be warming up.
func (g *Gateway) cold(e *engine) bool {
	return e.Started > 0 && g.now-e.Started < g.s.Rules.WarmupTime
}

// coldBudget: this gateway's part of what a cold engine may be sent within the span (rule 4). An equal part
// of many gateways is less than one query, so they take turns by their own number, the same for every
// gateway that knows when the engine started: each span has its turns, two spans together stay under the
// budget. A gateway that has just started does not know what it sent before and waits a span.
func (g *Gateway) coldBudget(r *request, e *engine) bool {
	ru := g.s.Rules
	if !g.cold(e) || ru.WarmupBudgetMultiple <= 0 || ru.WarmupBudgetSpan <= 0 {
		return true
	}
	if g.now-g.started < ru.WarmupBudgetSpan && e.Started < g.started {
		return false
	}
	turn := int((g.now - e.Started) / ru.WarmupBudgetSpan)
	sized := g.classes[turn%len(g.classes)] // each span's shares fit another class
	n := float64(g.s.Gateways)
	budget := coldMargin * ru.InitialCapacityShare * e.cores *
		ru.WarmupBudgetMultiple * ru.WarmupBudgetSpan.Seconds()
	together := min(n, max(1, math.Floor(budget/2/max(1e-3, coldQuery*coldWork*sized.usual))))
	rounds := int(math.Ceil(n / together))
	if (turn/len(g.classes)+g.s.Number+int(e.ID&0xffff))%rounds != 0 {
		return false
	}
	part := budget / min(n, 2*together) // of those whose turns a span can touch
	return e.sentWork.total(g.now, ru.WarmupBudgetSpan+g.s.Tick)+g.coldCharge(r) <= part
}

// coldCharge is what a query counts there: its work, half its class's usual at least; cold engines read more.
func (g *Gateway) coldCharge(r *request) float64 {
	return coldWork * max(g.work(r), r.class.usual/2)
}

// inTurn: queries of one key run one at a time, in the order they were taken (rule 5).
func (g *Gateway) inTurn(r *request) bool {
	if !r.class.Ordered || r.Key == 0 {
		return true
	}
	k := g.keys[r.Key]
	return k.line[0] == r && (g.now >= k.restUntil || k.restOf == r)
}

// placed: a class that is bound goes only where it may (rule 6).
func (g *Gateway) placed(r *request, e *engine) bool {
	c := &r.class.Class
	return (!c.RestrictZones || slices.Contains(c.Zones, e.Zone)) &&
		(!c.RestrictKinds || slices.Contains(c.Kinds, e.Kind))
}

// inBudget: further attempts stay within a share of the requests taken (rule 7).
func (g *Gateway) inBudget(r *request) bool {
	ru := g.s.Rules
	if !ru.RetryBudget || len(r.attempts) == 0 {
		return true
	}
	ration := ru.FreeRetries + ru.RetryShare*g.taken.total(g.now, ru.RetryBudgetSpan-g.s.Tick)
	if g.worthLittle(r) {
		ration *= cheapExtras
	}
	return g.extras.total(g.now, ru.RetryBudgetSpan+g.s.Tick)+1 <= ration
}

// worthLittle reports whether a query is worth less than the mean one.
func (g *Gateway) worthLittle(r *request) bool {
	worth := sum(g.classes, func(c *class) float64 { return float64(c.seen+1) * c.Weight })
	return r.class.Weight*sum(g.classes, func(c *class) float64 { return float64(c.seen + 1) }) < worth
}
