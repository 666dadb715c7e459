package main

import (
	"fmt"
	"math"
	"time"

	"frostpier/internal/settings"
	"frostpier/internal/testbed/simproto"
	"frostpier/policy"
)

// link holds what a process holds: the numbered lists and a Gateway for each instance.
type link struct {
	banks     [16][]simproto.Entry
	instances map[uint32]*instance
	out       []simproto.Record
}

type instance struct {
	gateway *policy.Gateway
	figures []policy.Metric
}

func newLink() *link { return &link{instances: map[uint32]*instance{}} }

// answer hands each event to its instance in order and collects the actions.
func (l *link) answer(b simproto.Batch) ([]simproto.Record, error) {
	l.out = l.out[:0]
	now := time.Duration(b.Now)
	for _, ev := range b.Events {
		if err := l.take(now, ev); err != nil {
			return nil, err
		}
	}
	return l.out, nil
}

func (l *link) take(now time.Duration, ev simproto.Record) error {
	switch e := ev.(type) {
	case *simproto.Table:
		if int(e.Bank) >= len(l.banks) {
			return fmt.Errorf("malformed frame: list number %d", e.Bank)
		}
		l.banks[e.Bank] = e.Entries
		return nil
	case *simproto.Up:
		told, err := settings.Parse(e.Setup)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", e.Inst, err)
		}
		g, err := policy.New(told, e.Seed)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", e.Inst, err)
		}
		l.instances[e.Inst] = &instance{gateway: g, figures: told.Metrics}
		return nil
	case *simproto.Teardown:
		delete(l.instances, e.Inst)
		return nil
	case *simproto.Announce:
		return l.announce(now, e)
	}
	inst, event := l.event(ev)
	l.handle(now, inst, event)
	return nil
}

// handle passes an event on; one for an instance that is not up is dropped.
func (l *link) handle(now time.Duration, inst uint32, event policy.Event) {
	in := l.instances[inst]
	if in == nil || event == nil {
		return
	}
	for _, a := range in.gateway.Handle(now, event) {
		l.out = append(l.out, record(inst, a))
	}
}

var listKinds = map[uint8]policy.ListKind{
	1: policy.ListCached, 2: policy.ListFailed, 3: policy.ListFull, 4: policy.ListDelta,
}

func (l *link) announce(now time.Duration, e *simproto.Announce) error {
	kind, known := listKinds[e.How]
	if !known {
		return fmt.Errorf("malformed frame: list of unknown form %d", e.How)
	}
	list := policy.EngineList{Kind: kind}
	if kind != policy.ListFailed {
		if int(e.Bank) >= len(l.banks) {
			return fmt.Errorf("malformed frame: list number %d", e.Bank)
		}
		for _, row := range l.banks[e.Bank] {
			list.Engines = append(list.Engines, policy.EngineInfo{
				ID: engineID(row.Engine), Zone: int(row.Zone), Kind: int(row.Kind), Cell: int(row.Cell),
				Health: policy.Health(row.Health), Scale: float64(row.Scale), Started: time.Duration(row.Started),
			})
		}
	}
	l.handle(now, e.Inst, list)
	return nil
}

