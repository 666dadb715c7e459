// Package settings reads the settings object that an instance is given, the same on the simulator's wire and
// in a real workload manager's configuration.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"frostpier/policy"
)

// setup is the part of the first message that the module has a use for; keys not named here are ignored.
type setup struct {
	Classes []struct {
		Name       string        `json:"name"`
		Objective  time.Duration `json:"objective"`
		AimStretch float64       `json:"aim_stretch"`
		GiveUp     time.Duration `json:"give_up"`
		Worth      float64       `json:"worth"`
		LateValue  float64       `json:"late_value"`
		Repeat     string        `json:"repeat"`
		Group      string        `json:"group"`
		Window     time.Duration `json:"window"`
		InOrder    bool          `json:"in_order"`
		Stream     bool          `json:"stream"`
		ZonesOpen  []string      `json:"zones_open"`
		AllowedOn  []string      `json:"allowed_on"`
	} `json:"classes"`
	Family struct {
		Cores         []float64 `json:"cores_by_kind"`
		CostInAnswers bool      `json:"cost_in_answers"`
		GrantCap      float64   `json:"grant_cap"`
		IsLoad        []bool    `json:"is_load"`
		Overbooked    string    `json:"overbooked"`
		SizeMB        []float64 `json:"size_mb"`
		TakesGrants   bool      `json:"takes_grants"`
		TakesPriority bool      `json:"takes_priority"`
		Threads       []int     `json:"threads_by_class"`
		WaitsForLoads []bool    `json:"waits_for_loads"`
	} `json:"family_info"`
	Costs struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"costs"`
	MembershipMode string   `json:"membership_mode"`
	Models         []string `json:"models"`
	Permissions    struct {
		AttemptsCap    int           `json:"attempts_cap"`
		ConnIdle       time.Duration `json:"conn_idle"`
		ConnectTimeout time.Duration `json:"connect_timeout"`
		MaxOpen        int           `json:"max_open"`
		Cancel         bool          `json:"cancel"`
		MaxRetryAfter  time.Duration `json:"max_retry_after"`
		PeerMessages   bool          `json:"peer_messages"`
		ParallelTries  bool          `json:"parallel_tries"`
		Probes         bool          `json:"probes"`
		RetryAfter     bool          `json:"retry_after"`
	} `json:"permissions"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		AnswerSlack  time.Duration `json:"answer_slack"`
		ColdShare    float64       `json:"cold_share"`
		DrainGrace   time.Duration `json:"drain_grace"`
		Fall         time.Duration `json:"fall"`
		FallMultiple float64       `json:"fall_multiple"`
		MustAskIn    time.Duration `json:"must_ask_in"`
		WarmAfter    time.Duration `json:"warm_after"`
		FreeResends  *float64      `json:"free_resends"`
		ExtraShare   *float64      `json:"extra_share"`
		RatioSpan    time.Duration `json:"ratio_span"`
		KeyRest      time.Duration `json:"key_rest"`
	} `json:"rules"`
	SelfIndex int           `json:"self_index"`
	Siblings  int           `json:"siblings"`
	Tick      time.Duration `json:"tick"`
	Zone      int           `json:"zone"`
	Zones     []string      `json:"zones"`
}

var figures = map[string]policy.Metric{
	"inflight": policy.Inflight, "queue": policy.Queued, "util": policy.Util, "latency_ms": policy.LatencyMS,
	"qps": policy.QueriesPerSecond, "eps": policy.ErrorsPerSecond, "x0": policy.MemoryShare, "x1": policy.DiskShare,
}

var effects = map[string]policy.Idempotency{
	"retryable": policy.Idempotent, "dedup": policy.IdempotentWithKey, "fragile": policy.NotIdempotent,
}

var groups = map[string]policy.DedupScope{
	"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

// Parse reads the first message of an instance.
func Parse(text []byte) (policy.Settings, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, err
	}
	return s.forModule()
}

