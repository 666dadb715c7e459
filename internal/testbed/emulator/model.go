// Package emulator emulates the platform's query engines and their clients on loopback: a small model of an engine, a
// server that puts the model behind the platform's HTTP protocol, open-loop clients, baseline gateways to compare with,
// and faults that a version of the program can be given. The queries of a model share its cores and disks fluidly, as
// the platform's pages describe; its figures are no measurements. The package starts no processes of the program and
// decides nothing for a gateway. The program's tests, package testfleet and cmd/fleettest use it.
package emulator

import (
	"math"
	"slices"
	"time"
)

// Spec describes an engine's machine. The zero value of CollapseWindow makes an engine that never collapses.
type Spec struct {
	Cores                float64
	KneeThreadsPerCore   float64       // threads for each core; with more the throughput falls
	ThrashExponent       float64       // of that fall
	DiskThreads          float64       // threads that may read at once at full speed
	MemoryMB             float64       // with more in use all queries slow down ...
	PagingExponent       float64       // ... by this power of memory in use over MemoryMB
	CachedGroups         int           // table groups that stay in the cache: the last ones read
	CacheSaving          float64       // share of its reading that a query of a cached group saves
	InitialCapacityShare float64       // share of its capacity that an engine has at its start
	WarmUpDuration       time.Duration // until it has all of it
	MaxQueries           int           // that run at once; a further one is rejected
	CollapseFactor       float64       // times its present capacity that an engine may be sent while warming up ...
	CollapseWindow       time.Duration // ... in this time; with more it collapses. 0 = never
}

// DefaultSpec returns an engine with so many cores, much as the platform's pages describe one.
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

// Query is what one query costs an engine.
type Query struct {
	ID         string
	Work       float64 // seconds on one thread at full speed
	Threads    float64
	IO         float64 // share of the work that is reading
	MemoryMB   float64
	Group      int  // the table group that it reads
	IsDataLoad bool // it locks its group: further loads of the group wait for it
}

// runningQuery is a query that has not ended.
type runningQuery struct {
	Query
	left float64 // work still to be done, in seconds on one thread
	rate float64 // work done in a second; 0 while it waits for another load
}

// Load is an engine's load at one moment.
type Load struct {
	Queries     int
	Threads     float64
	MemoryShare float64 // share of the memory in use, at most 1
	DiskShare   float64 // share of the disks in use, at most 1
	WorkDone    float64 // work done since the start, in seconds on one thread
}

// Model is the model of one engine. It has no clock: its caller advances it, never backwards, and synchronizes access.
type Model struct {
	spec         Spec
	stolenShare  float64 // share of the machine that other programs take
	started      time.Duration
	warmingUp    bool
	now          time.Duration
	running      []*runningQuery
	warmGroups   []int // table groups, the last read first
	done         float64
	warmUpWork   []workSent // work sent while cold
	collapsed    bool
	peakPressure WarmUpLoad
}

// WarmUpLoad is the work that an engine was sent within CollapseWindow while warming up, and the work at which it may
// collapse, both in seconds on one thread.
type WarmUpLoad struct{ Sent, Limit float64 }

// workSent is the work of one query and when it was sent.
type workSent struct {
	at   time.Duration
	work float64
}

// NewModel returns an engine that starts at now. One that is not warming up has its full capacity at once.
func NewModel(spec Spec, now time.Duration, warmingUp bool) *Model {
	return &Model{spec: spec, now: now, started: now, warmingUp: warmingUp}
}

// SetStolenShare advances the model to now and sets the share of the machine, from 0 to 1, that other programs take. It
// returns the queries that ended by now.
func (m *Model) SetStolenShare(now time.Duration, share float64) []string {
	ended := m.Advance(now)
	m.stolenShare = share
	m.recomputeRates()
	return ended
}

// Collapsed reports whether the engine, while warming up, was sent more than it bears. It then rejects every query.
func (m *Model) Collapsed() bool { return m.collapsed }

// warmUpFactor is the share of its capacity that the engine has now.
func (m *Model) warmUpFactor() float64 {
	since := m.now - m.started
	if !m.warmingUp || since >= m.spec.WarmUpDuration {
		return 1
	}
	return m.spec.InitialCapacityShare + (1-m.spec.InitialCapacityShare)*float64(since)/float64(m.spec.WarmUpDuration)
}

// Start starts a query, or returns false if the engine is full, has collapsed or has too little memory for the query at any time. The
// caller has advanced the model to now.
func (m *Model) Start(q Query) bool {
	if m.collapsed {
		return false
	}
	m.recordWarmUpWork(q.Work) // rejected queries cost the engine something too
	if len(m.running) >= m.spec.MaxQueries || q.MemoryMB > m.spec.MemoryMB {
		return false
	}
	r := &runningQuery{Query: q, left: q.Work}
	if at := slices.Index(m.warmGroups, q.Group); at >= 0 {
		r.left *= 1 - q.IO*m.spec.CacheSaving
		m.warmGroups = slices.Delete(m.warmGroups, at, at+1)
	}
	m.warmGroups = slices.Insert(m.warmGroups, 0, q.Group)
	if len(m.warmGroups) > m.spec.CachedGroups {
		m.warmGroups = m.warmGroups[:m.spec.CachedGroups]
	}
	m.running = append(m.running, r)
	m.recomputeRates()
	return true
}

