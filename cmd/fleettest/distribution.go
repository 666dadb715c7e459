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

// distributionCommand is the subcommand spread: it compares how evenly versions of the program spread load over engines.
type distributionCommand struct {
	Gateways    int            `default:"24" help:"Gateways."`
	Engines     int            `default:"8" help:"Stand-in engines, all of one kind."`
	Cores       float64        `default:"10" help:"Cores of an engine."`
	Load        float64        `default:"0.7" help:"Work that clients ask for, over what the engines' cores can do."`
	Seconds     int            `default:"40" help:"How long clients send."`
	Groups      int            `default:"0" help:"Table groups; 0 = 2.5 an engine."`
	Skew        float64        `default:"1" help:"Deviation of the gateways' shares of the traffic over their mean."`
	Case        string         `default:"calm" enum:"calm,hot,lost,release,reports,cut,herd" help:"${load_case_help}"`
	Program     []string       `default:"now=bin/frostpier" help:"Programs to compare, as name=path."`
	Bare        []string       `help:"Of these programs, by name, gateways get no operator's file: for versions from before membership."`
	SubsetFloor map[string]int `name:"least" help:"Of these programs, by name, gateways get a section [subset] with this floor of engines, as name=least."`
	Baselines   bool           `name:"plain" default:"true" negatable:"" help:"Compare with plain gateways too: random, and least reported load."`
	Seed        uint64         `default:"1" help:"Of all chance."`
	Out         string         `default:"found/fleettest" help:"The folder for tables and logs."`
}

// versionResult is the result of one version.
type versionResult struct {
	name      string
	outcomes  []emulator.Outcome
	balance   testfleet.Balance
	collapsed int // engines
}

// Times of the cases.
const (
	faultDelay      = 10 * time.Second // from the start of a run to its fault
	releaseDuration = 7 * time.Second  // in which the engines are replaced
	lateReports     = 5 * time.Second
	herdDowntime    = 4 * time.Second // of a gateway
)

// Run plays each version on the same arrivals, one after the other, and keeps a table of the results.
func (c *distributionCommand) Run() error {
	if c.Groups == 0 {
		c.Groups = c.Engines * 5 / 2
	}
	traffic := c.traffic()
	results, err := c.playAll(traffic)
	if err != nil {
		return err
	}
	t := c.table(results)
	fmt.Printf("%d gateways, %d engines of %g cores, %.0f queries a second (load %.2f), %s, seed %d\n\n%s", c.Gateways, c.Engines,
		c.Cores, traffic.Rate, c.Load, c.Case, c.Seed, t.markdown())
	return t.saveIn(c.Out, fmt.Sprintf("spread-%s-%d", c.Case, c.Gateways))
}

func (c *distributionCommand) traffic() emulator.Traffic {
	t := emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: c.Gateways, Skew: c.Skew, Groups: c.Groups,
		Zipf: 0.7, EstimateSigma: 0.5, Seed: c.Seed}
	t.Rate = t.RateForLoad(c.Load, c.Cores*float64(c.Engines))
	return t
}

// requests draws the arrivals. In the case hot every second query reads the same table group.
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

// playAll plays all versions of the program, and the baselines.
func (c *distributionCommand) playAll(traffic emulator.Traffic) (results []versionResult, err error) {
	requests := c.requests(traffic)
	for _, version := range c.Program {
		name, path, found := strings.Cut(version, "=")
		if !found {
			return nil, fmt.Errorf("--program: %q is not name=path", version)
		}
		result, err := c.playProgram(name, path, traffic, requests)
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
	}{{"random", emulator.RandomEngine}, {"least reported", emulator.MinReportedLoad}} {
		result, err := c.playBaseline(baseline.name, baseline.policy, requests)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", baseline.name, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// playBaseline plays baseline gateways.
func (c *distributionCommand) playBaseline(name string, policy emulator.BaselinePolicy, requests []emulator.Request) (result versionResult, err error) {
	clock := startClock()
	pool, err := testfleet.NewPool(c.Engines, emulator.DefaultSpec(c.Cores), clock)
	if err != nil {
		return result, err
	}
	defer pool.Close()
	logProgress("%s plays", name)
	gateways := emulator.NewBaselineGateways(c.Gateways, policy, c.Seed, pool.Engines, clock)
	defer gateways.Close()
	result = c.playWatched(name, pool, nil, func() { gateways.Run(requests) })
	result.outcomes, _ = gateways.Outcomes()
	return result, nil
}

// playProgram plays gateways of a version of the program.
func (c *distributionCommand) playProgram(name, path string, traffic emulator.Traffic, requests []emulator.Request) (result versionResult, err error) {
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
	logProgress("%s: %d gateways serve", name, c.Gateways)
	clients := emulator.NewClients(f.ClientAddrs(), traffic.Classes, c.Seed, clock)
	defer clients.Close()
	result = c.playWatched(name, pool, f, func() { clients.Run(requests, nil) })
	result.outcomes, _ = clients.Outcomes(0)
	return result, checkAlarms(f)
}

// newFleet prepares a fleet of gateways of a version, with an empty folder for its logs.
func (c *distributionCommand) newFleet(name, path string, traffic emulator.Traffic, pool *testfleet.Pool) (*testfleet.Fleet, error) {
	logs := filepath.Join(c.Out, "spread-"+name+"-logs")
	if err := emptyFolder(logs); err != nil {
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

// operatorSections are the sections of a version's operator's file beside the membership section.
func (c *distributionCommand) operatorSections(name string) string {
	text := "\n[spread]\n"
	if floor, found := c.SubsetFloor[name]; found {
		text += fmt.Sprintf("\n[subset]\nleast = %d\n", floor)
	}
	return text
}

// playWatched plays the traffic and injects the fault of the case. It watches the engines for as long as clients send.
func (c *distributionCommand) playWatched(name string, pool *testfleet.Pool, f *testfleet.Fleet, play func()) versionResult {
	stop, balance := make(chan struct{}), make(chan testfleet.Balance, 1)
	go func() { balance <- pool.SampleBalance(stop) }()
	fault := time.AfterFunc(faultDelay, func() { c.injectFault(pool, f) })
	defer fault.Stop()
	end := time.AfterFunc(c.duration(), func() { close(stop) })
	defer end.Stop()
	play()
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
			e.SetReportDelay(lateReports)
		}
	case "cut":
		if f != nil {
			f.Relay.SetDefaultLink(testfleet.Link{Cut: true})
		}
	case "herd":
		if f != nil {
			restartHerd(f)
		}
	}
}

// replaceEngines replaces six in ten engines, one after the other.
func replaceEngines(pool *testfleet.Pool, engines []*emulator.Engine) {
	for k, e := range engines[:len(engines)*6/10] {
		time.AfterFunc(time.Duration(k)*releaseDuration/time.Duration(len(engines)), func() {
			if err := pool.Replace(e); err != nil {
				logProgress("replacement: %v", err)
			}
			pool.Publish()
		})
	}
}

// restartHerd kills seven in ten gateways at the same time and starts them again.
func restartHerd(f *testfleet.Fleet) {
	for i := range f.Size() * 7 / 10 {
		go func() {
			_ = f.Kill(i) // a gateway that has not ended cannot be started, which is logged
			time.Sleep(herdDowntime)
			if err := f.Start(i); err != nil {
				logProgress("start: %v", err)
			}
		}()
	}
}
