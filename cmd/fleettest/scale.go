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
	Program string   `default:"bin/frostpier" type:"existingfile" help:"Path of the frostpier binary."`
	Real    int      `default:"24" help:"Number of gateways that are processes of the program."`
	Hollow  []int    `default:"776" help:"Number of hollow gateways; several numbers are run one after the other."`
	Engines int      `default:"1100" help:"Number of hollow engines."`
	Zones   int      `default:"7" help:"Number of zones that the gateways and engines are assigned to."`
	Regions int      `default:"2" help:"Number of regions that the zones are assigned to."`
	Steps   []string `help:"Steps to run, of: quiet, loaded, restarts, machines, zone, regions, list, reconnect. Default: all."`
	Rate    float64  `help:"Statements per second that clients send to each real gateway in the step loaded; 0 omits that step."`
	Subset  int      `help:"Minimum number of engines that a gateway uses; 0 = all engines."`
	Reports float64  `default:"6" help:"Load reports of engines that each hollow gateway generates per second."`
	Delay   int      `default:"20" help:"Milliseconds until a hollow engine answers."`
	Quiet   int      `default:"30" help:"Duration of the steps quiet and loaded, in seconds."`
	Cut     int      `default:"120" help:"Minimum duration of the partition between regions, in seconds."`
	Restart int      `name:"restarts-over" default:"100" help:"Seconds over which the graceful restarts are spread."`
	Seed    uint64   `default:"1" help:"Seed of the random choices."`
	Out     string   `default:"found/fleettest" help:"Directory for tables, charts and logs."`
	Results string   `help:"Path of the JSON result file; default: scale-results.json in the directory."`
	Add     bool     `help:"Add the runs to those in the result file instead of replacing them."`
}

// Run runs the plan of each size, prints its table, and saves tables, charts and the result file.
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
		run, runErr := c.runPlan(ctx, plan)
		fmt.Printf("%d real and %d hollow gateways, %d engines, seed %d\n\n%s\n", plan.RealGateways, plan.HollowGateways, plan.Engines, plan.Seed,
			scaleTable(run.Steps).markdown())
		if len(run.Steps) > 0 {
			file.Runs = append(file.Runs, run)
		}
		if err := errors.Join(runErr, c.save(file)); err != nil {
			return err
		}
	}
	return nil
}

// plans returns the plan of each size. All sizes are checked before the first plan is run.
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
	durations := scale.DefaultDurations()
	durations.QuietStep, durations.MinPartition = time.Duration(c.Quiet)*time.Second, time.Duration(c.Cut)*time.Second
	durations.RestartPeriod = time.Duration(c.Restart) * time.Second
	for _, hollowGateways := range c.Hollow {
		sizes := scale.Sizes{RealGateways: c.Real, HollowGateways: hollowGateways, Engines: c.Engines, Zones: c.Zones, Regions: c.Regions,
			StatementRate: c.Rate, SubsetMinEngines: c.Subset}
		if err := errors.Join(sizes.Check(machine), durations.Check()); err != nil {
			return nil, err
		}
		out = append(out, scale.NewPlan(sizes, durations, steps, c.Seed))
	}
	return out, nil
}

// runPlan starts a fleet, runs the plan and stops the fleet. After an error it returns the measurements made before.
func (c *scaleCommand) runPlan(ctx context.Context, plan scale.Plan) (run scale.Run, err error) {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return run, err
	}
	self, err := os.Executable()
	if err != nil {
		return run, err
	}
	logs := filepath.Join(c.Out, fmt.Sprintf("scale-%d-logs", plan.Members()))
	if err := resetDir(logs); err != nil {
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

// options returns the command line options that repeat a run.
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

// load returns the content of the result file if the option --add is set, and otherwise an empty file.
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

// save writes the result file, a table of all runs, and the charts.
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
	return drawScaleCharts(c.Out, file)
}

// Names of the hidden commands that run hollow gateways and engines.
const (
	hollowGatewaysName = "hollow-gateways"
	hollowEnginesName  = "hollow-engines"
)

// hollowGatewaysCommand runs hollow gateways that are controlled by commands on standard input.
type hollowGatewaysCommand struct{}

// Run runs hollow gateways until standard input is closed.
func (hollowGatewaysCommand) Run() error { return hollow.ServeGateways(os.Stdin, os.Stdout) }

// hollowEnginesCommand runs hollow engines that are controlled by commands on standard input.
type hollowEnginesCommand struct{}

// Run runs hollow engines until standard input is closed.
func (hollowEnginesCommand) Run() error { return hollow.ServeEngines(os.Stdin, os.Stdout) }