// recordWarmUpWork adds a query's work to what the engine was sent while warming up, and decides whether it collapses.
func (m *Model) recordWarmUpWork(work float64) {
	if m.spec.CollapseWindow <= 0 || m.warmUpFactor() >= 1 {
		return
	}
	m.warmUpWork = append(m.warmUpWork, workSent{m.now, work})
	m.warmUpWork = slices.DeleteFunc(m.warmUpWork, func(c workSent) bool { return c.at < m.now-m.spec.CollapseWindow })
	sum := 0.0
	for _, c := range m.warmUpWork {
		sum += c.work
	}
	// The operators' rule: an engine collapses at more than N + 3 * sqrt(N) + 3 queries of mean work. Here N is in work.
	bears := m.spec.CollapseFactor * m.spec.Cores * m.warmUpFactor() * m.spec.CollapseWindow.Seconds()
	m.collapsed = m.collapsed || sum > bears+3*math.Sqrt(bears)+3
	if m.peakPressure.Limit == 0 || sum/bears > m.peakPressure.Sent/m.peakPressure.Limit {
		m.peakPressure = WarmUpLoad{sum, bears}
	}
}

// PeakWarmUpLoad returns the highest pressure, relative to what the engine bears; zero if it was never warming up.
func (m *Model) PeakWarmUpLoad() WarmUpLoad { return m.peakPressure }

// Cancel removes a query; an unknown one is ignored.
func (m *Model) Cancel(id string) {
	m.running = slices.DeleteFunc(m.running, func(r *runningQuery) bool { return r.ID == id })
	m.recomputeRates()
}

// demand is what the queries that make progress ask of the machine.
type demand struct {
	cpu, io float64 // threads
	memory  float64 // MB, of the waiting queries too
}

// recomputeRates sets how fast each query runs until the next change.
func (m *Model) recomputeRates() {
	locks := m.groupLocks()
	waits := func(r *runningQuery) bool { return r.IsDataLoad && locks[r.Group] != r }
	var d demand
	for _, r := range m.running {
		d.memory += r.MemoryMB
		if !waits(r) {
			d.cpu += r.Threads * (1 - r.IO)
			d.io += r.Threads * r.IO
		}
	}
	slowCPU := max(1, d.cpu/m.effectiveCores(d.cpu+d.io))
	slowIO := max(1, d.io/m.spec.DiskThreads)
	paging := 1.0
	if used := d.memory / m.spec.MemoryMB; used > 1 {
		paging = math.Pow(used, m.spec.PagingExponent)
	}
	for _, r := range m.running {
		r.rate = r.Threads / ((1-r.IO)*slowCPU + r.IO*slowIO) / paging
		if waits(r) {
			r.rate = 0
		}
	}
}

// groupLocks is the load that holds the lock of each table group: the first of those that run.
func (m *Model) groupLocks() map[int]*runningQuery {
	locks := map[int]*runningQuery{}
	for _, r := range m.running {
		if r.IsDataLoad && locks[r.Group] == nil {
			locks[r.Group] = r
		}
	}
	return locks
}

// effectiveCores is how many cores' work the engine does with so many threads: less while it warms up, while other
// programs take their share, and with more threads than the knee.
func (m *Model) effectiveCores(threads float64) float64 {
	cores := m.spec.Cores * (1 - m.stolenShare) * m.warmUpFactor()
	if crowd := threads / (m.spec.KneeThreadsPerCore * m.spec.Cores); crowd > 1 {
		cores *= math.Pow(crowd, -m.spec.ThrashExponent)
	}
	return cores
}

// maxWarmUpStep bounds the time for which the capacity of an engine that warms up is taken as constant.
const maxWarmUpStep = 250 * time.Millisecond

// NextChange returns when the model has to be advanced at the latest; false while nothing runs.
func (m *Model) NextChange() (time.Duration, bool) {
	shortest := math.Inf(1) // seconds
	for _, r := range m.running {
		if r.rate > 0 {
			shortest = min(shortest, r.left/r.rate)
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

// doneTolerance is the work, in seconds on one thread, below which a query counts as done: rounding leaves some.
const doneTolerance = 1e-9

// Advance advances the model to now and returns the queries that have ended, in the order of their ends.
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

// advanceTo does the work until at, with the rates unchanged, and removes the queries that have ended.
func (m *Model) advanceTo(at time.Duration) (ended []string) {
	elapsed := (at - m.now).Seconds()
	m.now = at
	for _, r := range m.running {
		m.done += min(r.left, r.rate*elapsed)
		r.left -= r.rate * elapsed
	}
	m.running = slices.DeleteFunc(m.running, func(r *runningQuery) bool {
		done := r.left <= doneTolerance
		if done {
			ended = append(ended, r.ID)
		}
		return done
	})
	return ended
}

// Load returns the engine's load now.
func (m *Model) Load() Load {
	l := Load{Queries: len(m.running), WorkDone: m.done}
	for _, r := range m.running {
		l.Threads += r.Threads
		l.MemoryShare += r.MemoryMB / m.spec.MemoryMB
		l.DiskShare += r.Threads * r.IO / m.spec.DiskThreads
	}
	l.MemoryShare, l.DiskShare = min(1, l.MemoryShare), min(1, l.DiskShare)
	return l
}