// forModule turns the object into what the module is told.
func (s *setup) forModule() (policy.Settings, error) {
	out := policy.Settings{
		Zones: len(s.Zones), Zone: s.Zone, Gateways: s.Siblings, Number: s.SelfIndex, Tick: s.Tick,
		PollEngineList: s.MembershipMode == "on_request", MaxGrantShare: s.Family.GrantCap,
		HonorsGrants: s.Family.TakesGrants, HonorsPriority: s.Family.TakesPriority,
		QueuesForMemory: s.Family.Overbooked == "line_up", WorkInResponses: s.Family.CostInAnswers,
		MayCancel: s.Permissions.Cancel, MayProbe: s.Permissions.Probes,
		MayHedge: s.Permissions.ParallelTries, MaxAttempts: s.Permissions.AttemptsCap,
		CrossZoneCost: s.Costs.CrossZone,
		Rules: policy.Rules{
			ResponseSlack: s.Rules.AnswerSlack, DrainGrace: s.Rules.DrainGrace, InitialCapacityShare: s.Rules.ColdShare,
			WarmupTime: s.Rules.WarmAfter, WarmupBudgetMultiple: s.Rules.FallMultiple, WarmupBudgetSpan: s.Rules.Fall,
			OrderedKeyPause: s.Rules.KeyRest, RetryBudgetSpan: s.Rules.RatioSpan, EngineListPollInterval: s.Rules.MustAskIn,
			RetryBudget: s.Rules.ExtraShare != nil || s.Rules.FreeResends != nil,
		},
	}
	if s.Permissions.RetryAfter {
		out.MaxRetryAfter = s.Permissions.MaxRetryAfter
	}
	if p := s.Rules.FreeResends; p != nil {
		out.Rules.FreeRetries = *p
	}
	if p := s.Rules.ExtraShare; p != nil {
		out.Rules.RetryShare = *p
	}
	for _, name := range s.Report.Fields {
		out.Metrics = append(out.Metrics, figures[name])
	}
	for i := range s.Models {
		out.Kinds = append(out.Kinds, policy.Kind{Cores: at(s.Family.Cores, i), MemoryMB: at(s.Family.SizeMB, i)})
	}
	for i, c := range s.Classes {
		effect, known := effects[c.Repeat]
		if !known {
			return out, fmt.Errorf("class %d repeats as %q", i, c.Repeat)
		}
		group, known := groups[c.Group]
		if !known {
			return out, fmt.Errorf("class %d has group %q", i, c.Group)
		}
		out.Classes = append(out.Classes, policy.Class{
			Name: c.Name, LatencyObjective: c.Objective, ObjectivePerWork: c.AimStretch, Deadline: c.GiveUp, Weight: c.Worth,
			LateWeightShare: c.LateValue, Idempotency: effect, DedupScope: group, DedupWindow: c.Window, Ordered: c.InOrder,
			Stream: c.Stream, Threads: at(s.Family.Threads, i), IsLoad: at(s.Family.IsLoad, i),
			WaitsForLoads: at(s.Family.WaitsForLoads, i), RestrictZones: c.ZonesOpen != nil, RestrictKinds: c.AllowedOn != nil,
			Zones: positions(c.ZonesOpen, s.Zones), Kinds: positions(c.AllowedOn, s.Models),
		})
	}
	return out, nil
}

// at reads element i of a list that may be shorter or absent.
func at[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// positions turns names into their places in a list; names that the list lacks are left out.
func positions(names, list []string) []int {
	var out []int
	for _, n := range names {
		if i := slices.Index(list, n); i >= 0 {
			out = append(out, i)
		}
	}
	return out
}

// Host is what a real workload manager is told beyond the module's settings.
type Host struct {
	Module         policy.Settings
	ConnIdle       time.Duration // engines close connections left idle this long
	ConnectTimeout time.Duration
	MaxOpen        int           // requests open at once
	ComeBack       time.Duration // the longest wait that a refusal may name
	Models         []string
	Zones          []string
	ReportFields   []string
	PeerMessages   bool // gateways may send each other datagrams
}

// ParseHost reads the same object for a real workload manager.
func ParseHost(text []byte) (Host, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return Host{}, fmt.Errorf("settings: %w", err)
	}
	module, err := s.forModule()
	if err != nil {
		return Host{}, fmt.Errorf("settings: %w", err)
	}
	p := s.Permissions
	return Host{
		Module: module, ConnIdle: p.ConnIdle, ConnectTimeout: p.ConnectTimeout, MaxOpen: p.MaxOpen,
		ComeBack: p.MaxRetryAfter, Models: s.Models, Zones: s.Zones, ReportFields: s.Report.Fields,
		PeerMessages: p.PeerMessages,
	}, nil
}

// FigureOf reports which figure a report's field is; Unknown for one that the module has no use for.
func FigureOf(field string) policy.Metric { return figures[field] }
