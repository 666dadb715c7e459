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
	Gateways    int           `default:"30" help:"Gateways of a fleet."`
	Engines     int           `default:"8" help:"Stand-in engines."`
	Cores       float64       `default:"8" help:"Cores of an engine."`
	Load        float64       `default:"0.6" help:"Work that clients ask for, over what the engines' cores can do."`
	Seeds       int           `default:"20" help:"Plays of each kind of change."`
	Kinds       []string      `help:"Kinds of change; all where none is named. good is a good one."`
	Stages      []string      `default:"1,20%,100%" help:"Stages of the plans."`
	MinWatch    float64       `name:"least" default:"15" help:"Shortest watch of a stage, in seconds."`
	Parallel    int           `name:"together" default:"2" help:"Fleets that play at a time."`
	Plain       bool          `help:"A plain rolling restart in the rollout's place."`
	MaxDuration time.Duration `name:"most" default:"6m" help:"The longest play."`
	Out         string        `default:"found/fleettest" help:"The folder for tables and logs."`
}

const (
	goodKind = "good" // a change without a fault

	phaseRolled rollout.Phase = "rolled" // of a rolling restart, which has no phases of its own

	maxWatchFactor  = 8 // longest watch of a stage over the shortest
	rollingInterval = time.Second
)

// rolloutResult is the result of one change.
type rolloutResult struct {
	kind       string
	phase      rollout.Phase
	stage      int
	duration   time.Duration
	verdicts   map[emulator.Verdict]int
	twice      int // answers after the first
	harmed     int // queries; see harmed
	firstStage int // queries at gateways of the first stage
	queries    int
	reason     string
	err        error
}

// Run plays each kind of change so often, and keeps a table of the results.
func (c *rolloutCommand) Run() error {
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = append(emulator.Faults(), goodKind)
	}
	results, err := c.playAll(kinds)
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

// playAll plays all changes, some at the same time. A change that fails has its error in its result.
func (c *rolloutCommand) playAll(kinds []string) ([]rolloutResult, error) {
	results := make([]rolloutResult, len(kinds)*c.Seeds)
	var jobs []func() error
	for _, kind := range kinds {
		for k := range c.Seeds {
			result, seed := &results[len(jobs)], uint64(1+k)
			jobs = append(jobs, func() error {
				*result = c.play(kind, seed)
				result.log(seed)
				return nil
			})
		}
	}
	return results, runAll(max(1, c.Parallel), jobs)
}

// log writes a line about the result to standard error.
func (r *rolloutResult) log(seed uint64) {
	logProgress("%s, seed %d: %s in stage %d after %.0f s; %d of %d harmed; %s %v", r.kind, seed, r.phase, r.stage+1,
		r.duration.Seconds(), r.harmed, r.queries, r.reason, r.err)
}

// play plays one change with a fleet of its own.
func (c *rolloutCommand) play(kind string, seed uint64) rolloutResult {
	r := rolloutResult{kind: kind, verdicts: map[emulator.Verdict]int{}}
	r.err = c.playChange(&r, seed)
	return r
}

// playChange starts a fleet, rolls the change out under load, and ends the fleet.
func (c *rolloutCommand) playChange(r *rolloutResult, seed uint64) (err error) {
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
		if closing := change.Close(); err == nil {
			err = closing
		}
	}()
	change.SendLoad(c.MaxDuration)
	start := time.Now()
	err = c.rollOut(change, r)
	r.duration = time.Since(start)
	r.addOutcomes(change.StopClients(), change.CheckedPlan.Plan.StageGateways(c.Gateways)[0], c.Plain)
	if running := controller.FindProcesses(change.CheckedPlan.Fleet); r.phase == rollout.RolledBack && slices.Contains(running, 0) {
		return fmt.Errorf("%s, seed %d: a gateway does not run after the return", r.kind, seed)
	}
	return err
}

// changeOptions are the options of a change, whose gateways are processes of this tool.
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

// rollOut carries a change out, by its stages or as a rolling restart.
func (c *rolloutCommand) rollOut(change *testfleet.Change, r *rolloutResult) error {
	if c.Plain {
		r.phase = phaseRolled
		return change.RollingRestart(rollingInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.MaxDuration)
	defer cancel()
	state, err := change.RunController(ctx)
	r.phase, r.stage, r.reason = state.Phase, state.Stage, state.Reason
	return err
}

// addOutcomes counts what became of the clients' queries; firstStage has the gateways of the first stage.
func (r *rolloutResult) addOutcomes(outcomes []emulator.Outcome, firstStage []int, rolling bool) {
	for _, o := range outcomes {
		r.verdicts[o.Verdict]++
		r.queries++
		r.twice += o.DuplicateAnswers
		inFirstStage := slices.Contains(firstStage, o.Gateway)
		if inFirstStage {
			r.firstStage++
		}
		if harmed(o, inFirstStage || rolling) {
			r.harmed++
		}
	}
}

// harmed reports whether a query was lost, failed, answered wrongly or not at all; or, at a gateway that had the new
// version from the start, rejected or served after its latency objective.
func harmed(o emulator.Outcome, newVersion bool) bool {
	switch o.Verdict {
	case emulator.Served, emulator.Rejected:
		return !o.InTime && newVersion
	}
	return true
}
