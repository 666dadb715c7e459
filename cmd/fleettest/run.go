package main

import (
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

// Run plays the scenario.
func (c *runCommand) Run() (err error) {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	s, err := testfleet.ParseScenario(text)
	if err != nil {
		return err
	}
	if c.Gateways > 0 {
		s.Gateways = c.Gateways
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	name := fmt.Sprintf("%s-%d", s.Name, s.Gateways)
	logs := filepath.Join(c.Out, name+"-logs")
	if err := os.RemoveAll(logs); err != nil {
		return err
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	f, err := testfleet.New(testfleet.Options{Gateways: s.Gateways, Seed: s.Seed, Dir: logs, Command: []string{program},
		Interval: time.Duration(s.IntervalMS) * time.Millisecond, Link: s.Network.Link()})
	if err != nil {
		return err
	}
	defer func() {
		if closing := f.Close(); err == nil {
			err = closing
		}
	}()
	began := time.Now()
	if err := f.StartAll(); err != nil {
		return err
	}
	note := func(text string) { fmt.Fprintf(os.Stderr, "%6.1f s  %s\n", time.Since(began).Seconds(), text) }
	note(fmt.Sprintf("%d gateways serve", s.Gateways))
	results, err := f.Play(s, note)
	if err != nil {
		return err
	}
	if alarms := f.Alarms(); len(alarms) > 0 {
		return fmt.Errorf("in the logs: %s", alarms[0])
	}
	if longest, _ := f.Relay.Longest(); longest > 256 {
		return fmt.Errorf("a datagram of %d bytes", longest)
	}
	told, _ := f.StateChanges(0)
	t := resultTable(results)
	fmt.Print(t.markdown())
	return t.write(filepath.Join(c.Out, name), func(path string) error {
		return chartViews(path, s.Gateways, began, told)
	})
}
