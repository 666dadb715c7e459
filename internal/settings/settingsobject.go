package settings

import (
	"fmt"
	"slices"
	"time"

	"frostpier/policy"
)

// settingsObject is the encoded settings object with the keys that a gateway uses. Other keys are ignored. Durations are
// in nanoseconds.
type settingsObject struct {
	Classes []struct {
		Name             string        `json:"name"`
		LatencyObjective time.Duration `json:"objective"`
		ObjectivePerWork float64       `json:"aim_stretch"`
		Deadline         time.Duration `json:"give_up"`
		Weight           float64       `json:"worth"`
		LateWeightShare  float64       `json:"late_value"`
		Idempotency      string        `json:"repeat"`
		DedupScope       string        `json:"group"`
		DedupWindow      time.Duration `json:"window"`
		Ordered          bool          `json:"in_order"`
		Stream           bool          `json:"stream"`
		Zones            []string      `json:"zones_open"`
		MachineTypes     []string      `json:"allowed_on"`
	} `json:"classes"`
	Engines struct {
		CoresByMachineType       []float64 `json:"cores_by_kind"`
		WorkInResponses          bool      `json:"cost_in_answers"`
		MaxGrantShare            float64   `json:"grant_cap"`
		IsDataLoadByClass        []bool    `json:"is_load"`
		MemoryOvercommit         string    `json:"overbooked"`
		MemoryMBByMachineType    []float64 `json:"size_mb"`
		HonorsGrants             bool      `json:"takes_grants"`
		HonorsPriority           bool      `json:"takes_priority"`
		ThreadsByClass           []int     `json:"threads_by_class"`
		WaitsForDataLoadsByClass []bool    `json:"waits_for_loads"`
	} `json:"family_info"`
	Costs struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"costs"`
	EngineListMode string   `json:"membership_mode"`
	MachineTypes   []string `json:"models"`
	Permissions    struct {
		MaxAttempts    int           `json:"attempts_cap"`
		ConnIdle       time.Duration `json:"conn_idle"`
		ConnectTimeout time.Duration `json:"connect_timeout"`
		MaxPending     int           `json:"max_open"`
		MayCancel      bool          `json:"cancel"`
		MaxRetryAfter  time.Duration `json:"max_retry_after"`
		PeerMessages   bool          `json:"peer_messages"`
		MayHedge       bool          `json:"parallel_tries"`
		MayProbe       bool          `json:"probes"`
		RetryAfter     bool          `json:"retry_after"`
	} `json:"permissions"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		ResponseSlack          time.Duration `json:"answer_slack"`
		InitialCapacityShare   float64       `json:"cold_share"`
		DrainGrace             time.Duration `json:"drain_grace"`
		WarmupBudgetSpan       time.Duration `json:"fall"`
		WarmupBudgetMultiple   float64       `json:"fall_multiple"`
		EngineListPollInterval time.Duration `json:"must_ask_in"`
		WarmupTime             time.Duration `json:"warm_after"`
		MinRetries             *float64      `json:"free_resends"`
		RetryShare             *float64      `json:"extra_share"`
		RetryBudgetSpan        time.Duration `json:"ratio_span"`
		OrderedKeyPause        time.Duration `json:"key_rest"`
	} `json:"rules"`
	GatewayIndex int           `json:"self_index"`
	Gateways     int           `json:"siblings"`
	Tick         time.Duration `json:"tick"`
	Zone         int           `json:"zone"`
	Zones        []string      `json:"zones"`
}

// Values of keys of the settings object.
const (
	engineListOnRequest = "on_request" // value of membership_mode: the module must request the engine list
	overcommitQueues    = "line_up"    // value of overbooked: engines queue a query until its memory grant fits
)

var metricsByField = map[string]policy.Metric{
	"inflight": policy.RunningQueries, "queue": policy.QueuedQueries, "util": policy.CPUUtilization, "latency_ms": policy.LatencyMS,
	"qps": policy.QueriesPerSecond, "eps": policy.ErrorsPerSecond, "x0": policy.MemoryUtilization, "x1": policy.DiskUtilization,
}

var idempotencyByName = map[string]policy.Idempotency{
	"retryable": policy.Idempotent, "dedup": policy.IdempotentWithKey, "fragile": policy.NotIdempotent,
}

