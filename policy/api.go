// Package policy makes the decisions of an admission controller for queries on a pool of engines.
//
// A host (a gateway program) makes one Gateway with New, hands every Event to Handle with the time of its own
// steady clock, and carries out the returned actions in order. The module does no input or output, keeps no
// clock and starts no goroutine. A Gateway is not safe for concurrent use: calls of Handle on one Gateway must not
// overlap. Gateways share nothing, so different ones may run side by side.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// RequestID names a request; the host never uses one twice.
type RequestID uint64

// EngineID names an engine; it stays the same when the engine's process restarts.
type EngineID uint64

// Idempotency says what happens when a query of a class runs twice.
type Idempotency uint8

// The effects.
const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // its group of engines drops repeats for a while
	NotIdempotent                        // must not run twice
)

// DedupScope says which engines drop a keyed query's repeats together.
type DedupScope uint8

// The groups.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class is a class of queries.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full worth
	ObjectivePerWork float64       // the aim grows by this times the query's work over its threads
	Deadline         time.Duration // the client's patience over all its tries
	Weight           float64
	LateWeightShare  float64 // share of the worth of an answer between aim and deadline
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long repeats of a keyed query are dropped
	Ordered          bool          // queries of one key run one at a time, in turn
	Stream           bool
	Threads          int
	IsLoad           bool  // it holds its table group on its engine while it runs
	WaitsForLoads    bool  // it stands still there while a load holds its table group
	Zones            []int // if Bound*: the only zones allowed
	Kinds            []int // if Bound*: the only machine kinds allowed
	RestrictZones    bool
	RestrictKinds    bool
}

// Kind is a kind of machine.
type Kind struct {
	Cores    float64
	MemoryMB float64 // 0 = not told
}

// Metric names one value of a load report.
type Metric uint8

// The figures.
const (
	UnknownMetric Metric = iota
	Inflight
	Queued
	Util
	LatencyMS
	QueriesPerSecond
	ErrorsPerSecond
	MemoryShare
	DiskShare
)

// Settings is all that a Gateway is told at its start.
type Settings struct {
	Classes         []Class
	Kinds           []Kind
	Zones           int // how many zones there are
	Zone            int // the zone of this gateway
	Gateways        int // gateways that the configuration names, this one included
	Number          int // of this gateway among them, from 0
	Tick            time.Duration
	PollEngineList  bool // the list of engines comes only to those who ask
	Metrics         []Metric
	MaxGrantShare   float64 // share of an engine's memory that one query gets at most
	HonorsGrants    bool
	HonorsPriority  bool
	QueuesForMemory bool // a query whose grant does not fit waits in the engine's line
	WorkInResponses bool
	MayCancel       bool
	MayProbe        bool
	MayHedge        bool
	MaxRetryAfter   time.Duration // 0 where clients cannot be told when to come back
	MaxAttempts     int
	CrossZoneCost   float64
	Rules           Rules
}

// check reports settings that make no sense.
func (s Settings) check() error {
	if len(s.Classes) == 0 || s.Gateways < 1 || s.Tick <= 0 {
		return fmt.Errorf("%d classes, %d gateways and a tick of %v", len(s.Classes), s.Gateways, s.Tick)
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || !(c.Weight >= 0) || !(c.ObjectivePerWork >= 0) {
			return fmt.Errorf("class %d has aim %v, deadline %v, worth %v, stretch %v",
				i, c.LatencyObjective, c.Deadline, c.Weight, c.ObjectivePerWork)
		}
	}
	return nil
}

// Rules holds the figures of the rules.
type Rules struct {
	ResponseSlack          time.Duration
	DrainGrace             time.Duration
	InitialCapacityShare   float64 // an engine starts with no less of its capacity
	WarmupTime             time.Duration
	WarmupBudgetMultiple   float64
	WarmupBudgetSpan       time.Duration
	OrderedKeyPause        time.Duration
	RetryBudget            bool // the three below hold
	FreeRetries            float64
	RetryShare             float64
	RetryBudgetSpan        time.Duration
	EngineListPollInterval time.Duration
}

// Event is something a Gateway is told.
type Event interface{ event() }

// ListKind says how an EngineList is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListFull   ListKind = iota // complete
	ListCached                 // complete, possibly stale
	ListDelta                  // only what changed
	ListFailed                 // asking failed; the old list stands
)

// Health is what the list says of an engine.
type Health uint8

// The healths.
const (
	Ready Health = iota
	Draining
	Gone
)

// EngineInfo is one line of the list of engines.
type EngineInfo struct {
	ID      EngineID
	Zone    int
	Kind    int
	Cell    int
	Health  Health
	Scale   float64       // size against other engines, 1 where not told
	Started time.Duration // when it last started on the host's clock; 0 = long ago

	// Overflow marks an engine that the host uses beyond those that it shares with most gateways of its subset: no table
	// group starts there, since few others would keep the group warm.
	Overflow bool
}

// EngineList tells of the engines.
type EngineList struct {
	Kind    ListKind
	Engines []EngineInfo
}

// Arrival is a client's request, taken by this gateway.
type Arrival struct {
	ID                RequestID
	Class             int
	Key               uint64 // 0 = none
	TableGroup        int
	EstimatedWork     time.Duration // estimated work of all its threads; 0 = no estimate
	EstimatedMemoryMB float64       // estimated memory; 0 = no estimate
	Remaining         time.Duration // until the client gives this try up
	IsClientRetry     bool
}

// ClientGone says that the client of a request is gone.
type ClientGone struct{ ID RequestID }

