package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

// distributionCommand is the subcommand spread. It compares how evenly versions of the program distribute load over engines.
type distributionCommand struct {
	Gateways    int            `default:"24" help:"Number of gateways."`
	Engines     int            `default:"8" help:"Number of emulated engines, all of one machine type."`
	Cores       float64        `default:"10" help:"Cores per engine."`
	Load        float64        `default:"0.7" help:"Work offered by the clients, as a share of the capacity of the engines' cores."`
	Seconds     int            `default:"40" help:"Seconds for which clients send queries."`
	Groups      int            `default:"0" help:"Number of table groups; 0 = 2.5 per engine."`
	Skew        float64        `default:"1" help:"Coefficient of variation of the gateways' shares of the traffic."`
	Case        string         `default:"calm" enum:"calm,hot,lost,release,reports,cut,herd" help:"${load_case_help}"`
	Program     []string       `default:"now=bin/frostpier" help:"Programs to compare, as name=path."`
	Bare        []string       `help:"Names of the programs that are run without an operator's file, for versions without membership."`
	SubsetFloor map[string]int `name:"least" help:"Programs that are run with a section [subset], and the value of its key least, as name=least."`
	Baselines   bool           `name:"plain" default:"true" negatable:"" help:"Compare with two baselines too: random engine, and least reported load."`
	Seed        uint64         `default:"1" help:"Seed of the random choices."`
	Out         string         `default:"found/fleettest" help:"Directory for tables and logs."`
}

// versionResult is the result of one version of the program or one baseline.
type versionResult struct {
	name      string
	outcomes  []emulator.Outcome
	balance   testfleet.Balance
	collapsed int // number of engines that collapsed, see testfleet.Pool.Collapsed
}

// Durations of the faults.
const (
	faultDelay        = 10 * time.Second // time from the start of a run until its fault
	replacementPeriod = 7 * time.Second  // an engine is replaced every replacementPeriod / number of engines
	reportDelay       = 5 * time.Second  // delay of load reports in the case reports
	restartDowntime   = 4 * time.Second  // time from a gateway's kill until its restart
)

// Run runs each version with the same arrivals, one after the other, and saves a table of the results.
func (c *distributionCommand) Run() error {
	if c.Groups == 0 {
		c.Groups = c.Engines * 5 / 2
	}
	traffic := c.traffic()
	results, err := c.runVersions(traffic)
	if err != nil {
		return err
	}
	t := c.table(results)
	fmt.Printf("%d gateways, %d engines with %g cores each, %.0f queries per second (load %.2f), case %s, seed %d\n\n%s", c.Gateways, c.Engines,
		c.Cores, traffic.Rate, c.Load, c.Case, c.Seed, t.markdown())
	return t.saveIn(c.Out, fmt.Sprintf("spread-%s-%d", c.Case, c.Gateways))
}

func (c *distributionCommand) traffic() emulator.Traffic {
	t := emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: c.Gateways, Skew: c.Skew, Groups: c.Groups,
		Zipf: 0.7, EstimateSigma: 0.5, Seed: c.Seed}
	t.Rate = t.RateForLoad(c.Load, c.Cores*float64(c.Engines))
	return t
}

// requests generates the arrivals. In the case hot every second query reads table group 0.
func (c *distributionCommand) requests(traffic emulator.Traffic) []emulator.Request {
	requests := traffic.Generate(c.duration())
	if c.Case == "hot" {
		for i := 0; i < len(requests); i += 2 {
			requests[i].Query.Group = 0
		}
	}
	return requests
}

func (c *distributionCommand) duration() time.Duration { return time.Duration(c.Seconds) * time.Second }

