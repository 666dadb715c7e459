//go:build !debug

// These tests run only without -tags debug: CI would take too long if it ran them with and without the tag.

package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/scale/runner"
)

// runAsToolEnv is the environment variable that makes the test binary run as the tool. Its hidden commands run real gateways,
// hollow gateways and hollow engines.
const runAsToolEnv = "FLEETTEST_AS_TOOL"

func TestMain(m *testing.M) {
	if os.Getenv(runAsToolEnv) == "" {
		os.Exit(m.Run())
	}
	main()
}

// smallRunOptions returns the options of a run that is small enough for CI. Its steps are short and its timeouts long, since the
// tests check only counts and final states.
func smallRunOptions(t *testing.T, steps []scale.Step) runner.Options {
	t.Helper()
	sizes := scale.Sizes{RealGateways: 8, HollowGateways: 100, Engines: 60, Zones: 4, Regions: 2, StatementRate: 5, SubsetMinEngines: 10}
	durations := scale.Durations{QuietStep: time.Second, RestartPeriod: time.Second, ConvergenceTimeout: 2 * time.Minute}
	self := os.Args[0]
	return runner.Options{Plan: scale.NewPlan(sizes, durations, steps, 7), Dir: t.TempDir(), Program: []string{self, "gateway"},
		HollowGateways: []string{self, hollowGatewaysName}, HollowEngines: []string{self, hollowEnginesName},
		Environment: []string{runAsToolEnv + "=1"}, Interval: 500 * time.Millisecond, EngineDelay: 5 * time.Millisecond, ReportsPerSecond: 2,
		Progress: func(text string) { t.Log(text) }}
}

// Checks that the fleet converges after each part of each step, that the results are complete, and that no process is left
// running.
func TestScaleRunConvergesAfterEachStep(t *testing.T) {
	opt := smallRunOptions(t, scale.AllSteps())
	fleet, err := runner.Start(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	run, err := fleet.Run(context.Background())
	processes := fleet.PIDs()
	if closeErr := fleet.Close(); err != nil || closeErr != nil {
		t.Fatalf("Run: error %v, Close: error %v; want none", err, closeErr)
	}
	checkExited(t, processes, opt.Plan.RealGateways+2)
	checkLogsEmpty(t, opt.Dir)
	var names []string
	for _, step := range run.Steps {
		names = append(names, step.Name)
		if step.RealGateways != 8 || step.HollowGateways != 100 || step.Engines != 60 || step.SentBytesPerSecond <= 0 || step.ResidentMB <= 0 {
			t.Errorf("result %+v, want 8 real and 100 hollow gateways, 60 engines, traffic and memory", step)
		}
		if step.Name == string(scale.StepLoaded) && step.StatementsPerSecond <= 0 {
			t.Errorf("result %+v has no statements", step)
		}
	}
	want := "quiet loaded restarts machines-lost machines-back zone-lost zone-back regions-cut regions-healed list reconnect"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("results of the step parts %s, want %s", got, want)
	}
}

// checkExited reports an error if any of the processes is still running, or if their number is not as expected.
func checkExited(t *testing.T, processes []int, want int) {
	t.Helper()
	if len(processes) != want {
		t.Errorf("%d processes, want %d", len(processes), want)
	}
	for _, pid := range processes {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is still running: %v", pid, err)
		}
	}
}

// checkLogsEmpty reports an error if a process of hollow gateways or engines has logged anything, such as a panic, a data race or
// an error.
func checkLogsEmpty(t *testing.T, dir string) {
	t.Helper()
	for _, pattern := range []string{"hollow-*.log", "engines-*.log"} {
		logs, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil || len(logs) == 0 {
			t.Errorf("logs %s: found %v, error %v; want at least one", pattern, logs, err)
		}
		for _, log := range logs {
			if text, err := os.ReadFile(log); err != nil || len(text) > 0 {
				t.Errorf("%s: content %q, error %v; want an empty log", filepath.Base(log), text, err)
			}
		}
	}
}

