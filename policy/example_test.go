package policy_test

import (
	"fmt"
	"time"

	"frostpier/policy"
)

// The example passes an engine list, a request and the outcome of its attempt to a Gateway and prints the actions.
func ExampleGateway() {
	gateway, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second,
			Weight: 1, Threads: 1}},
		MachineTypes: []policy.MachineType{{Cores: 8, MemoryMB: 16384}},
		Gateways:     1,
		Tick:         5 * time.Millisecond,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	printActions := func(actions []policy.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case policy.Send:
				fmt.Printf("send request %d to engine %d, timeout %v\n", a.ID, a.Engine, a.Timeout)
			case policy.SetTimer:
				fmt.Printf("set a timer of %v\n", a.After)
			}
		}
	}
	now := time.Minute
	printActions(gateway.Handle(now, policy.EngineList{Engines: []policy.EngineInfo{{ID: 7}}}))
	printActions(gateway.Handle(now, policy.Arrival{ID: 1, TableGroup: 3, Remaining: 5 * time.Second}))
	printActions(gateway.Handle(now+80*time.Millisecond, policy.AttemptEnded{ID: 1, Engine: 7, Outcome: policy.OK,
		Duration: 80 * time.Millisecond, Terminal: true}))
	// Output:
	// send request 1 to engine 7, timeout 5s
	// set a timer of 20ms
}
