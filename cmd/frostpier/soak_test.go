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

// The seeds that run at a time, so that each gateway has the processor time of its settings.
var soakSeeds = [][]uint64{{1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}, {15, 30, 40}}

// A planned stop loses no request, whatever else happens: each seed draws clients that use their open connections until the kill, a
// series of signals, and a disturbance. `fleettest soak --seeds N` plays a seed again.
//
// Callers got no answer at all where a crowd of 350 clients was connected: 1 to 38 requests of each such stop were lost. All
// connections were closed in one turn of the event loop once the last responses had been queued, and the bound on connections that are
// being closed (51 there) closed the oldest at once, over its unwritten response. A trial build that printed each such close showed one
// for each lost request ("linger limit closes over unwritten bytes 95 lingering 52 limit 51"), and none in runs without a loss.
func TestFleetPlannedStopsLoseNothing(t *testing.T) {
	var servedMySQL atomic.Int64
	for _, group := range soakSeeds {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			for _, seed := range group {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					result := playSoak(t, soak.NewScenario(seed, 1))
					servedMySQL.Add(int64(mysqlRequests(result, soak.Served)))
				})
			}
		})
	}
	if servedMySQL.Load() == 0 {
		t.Error("no query of a MySQL client was served in any play")
	}
}

// playSoak plays a scenario with this test binary as the program. Nothing in it may break a rule, and MySQL clients get answers if there
// are some. These may all be rejections: beside a crowd and a hung engine a gateway under the race detector sheds them all.
func playSoak(t *testing.T, scenario soak.Scenario) soak.Result {
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

// mysqlRequests counts the requests of MySQL clients with these ends.
func mysqlRequests(result soak.Result, ends ...soak.Outcome) (count int) {
	for _, r := range result.Requests {
		if r.MySQL && slices.Contains(ends, r.Outcome) {
			count++
		}
	}
	return count
}
