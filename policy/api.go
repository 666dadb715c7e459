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

// Effect says what happens when a query of a class runs twice.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // its group of engines drops repeats for a while
	Unsafe               // must not run twice
)

// Group says which engines drop a keyed query's repeats together.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of queries.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within it earns the full worth
	AimStretch float64       // the aim grows by this times the query's work over its threads
	Deadline   time.Duration // the client's patience over all its tries
	Worth      float64
	LateWorth  float64 // share of the worth of an answer between aim and deadline
	Effect     Effect
	Group      Group
	Window     time.Duration // how long repeats of a keyed query are dropped
	InOrder    bool          // queries of one key run one at a time, in turn
	Stream     bool
	Threads    int
	IsLoad     bool  // it holds its table group on its engine while it runs
	WaitsLoads bool  // it stands still there while a load holds its table group
	Zones      []int // if Bound*: the only zones allowed
	Kinds      []int // if Bound*: the only machine kinds allowed
	BoundZones bool
	BoundKinds bool
}

// Kind is a kind of machine.
type Kind struct {
	Cores    float64
	MemoryMB float64 // 0 = not told
}

// Figure names one value of a load report.
type Figure uint8

// The figures.
const (
	Unknown Figure = iota
	Inflight
	Queued
	Util
	LatencyMS
	PerSecond
	ErrorsPerSecond
	MemoryShare
	DiskShare
)

// Settings is all that a Gateway is told at its start.
type Settings struct {
	Classes          []Class
	Kinds            []Kind
	Zones            int // how many zones there are
	Zone             int // the zone of this gateway
	Siblings         int // gateways that the configuration names, this one included
	Number           int // of this gateway among them, from 0
	Tick             time.Duration
	AskForList       bool // the list of engines comes only to those who ask
	Figures          []Figure
	GrantCap         float64 // share of an engine's memory that one query gets at most
	TakesGrants      bool
	TakesPriority    bool
	ShortMemoryWaits bool // a query whose grant does not fit waits in the engine's line
	CostInAnswers    bool
	CanCancel        bool
	CanProbe         bool
	SecondCopies     bool
	MaxRetryAfter    time.Duration // 0 where clients cannot be told when to come back
	MaxAttempts      int
	CrossZoneCost    float64
	Rules            Rules
}

// check reports settings that make no sense.
func (s Settings) check() error {
	if len(s.Classes) == 0 || s.Siblings < 1 || s.Tick <= 0 {
		return fmt.Errorf("%d classes, %d gateways and a tick of %v", len(s.Classes), s.Siblings, s.Tick)
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || !(c.Worth >= 0) || !(c.AimStretch >= 0) {
			return fmt.Errorf("class %d has aim %v, deadline %v, worth %v, stretch %v",
				i, c.Aim, c.Deadline, c.Worth, c.AimStretch)
		}
	}
	return nil
}

// Rules holds the figures of the rules.
type Rules struct {
	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdShare    float64 // an engine starts with no less of its capacity
	WarmAfter    time.Duration
	FallMultiple float64
	FallSpan     time.Duration
	KeyRest      time.Duration
	Budgeted     bool // the three below hold
	FreeExtras   float64
	ExtraShare   float64
	ExtraSpan    time.Duration
	MustAskIn    time.Duration
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
	ID         RequestID
	Class      int
	Key        uint64 // 0 = none
	TableGroup int
	Cost       time.Duration // estimated work of all its threads; 0 = no estimate
	NeedMB     float64       // estimated memory; 0 = no estimate
	Remaining  time.Duration // until the client gives this try up
	Repeat     bool
}

// ClientLeft says that the client of a request is gone.
type ClientLeft struct{ ID RequestID }

// AnswerStarted says that a streamed answer has begun.
type AnswerStarted struct {
	ID      RequestID
	Attempt int
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	OK Outcome = iota
	Error
	Full // turned away unseen
	Timeout
	NoConnection // never arrived
	Reset
	Cancelled
	Moot // never sent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnection || o == Moot }

// Report is an engine's load report.
type Report struct {
	Present bool
	Values  map[Figure]float64
}

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Engine   EngineID
	Outcome  Outcome
	Took     time.Duration
	Terminal bool          // the request is over
	Work     time.Duration // what it needed, where answers tell; 0 = not told
	UsedMB   float64
	Report   Report
}