// runVersions runs all versions of the program and the baselines.
func (c *distributionCommand) runVersions(traffic emulator.Traffic) (results []versionResult, err error) {
	requests := c.requests(traffic)
	for _, version := range c.Program {
		name, path, found := strings.Cut(version, "=")
		if !found {
			return nil, fmt.Errorf("--program: %q: must be name=path", version)
		}
		result, err := c.runProgram(name, path, traffic, requests)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		results = append(results, result)
	}
	if !c.Baselines {
		return results, nil
	}
	for _, baseline := range []struct {
		name   string
		policy emulator.BaselinePolicy
	}{{"random", emulator.RandomEngine}, {"least reported load", emulator.MinReportedLoad}} {
		result, err := c.runBaseline(baseline.name, baseline.policy, requests)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", baseline.name, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// runBaseline runs gateways with a baseline policy.
func (c *distributionCommand) runBaseline(name string, policy emulator.BaselinePolicy, requests []emulator.Request) (result versionResult, err error) {
	clock := startClock()
	pool, err := testfleet.NewPool(c.Engines, emulator.DefaultSpec(c.Cores), clock)
	if err != nil {
		return result, err
	}
	defer pool.Close()
	logProgress("%s: running", name)
	gateways := emulator.NewBaselineGateways(c.Gateways, policy, c.Seed, pool.Engines, clock)
	defer gateways.Close()
	result = c.measure(name, pool, nil, func() { gateways.Run(requests) })
	result.outcomes, _ = gateways.Outcomes()
	return result, nil
}

// runProgram runs gateways of one version of the program.
func (c *distributionCommand) runProgram(name, path string, traffic emulator.Traffic, requests []emulator.Request) (result versionResult, err error) {
	clock := startClock()
	pool, err := testfleet.NewPool(c.Engines, emulator.DefaultSpec(c.Cores), clock)
	if err != nil {
		return result, err
	}
	defer pool.Close()
	f, err := c.newFleet(name, path, traffic, pool)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	pool.SetDiscoveryServer(f.Discovery)
	if err := f.StartAll(); err != nil {
		return result, err
	}
	logProgress("%s: %d gateways serving", name, c.Gateways)
	clients := emulator.NewClients(f.ClientAddrs(), traffic.Classes, c.Seed, clock)
	defer clients.Close()
	result = c.measure(name, pool, f, func() { clients.Run(requests, nil) })
	result.outcomes, _ = clients.Outcomes(0)
	return result, checkAlarms(f)
}

// newFleet returns a fleet of gateways of one version, which are not started yet. The directory of its logs is emptied.
func (c *distributionCommand) newFleet(name, path string, traffic emulator.Traffic, pool *testfleet.Pool) (*testfleet.Fleet, error) {
	logs := filepath.Join(c.Out, "spread-"+name+"-logs")
	if err := resetDir(logs); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	return testfleet.New(testfleet.Options{
		Gateways:            c.Gateways,
		Seed:                c.Seed,
		Dir:                 logs,
		Command:             []string{program},
		Engines:             pool.EngineList(),
		Link:                testfleet.Network{DelayMS: [2]int64{1, 38}}.Link(),
		Operator:            c.operatorSections(name),
		WithoutOperatorFile: slices.Contains(c.Bare, name),
		Settings:            func(n, self int) string { return emulator.Settings(traffic.Classes, n, self, c.Cores) },
	})
}

// operatorSections returns the sections of a version's operator's file in addition to the membership section.
func (c *distributionCommand) operatorSections(name string) string {
	text := "\n[spread]\n"
	if floor, found := c.SubsetFloor[name]; found {
		text += fmt.Sprintf("\n[subset]\nleast = %d\n", floor)
	}
	return text
}

// measure calls sendTraffic and injects the fault of the case. It samples the balance of the engines while clients send queries.
func (c *distributionCommand) measure(name string, pool *testfleet.Pool, f *testfleet.Fleet, sendTraffic func()) versionResult {
	stop, balance := make(chan struct{}), make(chan testfleet.Balance, 1)
	go func() { balance <- pool.SampleBalance(stop) }()
	fault := time.AfterFunc(faultDelay, func() { c.injectFault(pool, f) })
	defer fault.Stop()
	end := time.AfterFunc(c.duration(), func() { close(stop) })
	defer end.Stop()
	sendTraffic()
	return versionResult{name: name, balance: <-balance, collapsed: pool.Collapsed()}
}

// injectFault injects the fault of the case; f is nil for baseline gateways.
func (c *distributionCommand) injectFault(pool *testfleet.Pool, f *testfleet.Fleet) {
	engines := pool.Engines()
	switch c.Case {
	case "lost":
		engines[0].SetHung(true)
	case "release":
		replaceEngines(pool, engines)
	case "reports":
		for _, e := range engines {
			e.SetReportDelay(reportDelay)
		}
	case "cut":
		if f != nil {
			f.Relay.SetDefaultLink(testfleet.Link{Cut: true})
		}
	case "herd":
		if f != nil {
			killAndRestartGateways(f)
		}
	}
}

// replaceEngines replaces 60 % of the engines one at a time, at equal intervals.
func replaceEngines(pool *testfleet.Pool, engines []*emulator.Engine) {
	for k, e := range engines[:len(engines)*6/10] {
		time.AfterFunc(time.Duration(k)*replacementPeriod/time.Duration(len(engines)), func() {
			if err := pool.Replace(e); err != nil {
				logProgress("replace engine: %v", err)
			}
			pool.Publish()
		})
	}
}

// killAndRestartGateways kills 70 % of the gateways at the same time and restarts each after restartDowntime.
func killAndRestartGateways(f *testfleet.Fleet) {
	for i := range f.Size() * 7 / 10 {
		go func() {
			_ = f.Kill(i) // if this fails, Start returns an error
			time.Sleep(restartDowntime)
			if err := f.Start(i); err != nil {
				logProgress("restart gateway: %v", err)
			}
		}()
	}
}