// event turns a wire event into the module's; nil for what the module has no use for.
func (l *link) event(ev simproto.Record) (uint32, policy.Event) {
	switch e := ev.(type) {
	case *simproto.WorkItem:
		a := policy.Arrival{ID: policy.RequestID(e.Request), Class: int(e.Class), Key: e.Key,
			TableGroup: tableGroup(e.Tables), EstimatedMemoryMB: float64(e.NeedMB), Remaining: span(e.Remaining),
			IsClientRetry: e.Opts&2 != 0}
		if e.Opts&1 != 0 {
			a.EstimatedWork = span(e.Expected)
		}
		return e.Inst, a
	case *simproto.Vanished:
		return e.Inst, policy.ClientGone{ID: policy.RequestID(e.Request)}
	case *simproto.Flowing:
		return e.Inst, policy.ResponseStarted{ID: policy.RequestID(e.Request), Attempt: int(e.Attempt)}
	case *simproto.Done:
		return e.Inst, policy.AttemptEnded{ID: policy.RequestID(e.Request), Attempt: int(e.Attempt),
			Engine: engineID(e.Engine), Outcome: outcome(e.Ending), Duration: span(e.Took), Terminal: e.Terminal != 0,
			Work: time.Duration(e.Note/4096) * time.Millisecond, UsedMB: float64(e.Note%4096) * 4,
			Report: l.report(e.Inst, e.Load)}
	case *simproto.CheckResult:
		return e.Inst, policy.ProbeEnded{Engine: engineID(e.Engine), Outcome: outcome(e.Ending),
			Duration: span(e.Took), Report: l.report(e.Inst, e.Load)}
	case *simproto.Heartbeat:
		if e.Kind != 1 {
			return e.Inst, nil
		}
		return e.Inst, policy.Progress{ID: policy.RequestID(e.Request), Attempt: int(e.Attempt),
			Done: float64(e.Amount)}
	case *simproto.Due:
		return e.Inst, policy.TimerFired{Token: e.Token}
	}
	return 0, nil
}

func (l *link) report(inst uint32, load simproto.Load) policy.Report {
	in := l.instances[inst]
	if in == nil || load.N == 0 {
		return policy.Report{}
	}
	r := policy.Report{Present: true, Values: make(map[policy.Metric]float64, load.N)}
	for i := 0; i < int(load.N) && i < len(in.figures); i++ {
		r.Values[in.figures[i]] = float64(load.Values[i])
	}
	return r
}

var outcomes = map[uint16]policy.Outcome{
	100: policy.OK, 301: policy.Error, 302: policy.Rejected, 303: policy.Timeout, 304: policy.NoConnection,
	305: policy.Reset, 306: policy.Cancelled, 307: policy.NotSent,
}

// outcome reads an ending; an unknown one is an error, the outcome that proves nothing.
func outcome(code uint16) policy.Outcome {
	if o, known := outcomes[code]; known {
		return o
	}
	return policy.Error
}

// span reads a time of the wire, cut to what a Duration holds.
func span(ns uint64) time.Duration { return time.Duration(min(ns, math.MaxInt64)) }

func tableGroup(f float32) int {
	if f != f || f < 0 || f > 1<<24 {
		return 0
	}
	return int(f)
}

func engineID(e simproto.EngineID) policy.EngineID {
	id := uint64(e.Port)
	for _, b := range e.IP {
		id = id<<8 | uint64(b)
	}
	return policy.EngineID(id)
}

func wireEngine(id policy.EngineID) simproto.EngineID {
	return simproto.EngineID{Port: uint16(id >> 32), IP: [4]byte{byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)}}
}

// record turns an action into a wire record.
func record(inst uint32, action policy.Action) simproto.Record {
	switch a := action.(type) {
	case policy.Send:
		return &simproto.Dispatch{Inst: inst, Request: uint32(a.ID), Engine: wireEngine(a.Engine),
			AllowFor: uint64(a.Timeout)}
	case policy.SetTerms:
		return &simproto.SetTerms{Inst: inst, Request: uint32(a.ID), GrantMB: float32(a.GrantMB),
			Priority: uint8(a.Priority)}
	case policy.Reject:
		return &simproto.Refuse{Inst: inst, Request: uint32(a.ID), ComeBack: uint64(a.RetryAfter)}
	case policy.Fail:
		return &simproto.Surrender{Inst: inst, Request: uint32(a.ID)}
	case policy.Cancel:
		return &simproto.Abandon{Inst: inst, Request: uint32(a.ID), Attempt: uint16(a.Attempt)}
	case policy.Probe:
		return &simproto.HealthCheck{Inst: inst, Engine: wireEngine(a.Engine)}
	case policy.SetTimer:
		return &simproto.Timer{Inst: inst, After: uint64(a.After), Token: a.Token}
	case policy.Subscribe:
		return &simproto.KeepInformed{Inst: inst, Want: 1}
	case policy.Log:
		return &simproto.Debug{Inst: inst, Text: []byte(a.Text)}
	}
	panic(fmt.Sprintf("no record for action %T", action))
}