// ProbeEnded is what a probe found.
type ProbeEnded struct {
	Engine  EngineID
	Outcome Outcome
	Took    time.Duration
	Report  Report
}

// Progress is news of a running attempt: the share of its work that is done.
type Progress struct {
	ID      RequestID
	Attempt int
	Done    float64
}

// AnswerOverdue says that an engine withholds the answer of a running attempt.
type AnswerOverdue struct {
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
	Engine   EngineID
	Inflight float64
	At       time.Duration // when it came there
}

// PeerReports are reports that other gateways pass on.
type PeerReports struct{ Reports []PeerReport }

// Closing says that the host goes down: whatever is open and has no answer under way is answered now.
type Closing struct{}

func (EngineList) event()    {}
func (Arrival) event()       {}
func (ClientLeft) event()    {}
func (AnswerStarted) event() {}
func (AttemptEnded) event()  {}
func (ProbeEnded) event()    {}
func (Progress) event()      {}
func (AnswerOverdue) event() {}
func (TimerFired) event()    {}
func (InService) event()     {}
func (PeerReports) event()   {}
func (Closing) event()       {}

// Action is something the host is to do.
type Action interface{ action() }

// Send starts an attempt; attempts of a request are numbered 0, 1, 2 in the order of their sends.
type Send struct {
	ID      RequestID
	Engine  EngineID
	Timeout time.Duration
}

// Terms sets memory and priority of a request's further sends; the priority also holds for those that are out.
type Terms struct {
	ID       RequestID
	GrantMB  float64 // 0 = the engine's own choice
	Priority int     // 0 to 3
}

// Refuse is the final answer that says trying again is harmless.
type Refuse struct {
	ID       RequestID
	ComeBack time.Duration // when to come back; 0 = not said
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
func (Terms) action()     {}
func (Refuse) action()    {}
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
		requests: map[RequestID]*request{}, keys: map[uint64]*keyLine{}, wave: 1, inService: float64(s.Siblings), rnd: rand.New(rand.NewPCG(seed, 0))}
	g.unseen = 1 - 1/math.Sqrt(float64(s.Siblings))
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
		if g.s.AskForList {
			g.do(Subscribe{})
		}
	}
	switch e := ev.(type) {
	case EngineList:
		g.list(e)
	case Arrival:
		g.arrive(e)
	case ClientLeft:
		if r := g.requests[e.ID]; r != nil {
			g.left(r)
		}
	case AnswerStarted:
		if r := g.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case AttemptEnded:
		g.ended(e)
	case AnswerOverdue:
		g.overdue(e)
	case ProbeEnded:
		g.probed(e)
	case InService:
		g.inService = float64(min(max(1, e.Count), g.s.Siblings))
		if e.Subset != g.subset {
			g.subset, g.homes = e.Subset, nil
		}
	case PeerReports:
		g.applyPeerReports(e.Reports)
	case Closing:
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

// SendAgain asks whether an attempt may go out once more to its engine, which seems not to have read it: the connection
// broke before an answer, and the engine does not know the query. If so, it counts as a further attempt.
func (g *Gateway) SendAgain(now time.Duration, id RequestID, n int) bool {
	g.now = max(now, g.now)
	r := g.requests[id]
	return r != nil && n >= 0 && n < len(r.attempts) && g.sendAgain(r.attempts[n])
}

// StillMay asks, when an attempt's first byte could go out, whether its class still permits that: a dial or a wait for a
// connection may have outlasted the window in which repeats are dropped.
func (g *Gateway) StillMay(now time.Duration, id RequestID, n int) bool {
	g.now = max(now, g.now)
	r := g.requests[id]
	return r != nil && n >= 0 && n < len(r.attempts) && (r.mayRun == r.attempts[n] || g.mayRepeat(r) && g.inWindow(r))
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }
