package policy

import "time"

// RequestID identifies a request. The host never reuses an ID.
type RequestID uint64

// EngineID identifies an engine. It stays the same when the engine's process restarts.
type EngineID uint64

// Event is an input of Gateway.Handle.
type Event interface{ event() }

// ListKind is the kind of an EngineList.
type ListKind uint8

// Values of ListKind.
const (
	ListFull   ListKind = iota // complete and current
	ListCached                 // complete, possibly stale
	ListDelta                  // contains only the engines that changed
	ListFailed                 // the list could not be fetched; the previous list remains valid
)

// Health is the state of an engine according to the engine list.
type Health uint8

// Values of Health.
const (
	Ready    Health = iota // accepts queries
	Draining               // completes its running queries and accepts no new ones
	Gone                   // has left the fleet
)

// EngineInfo is one entry of the engine list.
type EngineInfo struct {
	ID          EngineID
	Zone        int
	MachineType int // index into Settings.MachineTypes
	Cell        int
	Health      Health
	Scale       float64       // size relative to other engines; 1 if unknown
	Started     time.Duration // latest start of the engine on the host's clock; 0 = long ago

	// Overflow marks an engine that the host uses in addition to the subset that it shares with its peers. An overflow
	// engine is no home engine if others are ready, because few peers would use it and keep a group's data cached
	// there.
	Overflow bool
}

// EngineList carries the complete engine list or a change of it.
type EngineList struct {
	Kind    ListKind
	Engines []EngineInfo
}

// Arrival reports a new request from a client.
type Arrival struct {
	ID                RequestID
	Class             int    // index into Settings.Classes
	OrderingKey       uint64 // requests of an ordered class with equal keys run in order; 0 = none
	TableGroup        int
	EstimatedWork     time.Duration // thread time, summed over all threads; 0 = no estimate
	EstimatedMemoryMB float64       // 0 = no estimate
	Remaining         time.Duration // time until the client stops waiting for this request
	IsClientRetry     bool
}

// ClientGone reports that the client no longer waits for a request.
type ClientGone struct{ ID RequestID }

// ResponseStarted reports that the host has started to stream the response of an attempt to the client.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// Outcome is the result of an attempt or of a probe.
type Outcome uint8

// Values of Outcome.
const (
	OK           Outcome = iota // success
	Error                       // the engine answered with an error
	Rejected                    // the engine rejected the query without running it
	Timeout                     // no response within the timeout
	NoConnection                // the query never reached the engine
	Reset                       // the connection closed before the response
	Cancelled                   // cancelled by this gateway
	NotSent                     // the host did not send the query
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// LoadReport is the load report of an engine.
type LoadReport struct {
	Present bool // false = there is no report
	Values  map[Metric]float64
}

// AttemptEnded reports the outcome of an attempt. The host passes exactly one for each Send.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Terminal bool          // the client has received its final answer
	Work     time.Duration // thread time that the query used; 0 = unknown
	UsedMB   float64       // memory that the query used; 0 = unknown
	Report   LoadReport
}

// ProbeEnded reports the outcome of a Probe.
type ProbeEnded struct {
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Report   LoadReport
}

// Progress reports the completed share, 0 to 1, of a running attempt's work.
type Progress struct {
	ID      RequestID
	Attempt int
	Done    float64
}

// ResponseOverdue reports that a running attempt should have received its response by now.
type ResponseOverdue struct {
	ID      RequestID
	Attempt int
}

// DeadlinePassed reports that an open request has reached its deadline. It gets its final answer unless it is
// streaming. The review finishes requests a little earlier, so the host sends this event only if the review is late.
type DeadlinePassed struct{ ID RequestID }

// TimerFired reports that a timer set with SetTimer has fired.
type TimerFired struct{ Token uint64 }

// GatewaysInService reports the estimated number of gateways in service, including this one. It determines this
// gateway's even share of concurrency, memory and the window. The warm-up budget and the retry budget do not depend on
// it, because gateways may disagree about the number; see docs/design/membership.md.
type GatewaysInService struct {
	Count      int
	UsesSubset bool // the engine list is a subset of the fleet, and Count gateways share its engines
}

// PeerReport is a load report of an engine that a peer received.
type PeerReport struct {
	Engine         EngineID
	RunningQueries float64       // running queries of all gateways at the engine
	ReportedAt     time.Duration // when the peer received the report, on this host's clock
}

// PeerReports carries load reports that peers forwarded.
type PeerReports struct{ Reports []PeerReport }

// ShuttingDown reports that the host shuts down. Each open request that is not streaming then gets its final answer.
type ShuttingDown struct{}

func (EngineList) event()        {}
func (Arrival) event()           {}
func (ClientGone) event()        {}
func (ResponseStarted) event()   {}
func (AttemptEnded) event()      {}
func (ProbeEnded) event()        {}
func (Progress) event()          {}
func (ResponseOverdue) event()   {}
func (DeadlinePassed) event()    {}
func (TimerFired) event()        {}
func (GatewaysInService) event() {}
func (PeerReports) event()       {}
func (ShuttingDown) event()      {}