var dedupScopeByName = map[string]policy.DedupScope{
	"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

// moduleSettings returns the settings of the decision module.
func (s *settingsObject) moduleSettings() (policy.Settings, error) {
	out := policy.Settings{
		Zones: len(s.Zones), Zone: s.Zone, Gateways: s.Gateways, GatewayIndex: s.GatewayIndex, Tick: s.Tick,
		PollEngineList: s.EngineListMode == engineListOnRequest, MaxGrantShare: s.Engines.MaxGrantShare,
		HonorsGrants: s.Engines.HonorsGrants, HonorsPriority: s.Engines.HonorsPriority,
		QueuesForMemory: s.Engines.MemoryOvercommit == overcommitQueues, WorkInResponses: s.Engines.WorkInResponses,
		MayCancel: s.Permissions.MayCancel, MayProbe: s.Permissions.MayProbe,
		MayHedge: s.Permissions.MayHedge, MaxAttempts: s.Permissions.MaxAttempts,
		CrossZoneCost: s.Costs.CrossZone,
		Rules:         s.rules(),
	}
	if s.Permissions.RetryAfter {
		out.MaxRetryAfter = s.Permissions.MaxRetryAfter
	}
	for _, name := range s.Report.Fields {
		out.Metrics = append(out.Metrics, metricsByField[name])
	}
	for i := range s.MachineTypes {
		machineType := policy.MachineType{
			Cores: elementAt(s.Engines.CoresByMachineType, i), MemoryMB: elementAt(s.Engines.MemoryMBByMachineType, i),
		}
		out.MachineTypes = append(out.MachineTypes, machineType)
	}
	for i := range s.Classes {
		class, err := s.class(i)
		if err != nil {
			return out, err
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}

// rules returns the rules of the decision module. The retry budget is enabled if free_resends or extra_share is set.
func (s *settingsObject) rules() policy.Rules {
	r := s.Rules
	rules := policy.Rules{
		ResponseSlack: r.ResponseSlack, DrainGrace: r.DrainGrace, InitialCapacityShare: r.InitialCapacityShare,
		WarmupTime: r.WarmupTime, WarmupBudgetMultiple: r.WarmupBudgetMultiple, WarmupBudgetSpan: r.WarmupBudgetSpan,
		OrderedKeyPause: r.OrderedKeyPause, RetryBudgetSpan: r.RetryBudgetSpan, EngineListPollInterval: r.EngineListPollInterval,
		RetryBudget: r.RetryShare != nil || r.MinRetries != nil,
	}
	if r.MinRetries != nil {
		rules.MinRetries = *r.MinRetries
	}
	if r.RetryShare != nil {
		rules.RetryShare = *r.RetryShare
	}
	return rules
}

// class returns the class with index i for the decision module.
func (s *settingsObject) class(i int) (policy.Class, error) {
	c := s.Classes[i]
	idempotency, known := idempotencyByName[c.Idempotency]
	if !known {
		return policy.Class{}, classError(i, "repeat", c.Idempotency, "must be retryable, dedup or fragile")
	}
	scope, known := dedupScopeByName[c.DedupScope]
	if !known {
		return policy.Class{}, classError(i, "group", c.DedupScope, "must be all, zone or cell")
	}
	return policy.Class{
		Name: c.Name, LatencyObjective: c.LatencyObjective, ObjectivePerWork: c.ObjectivePerWork, Deadline: c.Deadline,
		Weight: c.Weight, LateWeightShare: c.LateWeightShare, Idempotency: idempotency, DedupScope: scope,
		DedupWindow: c.DedupWindow, Ordered: c.Ordered, Stream: c.Stream, Threads: elementAt(s.Engines.ThreadsByClass, i),
		IsDataLoad: elementAt(s.Engines.IsDataLoadByClass, i), WaitsForDataLoads: elementAt(s.Engines.WaitsForDataLoadsByClass, i),
		RestrictZones: c.Zones != nil, RestrictMachineTypes: c.MachineTypes != nil,
		Zones: indexesOf(c.Zones, s.Zones), MachineTypes: indexesOf(c.MachineTypes, s.MachineTypes),
	}, nil
}

// classError returns a *KeyError for a key of the class with index i.
func classError(i int, key, value, reason string) error {
	return &KeyError{Source: SourceSettings, Key: fmt.Sprintf("classes[%d].%s", i, key), Value: value, Reason: reason}
}

// elementAt returns the element of a list at index i, or the zero value if the list is shorter.
func elementAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// indexesOf returns the indexes of names in a list. It skips names that the list does not contain.
func indexesOf(names, list []string) []int {
	var indexes []int
	for _, n := range names {
		if i := slices.Index(list, n); i >= 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
