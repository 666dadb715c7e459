// Package emulator is a small model of the platform's query engines, and servers that put it behind the platform's HTTP
// protocol on loopback: what tests and cmd/fleettest run fleets of gateways against. It is a model, not a measurement:
// queries share cores and disks fluidly, as the platform's pages describe.
package emulator

import (
	"math"
	"slices"
	"time"
)

// Spec is what an engine is made of.
type Spec struct {
	Cores      float64
	Knee       float64       // threads a core beyond which the work done in all falls
	Thrash     float64       // exponent of that fall
	Disks      float64       // threads that may read at once at full speed
	MemoryMB   float64       // beyond it all slow down ...
	Page       float64       // ... by this power of the excess
	WarmGroups int           // table groups that stay warm, the last read
	WarmGain   float64       // share of the reading that a warm group saves
	ColdFrom   float64       // share of its capacity that a start begins with
	ColdFor    time.Duration // until it has all
	Slots      int           // queries that it lets in; beyond it is full
	FallTimes  float64       // times its present capacity that a cold one may be sent ...
	FallSpan   time.Duration // ... in this time; beyond it falls over. 0 = it never does
}

// DefaultSpec is an engine about as the site's pages draw one, with so many cores.
func DefaultSpec(cores float64) Spec {
	return Spec{Cores: cores, Knee: 1.7, Thrash: 0.65, Disks: cores * 0.6, MemoryMB: cores * 2048, Page: 2.4,
		WarmGroups: 4, WarmGain: 0.55, ColdFrom: 0.35, ColdFor: 12 * time.Second, Slots: int(8 * cores),
		FallTimes: 3, FallSpan: 2 * time.Second}
}

// Query is one piece of work.
type Query struct {
	ID      string
	Work    float64 // seconds on one thread at full speed
	Threads float64
	IO      float64 // share of the work that is reading
	NeedMB  float64
	Group   int  // the table group that it reads
	Load    bool // it holds its group: other loads of it stand still
}

type running struct {
	Query
	left float64 // seconds of work on one thread
	rate float64 // of that a second
}

// Load is what an engine holds in a moment.
type Load struct {
	Queries int
	Threads float64
	Granted float64 // share of the memory
	Reading float64 // share of the disks, 1 at the most
	Done    float64 // work done since the start, thread seconds
}

// Model is one engine. It is handed the time, which never runs backwards, and knows no clock.
type Model struct {
	spec    Spec
	slow    float64 // share of the machine that other programs take
	began   time.Duration
	cold    bool
	now     time.Duration
	queries []*running
	warm    []int // table groups, the last read first
	done    float64
	sent    []charge // work sent while cold
	fallen  bool
	pressed Pressure
}

// Pressure is the most that an engine was sent while cold, against what it bears: in seconds of work, over the span in which
// it may fall.
type Pressure struct{ Sent, Bears float64 }

type charge struct {
	at   time.Duration
	work float64
}

// NewModel makes an engine that starts at now; one that is not cold has its whole capacity at once.
func NewModel(spec Spec, now time.Duration, cold bool) *Model {
	return &Model{spec: spec, now: now, began: now, cold: cold}
}

// Slow has other programs take a share of the machine.
func (m *Model) Slow(now time.Duration, share float64) []string {
	ended := m.Advance(now)
	m.slow = share
	m.share()
	return ended
}

// Fallen reports whether the engine, while cold, was sent more than it bears.
func (m *Model) Fallen() bool { return m.fallen }

// warmth is the share of its capacity that the engine has since its start.
func (m *Model) warmth() float64 {
	since := m.now - m.began
	if !m.cold || since >= m.spec.ColdFor {
		return 1
	}
	return m.spec.ColdFrom + (1-m.spec.ColdFrom)*float64(since)/float64(m.spec.ColdFor)
}

// Start takes a query in; false means that the engine is full. The caller has advanced the model to now.
func (m *Model) Start(q Query) bool {
	if m.fallen {
		return false
	}
	m.charge(q.Work) // what is turned away presses too
	if len(m.queries) >= m.spec.Slots {
		return false
	}
	r := &running{Query: q, left: q.Work}
	if at := slices.Index(m.warm, q.Group); at >= 0 {
		r.left *= 1 - q.IO*m.spec.WarmGain
		m.warm = slices.Delete(m.warm, at, at+1)
	}
	m.warm = slices.Insert(m.warm, 0, q.Group)
	if len(m.warm) > m.spec.WarmGroups {
		m.warm = m.warm[:m.spec.WarmGroups]
	}
	m.queries = append(m.queries, r)
	m.share()
	return true
}

