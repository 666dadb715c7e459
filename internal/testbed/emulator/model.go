// Package emulator emulates the platform's query engines and their clients on loopback. It contains a fluid model of an
// engine, a server that exposes the model over the platform's HTTP protocol, open-loop clients, baseline gateways for
// comparison, and faults that can be injected into a version of the program. The queries of a model share its cores and
// disks, as the platform's documentation describes; the model's parameters are assumptions, not measurements. The package
// starts no processes of the program and makes no decisions for a gateway. The program's tests, packages soak and testfleet
// and cmd/fleettest use it.
package emulator

import (
	"math"
	"slices"
	"time"
)

// Spec describes the capacity of an engine. An engine whose CollapseWindow is zero never collapses.
type Spec struct {
	Cores                float64
	KneeThreadsPerCore   float64       // number of threads per core above which the throughput falls
	ThrashExponent       float64       // exponent of the throughput loss above the knee
	DiskThreads          float64       // threads that can read concurrently at full speed
	MemoryMB             float64       // physical memory; with more in use, all queries slow down
	PagingExponent       float64       // queries slow down by (memory in use / MemoryMB) to this power
	CachedGroups         int           // number of table groups in the cache: the most recently read ones
	CacheSaving          float64       // share of its read work that a query of a cached group saves
	InitialCapacityShare float64       // share of its capacity that an engine has when it starts warming up
	WarmUpDuration       time.Duration // time from the start until the engine has its full capacity
	MaxQueries           int           // maximum number of concurrent queries; further ones are rejected
	CollapseFactor       float64       // work, in multiples of the current capacity, that an engine tolerates in a CollapseWindow while warming up
	CollapseWindow       time.Duration // window over which CollapseFactor applies; with much more work the engine collapses. 0 = never
}

// DefaultSpec returns the spec of an engine with this number of cores, similar to the engines in the platform's
// documentation.
func DefaultSpec(cores float64) Spec {
	return Spec{
		Cores:                cores,
		KneeThreadsPerCore:   1.7,
		ThrashExponent:       0.65,
		DiskThreads:          cores * 0.6,
		MemoryMB:             cores * 2048,
		PagingExponent:       2.4,
		CachedGroups:         4,
		CacheSaving:          0.55,
		InitialCapacityShare: 0.35,
		WarmUpDuration:       12 * time.Second,
		MaxQueries:           int(8 * cores),
		CollapseFactor:       3,
		CollapseWindow:       2 * time.Second,
	}
}

// Query is a query with its cost to an engine.
type Query struct {
	ID         string
	Work       float64 // seconds on one thread at full speed
	Threads    float64
	IO         float64 // share of the work that is reads
	MemoryMB   float64
	Group      int  // table group that it reads
	IsDataLoad bool // locks its table group: other data loads of the group wait for it
}

// runningQuery is a query that is running or waits for the lock of its table group.
type runningQuery struct {
	Query
	remaining float64 // remaining work, in seconds on one thread
	rate      float64 // work done per second; 0 while it waits for another data load
}

// Load is an engine's load at a point in time.
type Load struct {
	Queries     int     // running or waiting for a lock
	Threads     float64 // threads of these queries
	MemoryShare float64 // share of the memory in use, at most 1
	DiskShare   float64 // share of the disks in use, at most 1
	WorkDone    float64 // work done since the start, in seconds on one thread
}

// Model is a model of one engine. It has no clock: the caller advances its time, never backwards, and synchronizes access.
type Model struct {
	spec           Spec
	stolenShare    float64 // share of the cores that other programs use
	startedAt      time.Duration
	warmingUp      bool
	now            time.Duration
	running        []*runningQuery
	cachedGroups   []int // cached table groups, the most recently read first
	workDone       float64
	warmUpWork     []submittedWork // work sent within CollapseWindow while warming up
	collapsed      bool
	peakWarmUpLoad WarmUpLoad
}

// WarmUpLoad is the work that an engine was sent within CollapseWindow while warming up, and the work above which it may
// collapse. Both are in seconds on one thread.
type WarmUpLoad struct{ Sent, Limit float64 }

// submittedWork is the work of a query and the time when it was sent.
type submittedWork struct {
	at   time.Duration
	work float64
}

