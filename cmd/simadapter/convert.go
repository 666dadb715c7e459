package main

import (
	"fmt"
	"math"
	"time"

	"frostpier/internal/testbed/simproto"
	"frostpier/policy"
)

// Encodings of values in the simulator's records.
const (
	progressCompletedShare = 1       // Progress.Kind if Progress.Value is the completed share of the work
	usageMemoryModulus     = 4096    // AttemptEnded.Usage = work in ms * usageMemoryModulus + memory in units
	usageMemoryUnitMB      = 4       // MB per unit of memory
	maxTableGroup          = 1 << 24 // a float32 represents every integer up to it exactly
	subscribeEnabled       = 1       // Subscribe.Enabled
)

// policyEvent converts a record to the ID of its instance and an event of the decision module. The event is nil if the
// module does not use the record.
func (a *adapter) policyEvent(record simproto.Record) (uint32, policy.Event) {
	switch r := record.(type) {
	case *simproto.RequestArrived:
		return r.Instance, arrival(r)
	case *simproto.ClientGone:
		return r.Instance, policy.ClientGone{ID: policy.RequestID(r.Request)}
	case *simproto.ResponseStarted:
		return r.Instance, policy.ResponseStarted{ID: policy.RequestID(r.Request), Attempt: int(r.Attempt)}
	case *simproto.AttemptEnded:
		return r.Instance, a.attemptEnded(r)
	case *simproto.HealthCheckEnded:
		return r.Instance, policy.ProbeEnded{
			Engine:   decodeEngineID(r.Engine),
			Outcome:  outcome(r.Outcome),
			Duration: duration(r.Duration),
			Report:   a.loadReport(r.Instance, r.Report),
		}
	case *simproto.Progress:
		if r.Kind != progressCompletedShare {
			return r.Instance, nil
		}
		return r.Instance, policy.Progress{ID: policy.RequestID(r.Request), Attempt: int(r.Attempt), Done: float64(r.Value)}
	case *simproto.TimerFired:
		return r.Instance, policy.TimerFired{Token: r.Token}
	}
	return 0, nil
}

func arrival(r *simproto.RequestArrived) policy.Arrival {
	event := policy.Arrival{
		ID:                policy.RequestID(r.Request),
		Class:             int(r.Class),
		OrderingKey:       r.Key,
		TableGroup:        tableGroup(r.TableGroup),
		EstimatedMemoryMB: float64(r.EstimatedMemoryMB),
		Remaining:         duration(r.Remaining),
		IsClientRetry:     r.Flags&simproto.FlagClientRetry != 0,
	}
	if r.Flags&simproto.FlagEstimatedWork != 0 {
		event.EstimatedWork = duration(r.EstimatedWork)
	}
	return event
}

func (a *adapter) attemptEnded(r *simproto.AttemptEnded) policy.AttemptEnded {
	return policy.AttemptEnded{
		ID:       policy.RequestID(r.Request),
		Attempt:  int(r.Attempt),
		Engine:   decodeEngineID(r.Engine),
		Outcome:  outcome(r.Outcome),
		Duration: duration(r.Duration),
		Terminal: r.Terminal != 0,
		Work:     time.Duration(r.Usage/usageMemoryModulus) * time.Millisecond,
		UsedMB:   float64(r.Usage%usageMemoryModulus) * usageMemoryUnitMB,
		Report:   a.loadReport(r.Instance, r.Report),
	}
}

// loadReport converts a load report. The settings of the instance say which metric each value holds.
func (a *adapter) loadReport(instanceID uint32, load simproto.LoadReport) policy.LoadReport {
	target := a.instances[instanceID]
	if target == nil || load.Count == 0 {
		return policy.LoadReport{}
	}
	report := policy.LoadReport{Present: true, Values: make(map[policy.Metric]float64, load.Count)}
	for i := 0; i < int(load.Count) && i < len(target.metrics); i++ {
		report.Values[target.metrics[i]] = float64(load.Values[i])
	}
	return report
}

// outcomes maps the outcome codes of attempts and health checks.
var outcomes = map[uint16]policy.Outcome{
	100: policy.OK,
	301: policy.Error,
	302: policy.Rejected,
	303: policy.Timeout,
	304: policy.NoConnection,
	305: policy.Reset,
	306: policy.Cancelled,
	307: policy.NotSent,
}

// outcome converts an outcome code. It maps unknown codes to policy.Error, which leaves open whether the query ran.
func outcome(code uint16) policy.Outcome {
	if o, known := outcomes[code]; known {
		return o
	}
	return policy.Error
}

// duration converts nanoseconds to a time.Duration, capped at its maximum.
func duration(ns uint64) time.Duration { return time.Duration(min(ns, math.MaxInt64)) }

// tableGroup converts a table group. NaN, negative values and values above maxTableGroup become 0.
func tableGroup(group float32) int {
	if group != group || group < 0 || group > maxTableGroup { // group != group: NaN
		return 0
	}
	return int(group)
}

// decodeEngineID converts an engine's address to a policy.EngineID: the IPv4 address is in the lower 32 bits, the port in
// the 16 bits above.
func decodeEngineID(e simproto.EngineID) policy.EngineID {
	id := uint64(e.Port)
	for _, b := range e.IP {
		id = id<<8 | uint64(b)
	}
	return policy.EngineID(id)
}

func encodeEngineID(id policy.EngineID) simproto.EngineID {
	return simproto.EngineID{Port: uint16(id >> 32), IP: [4]byte{byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)}}
}

// actionRecord converts an action of the decision module to a record of the given instance. It panics if there is no
// record for the type of the action, which is a programming error.
func actionRecord(instanceID uint32, action policy.Action) simproto.Record {
	switch a := action.(type) {
	case policy.Send:
		return &simproto.SendAttempt{Instance: instanceID, Request: uint32(a.ID), Engine: encodeEngineID(a.Engine), Timeout: uint64(a.Timeout)}
	case policy.SetResources:
		return &simproto.SetResources{Instance: instanceID, Request: uint32(a.ID), GrantMB: float32(a.GrantMB), Priority: uint8(a.Priority)}
	case policy.Reject:
		return &simproto.Reject{Instance: instanceID, Request: uint32(a.ID), RetryAfter: uint64(a.RetryAfter)}
	case policy.Fail:
		return &simproto.Fail{Instance: instanceID, Request: uint32(a.ID)}
	case policy.Cancel:
		return &simproto.CancelAttempt{Instance: instanceID, Request: uint32(a.ID), Attempt: uint16(a.Attempt)}
	case policy.Probe:
		return &simproto.HealthCheck{Instance: instanceID, Engine: encodeEngineID(a.Engine)}
	case policy.SetTimer:
		return &simproto.SetTimer{Instance: instanceID, After: uint64(a.After), Token: a.Token}
	case policy.Subscribe:
		return &simproto.Subscribe{Instance: instanceID, Enabled: subscribeEnabled}
	case policy.Log:
		return &simproto.Log{Instance: instanceID, Text: []byte(a.Text)}
	}
	panic(fmt.Sprintf("no record for action type %T", action))
}
