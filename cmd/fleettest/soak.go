package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/soak"
)

type soakCommand struct {
	Program  string `default:"bin/frostpier" type:"existingfile" help:"Path of the frostpier binary."`
	Seeds    string `default:"1-10" help:"Range of seeds, such as 1-50, or one seed."`
	Gateways int    `default:"1" help:"Number of gateways in a run."`
	Parallel int    `name:"together" default:"1" help:"Number of runs at the same time."`
	Stress   bool   `help:"Take processor time away: busy processes, and a suspension around SIGTERM, both drawn from the seed."`
	Out      string `default:"found/fleettest" help:"Directory for the table, and for the logs of runs with violations."`
}

// errSoakFailed is the error of a run with violations.
var errSoakFailed = errors.New("the graceful shutdown violated a requirement")

// Run shuts gateways down gracefully under load, once for each seed, and saves a table of the results.
func (c *soakCommand) Run() error {
	first, last, err := c.seedRange()
	if err != nil {
		return err
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	results := make([]soak.Result, last-first+1)
	var jobs []func() error
	for i := range results {
		jobs = append(jobs, func() (err error) {
			results[i], err = c.runSeed(program, first+uint64(i))
			return err
		})
	}
	failed := runJobs(max(1, c.Parallel), jobs)
	t := soakTable(results)
	fmt.Print(t.markdown())
	return errors.Join(failed, t.saveIn(c.Out, fmt.Sprintf("soak-%d-%s", c.Gateways, c.Seeds)))
}

// seedRange returns the first and the last seed.
func (c *soakCommand) seedRange() (first, last uint64, err error) {
	from, to, isRange := strings.Cut(c.Seeds, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds %q: must be one seed or a range, such as 1-50", c.Seeds)
	}
	return first, last, nil
}

// runSeed runs the scenario of one seed. If a check fails, it prints the violations and the command that repeats the run.
func (c *soakCommand) runSeed(program string, seed uint64) (soak.Result, error) {
	dir := filepath.Join(c.Out, fmt.Sprintf("soak-%d", seed))
	if err := resetDir(dir); err != nil {
		return soak.Result{}, err
	}
	scenario := soak.NewScenario(seed, c.Gateways)
	if c.Stress {
		scenario = scenario.WithStress()
	}
	result, err := soak.Run(scenario, soak.Options{Dir: dir, Command: []string{program}, Env: emulator.OwnerEnv()})
	if err != nil {
		return result, fmt.Errorf("seed %d: %w", seed, err)
	}
	problems := result.Problems()
	logProgress("%s: %d requests, %d problems", scenario, len(result.Requests), len(problems))
	if len(problems) == 0 {
		return result, os.RemoveAll(dir)
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, "  ", p)
	}
	fmt.Fprintf(os.Stderr, "   logs are in %s; repeat with: fleettest soak --seeds %d --gateways %d --stress=%t\n", dir, seed, c.Gateways, c.Stress)
	return result, fmt.Errorf("seed %d: %w", seed, errSoakFailed)
}
