// Package runner executes the plans of package scale: it starts real gateways, hollow gateways, hollow engines and a discovery
// server, injects the faults of each step, and measures the resources that the real gateways use. All of them listen on
// loopback addresses only. Runner.Close stops exactly the processes that the runner started. The caller is cmd/fleettest.
package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/testfleet"
)

// Options configure a run.
type Options struct {
	Plan             scale.Plan
	Dir              string            // existing directory for configurations and logs
	Program          []string          // command line of a real gateway
	HollowGateways   []string          // command line of a process of hollow gateways
	HollowEngines    []string          // command line of a process of hollow engines
	Environment      []string          // environment variables of these processes in addition to those of this process
	Interval         time.Duration     // interval of the membership protocol; 0 = its default
	EngineDelay      time.Duration     // time until a hollow engine answers
	ReportsPerSecond float64           // load reports that each hollow gateway generates per second
	Progress         func(text string) // called with a summary of each part of a step
}

// Runner runs a fleet of real and hollow gateways with hollow engines. It is not safe for concurrent use.
type Runner struct {
	options       Options
	plan          scale.Plan
	machine       scale.Machine
	fleet         *testfleet.Fleet
	gatewayGroups []*gatewayGroup
	engineGroups  []*engineGroup
	engineList    []testfleet.Engine // as last published
	running       []bool             // by member index
	partitioned   bool               // whether the regions are partitioned
	sampler       *sampler
	logs          []io.Closer
}

// gatewayGroup is a process of hollow gateways.
type gatewayGroup struct {
	process *hollow.Process
	members []int
}

// engineGroup is a process of hollow engines, which has the engines from index first to first+count-1.
type engineGroup struct {
	process *hollow.Process
	first   int
	count   int
}

// Start starts a fleet and returns once it has converged. It returns a *scale.LimitError if the plan requires more than the
// machine has. After an error no process is left running; otherwise the caller must call Close.
func Start(ctx context.Context, opt Options) (r *Runner, err error) {
	machine, err := LocalMachine()
	if err != nil {
		return nil, err
	}
	if err := opt.Plan.Sizes.Check(machine); err != nil {
		return nil, err
	}
	r = &Runner{options: opt, plan: opt.Plan, machine: machine, running: make([]bool, opt.Plan.Members())}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.Close())
			r = nil
		}
	}()
	startCtx, cancel := context.WithTimeout(ctx, opt.Plan.ConvergenceTimeout)
	defer cancel()
	if err := r.startEngines(startCtx); err != nil {
		return r, err
	}
	if err := r.startFleet(); err != nil {
		return r, err
	}
	if err := r.startHollowGateways(startCtx); err != nil {
		return r, err
	}
	if err := r.startRealGateways(startCtx); err != nil {
		return r, err
	}
	if _, err := r.waitConverged(ctx, "start"); err != nil {
		return r, err
	}
	r.sampler = startSampler(r.fleet, r.plan.RealGateways)
	return r, nil
}

// startFleet starts the relay and the discovery server, but no gateway.
func (r *Runner) startFleet() error {
	operator, err := r.operator()
	if err != nil {
		return err
	}
	r.fleet, err = testfleet.New(testfleet.Options{Gateways: r.plan.RealGateways, RemoteMembers: r.plan.HollowGateways, Seed: r.plan.Seed, Dir: r.options.Dir,
		Command: r.options.Program, Env: r.options.Environment, Interval: r.options.Interval, Engines: slices.Clone(r.engineList),
		Operator: operator, MaxDescriptors: r.plan.SocketLimit(), Settings: r.settings})
	return err
}

// startRealGateways starts the real gateways and waits until they are serving.
func (r *Runner) startRealGateways(ctx context.Context) error {
	for i := range r.plan.RealGateways {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := r.fleet.Start(i); err != nil {
			return err
		}
		r.running[i] = true
	}
	return r.fleet.StartAll()
}

// startProcess starts a process of hollow gateways or engines. Close stops it.
func (r *Runner) startProcess(command []string, logName string) (*hollow.Process, error) {
	log, err := os.Create(filepath.Join(r.options.Dir, logName))
	if err != nil {
		return nil, fmt.Errorf("create log file of hollow process: %w", err)
	}
	r.logs = append(r.logs, log)
	return hollow.StartProcess(command, r.options.Environment, log)
}

// PIDs returns the IDs of the running processes that the runner has started.
func (r *Runner) PIDs() (out []int) {
	for i := range r.plan.RealGateways {
		if pid := r.fleet.PID(i); pid > 0 {
			out = append(out, pid)
		}
	}
	for _, process := range r.processes() {
		if !process.Ended() {
			out = append(out, process.PID())
		}
	}
	return out
}

// processes returns all processes of hollow gateways and engines.
func (r *Runner) processes() (out []*hollow.Process) {
	for _, group := range r.gatewayGroups {
		out = append(out, group.process)
	}
	for _, group := range r.engineGroups {
		out = append(out, group.process)
	}
	return out
}

// Close stops every process that the runner started, the relay, the discovery server and the sampler, and closes the logs.
func (r *Runner) Close() error {
	var errs []error
	if r.sampler != nil {
		r.sampler.stop()
	}
	if r.fleet != nil {
		errs = append(errs, r.fleet.Close())
	}
	for _, process := range r.processes() {
		errs = append(errs, process.Close())
	}
	for _, log := range r.logs {
		errs = append(errs, log.Close())
	}
	return errors.Join(errs...)
}