// charge counts what a cold engine is sent.
func (m *Model) charge(work float64) {
	if m.spec.FallSpan <= 0 || m.warmth() >= 1 {
		return
	}
	m.sent = append(m.sent, charge{m.now, work})
	m.sent = slices.DeleteFunc(m.sent, func(c charge) bool { return c.at < m.now-m.spec.FallSpan })
	sum := 0.0
	for _, c := range m.sent {
		sum += c.work
	}
	// As the operators word it, a fall takes more than N + 3 x root of N + 3 queries of mean work; here in work.
	bears := m.spec.FallTimes * m.spec.Cores * m.warmth() * m.spec.FallSpan.Seconds()
	m.fallen = m.fallen || sum > bears+3*math.Sqrt(bears)+3
	if m.pressed.Bears == 0 || sum/bears > m.pressed.Sent/m.pressed.Bears {
		m.pressed = Pressure{sum, bears}
	}
}

// Pressed is the most that it was sent while cold; zero if it never was.
func (m *Model) Pressed() Pressure { return m.pressed }

// Cancel takes a query out.
func (m *Model) Cancel(id string) {
	m.queries = slices.DeleteFunc(m.queries, func(r *running) bool { return r.ID == id })
	m.share()
}

// share works out how fast each query runs until the next change.
func (m *Model) share() {
	holds := map[int]*running{} // the first load of each group
	for _, r := range m.queries {
		if r.Load && holds[r.Group] == nil {
			holds[r.Group] = r
		}
	}
	var cpu, io, memory float64
	still := func(r *running) bool { return r.Load && holds[r.Group] != r }
	for _, r := range m.queries {
		memory += r.NeedMB
		if !still(r) {
			cpu += r.Threads * (1 - r.IO)
			io += r.Threads * r.IO
		}
	}
	cores := m.spec.Cores * (1 - m.slow) * m.warmth()
	if crowd := (cpu + io) / (m.spec.Knee * m.spec.Cores); crowd > 1 {
		cores *= math.Pow(crowd, -m.spec.Thrash)
	}
	slowCPU, slowIO, paging := max(1, cpu/cores), max(1, io/m.spec.Disks), 1.0
	if over := memory / m.spec.MemoryMB; over > 1 {
		paging = math.Pow(over, m.spec.Page)
	}
	for _, r := range m.queries {
		if r.rate = r.Threads / ((1-r.IO)*slowCPU + r.IO*slowIO) / paging; still(r) {
			r.rate = 0
		}
	}
}

// step bounds how long a cold engine's speed is held to stay the same.
const step = 250 * time.Millisecond

// Next is when the model wants to be advanced; false while nothing runs.
func (m *Model) Next() (time.Duration, bool) {
	least := math.Inf(1)
	for _, r := range m.queries {
		if r.rate > 0 {
			least = min(least, r.left/r.rate)
		}
	}
	if math.IsInf(least, 1) {
		return 0, false
	}
	wait := time.Duration(math.Ceil(least * float64(time.Second)))
	if m.warmth() < 1 {
		wait = min(wait, step)
	}
	return m.now + wait, true
}

// Advance plays on to now and returns the queries that have ended, in order.
func (m *Model) Advance(now time.Duration) (ended []string) {
	for m.now < now {
		at, some := m.Next()
		if !some || at > now {
			at = now
		}
		if at == m.now {
			at++
		}
		d := (at - m.now).Seconds()
		m.now = at
		for _, r := range m.queries {
			m.done += min(r.left, r.rate*d)
			r.left -= r.rate * d
		}
		m.queries = slices.DeleteFunc(m.queries, func(r *running) bool {
			over := r.left <= 1e-9
			if over {
				ended = append(ended, r.ID)
			}
			return over
		})
		m.share()
	}
	return ended
}

// Load is what the engine holds now.
func (m *Model) Load() Load {
	l := Load{Queries: len(m.queries), Done: m.done}
	for _, r := range m.queries {
		l.Threads += r.Threads
		l.Granted += r.NeedMB / m.spec.MemoryMB
		l.Reading += r.Threads * r.IO / m.spec.Disks
	}
	l.Granted, l.Reading = min(1, l.Granted), min(1, l.Reading)
	return l
}