// NewModel returns the model of an engine that starts at now. An engine that is not warming up has its full capacity from
// the start.
func NewModel(spec Spec, now time.Duration, warmingUp bool) *Model {
	return &Model{spec: spec, now: now, startedAt: now, warmingUp: warmingUp}
}

// SetStolenShare advances the model to now and sets the share of the cores, from 0 to 1, that other programs use from then
// on. It returns the queries that ended by now.
func (m *Model) SetStolenShare(now time.Duration, share float64) []string {
	ended := m.Advance(now)
	m.stolenShare = share
	m.recomputeRates()
	return ended
}

// Collapsed reports whether the engine has collapsed from overload while warming up. It then rejects every query.
func (m *Model) Collapsed() bool { return m.collapsed }

// warmUpFactor returns the share of its full capacity that the engine has now.
func (m *Model) warmUpFactor() float64 {
	since := m.now - m.startedAt
	if !m.warmingUp || since >= m.spec.WarmUpDuration {
		return 1
	}
	return m.spec.InitialCapacityShare + (1-m.spec.InitialCapacityShare)*float64(since)/float64(m.spec.WarmUpDuration)
}

// Start starts a query. It returns false if the engine is full, has collapsed, or has less memory in total than the query
// needs. The caller must have advanced the model to now.
func (m *Model) Start(q Query) bool {
	if m.collapsed {
		return false
	}
	m.recordWarmUpWork(q.Work) // rejected queries also load the engine
	if len(m.running) >= m.spec.MaxQueries || q.MemoryMB > m.spec.MemoryMB {
		return false
	}
	r := &runningQuery{Query: q, remaining: q.Work}
	if at := slices.Index(m.cachedGroups, q.Group); at >= 0 {
		r.remaining *= 1 - q.IO*m.spec.CacheSaving
		m.cachedGroups = slices.Delete(m.cachedGroups, at, at+1)
	}
	m.cachedGroups = slices.Insert(m.cachedGroups, 0, q.Group)
	if len(m.cachedGroups) > m.spec.CachedGroups {
		m.cachedGroups = m.cachedGroups[:m.spec.CachedGroups]
	}
	m.running = append(m.running, r)
	m.recomputeRates()
	return true
}

// recordWarmUpWork adds a query's work to the work that the engine was sent while warming up, and updates collapsed.
func (m *Model) recordWarmUpWork(work float64) {
	if m.spec.CollapseWindow <= 0 || m.warmUpFactor() >= 1 {
		return
	}
	m.warmUpWork = append(m.warmUpWork, submittedWork{m.now, work})
	m.warmUpWork = slices.DeleteFunc(m.warmUpWork, func(c submittedWork) bool { return c.at < m.now-m.spec.CollapseWindow })
	sum := 0.0
	for _, c := range m.warmUpWork {
		sum += c.work
	}
	// The operators' rule is that an engine collapses at more than N + 3 * sqrt(N) + 3 queries of mean work. Here N is
	// measured in work instead of queries.
	limit := m.spec.CollapseFactor * m.spec.Cores * m.warmUpFactor() * m.spec.CollapseWindow.Seconds()
	m.collapsed = m.collapsed || sum > limit+3*math.Sqrt(limit)+3
	if m.peakWarmUpLoad.Limit == 0 || sum/limit > m.peakWarmUpLoad.Sent/m.peakWarmUpLoad.Limit {
		m.peakWarmUpLoad = WarmUpLoad{sum, limit}
	}
}

// PeakWarmUpLoad returns the load with the highest ratio to its limit; zero if no work was recorded during warm-up.
func (m *Model) PeakWarmUpLoad() WarmUpLoad { return m.peakWarmUpLoad }

// Cancel removes a query. An unknown ID is ignored.
func (m *Model) Cancel(id string) {
	m.running = slices.DeleteFunc(m.running, func(r *runningQuery) bool { return r.ID == id })
	m.recomputeRates()
}

// resourceDemand is the demand of the running queries on an engine's resources.
type resourceDemand struct {
	cpu, io float64 // threads
	memory  float64 // MB, including queries that wait for a lock
}

