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
	Program  string `default:"bin/frostpier" type:"existingfile" help:"The program."`
	Seeds    string `default:"1-10" help:"The first and the last seed, as in 1-50, or one seed."`
	Gateways int    `default:"1" help:"Gateways of a run."`
	Parallel int    `name:"together" default:"1" help:"Runs that play at a time."`
	Out      string `default:"found/fleettest" help:"The folder for the table, and for the logs of runs that break a rule."`
}

// errSoakFailed is returned if a run has broken a rule.
var errSoakFailed = errors.New("a planned stop has broken a rule")

// Run plays a planned stop for each seed, and keeps a table of the results.
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
			results[i], err = c.play(program, first+uint64(i))
			return err
		})
	}
	failed := runAll(max(1, c.Parallel), jobs)
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
		return 0, 0, fmt.Errorf("--seeds %q: neither a seed nor two, as in 1-50", c.Seeds)
	}
	return first, last, nil
}

// play plays one seed, and says what broke a rule and how to play it again.
func (c *soakCommand) play(program string, seed uint64) (soak.Result, error) {
	dir := filepath.Join(c.Out, fmt.Sprintf("soak-%d", seed))
	if err := emptyFolder(dir); err != nil {
		return soak.Result{}, err
	}
	scenario := soak.NewScenario(seed, c.Gateways)
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
	fmt.Fprintf(os.Stderr, "   logs in %s; again: fleettest soak --seeds %d --gateways %d\n", dir, seed, c.Gateways)
	return result, fmt.Errorf("seed %d: %w", seed, errSoakFailed)
}
