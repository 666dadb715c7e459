package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"frostpier/internal/testbed/testfleet"
)

type runCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"The scenario, a TOML file."`
	Program  string `default:"bin/frostpier" type:"existingfile" help:"The program."`
	Gateways int    `help:"So many gateways in place of the scenario's."`
	Seed     uint64 `help:"This seed in place of the scenario's."`
	Out      string `default:"found/fleettest" help:"The folder for tables, the chart and the logs."`
}

// maxDatagram is the longest datagram that gateways may send, in bytes.
const maxDatagram = 256

// Run plays the scenario, prints its table, and keeps the table, a chart and the gateways' logs.
func (c *runCommand) Run() (err error) {
	scenario, err := c.readScenario()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", scenario.Name, scenario.Gateways)
	f, err := c.newFleet(scenario, filepath.Join(c.Out, name+"-logs"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	start := time.Now()
	results, err := playScenario(f, scenario, progressSince(start))
	if err != nil {
		return err
	}
	t := resultTable(results)
	fmt.Print(t.markdown())
	base := filepath.Join(c.Out, name)
	if err := t.save(base); err != nil {
		return err
	}
	changes, _ := f.StateChanges(0)
	return chartViews(base+chartExtension, scenario.Gateways, start, changes)
}

// readScenario reads the scenario with the size and the seed of the command.
func (c *runCommand) readScenario() (testfleet.Scenario, error) {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return testfleet.Scenario{}, err
	}
	scenario, err := testfleet.ParseScenario(text)
	if err != nil {
		return scenario, err
	}
	if c.Gateways > 0 {
		scenario.Gateways = c.Gateways
	}
	if c.Seed > 0 {
		scenario.Seed = c.Seed
	}
	return scenario, nil
}

// newFleet prepares the fleet of a scenario, with an empty folder for its logs.
func (c *runCommand) newFleet(scenario testfleet.Scenario, logs string) (*testfleet.Fleet, error) {
	if err := emptyFolder(logs); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return nil, err
	}
	return testfleet.New(testfleet.Options{
		Gateways: scenario.Gateways,
		Seed:     scenario.Seed,
		Dir:      logs,
		Command:  []string{program},
		Interval: time.Duration(scenario.IntervalMS) * time.Millisecond,
		Link:     scenario.Network.Link(),
	})
}

// playScenario starts the gateways and plays the scenario. An alarm in a log or a datagram that is too long is an error.
func playScenario(f *testfleet.Fleet, scenario testfleet.Scenario, progress func(string)) ([]testfleet.Result, error) {
	if err := f.StartAll(); err != nil {
		return nil, err
	}
	progress(fmt.Sprintf("%d gateways serve", scenario.Gateways))
	results, err := f.Play(scenario, progress)
	if err != nil {
		return nil, err
	}
	if err := checkAlarms(f); err != nil {
		return nil, err
	}
	if longest, _ := f.Relay.DatagramStats(); longest > maxDatagram {
		return nil, fmt.Errorf("a datagram of %d bytes", longest)
	}
	return results, nil
}
