package main

import (
	"fmt"
	"time"

	"frostpier/internal/settings"
	"frostpier/internal/testbed/simproto"
	"frostpier/policy"
)

// engineListCount is the number of engine lists that the process stores. The number of a list must be below it.
const engineListCount = 16

// adapter is the state of the process: the engine lists by number and the running instances by ID.
type adapter struct {
	lists     [engineListCount][]simproto.EngineEntry
	instances map[uint32]*instance
	actions   []simproto.Record // actions of the current batch; the slice is reused
}

// instance is one simulated gateway.
type instance struct {
	gateway *policy.Gateway
	metrics []policy.Metric // metric of each value in a load report, in order
}

func newAdapter() *adapter { return &adapter{instances: map[uint32]*instance{}} }

// settingsError reports invalid settings of an instance.
type settingsError struct {
	instance uint32
	err      error
}

// Error returns a message with the instance's ID and the cause.
func (e *settingsError) Error() string {
	return fmt.Sprintf("invalid settings of instance %d: %v", e.instance, e.err)
}

// Unwrap returns the cause.
func (e *settingsError) Unwrap() error { return e.err }

// handleBatch passes each event of a batch, in order, to its instance and returns the resulting actions. They are valid
// until the next call. Errors are *settingsErrors or match simproto.ErrMalformedFrame.
func (a *adapter) handleBatch(batch simproto.Batch) ([]simproto.Record, error) {
	a.actions = a.actions[:0]
	now := time.Duration(batch.Now)
	for _, event := range batch.Events {
		if err := a.handleRecord(now, event); err != nil {
			return nil, err
		}
	}
	return a.actions, nil
}

func (a *adapter) handleRecord(now time.Duration, record simproto.Record) error {
	switch r := record.(type) {
	case *simproto.EngineList:
		return a.storeEngineList(r)
	case *simproto.StartInstance:
		return a.startInstance(r)
	case *simproto.StopInstance:
		delete(a.instances, r.Instance)
		return nil
	case *simproto.EngineListChanged:
		return a.deliverEngineList(now, r)
	}
	instanceID, event := a.policyEvent(record)
	a.deliver(now, instanceID, event)
	return nil
}

func (a *adapter) storeEngineList(list *simproto.EngineList) error {
	if err := checkListNumber(list.Number); err != nil {
		return err
	}
	a.lists[list.Number] = list.Entries
	return nil
}

func checkListNumber(number uint16) error {
	if number >= engineListCount {
		return &simproto.LimitError{Field: "engine list number", Value: uint64(number), Limit: engineListCount - 1}
	}
	return nil
}

func (a *adapter) startInstance(start *simproto.StartInstance) error {
	module, err := settings.Parse(start.Settings)
	if err != nil {
		return &settingsError{instance: start.Instance, err: err}
	}
	gateway, err := policy.New(module, start.Seed)
	if err != nil {
		return &settingsError{instance: start.Instance, err: err}
	}
	a.instances[start.Instance] = &instance{gateway: gateway, metrics: module.Metrics}
	return nil
}

// deliver passes an event to an instance and appends the resulting actions to a.actions. It ignores a nil event and an
// event for an unknown instance.
func (a *adapter) deliver(now time.Duration, instanceID uint32, event policy.Event) {
	target := a.instances[instanceID]
	if target == nil || event == nil {
		return
	}
	for _, action := range target.gateway.Handle(now, event) {
		a.actions = append(a.actions, actionRecord(instanceID, action))
	}
}

// listKinds maps the values of EngineListChanged.Kind.
var listKinds = map[uint8]policy.ListKind{
	1: policy.ListCached,
	2: policy.ListFailed,
	3: policy.ListFull,
	4: policy.ListDelta,
}

// unknownListKindError reports an unknown value of EngineListChanged.Kind. It matches simproto.ErrMalformedFrame.
type unknownListKindError struct{ kind uint8 }

// Error returns a message with the unknown kind.
func (e *unknownListKindError) Error() string {
	return fmt.Sprintf("%v: unknown engine list kind %d", simproto.ErrMalformedFrame, e.kind)
}

// Unwrap makes errors.Is match simproto.ErrMalformedFrame.
func (e *unknownListKindError) Unwrap() error { return simproto.ErrMalformedFrame }

// deliverEngineList passes a stored list to an instance. An event of kind policy.ListFailed refers to no list.
func (a *adapter) deliverEngineList(now time.Duration, change *simproto.EngineListChanged) error {
	kind, known := listKinds[change.Kind]
	if !known {
		return &unknownListKindError{kind: change.Kind}
	}
	event := policy.EngineList{Kind: kind}
	if kind != policy.ListFailed {
		if err := checkListNumber(change.List); err != nil {
			return err
		}
		event.Engines = engineInfos(a.lists[change.List])
	}
	a.deliver(now, change.Instance, event)
	return nil
}

func engineInfos(entries []simproto.EngineEntry) (engines []policy.EngineInfo) {
	for _, entry := range entries {
		engines = append(engines, policy.EngineInfo{
			ID: decodeEngineID(entry.Engine), Zone: int(entry.Zone), MachineType: int(entry.MachineType), Cell: int(entry.Cell),
			Health: policy.Health(entry.Health), Scale: float64(entry.Scale), Started: time.Duration(entry.Started),
		})
	}
	return engines
}
