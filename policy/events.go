package policy

import "time"

// RequestID identifies a request. The host never reuses one.
type RequestID uint64

// EngineID identifies an engine. It survives restarts of the engine's process.
type EngineID uint64

// Event is an input of Gateway.Handle.
type Event interface{ event() }

// ListKind states how an EngineList is to be read.
type ListKind uint8

// Values of ListKind.
const (
	ListFull   ListKind = iota // complete and current
	ListCached                 // complete, possibly stale
	ListDelta                  // only the engines that changed
	ListFailed                 // the list could not be fetched; the previous one stays valid
)

// Health is the state of an engine according to the engine list.
type Health uint8

// Values of Health.
const (
	Ready    Health = iota // accepts queries
	Draining               // completes its queries and accepts no new ones
	Gone                   // has left the fleet
)

// EngineInfo is one entry of the engine list.
type EngineInfo struct {
	ID          EngineID
	Zone        int
	MachineType int // index into Settings.Kinds
	Cell        int
	Health      Health
	Scale       float64       // size relative to other engines; 1 if unknown
	Started     time.Duration // last start of the engine on the host's clock; 0 = long ago

	// Overflow marks an engine that the host uses in addition to the subset it shares with most of its peers. No table
	// group has its home engine there, because few peers would help to keep the group's data cached.
	Overflow bool
}

// EngineList carries the engine list or a change of it.
type EngineList struct {
	Kind    ListKind
	Engines []EngineInfo
}

// Arrival is a client's request, accepted by this gateway.
type Arrival struct {
	ID                RequestID
	Class             int    // index into Settings.Classes
	OrderingKey       uint64 // orders requests of ordered classes; 0 = none
	TableGroup        int
	EstimatedWork     time.Duration // thread time over all threads; 0 = no estimate
	EstimatedMemoryMB float64       // 0 = no estimate
	Remaining         time.Duration // until the client stops waiting for this request
	IsClientRetry     bool
}

// ClientGone reports that the client no longer waits for a request.
type ClientGone struct{ ID RequestID }

// ResponseStarted reports that the response of an attempt has begun to stream to the client.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// Values of Outcome.
const (
	OK           Outcome = iota
	Error                // the engine answered with an error
	Rejected             // the engine rejected the query without running it
	Timeout              // no response within the timeout
	NoConnection         // the query never reached the engine
	Reset                // the connection broke before the response
	Cancelled            // cancelled by this gateway
	NotSent              // the host never sent it
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// LoadReport is the load report of an engine.
type LoadReport struct {
	Present bool
	Values  map[Metric]float64
}

// AttemptEnded reports the outcome of an attempt. The host sends exactly one for each Send.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Terminal bool          // the client has its final answer
	Work     time.Duration // thread time that the query needed; 0 = unknown
	UsedMB   float64       // memory that it needed; 0 = unknown
	Report   LoadReport
}

// ProbeEnded reports the outcome of a Probe.
type ProbeEnded struct {
	Engine   EngineID
	Outcome  Outcome
	Duration time.Duration
	Report   LoadReport
}

// Progress reports the share of its work, 0 to 1, that a running attempt has done.
type Progress struct {
	ID      RequestID
	Attempt int
	Done    float64
}

// ResponseOverdue reports that an engine withholds the response of a running attempt.
type ResponseOverdue struct {
	ID      RequestID
	Attempt int
}

// TimerFired reports that a timer set with SetTimer has fired.
type TimerFired struct{ Token uint64 }

// GatewaysInService reports how many gateways are believed to be in service, including this one. The even shares of
// concurrency, memory and the window follow it. The warm-up budget and the retry budget do not, because the views of
// different gateways may differ; see docs/design/membership.md.
type GatewaysInService struct {
	Count  int
	Subset bool // the engine list is a subset of the fleet, shared by Count gateways
}

// PeerReport is a load report that a peer received.
type PeerReport struct {
	Engine         EngineID
	RunningQueries float64       // running queries, over all gateways
	ReportedAt     time.Duration // when the peer received it, on this host's clock
}

// PeerReports carries load reports forwarded by other gateways.
type PeerReports struct{ Reports []PeerReport }

// ShuttingDown reports that the host shuts down. Every open request that is not streaming gets its final answer.
type ShuttingDown struct{}

func (EngineList) event()        {}
func (Arrival) event()           {}
func (ClientGone) event()        {}
func (ResponseStarted) event()   {}
func (AttemptEnded) event()      {}
func (ProbeEnded) event()        {}
func (Progress) event()          {}
func (ResponseOverdue) event()   {}
func (TimerFired) event()        {}
func (GatewaysInService) event() {}
func (PeerReports) event()       {}
func (ShuttingDown) event()      {}
