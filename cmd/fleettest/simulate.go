package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

type simulateCommand struct {
	Sizes []int   `default:"10,30,100,300,1000" help:"Numbers of members in the simulated fleets."`
	Kills int     `default:"400" help:"Number of kills for each size."`
	Hours float64 `default:"100" help:"Simulated process-hours with pauses, for each size."`
	Loss  float64 `default:"0.1" help:"Probability that a datagram is lost."`
	Seed  uint64  `default:"1" help:"First seed."`
	Out   string  `default:"found/fleettest" help:"Directory for the table and the chart."`
}

// Parameters of the simulations.
const (
	killInterval     = 30 * time.Second // time from a kill until the restart of the member
	pauseInterval    = 30 * time.Second // mean time between two pauses of a member
	maxPause         = 2 * time.Second
	steadyDuration   = time.Minute
	stepsPerCheck    = 1000 // steps between two checks of a node's invariants
	seedsPerSize     = 4    // seeds of the simulations with datagram loss, for each size
	heartbeatRate    = 1    // heartbeats per second of a baseline member: as many as the protocol's datagrams in the steady state
	missedHeartbeats = 3    // rounds without a heartbeat after which the baseline declares a member dead
)

// membershipRow has the results for one size of the fleet.
type membershipRow struct {
	members               int
	steady, kills, pauses simulation.Results
	heartbeatPauses       simulation.Results
}

// newHeartbeatDetector returns the baseline that the membership protocol is compared with.
func newHeartbeatDetector(c membership.Config) (simulation.Detector, error) {
	return simulation.NewHeartbeatDetector(c, heartbeatRate, missedHeartbeats), nil
}

// Run simulates fleets of each size, on all cores, and saves a table and a chart of the results.
func (c *simulateCommand) Run() error {
	rows := make([]membershipRow, len(c.Sizes))
	var jobs []func() error
	for k, members := range c.Sizes {
		rows[k].members = members
		jobs = append(jobs, c.jobs(&rows[k])...)
	}
	if err := runJobs(runtime.GOMAXPROCS(0), jobs); err != nil {
		return err
	}
	t := simulationTable(rows)
	fmt.Print(t.markdown())
	const name = "membership-simulated"
	if err := t.saveIn(c.Out, name); err != nil {
		return err
	}
	return chartDetection(filepath.Join(c.Out, name+chartExtension), rows)
}

// jobs returns functions that run the simulations of one size. They may be called concurrently.
func (c *simulateCommand) jobs(row *membershipRow) []func() error {
	var mu sync.Mutex
	add := func(sum *simulation.Results, f simulation.Results, err error) error {
		mu.Lock()
		defer mu.Unlock()
		*sum = sum.Merge(f)
		return err
	}
	lossy := simulation.Setup{Members: row.members, Loss: c.Loss, StepsPerCheck: stepsPerCheck, StartSpread: time.Second}
	jobs := []func() error{func() (err error) {
		lossless := lossy
		lossless.Loss, lossless.Seed = 0, c.Seed
		row.steady, err = simulation.MeasureSteadyState(lossless, steadyDuration)
		return err
	}}
	duration := time.Duration(c.Hours / seedsPerSize / float64(row.members) * float64(time.Hour))
	for k := range uint64(seedsPerSize) {
		setup := lossy
		setup.Seed = c.Seed + k
		baseline := setup
		baseline.NewDetector = newHeartbeatDetector
		jobs = append(jobs, func() error {
			f, err := simulation.MeasureKills(setup, c.Kills/seedsPerSize, killInterval)
			return add(&row.kills, f, err)
		}, func() error {
			f, err := simulation.MeasurePauses(setup, duration, pauseInterval, maxPause)
			return add(&row.pauses, f, err)
		}, func() error {
			f, err := simulation.MeasurePauses(baseline, duration, pauseInterval, maxPause)
			return add(&row.heartbeatPauses, f, err)
		})
	}
	return jobs
}

type replayCommand struct {
	From  uint64 `default:"0" help:"First seed."`
	Runs  uint64 `default:"1000" help:"Number of seeds."`
	Every int    `default:"0" help:"Steps between two checks of a node's invariants; 0 = a twentieth of the number of members."`
}

// Run runs the random test of each seed. The error names each seed that violates an invariant; a run with the same seed fails
// in the same way.
func (c *replayCommand) Run() error {
	var jobs []func() error
	steps, mu, began := 0, sync.Mutex{}, time.Now()
	for k := range c.Runs {
		seed := c.From + c.Runs - 1 - k
		jobs = append(jobs, func() error {
			n := simulation.RandomFleetSize(seed)
			every := c.Every
			if every == 0 {
				every = max(1, n/20)
			}
			f, err := simulation.RunRandom(seed, n, every)
			if f != nil {
				mu.Lock()
				steps += f.Steps
				mu.Unlock()
			}
			return err
		})
	}
	err := runJobs(runtime.GOMAXPROCS(0), jobs)
	fmt.Printf("%d runs, %d steps, %v\n", c.Runs, steps, time.Since(began).Round(time.Second))
	return err
}
