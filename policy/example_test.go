package policy_test

import (
	"fmt"
	"time"

	"frostpier/policy"
)

// A host drives a Gateway by hand: it tells of an engine, takes a request and reports how the attempt ended.
func ExampleGateway() {
	gateway, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1, Threads: 1}},
		Kinds:   []policy.Kind{{Cores: 8, MemoryMB: 16384}}, Gateways: 1, Tick: 5 * time.Millisecond,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []policy.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case policy.Send:
				fmt.Printf("send request %d to engine %d, time-out %v\n", a.ID, a.Engine, a.Timeout)
			case policy.SetTimer:
				fmt.Printf("call back in %v\n", a.After)
			}
		}
	}
	now := time.Minute
	show(gateway.Handle(now, policy.EngineList{Engines: []policy.EngineInfo{{ID: 7}}}))
	show(gateway.Handle(now, policy.Arrival{ID: 1, TableGroup: 3, Remaining: 5 * time.Second}))
	show(gateway.Handle(now+80*time.Millisecond, policy.AttemptEnded{ID: 1, Engine: 7, Outcome: policy.OK,
		Duration: 80 * time.Millisecond, Terminal: true}))
	// Output:
	// send request 1 to engine 7, time-out 5s
	// call back in 20ms
}