// Checks that a run that is cancelled in the middle of a step returns the context's error, and that Close then stops all
// processes.
func TestScaleRunStopsProcessesWhenInterrupted(t *testing.T) {
	opt := smallRunOptions(t, []scale.Step{scale.StepQuiet})
	opt.Plan.RealGateways, opt.Plan.HollowGateways, opt.Plan.Engines, opt.Plan.Durations.QuietStep = 2, 6, 4, time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet, err := runner.Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	processes := fleet.PIDs()
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err = fleet.Run(ctx)
	if closeErr := fleet.Close(); !errors.Is(err, context.Canceled) || closeErr != nil {
		t.Fatalf("Run: error %v, Close: error %v; want context.Canceled and none", err, closeErr)
	}
	checkExited(t, processes, 4)
}

// Checks that option values out of bounds are rejected before any process is started, with an error that names the option.
func TestScaleRejectsOptionsOutOfBounds(t *testing.T) {
	valid := scaleCommand{Program: "x", Real: 8, Hollow: []int{100}, Engines: 60, Zones: 4, Regions: 2, Quiet: 1, Cut: 1, Restart: 1, Out: t.TempDir()}
	if _, err := valid.plans(); err != nil {
		t.Fatal(err)
	}
	for option, change := range map[string]func(*scaleCommand){
		"--real":          func(c *scaleCommand) { c.Real = 400 },
		"--hollow":        func(c *scaleCommand) { c.Hollow = []int{100, 100_000} },
		"--engines":       func(c *scaleCommand) { c.Engines = 0 },
		"--zones":         func(c *scaleCommand) { c.Zones = 61 },
		"--regions":       func(c *scaleCommand) { c.Regions = 5 },
		"--rate":          func(c *scaleCommand) { c.Rate = -1 },
		"--steps":         func(c *scaleCommand) { c.Steps = []string{"quiet", "explode"} },
		"--cut":           func(c *scaleCommand) { c.Cut = -1 },
		"--quiet":         func(c *scaleCommand) { c.Quiet = 0 },
		"--restarts-over": func(c *scaleCommand) { c.Restart = 0 },
	} {
		t.Run(option, func(t *testing.T) {
			changed := valid
			change(&changed)
			err := changed.Run()
			var limit *scale.LimitError
			var value *scale.ValueError
			if !errors.As(err, &limit) && !errors.As(err, &value) || !strings.Contains(err.Error(), option) {
				t.Errorf("error is %v, want a *scale.LimitError or *scale.ValueError that names %s", err, option)
			}
		})
	}
	if entries, err := os.ReadDir(valid.Out); err != nil || len(entries) > 0 {
		t.Errorf("output directory has %v, error %v; want it empty", entries, err)
	}
}

// Checks that save writes tables, charts and the result file, and that runs can be added to a result file.
func TestScaleWritesTablesChartsAndResults(t *testing.T) {
	c := scaleCommand{Out: t.TempDir(), Add: true}
	for _, hollow := range []int{92, 192} {
		file, err := c.load()
		if err != nil {
			t.Fatal(err)
		}
		step := scale.StepResult{Name: "quiet", RealGateways: 8, HollowGateways: hollow, SentBytesPerSecond: 900}
		file.Runs = append(file.Runs, scale.Run{Steps: []scale.StepResult{step}})
		if err := c.save(file); err != nil {
			t.Fatal(err)
		}
	}
	file, err := c.load()
	if err != nil || len(file.Runs) != 2 || len(file.ResultsBySize("quiet")) != 2 || !slices.Equal(file.StepNames(), []string{"quiet"}) {
		t.Fatalf("result file %+v, error %v; want two runs of the step quiet", file, err)
	}
	for _, name := range []string{"scale.md", "scale.csv", "scale-bytes.svg", "scale-known.svg"} {
		if text, err := os.ReadFile(filepath.Join(c.Out, name)); err != nil || len(text) < 100 {
			t.Errorf("%s: %d bytes, error %v; want at least 100 bytes", name, len(text), err)
		}
	}
}
