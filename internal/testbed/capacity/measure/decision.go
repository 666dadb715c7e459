package measure

import (
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

// Conditions of the decision measurements.
const (
	TableGroups       = 200
	ResponseTime      = 100 * time.Millisecond
	engineCores       = 32
	engineMemoryMB    = 65536
	decisionTick      = 5 * time.Millisecond
	decisionWarmUp    = 3 * time.Second // virtual time before the measurement, in which the module learns response times
	statementDeadline = 5 * time.Second
)

// DecisionSetup describes the load under which decisions are measured.
type DecisionSetup struct {
	Engines             int
	Gateways            int           // number of gateways in the settings
	StatementsPerSecond float64       // statements per second at this gateway
	Duration            time.Duration // duration of the measured load, in virtual time
	Seed                uint64
}

// decisionSettings returns the settings of a fleet with one class of statements.
func decisionSettings(gateways int) policy.Settings {
	return policy.Settings{
		Classes:      []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: statementDeadline, Weight: 1, Threads: 1}},
		MachineTypes: []policy.MachineType{{Cores: engineCores, MemoryMB: engineMemoryMB}},
		Zones:        1,
		Gateways:     gateways,
		Tick:         decisionTick,
		Metrics:      []policy.Metric{policy.RunningQueries},
		Rules:        policy.Rules{DrainGrace: time.Second},
	}
}

// tableGroupStride is a prime number, so that consecutive statements use different table groups.
const tableGroupStride = 7919

// tableGroup returns the table group of a statement. It spreads statements evenly over the groups.
func tableGroup(number int) int { return number * tableGroupStride % TableGroups }

// decisionModule is the decision module without the core.
type decisionModule struct{ gateway *policy.Gateway }

func (m decisionModule) submit(now time.Duration, number int) []followUp {
	return m.handle(now, policy.Arrival{ID: policy.RequestID(number), TableGroup: tableGroup(number),
		Remaining: statementDeadline})
}

func (m decisionModule) handle(now time.Duration, event any) (followUps []followUp) {
	for _, action := range m.gateway.Handle(now, event.(policy.Event)) {
		switch a := action.(type) {
		case policy.Send:
			report := policy.LoadReport{Present: true, Values: map[policy.Metric]float64{policy.RunningQueries: 1}}
			end := policy.AttemptEnded{ID: a.ID, Engine: a.Engine, Outcome: policy.OK, Duration: ResponseTime, Terminal: true, Report: report}
			followUps = append(followUps, followUp{ResponseTime, end, true})
		case policy.SetTimer:
			followUps = append(followUps, followUp{a.After, policy.TimerFired{Token: a.Token}, false})
		}
	}
	return followUps
}

// Decision measures the processor time of one statement in the decision module: its arrival, the selection of an engine,
// the end of its attempt, and its share of the module's timers.
func Decision(setup DecisionSetup) (perStatement time.Duration, err error) {
	gateway, err := policy.New(decisionSettings(setup.Gateways), setup.Seed)
	if err != nil {
		return 0, err
	}
	list := policy.EngineList{Engines: make([]policy.EngineInfo, setup.Engines)}
	for i := range list.Engines {
		list.Engines[i] = policy.EngineInfo{ID: policy.EngineID(engineNumber(i)), Health: policy.Ready, Scale: 1}
	}
	gateway.Handle(virtualEpoch, list)
	d := &driver{module: decisionModule{gateway}, now: virtualEpoch}
	return d.processorTimePerStatement(setup.StatementsPerSecond, setup.Duration)
}

// coreModule is the core with the decision module.
type coreModule struct{ core *core.Core }

// attemptEnd is the event that an attempt of the core has ended.
type attemptEnd struct {
	id      core.RequestID
	attempt int
}

func (m coreModule) submit(now time.Duration, number int) []followUp {
	_, actions := m.core.Submit(now, core.Query{TableGroup: tableGroup(number), Remaining: statementDeadline})
	return m.followUps(now, actions)
}

func (m coreModule) handle(now time.Duration, event any) []followUp {
	switch e := event.(type) {
	case attemptEnd:
		return m.followUps(now, m.core.AttemptEnded(now, e.id, e.attempt, policy.OK, []core.ReportField{{Name: "inflight", Value: 1}}))
	case core.StartTimer:
		return m.followUps(now, m.core.TimerFired(now, e.Token))
	}
	return nil
}

func (m coreModule) followUps(now time.Duration, actions []core.Action) (followUps []followUp) {
	for _, action := range actions {
		switch a := action.(type) {
		case core.StartAttempt:
			if _, may := m.core.MaySend(now, a.ID, a.Attempt, false); may {
				followUps = append(followUps, followUp{ResponseTime, attemptEnd{a.ID, a.Attempt}, true})
			}
		case core.StartTimer:
			followUps = append(followUps, followUp{a.After, a, false})
		}
	}
	return followUps
}

// CoreDecision measures the same as Decision, but through the core, which also tracks queries and attempts.
func CoreDecision(setup DecisionSetup) (perStatement time.Duration, err error) {
	gatewayCore, err := newCore()
	if err != nil {
		return 0, err
	}
	listed := make([]core.ListedEngine, setup.Engines)
	for i := range listed {
		listed[i] = core.ListedEngine{Name: engineName(i), Addr: "10.0.0.1:1", Zone: zoneName(0), MachineType: engineKind,
			Health: policy.Ready, Weight: 1}
	}
	gatewayCore.UpdateEngines(virtualEpoch, true, listed)
	d := &driver{module: coreModule{gatewayCore}, now: virtualEpoch}
	return d.processorTimePerStatement(setup.StatementsPerSecond, setup.Duration)
}
