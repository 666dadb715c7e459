package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/controller"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

type rolloutCommand struct {
	Gateways    int           `default:"30" help:"Number of gateways in a fleet."`
	Engines     int           `default:"8" help:"Number of emulated engines."`
	Cores       float64       `default:"8" help:"Cores per engine."`
	Load        float64       `default:"0.6" help:"Work offered by the clients, as a share of the capacity of the engines' cores."`
	Seeds       int           `default:"20" help:"Number of runs for each kind of change."`
	Kinds       []string      `help:"Kinds of change: faults of the new version, or good for none. Default: all."`
	Stages      []string      `default:"1,20%,100%" help:"Stages of the plans."`
	MinWatch    float64       `name:"least" default:"15" help:"Minimum analysis window of a stage, in seconds."`
	Parallel    int           `name:"together" default:"2" help:"Number of fleets that run at the same time."`
	Plain       bool          `help:"Use a plain rolling restart instead of a staged rollout."`
	MaxDuration time.Duration `name:"most" default:"6m" help:"Timeout of a run."`
	Out         string        `default:"found/fleettest" help:"Directory for tables and logs."`
}

const (
	goodKind = "good" // kind of a change without a fault

	phaseRollingRestart rollout.Phase = "rolled" // result of a rolling restart, which has no phases

	maxWatchFactor  = 8 // ratio of the maximum to the minimum analysis window of a stage
	rollingInterval = time.Second
)

// rolloutResult is the result of one change.
type rolloutResult struct {
	kind       string
	phase      rollout.Phase
	stage      int
	duration   time.Duration
	verdicts   map[emulator.Verdict]int
	duplicates int // answers after the first answer to a query
	affected   int // queries that the change affected, see the function affected
	firstStage int // queries at the gateways of the first stage
	queries    int // all queries
	reason     string
	err        error
}

// Run rolls out each kind of change with each seed, and saves a table of the results.
func (c *rolloutCommand) Run() error {
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = append(emulator.Faults(), goodKind)
	}
	results, err := c.runChanges(kinds)
	if err != nil {
		return err
	}
	name := "rollout"
	if c.Plain {
		name = "rolling"
	}
	t := c.table(kinds, results)
	fmt.Print(t.markdown())
	if err := t.saveIn(c.Out, fmt.Sprintf("%s-%d", name, c.Gateways)); err != nil {
		return err
	}
	for _, r := range results {
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// runChanges rolls out all changes, Parallel of them at a time. The error of a run is in its result.
func (c *rolloutCommand) runChanges(kinds []string) ([]rolloutResult, error) {
	results := make([]rolloutResult, len(kinds)*c.Seeds)
	var jobs []func() error
	for _, kind := range kinds {
		for k := range c.Seeds {
			result, seed := &results[len(jobs)], uint64(1+k)
			jobs = append(jobs, func() error {
				*result = c.runOne(kind, seed)
				result.log(seed)
				return nil
			})
		}
	}
	return results, runJobs(max(1, c.Parallel), jobs)
}

// log writes a line about the result to standard error.
func (r *rolloutResult) log(seed uint64) {
	logProgress("%s, seed %d: %s in stage %d after %.0f s; %d of %d affected; %s %v", r.kind, seed, r.phase, r.stage+1,
		r.duration.Seconds(), r.affected, r.queries, r.reason, r.err)
}

// runOne rolls out one change on a new fleet.
func (c *rolloutCommand) runOne(kind string, seed uint64) rolloutResult {
	r := rolloutResult{kind: kind, verdicts: map[emulator.Verdict]int{}}
	r.err = c.runChange(&r, seed)
	return r
}

// runChange starts a fleet, rolls the change out under load, and stops the fleet.
func (c *rolloutCommand) runChange(r *rolloutResult, seed uint64) (err error) {
	dir, err := os.MkdirTemp("", "frostpier-rollout-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options, err := c.changeOptions(r.kind, seed, dir)
	if err != nil {
		return err
	}
	change, err := testfleet.NewChange(options)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := change.Close(); err == nil {
			err = closeErr
		}
	}()
	change.SendLoad(c.MaxDuration)
	start := time.Now()
	err = c.apply(change, r)
	r.duration = time.Since(start)
	r.addOutcomes(change.StopClients(), change.CheckedPlan.Plan.StageGateways(c.Gateways)[0], c.Plain)
	if running := controller.FindProcesses(change.CheckedPlan.Fleet); r.phase == rollout.RolledBack && slices.Contains(running, 0) {
		return fmt.Errorf("%s, seed %d: a gateway is not running after the rollback", r.kind, seed)
	}
	return err
}

// changeOptions returns the options of a change. Its gateways are processes of this tool, which run the command gateway.
func (c *rolloutCommand) changeOptions(kind string, seed uint64, dir string) (testfleet.ChangeOptions, error) {
	self, err := os.Executable()
	if err != nil {
		return testfleet.ChangeOptions{}, err
	}
	fault := kind
	if kind == goodKind {
		fault = ""
	}
	return testfleet.ChangeOptions{
		Gateways:        c.Gateways,
		Engines:         c.Engines,
		Cores:           c.Cores,
		Load:            c.Load,
		Seed:            seed,
		Dir:             dir,
		Program:         []string{self, "gateway"},
		Env:             emulator.OwnerEnv(),
		Fault:           fault,
		Stages:          c.Stages,
		MinWatchSeconds: c.MinWatch,
		MaxWatchSeconds: maxWatchFactor * c.MinWatch,
	}, nil
}

// apply applies a change in stages or by a rolling restart.
func (c *rolloutCommand) apply(change *testfleet.Change, r *rolloutResult) error {
	if c.Plain {
		r.phase = phaseRollingRestart
		return change.RollingRestart(rollingInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.MaxDuration)
	defer cancel()
	state, err := change.RunController(ctx)
	r.phase, r.stage, r.reason = state.Phase, state.Stage, state.Reason
	return err
}

// addOutcomes counts the outcomes of the clients' queries. firstStage has the indexes of the gateways in the first stage.
func (r *rolloutResult) addOutcomes(outcomes []emulator.Outcome, firstStage []int, rolling bool) {
	for _, o := range outcomes {
		r.verdicts[o.Verdict]++
		r.queries++
		r.duplicates += o.DuplicateAnswers
		inFirstStage := slices.Contains(firstStage, o.Gateway)
		if inFirstStage {
			r.firstStage++
		}
		if affected(o, inFirstStage || rolling) {
			r.affected++
		}
	}
}

// affected reports whether a change affected a query. It returns true for every query that was lost, failed, unanswered or
// answered with a wrong result. At a gateway that had the new version from the start, it also returns true for a query that was
// rejected or that missed its latency objective.
func affected(o emulator.Outcome, newVersion bool) bool {
	switch o.Verdict {
	case emulator.Served, emulator.Rejected:
		return !o.InTime && newVersion
	}
	return true
}
