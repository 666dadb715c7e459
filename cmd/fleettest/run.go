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
	Scenario string `arg:"" type:"existingfile" help:"Path of the scenario, a TOML file."`
	Program  string `default:"bin/frostpier" type:"existingfile" help:"Path of the frostpier binary."`
	Gateways int    `help:"Number of gateways; overrides that of the scenario."`
	Seed     uint64 `help:"Seed; overrides that of the scenario."`
	Out      string `default:"found/fleettest" help:"Directory for the table, the chart and the logs."`
}

// maxDatagram is the maximum size of the datagrams that gateways may send, in bytes.
const maxDatagram = 256

// Run runs the scenario, prints a table of its results, and saves the table, a chart and the gateways' logs.
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
	results, err := runScenario(f, scenario, progressSince(start))
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
	return chartServiceViews(base+chartExtension, scenario.Gateways, start, changes)
}

// readScenario reads the scenario and applies the options --gateways and --seed.
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

// newFleet returns the fleet of a scenario, whose gateways are not started yet. The directory of its logs is emptied.
func (c *runCommand) newFleet(scenario testfleet.Scenario, logs string) (*testfleet.Fleet, error) {
	if err := resetDir(logs); err != nil {
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

// runScenario starts the gateways and runs the scenario. It returns an error if a gateway's log has an alarm, see checkAlarms, or
// if a datagram was larger than maxDatagram.
func runScenario(f *testfleet.Fleet, scenario testfleet.Scenario, progress func(string)) ([]testfleet.Result, error) {
	if err := f.StartAll(); err != nil {
		return nil, err
	}
	progress(fmt.Sprintf("%d gateways serving", scenario.Gateways))
	results, err := f.Play(scenario, progress)
	if err != nil {
		return nil, err
	}
	if err := checkAlarms(f); err != nil {
		return nil, err
	}
	if longest, _ := f.Relay.DatagramStats(); longest > maxDatagram {
		return nil, fmt.Errorf("a datagram has %d bytes, limit %d", longest, maxDatagram)
	}
	return results, nil
}
