package main

import (
	"fmt"
	"math"
	"time"

	"frostpier/internal/testbed/simproto"
	"frostpier/policy"
)

// Encoding of values within fields of the simulator's records.
const (
	progressShareDone = 1       // Progress.Kind: the value is the share of the work done
	usageMemorySteps  = 4096    // AttemptEnded.Usage is work in ms times this, plus memory in steps
	usageMemoryStepMB = 4       // MB in a step of memory
	maxTableGroup     = 1 << 24 // integers beyond it are not exact in a float32
	subscribeEnabled  = 1
)

// policyEvent converts a record to the instance's number and the decision module's event. The event is nil for a record
// that the module has no use for.
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
		if r.Kind != progressShareDone {
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
		Work:     time.Duration(r.Usage/usageMemorySteps) * time.Millisecond,
		UsedMB:   float64(r.Usage%usageMemorySteps) * usageMemoryStepMB,
		Report:   a.loadReport(r.Instance, r.Report),
	}
}

// loadReport names the values of a load report by the metrics of the instance's settings.
func (a *adapter) loadReport(number uint32, load simproto.LoadReport) policy.LoadReport {
	target := a.instances[number]
	if target == nil || load.Count == 0 {
		return policy.LoadReport{}
	}
	report := policy.LoadReport{Present: true, Values: make(map[policy.Metric]float64, load.Count)}
	for i := 0; i < int(load.Count) && i < len(target.metrics); i++ {
		report.Values[target.metrics[i]] = float64(load.Values[i])
	}
	return report
}

// outcomes are the outcomes of attempts and health checks by their code on the wire.
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

// outcome converts an outcome code. An unknown one is policy.Error, the outcome that proves nothing about the query.
func outcome(code uint16) policy.Outcome {
	if o, known := outcomes[code]; known {
		return o
	}
	return policy.Error
}

// duration converts nanoseconds, cut to the largest Duration.
func duration(ns uint64) time.Duration { return time.Duration(min(ns, math.MaxInt64)) }

// tableGroup converts a table group; one that is no number of a group is 0.
func tableGroup(group float32) int {
	if group != group || group < 0 || group > maxTableGroup { // group != group: not a number
		return 0
	}
	return int(group)
}

// decodeEngineID packs an address into the decision module's id: the port above the four bytes of the IP.
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

// actionRecord converts an action of the decision module. It panics on an action that the simulator has no record for,
// which is an error in the program.
func actionRecord(number uint32, action policy.Action) simproto.Record {
	switch a := action.(type) {
	case policy.Send:
		return &simproto.SendAttempt{Instance: number, Request: uint32(a.ID), Engine: encodeEngineID(a.Engine), Timeout: uint64(a.Timeout)}
	case policy.SetResources:
		return &simproto.SetResources{Instance: number, Request: uint32(a.ID), GrantMB: float32(a.GrantMB), Priority: uint8(a.Priority)}
	case policy.Reject:
		return &simproto.Reject{Instance: number, Request: uint32(a.ID), RetryAfter: uint64(a.RetryAfter)}
	case policy.Fail:
		return &simproto.Fail{Instance: number, Request: uint32(a.ID)}
	case policy.Cancel:
		return &simproto.CancelAttempt{Instance: number, Request: uint32(a.ID), Attempt: uint16(a.Attempt)}
	case policy.Probe:
		return &simproto.HealthCheck{Instance: number, Engine: encodeEngineID(a.Engine)}
	case policy.SetTimer:
		return &simproto.SetTimer{Instance: number, After: uint64(a.After), Token: a.Token}
	case policy.Subscribe:
		return &simproto.Subscribe{Instance: number, Enabled: subscribeEnabled}
	case policy.Log:
		return &simproto.Log{Instance: number, Text: []byte(a.Text)}
	}
	panic(fmt.Sprintf("no record for action %T", action))
}