// recomputeRates updates the rate of each query, which holds until the next change.
func (m *Model) recomputeRates() {
	locks := m.lockHolders()
	waits := func(r *runningQuery) bool { return r.IsDataLoad && locks[r.Group] != r }
	var d resourceDemand
	for _, r := range m.running {
		d.memory += r.MemoryMB
		if !waits(r) {
			d.cpu += r.Threads * (1 - r.IO)
			d.io += r.Threads * r.IO
		}
	}
	cpuSlowdown := max(1, d.cpu/m.effectiveCores(d.cpu+d.io))
	ioSlowdown := max(1, d.io/m.spec.DiskThreads)
	paging := 1.0
	if used := d.memory / m.spec.MemoryMB; used > 1 {
		paging = math.Pow(used, m.spec.PagingExponent)
	}
	for _, r := range m.running {
		r.rate = r.Threads / ((1-r.IO)*cpuSlowdown + r.IO*ioSlowdown) / paging
		if waits(r) {
			r.rate = 0
		}
	}
}

// lockHolders returns the data load that holds the lock of each table group: the one that started first.
func (m *Model) lockHolders() map[int]*runningQuery {
	locks := map[int]*runningQuery{}
	for _, r := range m.running {
		if r.IsDataLoad && locks[r.Group] == nil {
			locks[r.Group] = r
		}
	}
	return locks
}

// effectiveCores returns the engine's throughput with this number of threads, as a number of cores. It is lower during
// warm-up, while other programs use part of the cores, and with more threads per core than KneeThreadsPerCore.
func (m *Model) effectiveCores(threads float64) float64 {
	cores := m.spec.Cores * (1 - m.stolenShare) * m.warmUpFactor()
	if oversubscription := threads / (m.spec.KneeThreadsPerCore * m.spec.Cores); oversubscription > 1 {
		cores *= math.Pow(oversubscription, -m.spec.ThrashExponent)
	}
	return cores
}

// maxWarmUpStep limits the time for which the capacity of an engine that is warming up is treated as constant.
const maxWarmUpStep = 250 * time.Millisecond

// NextChange returns the time by which the model must be advanced; false if no query makes progress.
func (m *Model) NextChange() (time.Duration, bool) {
	shortest := math.Inf(1) // seconds
	for _, r := range m.running {
		if r.rate > 0 {
			shortest = min(shortest, r.remaining/r.rate)
		}
	}
	if math.IsInf(shortest, 1) {
		return 0, false
	}
	wait := time.Duration(math.Ceil(shortest * float64(time.Second)))
	if m.warmUpFactor() < 1 {
		wait = min(wait, maxWarmUpStep)
	}
	return m.now + wait, true
}

// doneTolerance is the remaining work, in seconds on one thread, at which a query counts as done; it absorbs rounding errors.
const doneTolerance = 1e-9

// Advance advances the model to now and returns the queries that ended, in the order in which they ended.
func (m *Model) Advance(now time.Duration) (ended []string) {
	for m.now < now {
		at, changes := m.NextChange()
		if !changes || at > now {
			at = now
		}
		if at == m.now {
			at++
		}
		ended = append(ended, m.advanceTo(at)...)
		m.recomputeRates()
	}
	return ended
}

// advanceTo advances the model to at with constant rates, and removes and returns the queries that ended.
func (m *Model) advanceTo(at time.Duration) (ended []string) {
	elapsed := (at - m.now).Seconds()
	m.now = at
	for _, r := range m.running {
		m.workDone += min(r.remaining, r.rate*elapsed)
		r.remaining -= r.rate * elapsed
	}
	m.running = slices.DeleteFunc(m.running, func(r *runningQuery) bool {
		done := r.remaining <= doneTolerance
		if done {
			ended = append(ended, r.ID)
		}
		return done
	})
	return ended
}

// Load returns the engine's current load.
func (m *Model) Load() Load {
	l := Load{Queries: len(m.running), WorkDone: m.workDone}
	for _, r := range m.running {
		l.Threads += r.Threads
		l.MemoryShare += r.MemoryMB / m.spec.MemoryMB
		l.DiskShare += r.Threads * r.IO / m.spec.DiskThreads
	}
	l.MemoryShare, l.DiskShare = min(1, l.MemoryShare), min(1, l.DiskShare)
	return l
}
