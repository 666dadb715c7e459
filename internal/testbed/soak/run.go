package soak

import (
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

// Options configure a run.
type Options struct {
	Dir     string   // existing directory for configurations and logs
	Command []string // command line of a gateway
	Env     []string // environment variables of the gateways in addition to those of this process
}

// Exit describes how a gateway process exited.
type Exit struct {
	AfterTerm time.Duration // time from SIGTERM to the exit
	Killed    bool          // the process had to be killed, because it still ran after Scenario.KillDelay
	Err       error         // error of an exit without SIGKILL; nil for exit code 0
}

// Result is the result of a run.
type Result struct {
	Scenario Scenario
	Requests []Request
	Exits    []Exit   // by gateway index
	Alarms   []string // log lines that report panics, broken invariants and data races
}

const (
	maxDescriptors = 1024
	exitTimeout    = 10 * time.Second // bounds the wait for the exit status of a process that has ended
)

// maxDescriptors returns the limit on a gateway's file descriptors. The MySQL listener reserves half of the clients' share, and
// manyClients must fit into the rest, since the gateway may close further connections without reading from them.
func (s Scenario) maxDescriptors() int {
	if s.MySQLClients > 0 {
		return 2 * maxDescriptors
	}
	return maxDescriptors
}

// run is a run in progress.
type run struct {
	scenario Scenario
	fleet    *testfleet.Fleet
	engines  *engines
	gateways []*gateway
	recorder recorder
	clock    func() time.Duration

	mysqlAddr string // address of the gateway's MySQL listener; empty = it has none
}

// Run runs a scenario. It returns an error only if the scenario could not be run; Result.Problems lists the violations.
func Run(s Scenario, options Options) (result Result, err error) {
	start := time.Now()
	r := &run{scenario: s, clock: func() time.Duration { return time.Since(start) }}
	if r.engines, err = newEngines(r.clock); err != nil {
		return result, err
	}
	defer r.engines.close()
	if err := r.startFleet(options); err != nil {
		return result, err
	}
	busy, err := startBusyProcesses(s.Stress.BusyPerCore)
	if err != nil {
		return result, errors.Join(err, r.fleet.Close())
	}
	result = r.play()
	busy.stop()
	result.Alarms = r.fleet.Alarms()
	return result, r.fleet.Close()
}

// startFleet starts the gateways.
func (r *run) startFleet(options Options) (err error) {
	classes := r.scenario.classes()
	operator := ""
	if r.scenario.MySQLClients > 0 {
		if r.mysqlAddr, err = testfleet.FreeAddr(r.scenario.Seed); err != nil {
			return err
		}
		operator = r.engines.mysqlSections(r.mysqlAddr, r.scenario.Deadline)
	}
	r.fleet, err = testfleet.New(testfleet.Options{
		Gateways:       len(r.scenario.Stops),
		Seed:           r.scenario.Seed,
		Dir:            options.Dir,
		Command:        options.Command,
		Env:            options.Env,
		Engines:        r.engines.pool.EngineList(),
		MaxDescriptors: r.scenario.maxDescriptors(),
		Operator:       operator,
		Settings:       func(n, self int) string { return emulator.Settings(classes, n, self, engineCores) },
	})
	if err != nil {
		return err
	}
	for i, stop := range r.scenario.Stops {
		r.gateways = append(r.gateways, &gateway{number: i, fleet: r.fleet, stop: stop, clock: r.clock})
	}
	if err := r.fleet.StartAll(); err != nil {
		return errors.Join(err, r.fleet.Close())
	}
	return nil
}

// play runs the clients, shuts the gateways down, and returns when all of them have finished.
func (r *run) play() Result {
	var clients, stops sync.WaitGroup
	for _, runClient := range r.clients() {
		clients.Add(1)
		go func() {
			defer clients.Done()
			runClient()
		}()
	}
	disturbance := time.AfterFunc(r.scenario.DisturbanceDelay, func() { r.engines.injectDisturbance(r.scenario.Disturbance, r.fleet.Discovery) })
	defer disturbance.Stop()
	exits := make([]Exit, len(r.gateways))
	for i, g := range r.gateways {
		stops.Add(2)
		go func() {
			defer stops.Done()
			g.suspend(r.scenario.Stress.Suspension)
		}()
		go func() {
			defer stops.Done()
			exits[i] = g.terminate(r.scenario.KillDelay())
		}()
	}
	stops.Wait()
	clients.Wait()
	return Result{Scenario: r.scenario, Requests: r.requests(), Exits: exits}
}

// clients returns a function for each client that runs it until it stops.
func (r *run) clients() (out []func()) {
	random := rand.New(rand.NewPCG(r.scenario.Seed, 2))
	addrs := r.fleet.ClientAddrs()
	for i := range r.scenario.Clients {
		g := r.gateways[i%len(r.gateways)]
		c := newPlatformClient(i, g, addrs[g.number], r.scenario.classes(), random.Uint64(), &r.recorder, r.engines)
		out = append(out, c.run)
	}
	for i := range r.scenario.MySQLClients {
		c := &mysqlClient{number: r.scenario.Clients + i, gateway: r.gateways[0], addr: r.mysqlAddr, budget: r.scenario.Deadline,
			random: rand.New(rand.NewPCG(random.Uint64(), uint64(i))), recorder: &r.recorder, engine: r.engines.mysql}
		out = append(out, c.run)
	}
	return out
}

// requests returns all requests in the order of sending.
func (r *run) requests() (out []Request) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for _, request := range r.recorder.requests {
		at, _ := r.gateways[request.Gateway].terminated()
		request.SentAfterTerm = request.Sent - at
		out = append(out, *request)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Sent < out[j].Sent })
	return out
}
