package policy

import (
	"fmt"
	"time"
)

// Idempotency states the effect of running a query of a class more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // engines within the DedupScope drop repeats for the DedupWindow
	NotIdempotent                        // must not run twice
)

// DedupScope names the set of engines that deduplicate a keyed query together.
type DedupScope uint8

// Values of DedupScope.
const (
	DedupAll  DedupScope = iota // all engines
	DedupZone                   // the engines of one zone
	DedupCell                   // the engines of one cell within one zone
)

// Class describes a class of queries.
type Class struct {
	Name                 string
	LatencyObjective     time.Duration // an answer within it earns the full weight
	ObjectivePerWork     float64       // the objective grows by this times the query's work per thread
	Deadline             time.Duration // how long the client waits, over all its retries
	Weight               float64       // what an answer is worth relative to other classes
	LateWeightShare      float64       // share of Weight of an answer between objective and deadline
	Idempotency          Idempotency
	DedupScope           DedupScope
	DedupWindow          time.Duration // how long engines deduplicate a keyed query
	Ordered              bool          // queries of one key run one at a time, in order of arrival
	Stream               bool          // the response is streamed
	Threads              int           // threads that a query occupies
	IsDataLoad           bool          // the query blocks WaitsForDataLoads queries of its table group on its engine
	WaitsForDataLoads    bool          // the query blocks on its engine while a load of its table group runs
	RestrictZones        bool          // Zones applies
	Zones                []int         // the only zones allowed
	RestrictMachineTypes bool          // Kinds applies
	MachineTypes         []int         // the only machine kinds allowed
}

// MachineType describes a kind of machine.
type MachineType struct {
	Cores    float64
	MemoryMB float64 // 0 = unknown
}

// Metric names one value of a load report.
type Metric uint8

// Metrics of a load report.
const (
	UnknownMetric     Metric = iota
	RunningQueries           // running queries
	QueuedQueries            // queries waiting in the engine
	CPUUtilization           // share of cores busy, 0 to 1
	LatencyMS                // milliseconds
	QueriesPerSecond         // completed queries
	ErrorsPerSecond          // failed queries
	MemoryUtilization        // share of memory in use, 0 to 1
	DiskUtilization          // share of disk throughput in use, 0 to 1
)

// Settings configures a Gateway. It is read once, by New.
type Settings struct {
	Classes         []Class
	MachineTypes    []MachineType
	Zones           int           // number of zones
	Zone            int           // zone of this gateway
	Gateways        int           // gateways named by the configuration, including this one
	GatewayIndex    int           // index of this gateway among them, from 0
	Tick            time.Duration // granularity of the host's timers
	PollEngineList  bool          // the engine list must be requested with Subscribe
	Metrics         []Metric      // metrics that load reports contain
	MaxGrantShare   float64       // largest share of an engine's memory for one query; 0 = no bound
	HonorsGrants    bool          // engines honor SetResources.GrantMB
	HonorsPriority  bool          // engines honor SetResources.Priority
	QueuesForMemory bool          // a query whose grant does not fit waits in the engine's queue
	WorkInResponses bool          // responses contain the work that the query needed
	MayCancel       bool          // attempts may be cancelled
	MayProbe        bool          // engines may be probed
	MayHedge        bool          // hedged requests are permitted; this module sends none
	MaxRetryAfter   time.Duration // longest Retry-After that clients understand; 0 = none
	MaxAttempts     int           // attempts per request, resends included; 0 = no bound
	CrossZoneCost   float64       // price of a query sent to another zone; 0 = free
	Rules           Rules
}

// Rules holds the parameters of the operators' rules; the guards in rules.go and slowstart.go enforce them.
type Rules struct {
	ResponseSlack          time.Duration // how long after its deadline a request must have its final answer
	DrainGrace             time.Duration // how long after the announcement of a drain sends are tolerated
	InitialCapacityShare   float64       // share of its capacity that an engine has right after its start
	WarmupTime             time.Duration // until an engine has its full capacity; 0 = no slow start
	WarmupBudgetMultiple   float64       // work allowed at a warming engine, in multiples of its initial capacity
	WarmupBudgetSpan       time.Duration // over which that work is summed up
	OrderedKeyPause        time.Duration // pause of an ordered key after an attempt that may still be running
	RetryBudget            bool          // the three fields below apply
	MinRetries             float64       // retries allowed regardless of traffic
	RetryShare             float64       // further retries, as a share of the accepted requests
	RetryBudgetSpan        time.Duration // over which both are counted
	EngineListPollInterval time.Duration
}

// SettingError reports a setting that is out of bounds. New returns it; callers detect it with errors.As.
type SettingError struct {
	Key   string // path of the field within Settings, such as "Classes[2].Weight"
	Value any
	Bound string // the condition that Value violates, such as "> 0"
}

// Error names the setting, its value and its bound.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %v, want %s", e.Key, e.Value, e.Bound)
}

// check returns a *SettingError for the first setting that is out of bounds, or nil.
func (s Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingError{"Classes", "empty", "at least one class"}
	case s.Gateways < 1:
		return &SettingError{"Gateways", s.Gateways, ">= 1"}
	case s.Tick <= 0:
		return &SettingError{"Tick", s.Tick, "> 0"}
	}
	for i, c := range s.Classes {
		if err := c.check(i); err != nil {
			return err
		}
	}
	return nil
}

// check returns a *SettingError for the first field of the class that is out of bounds, or nil. The comparisons of
// floating-point fields are negated so that NaN is out of bounds too.
func (c Class) check(index int) error {
	key := func(field string) string { return fmt.Sprintf("Classes[%d].%s", index, field) }
	switch {
	case c.LatencyObjective <= 0:
		return &SettingError{key("LatencyObjective"), c.LatencyObjective, "> 0"}
	case c.Deadline <= 0:
		return &SettingError{key("Deadline"), c.Deadline, "> 0"}
	case !(c.Weight >= 0):
		return &SettingError{key("Weight"), c.Weight, ">= 0"}
	case !(c.ObjectivePerWork >= 0):
		return &SettingError{key("ObjectivePerWork"), c.ObjectivePerWork, ">= 0"}
	}
	return nil
}
