package main

import (
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"testing"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/soak"
)

// soakSeeds are groups of seeds that run in parallel. They are small enough for each gateway to get the CPU time of its settings.
var soakSeeds = [][]uint64{{1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}, {15, 30, 40}}

// TestFleetGracefulShutdownLosesNoRequest checks that a graceful shutdown loses no request. Each seed draws clients that use their open
// connections until the process is killed, a sequence of signals, and a fault. `fleettest soak --seeds N` replays a seed.
//
// It guards against requests that are lost, or answered too late, while a gateway with many clients shuts down.
func TestFleetGracefulShutdownLosesNoRequest(t *testing.T) {
	var servedMySQL atomic.Int64
	for _, group := range soakSeeds {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			for _, seed := range group {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					result := runSoak(t, soak.NewScenario(seed, 1))
					servedMySQL.Add(int64(mysqlRequests(result, soak.Served)))
				})
			}
		})
	}
	if servedMySQL.Load() == 0 {
		t.Error("no query of a MySQL client was served in any run")
	}
}

// runSoak runs a scenario with this test binary as the program. It checks that no request is lost, and that MySQL clients get answers if
// the scenario has any. All of these answers may be rejections: with many other clients and a hung engine, a gateway under the race
// detector may reject all their requests.
func runSoak(t *testing.T, scenario soak.Scenario) soak.Result {
	t.Helper()
	t.Log(scenario)
	env := append(emulator.OwnerEnv(), envAsProgram+"=1")
	result, err := soak.Run(scenario, soak.Options{Dir: t.TempDir(), Command: []string{os.Args[0]}, Env: env})
	if err != nil {
		t.Fatal(err)
	}
	for _, problem := range result.Problems() {
		t.Error(problem)
	}
	if answered := mysqlRequests(result, soak.Served, soak.Rejected); (answered > 0) != (scenario.MySQLClients > 0) {
		t.Errorf("%d MySQL clients got %d answers", scenario.MySQLClients, answered)
	}
	return result
}

// mysqlRequests counts the requests of MySQL clients that ended in one of these ways.
func mysqlRequests(result soak.Result, outcomes ...soak.Outcome) (count int) {
	for _, r := range result.Requests {
		if r.MySQL && slices.Contains(outcomes, r.Outcome) {
			count++
		}
	}
	return count
}