// ResponseStarted says that a streamed answer has begun.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	Error
	Rejected // turned away unseen
	Timeout
	NoConnection // never arrived
	Reset
	Cancelled
	NotSent // never sent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// Report is an engine's load report.
type Report struct {
	Present bool
	Values  map[Metric]float64
}

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Terminal bool          // the request is over
	Work     time.Duration // what it needed, where answers tell; 0 = not told
	UsedMB   float64
	Report   Report
}

// ProbeEnded is what a probe found.
type ProbeEnded struct {
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Report   Report
}

// Progress is news of a running attempt: the share of its work that is done.
type Progress struct {
	ID      RequestID
	Attempt int
	Done    float64
}

// ResponseOverdue says that an engine withholds the answer of a running attempt.
type ResponseOverdue struct {
	ID      RequestID
	Attempt int
}

// TimerFired is a timer that came due.
type TimerFired struct{ Token uint64 }

// InService says how many gateways are held to be in service, this one included. Even parts of targets, memory and
// windows follow it; the cold budget and the ration do not, as views differ: see docs/design-membership.md.
type InService struct {
	Count  int
	Subset bool // the engines listed are a part of the fleet's, shared with so many gateways
}

// PeerReport is what an engine's report told another gateway.
type PeerReport struct {
	Engine     EngineID
	Inflight   float64
	ReportedAt time.Duration // when it came there
}

// PeerReports are reports that other gateways pass on.
type PeerReports struct{ Reports []PeerReport }

// ShuttingDown says that the host goes down: whatever is open and has no answer under way is answered now.
type ShuttingDown struct{}

func (EngineList) event()      {}
func (Arrival) event()         {}
func (ClientGone) event()      {}
func (ResponseStarted) event() {}
func (AttemptEnded) event()    {}
func (ProbeEnded) event()      {}
func (Progress) event()        {}
func (ResponseOverdue) event() {}
func (TimerFired) event()      {}
func (InService) event()       {}
func (PeerReports) event()     {}
func (ShuttingDown) event()    {}

// Action is something the host is to do.
type Action interface{ action() }

// Send starts an attempt; attempts of a request are numbered 0, 1, 2 in the order of their sends.
type Send struct {
	ID      RequestID
	Engine  EngineID
	Timeout time.Duration
}

// SetTerms sets memory and priority of a request's further sends; the priority also holds for those that are out.
type SetTerms struct {
	ID       RequestID
	GrantMB  float64 // 0 = the engine's own choice
	Priority int     // 0 to 3
}

// Reject is the final answer that says trying again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // when to come back; 0 = not said
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID RequestID }

// Cancel calls an attempt off.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Probe looks at an engine.
type Probe struct{ Engine EngineID }

// SetTimer asks for a TimerFired with this token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for changes of the list of engines.
type Subscribe struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (SetTerms) action()  {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Log) action()       {}

const beatToken = 1 << 63

// New makes a Gateway; settings that make no sense are an error. All chance comes from seed.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := &Gateway{s: s, byID: map[EngineID]*engine{}, groups: map[int]*group{},
		requests: map[RequestID]*request{}, keys: map[uint64]*keyLine{}, wave: 1, inService: float64(s.Gateways), rnd: rand.New(rand.NewPCG(seed, 0))}
	g.unseen = 1 - 1/math.Sqrt(float64(s.Gateways))
	for _, c := range s.Classes {
		g.classes = append(g.classes, g.priors(c))
	}
	g.wave = g.meanThreads()
	return g, nil
}

// Handle takes an event and returns what to do, in order. The time never runs backwards.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.now, g.acts = now, nil
	if !g.begun {
		g.begun, g.started = true, now
		if g.s.PollEngineList {
			g.do(Subscribe{})
		}
	}
	switch e := ev.(type) {
	case EngineList:
		g.list(e)
	case Arrival:
		g.arrive(e)
	case ClientGone:
		if r := g.requests[e.ID]; r != nil {
			g.left(r)
		}
	case ResponseStarted:
		if r := g.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case AttemptEnded:
		g.ended(e)
	case ResponseOverdue:
		g.overdue(e)
	case ProbeEnded:
		g.probed(e)
	case InService:
		g.inService = float64(min(max(1, e.Count), g.s.Gateways))
		if e.Subset != g.subset {
			g.subset, g.homes = e.Subset, nil
		}
	case PeerReports:
		g.applyPeerReports(e.Reports)
	case ShuttingDown:
		for _, r := range slices.Clone(g.open) {
			if !r.streaming {
				g.answer(r)
			}
		}
	case TimerFired:
		if e.Token == beatToken {
			g.beat()
		}
	}
	if !g.beating && len(g.open) > 0 {
		g.beating = true
		g.do(SetTimer{After: beatTicks * g.s.Tick, Token: beatToken})
	}
	return g.acts
}

// MayResend asks whether an attempt may go out once more to its engine, which seems not to have read it: the connection
// broke before an answer, and the engine does not know the query. If so, it counts as a further attempt.
func (g *Gateway) MayResend(now time.Duration, id RequestID, n int) bool {
	g.now = max(now, g.now)
	r := g.requests[id]
	return r != nil && n >= 0 && n < len(r.attempts) && g.sendAgain(r.attempts[n])
}

// AttemptAllowed asks, when an attempt's first byte could go out, whether its class still permits that: a dial or a wait for a
// connection may have outlasted the window in which repeats are dropped.
func (g *Gateway) AttemptAllowed(now time.Duration, id RequestID, n int) bool {
	g.now = max(now, g.now)
	r := g.requests[id]
	return r != nil && n >= 0 && n < len(r.attempts) && (r.mayRun == r.attempts[n] || g.mayRepeat(r) && g.inWindow(r))
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }
