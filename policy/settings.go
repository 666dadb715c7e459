package policy

import (
	"fmt"
	"time"
)

// Idempotency describes whether a query of a class may run more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // engines within DedupScope deduplicate it during DedupWindow
	NotIdempotent                        // must not run more than once
)

// DedupScope is the set of engines that deduplicate a query with an idempotency key together.
type DedupScope uint8

// Values of DedupScope.
const (
	DedupAll  DedupScope = iota // deduplicated by all engines together
	DedupZone                   // deduplicated by the engines of one zone together
	DedupCell                   // deduplicated by the engines of one cell of a zone together
)

// Class describes a class of queries.
type Class struct {
	Name                 string
	LatencyObjective     time.Duration // an answer within this time has the full weight
	ObjectivePerWork     float64       // addition to the objective, in multiples of the query's work per thread
	Deadline             time.Duration // how long the client waits, including all its retries
	Weight               float64       // value of an answer relative to other classes
	LateWeightShare      float64       // share of Weight for an answer after the objective and before the deadline
	Idempotency          Idempotency
	DedupScope           DedupScope
	DedupWindow          time.Duration // how long engines deduplicate a query with an idempotency key
	Ordered              bool          // queries with the same key run one at a time, in order of arrival
	Stream               bool          // the response is streamed
	Threads              int           // threads that a query uses
	IsDataLoad           bool          // loads data; blocks WaitsForDataLoads queries of its table group on the engine
	WaitsForDataLoads    bool          // blocks while a data load of its table group runs on the engine
	RestrictZones        bool          // only engines in Zones may run the query
	Zones                []int         // zone numbers; ignored unless RestrictZones is set
	RestrictMachineTypes bool          // only engines on MachineTypes may run the query
	MachineTypes         []int         // indexes into Settings.MachineTypes; ignored unless RestrictMachineTypes is set
}

// MachineType describes a type of machine that runs engines.
type MachineType struct {
	Cores    float64
	MemoryMB float64 // 0 = unknown
}

// Metric identifies a value in a load report.
type Metric uint8

// Values of Metric.
const (
	UnknownMetric     Metric = iota
	RunningQueries           // running queries
	QueuedQueries            // queries waiting in the engine
	CPUUtilization           // share of busy cores, 0 to 1
	LatencyMS                // query latency in milliseconds
	QueriesPerSecond         // completed queries
	ErrorsPerSecond          // failed queries
	MemoryUtilization        // share of memory in use, 0 to 1
	DiskUtilization          // share of disk throughput in use, 0 to 1
)

// Settings configures a Gateway. New reads it once.
type Settings struct {
	Classes         []Class
	MachineTypes    []MachineType
	Zones           int           // number of zones
	Zone            int           // zone of this gateway
	Gateways        int           // configured number of gateways, including this one
	GatewayIndex    int           // index of this gateway, from 0
	Tick            time.Duration // granularity of the host's timers
	PollEngineList  bool          // the module must request the engine list with Subscribe
	Metrics         []Metric      // metrics that load reports contain
	MaxGrantShare   float64       // maximum share of an engine's memory for one query; 0 = no limit
	HonorsGrants    bool          // engines honor SetResources.GrantMB
	HonorsPriority  bool          // engines honor SetResources.Priority
	QueuesForMemory bool          // engines queue a query while its memory grant does not fit
	WorkInResponses bool          // responses contain the work of the query
	MayCancel       bool          // attempts may be cancelled
	MayProbe        bool          // engines may be probed
	MayHedge        bool          // hedged requests are permitted (this module sends none)
	MaxRetryAfter   time.Duration // maximum Retry-After that clients support; 0 = none
	MaxAttempts     int           // maximum attempts per request, including resends; 0 = no limit
	CrossZoneCost   float64       // cost of sending a query to another zone; 0 = free
	Rules           Rules
}

// Rules holds the parameters of the operators' rules, which the guards in rules.go, slowstart.go and retries.go
// enforce.
type Rules struct {
	ResponseSlack          time.Duration // time after its deadline by which a request must have its final answer
	DrainGrace             time.Duration // time after the announcement of a drain during which sends are tolerated
	InitialCapacityShare   float64       // share of its capacity that an engine has when it starts
	WarmupTime             time.Duration // time from its start until an engine has its full capacity; 0 = no slow start
	WarmupBudgetMultiple   float64       // work allowed at an engine during warm-up, in multiples of its initial capacity
	WarmupBudgetSpan       time.Duration // time span over which that work is summed
	OrderedKeyPause        time.Duration // pause of an ordering key after an attempt that may still be running
	RetryBudget            bool          // enables the retry budget; the next three fields apply
	MinRetries             float64       // retries that are always allowed
	RetryShare             float64       // additional retries, as a share of the accepted requests
	RetryBudgetSpan        time.Duration // time span over which retries and requests are counted
	EngineListPollInterval time.Duration
}

// SettingError reports a setting that is out of bounds. New returns it; use errors.As to detect it.
type SettingError struct {
	Key   string // path of the field within Settings, such as "Classes[2].Weight"
	Value any
	Bound string // condition that Value violates, such as "> 0"
}

// Error returns a message with the setting, its value and its bound.
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
// floating-point fields are negated so that they also report NaN.
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
