package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/scale/runner"
)

type scaleCommand struct {
	Program string   `default:"bin/frostpier" type:"existingfile" help:"The program."`
	Real    int      `default:"24" help:"Gateways that are processes of the program."`
	Hollow  []int    `default:"776" help:"Hollow gateways beside them; several sizes are played one after the other."`
	Engines int      `default:"1100" help:"Hollow engines."`
	Zones   int      `default:"7" help:"Zones of gateways and engines."`
	Regions int      `default:"2" help:"Regions that the zones lie in."`
	Steps   []string `help:"Steps to play, of: quiet, loaded, restarts, machines, zone, regions, list, reconnect. Default: all."`
	Rate    float64  `help:"Statements a second that each real gateway is sent in the step loaded; 0 leaves that step out."`
	Subset  int      `help:"Engines that a gateway uses, at the least; 0: every gateway uses all engines."`
	Reports float64  `default:"6" help:"Reports of engines' load a second that each hollow gateway makes up."`
	Delay   int      `default:"20" help:"Milliseconds until a hollow engine's answer."`
	Quiet   int      `default:"30" help:"Seconds of the steps quiet and loaded."`
	Cut     int      `default:"120" help:"Seconds for which regions are cut from each other, at the least."`
	Restart int      `name:"restarts-over" default:"100" help:"Seconds over which planned restarts are spread."`
	Seed    uint64   `default:"1" help:"Of all chance."`
	Out     string   `default:"found/fleettest" help:"The folder for tables, charts and logs."`
	Results string   `help:"The structured result file; default: scale-results.json in the folder."`
	Add     bool     `help:"Keep the runs that the result file holds, and add to them."`
}

// Run plays each size, prints its table, and keeps tables, charts and the structured results.
func (c *scaleCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	plans, err := c.plans()
	if err != nil {
		return err
	}
	file, err := c.load()
	if err != nil {
		return err
	}
	for _, plan := range plans {
		run, playErr := c.play(ctx, plan)
		fmt.Printf("%d real and %d hollow gateways, %d engines, seed %d\n\n%s\n", plan.RealGateways, plan.HollowGateways, plan.Engines, plan.Seed,
			scaleTable(run.Steps).markdown())
		if len(run.Steps) > 0 {
			file.Runs = append(file.Runs, run)
		}
		if err := errors.Join(playErr, c.save(file)); err != nil {
			return err
		}
	}
	return nil
}

// plans returns the plan of each size. All are checked before the first is played.
func (c *scaleCommand) plans() (out []scale.Plan, err error) {
	machine, err := runner.LocalMachine()
	if err != nil {
		return nil, err
	}
	steps := scale.AllSteps()
	if len(c.Steps) > 0 {
		if steps, err = scale.ParseSteps(c.Steps, c.Rate); err != nil {
			return nil, err
		}
	}
	times := scale.DefaultDurations()
	times.QuietStep, times.MinPartition = time.Duration(c.Quiet)*time.Second, time.Duration(c.Cut)*time.Second
	times.RestartPeriod = time.Duration(c.Restart) * time.Second
	for _, hollowGateways := range c.Hollow {
		sizes := scale.Sizes{RealGateways: c.Real, HollowGateways: hollowGateways, Engines: c.Engines, Zones: c.Zones, Regions: c.Regions, StatementRate: c.Rate, SubsetMinEngines: c.Subset}
		if err := errors.Join(sizes.Check(machine), times.Check()); err != nil {
			return nil, err
		}
		out = append(out, scale.NewPlan(sizes, times, steps, c.Seed))
	}
	return out, nil
}

// play starts a fleet, plays the plan on it, and ends it. After an error it returns what has been measured before.
func (c *scaleCommand) play(ctx context.Context, plan scale.Plan) (run scale.Run, err error) {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return run, err
	}
	self, err := os.Executable()
	if err != nil {
		return run, err
	}
	logs := filepath.Join(c.Out, fmt.Sprintf("scale-%d-logs", plan.Members()))
	if err := emptyFolder(logs); err != nil {
		return run, err
	}
	fleet, err := runner.Start(ctx, runner.Options{Plan: plan, Dir: logs, Program: []string{program},
		HollowGateways: []string{self, hollowGatewaysName}, HollowEngines: []string{self, hollowEnginesName},
		EngineDelay: time.Duration(c.Delay) * time.Millisecond, ReportsPerSecond: c.Reports,
		Progress: progressSince(time.Now())})
	if err != nil {
		return run, err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	run, err = fleet.Run(ctx)
	run.Metadata.Options = c.options(plan)
	return run, err
}

// options returns the options of the command that reproduce a run.
func (c *scaleCommand) options(plan scale.Plan) string {
	var steps []string
	for _, step := range plan.Steps {
		steps = append(steps, string(step))
	}
	sizes := fmt.Sprintf("--real %d --hollow %d --engines %d --zones %d --regions %d --seed %d --subset %d",
		plan.RealGateways, plan.HollowGateways, plan.Engines, plan.Zones, plan.Regions, plan.Seed, plan.SubsetMinEngines)
	load := fmt.Sprintf("--rate %g --reports %g --delay %d", plan.StatementRate, c.Reports, c.Delay)
	times := fmt.Sprintf("--quiet %d --cut %d --restarts-over %d", c.Quiet, c.Cut, c.Restart)
	return strings.Join([]string{sizes, load, times, "--steps", strings.Join(steps, ",")}, " ")
}

func (c *scaleCommand) resultPath() string {
	if c.Results != "" {
		return c.Results
	}
	return filepath.Join(c.Out, "scale-results.json")
}

// load returns the content of the result file, if the new runs are to be added to it.
func (c *scaleCommand) load() (scale.File, error) {
	if !c.Add {
		return scale.File{}, nil
	}
	text, err := os.ReadFile(c.resultPath())
	if errors.Is(err, os.ErrNotExist) {
		return scale.File{}, nil
	}
	if err != nil {
		return scale.File{}, err
	}
	return scale.DecodeFile(text)
}

// save writes the structured results, a table of all runs, and a chart of each step's slope.
func (c *scaleCommand) save(file scale.File) error {
	text, err := file.Encode()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(c.resultPath(), text, 0o644); err != nil {
		return err
	}
	var all []scale.StepResult
	for _, run := range file.Runs {
		all = append(all, run.Steps...)
	}
	if err := scaleTable(all).save(filepath.Join(c.Out, "scale")); err != nil {
		return err
	}
	return chartSlopes(c.Out, file)
}

// Names of the hidden commands that run hollow gateways and engines.
const (
	hollowGatewaysName = "hollow-gateways"
	hollowEnginesName  = "hollow-engines"
)

// hollowGatewaysCommand runs hollow gateways as the lines on standard input say.
type hollowGatewaysCommand struct{}

// Run serves until standard input ends.
func (hollowGatewaysCommand) Run() error { return hollow.ServeGateways(os.Stdin, os.Stdout) }

// hollowEnginesCommand runs hollow engines as the lines on standard input say.
type hollowEnginesCommand struct{}

// Run serves until standard input ends.
func (hollowEnginesCommand) Run() error { return hollow.ServeEngines(os.Stdin, os.Stdout) }
