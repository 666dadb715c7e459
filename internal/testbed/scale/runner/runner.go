// Package runner plays the plans of package scale: it starts real gateways, hollow gateways, hollow engines and a discovery
// server, injects the faults of each step, and measures what the real gateways spend. Everything listens on loopback
// addresses. Close ends what was started and nothing else. cmd/fleettest calls it.
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
	Dir              string            // for configurations and logs
	Program          []string          // command of a real gateway
	HollowGateways   []string          // command of a process of hollow gateways
	HollowEngines    []string          // command of a process of hollow engines
	Environment      []string          // of all of them
	Interval         time.Duration     // of the membership protocol; 0 = its default
	EngineDelay      time.Duration     // until a hollow engine's answer
	ReportsPerSecond float64           // load reports that each hollow gateway makes up
	Progress         func(text string) // called after each part of a step
}

// Runner runs a fleet of real and hollow gateways with hollow engines. Its methods are called by one goroutine.
type Runner struct {
	options       Options
	plan          scale.Plan
	machine       scale.Machine
	fleet         *testfleet.Fleet
	gatewayGroups []*gatewayGroup
	engineGroups  []*engineGroup
	engineList    []testfleet.Engine // as last published
	up            []bool             // by member
	regionsCut    bool               // regions are partitioned
	sampler       *sampler
	logs          []io.Closer
}

// gatewayGroup is a process of hollow gateways.
type gatewayGroup struct {
	process *hollow.Process
	members []int
}

// engineGroup is a process of hollow engines with the numbers from first to first+count-1.
type engineGroup struct {
	process *hollow.Process
	first   int
	count   int
}

// Start starts a run and returns once all gateways agree on the members and the engine list. It returns a *scale.LimitError
// for a plan that does not fit the machine. After an error nothing is left running; otherwise the caller calls Close.
func Start(ctx context.Context, opt Options) (r *Runner, err error) {
	machine, err := LocalMachine()
	if err != nil {
		return nil, err
	}
	if err := opt.Plan.Sizes.Check(machine); err != nil {
		return nil, err
	}
	r = &Runner{options: opt, plan: opt.Plan, machine: machine, up: make([]bool, opt.Plan.Members())}
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
	if err := r.startHollow(startCtx); err != nil {
		return r, err
	}
	if err := r.startReal(startCtx); err != nil {
		return r, err
	}
	if _, err := r.waitAgreed(ctx, "start"); err != nil {
		return r, err
	}
	r.sampler = startSampler(r.fleet, r.plan.RealGateways)
	return r, nil
}

// startFleet starts the relay and the discovery server; the gateways of the fleet are started later.
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

// startReal starts the real gateways and waits until they serve.
func (r *Runner) startReal(ctx context.Context) error {
	for i := range r.plan.RealGateways {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := r.fleet.Start(i); err != nil {
			return err
		}
		r.up[i] = true
	}
	return r.fleet.StartAll()
}

// startProcess starts a process of hollow gateways or engines, which Close ends.
func (r *Runner) startProcess(command []string, logName string) (*hollow.Process, error) {
	log, err := os.Create(filepath.Join(r.options.Dir, logName))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	r.logs = append(r.logs, log)
	return hollow.StartProcess(command, r.options.Environment, log)
}

// PIDs returns the process IDs of the processes that the runner has started and that have not ended.
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

// Close ends every process that the runner started, and everything else.
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
