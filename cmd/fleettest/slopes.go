package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"frostpier/internal/testbed/capacity"
	"frostpier/internal/testbed/capacity/measure"
	"frostpier/internal/testbed/scale/runner"
)

type slopesCommand struct {
	Out    string `default:"scenarios/capacity-slopes.json" help:"Path of the result file."`
	Only   string `default:"" enum:",decision,reports,membership,faults,discovery,connections,staged" help:"${slope_group_help}"`
	Quick  bool   `help:"Measure small sizes with one run each, within some seconds. The page needs a full run."`
	Memory int64  `name:"memory-mb" default:"256" help:"Memory limit of the measurements in MB. If a run needs more, it fails with the required amount."`
	Faults int    `default:"1" help:"Number of fault runs at each size, with consecutive seeds."`
	Seed   uint64 `default:"1" help:"Seed of the random choices."`
}

// Run measures the slopes and writes the result file.
func (c *slopesCommand) Run() error {
	options := measure.Options{Seed: c.Seed, Quick: c.Quick, Group: capacity.Group(c.Only), FaultRuns: c.Faults, Logf: logProgress}
	if err := options.CheckMemory(c.Memory << 20); err != nil {
		return fmt.Errorf("%w: see --memory-mb", err)
	}
	debug.SetMemoryLimit(c.Memory << 20)
	began, machine := time.Now(), localMachine()
	machine.Quick, machine.LoadBefore = c.Quick, runner.LoadAverage()
	slopes, err := measure.Slopes(options)
	if err != nil {
		return err
	}
	machine.LoadAfter, machine.Seconds = runner.LoadAverage(), time.Since(began).Round(time.Second).Seconds()
	result := capacity.Result{Machine: machine, Seed: c.Seed, Slopes: slopes}
	fmt.Print(capacity.SlopeTable(result).Markdown())
	if c.Only != "" {
		return nil
	}
	text, err := result.Encode()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(c.Out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.Out, text, 0o644)
}

// localMachine describes the machine that the slopes are measured on.
func localMachine() capacity.Machine {
	return capacity.Machine{Cores: runtime.NumCPU(), GoVersion: runtime.Version(),
		System: runtime.GOOS + "/" + runtime.GOARCH, MeasuredDay: time.Now().UTC().Format(time.DateOnly)}
}
