// Package runner plays the plans of package scale: it starts real gateways, hollow ones, hollow engines and a discovery
// server, brings the faults of each step about, and reads what the real gateways spend. Everything listens on loopback
// addresses, and Close ends what was started and nothing else.
package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/testfleet"
)

// Options say what a run is made of.
type Options struct {
	Plan             scale.Plan
	Dir              string        // for configurations and logs
	Program          []string      // command of a real gateway
	HollowGateways   []string      // command of a process of hollow gateways
	HollowEngines    []string      // command of a process of hollow engines
	Environment      []string      // of all of them
	Interval         time.Duration // of the membership protocol; 0 = its default
	EngineDelay      time.Duration // until a hollow engine's answer
	ReportsPerSecond float64       // of engines' load that each hollow gateway takes in
	Note             func(text string)
}

// fleetName is the name that package rig gives a fleet.
const fleetName = "rig"

// Rig is a fleet of real and hollow gateways before hollow engines.
type Rig struct {
	opt     Options
	plan    scale.Plan
	machine scale.Machine
	fleet   *testfleet.Fleet
	groups  []*gatewayGroup
	engines []*engineGroup
	list    []testfleet.Engine // as the discovery server last told it
	up      []bool             // by member
	cut     bool               // regions do not reach each other
	sampler *sampler
	logs    []io.Closer
}

// gatewayGroup is a process of hollow gateways.
type gatewayGroup struct {
	process *hollow.Process
	members []int
}

// engineGroup is a process of hollow engines, which hold the numbers from first on.
type engineGroup struct {
	process *hollow.Process
	first   int
	count   int
}

// Start checks that the plan fits the machine and starts everything; it returns once all gateways know each other and the
// list of engines. After an error nothing is left running.
func Start(ctx context.Context, opt Options) (r *Rig, err error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if err := opt.Plan.Sizes.Check(machine); err != nil {
		return nil, err
	}
	r = &Rig{opt: opt, plan: opt.Plan, machine: machine, up: make([]bool, opt.Plan.Members())}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.Close())
			r = nil
		}
	}()
	start, cancel := context.WithTimeout(ctx, opt.Plan.Patience)
	defer cancel()
	if err := r.startEngines(start); err != nil {
		return r, err
	}
	if err := r.startFleet(); err != nil {
		return r, err
	}
	if err := r.startHollow(start); err != nil {
		return r, err
	}
	if err := r.startReal(start); err != nil {
		return r, err
	}
	if _, err := r.untilAgreed(ctx, "start"); err != nil {
		return r, err
	}
	r.sampler = startSampler(r.fleet, r.plan.Real)
	return r, nil
}

// engineAddress is the loopback address of a process of engines: far from the addresses of gateways.
func engineAddress(process int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(32 + process%32), byte(pid >> 8), byte(1 + pid%250)})
}

func (r *Rig) startEngines(ctx context.Context) error {
	processes := r.plan.EngineProcesses(r.machine)
	for i := range processes {
		first, end := i*r.plan.Engines/processes, (i+1)*r.plan.Engines/processes
		process, err := r.startProcess(r.opt.HollowEngines, fmt.Sprintf("engines-%d.log", i))
		if err != nil {
			return err
		}
		r.engines = append(r.engines, &engineGroup{process: process, first: first, count: end - first})
		addresses, err := process.SetUpEngines(ctx, hollow.EngineSetup{Listen: engineAddress(i), Engines: end - first, Delay: r.opt.EngineDelay})
		if err != nil {
			return err
		}
		for k, address := range addresses {
			number := first + k
			r.list = append(r.list, testfleet.Engine{Name: scale.EngineName(number), Addr: address, Zone: scale.ZoneName(r.plan.ZoneOf(number)),
				Kind: engineKind, State: inService})
		}
	}
	return nil
}

func (r *Rig) startProcess(command []string, logName string) (*hollow.Process, error) {
	log, err := os.Create(filepath.Join(r.opt.Dir, logName))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	r.logs = append(r.logs, log)
	return hollow.StartProcess(command, r.opt.Environment, log)
}

func (r *Rig) startFleet() error {
	operator, err := r.operator()
	if err != nil {
		return err
	}
	r.fleet, err = testfleet.New(testfleet.Options{Gateways: r.plan.Real, RemoteMembers: r.plan.Hollow, Seed: r.plan.Seed, Dir: r.opt.Dir,
		Command: r.opt.Program, Env: r.opt.Environment, Interval: r.opt.Interval, Engines: slices.Clone(r.list),
		Operator: operator, MaxDescriptors: r.plan.SocketLimit(), Settings: r.settings})
	return err
}

// startHollow starts the processes of hollow gateways, and those in them.
func (r *Rig) startHollow(ctx context.Context) error {
	listen, peers := r.fleet.RemoteAddrs(), r.peersOfHollow()
	processes := r.plan.HollowProcesses()
	for i := range processes {
		first, end := i*r.plan.Hollow/processes, (i+1)*r.plan.Hollow/processes
		process, err := r.startProcess(r.opt.HollowGateways, fmt.Sprintf("hollow-%d.log", i))
		if err != nil {
			return err
		}
		group := &gatewayGroup{process: process}
		r.groups = append(r.groups, group)
		setup := hollow.GatewaySetup{Fleet: fleetName, Seed: r.plan.Seed, Interval: r.opt.Interval, Peers: peers,
			ReportsPerSecond: r.opt.ReportsPerSecond, Discovery: r.fleet.Discovery.Addr(), Regions: r.plan.RegionsOfMembers(),
			Zones: r.plan.ZoneNames(), Subset: r.subsetConfig()}
		for k := first; k < end; k++ {
			number := r.plan.Real + k
			group.members = append(group.members, number)
			setup.Members = append(setup.Members, hollow.Member{Number: number, Zone: r.plan.ZoneOf(number), Listen: listen[k]})
		}
		if err := process.SetUpGateways(ctx, setup); err != nil {
			return err
		}
	}
	return r.startMembers(ctx, r.allHollow())
}

// peersOfHollow are the addresses at which hollow gateways reach all members: the real ones at the relay, which alone can
// count and cut what passes there, and each other directly.
func (r *Rig) peersOfHollow() []netip.AddrPort {
	faces := r.fleet.Relay.Faces()
	return append(slices.Clone(faces[:r.plan.Real]), r.fleet.RemoteAddrs()...)
}

func (r *Rig) allHollow() (out []int) {
	for member := r.plan.Real; member < r.plan.Members(); member++ {
		out = append(out, member)
	}
	return out
}

// startReal starts the processes of the program and waits until they serve.
func (r *Rig) startReal(ctx context.Context) error {
	for i := range r.plan.Real {
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

// startMembers starts gateways, real or hollow, that do not run.
func (r *Rig) startMembers(ctx context.Context, members []int) error {
	real, hollows := r.divide(members)
	for _, member := range real {
		if err := r.fleet.Start(member); err != nil {
			return err
		}
	}
	if err := r.command(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Start: own} }, hollows); err != nil {
		return err
	}
	r.mark(members, true)
	return nil
}

// killMembers ends gateways at once, all at the same time.
func (r *Rig) killMembers(ctx context.Context, members []int) error {
	real, hollows := r.divide(members)
	err := r.together(real, r.fleet.Kill, func() error {
		return r.command(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Kill: own} }, hollows)
	})
	r.mark(members, false)
	return err
}

// stopMembers has gateways stop as planned, and waits for their end.
func (r *Rig) stopMembers(ctx context.Context, members []int) error {
	real, hollows := r.divide(members)
	err := r.together(real, r.fleet.Term, func() error {
		return r.command(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Leave: own} }, hollows)
	})
	r.mark(members, false)
	return err
}

// together does something with each real gateway and something with the hollow ones, all at the same time.
func (r *Rig) together(real []int, each func(int) error, rest func() error) error {
	errs := make([]error, len(real)+1)
	var done sync.WaitGroup
	for i, member := range real {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = each(member)
		}()
	}
	errs[len(real)] = rest()
	done.Wait()
	return errors.Join(errs...)
}

func (r *Rig) divide(members []int) (real, hollows []int) {
	for _, member := range members {
		if member < r.plan.Real {
			real = append(real, member)
		} else {
			hollows = append(hollows, member)
		}
	}
	return real, hollows
}

func (r *Rig) mark(members []int, up bool) {
	for _, member := range members {
		r.up[member] = up
	}
}

// command sends each process of hollow gateways a command about those of the members that it holds, at the same time.
func (r *Rig) command(ctx context.Context, about func(own []int) hollow.GatewayCommand, members []int) error {
	errs := make([]error, len(r.groups))
	var done sync.WaitGroup
	for i, group := range r.groups {
		own := slices.DeleteFunc(slices.Clone(group.members), func(member int) bool { return !slices.Contains(members, member) })
		if len(own) == 0 {
			continue
		}
		done.Add(1)
		go func() {
			defer done.Done()
			_, errs[i] = group.process.Gateways(ctx, about(own))
		}()
	}
	done.Wait()
	return errors.Join(errs...)
}

// setCut parts the regions from each other, or joins them again. The discovery server reaches all members meanwhile.
func (r *Rig) setCut(ctx context.Context, cut bool) error {
	change := hollow.HealRegions
	if cut {
		change = hollow.CutRegions
		for member := range r.plan.Members() {
			r.fleet.Relay.Side(member, r.plan.RegionOf(member))
		}
	} else {
		r.fleet.Relay.Heal()
	}
	r.cut = cut
	return r.command(ctx, func([]int) hollow.GatewayCommand { return hollow.GatewayCommand{Cut: change} }, r.allHollow())
}

// tell has the discovery server tell a new state of engines, and keeps it in the list.
func (r *Rig) tell(engines []int, state string, began int64) {
	var changed []testfleet.Engine
	for _, number := range engines {
		r.list[number].State, r.list[number].Began = state, began
		changed = append(changed, r.list[number])
	}
	r.fleet.Discovery.Publish(changed)
}

// setEngines ends engines, or starts them again at their addresses.
func (r *Rig) setEngines(ctx context.Context, engines []int, open bool) error {
	var errs []error
	for _, group := range r.engines {
		var places []int
		for _, number := range engines {
			if number >= group.first && number < group.first+group.count {
				places = append(places, number-group.first)
			}
		}
		command := hollow.EngineCommand{Close: places}
		if open {
			command = hollow.EngineCommand{Open: places}
		}
		_, err := group.process.Engines(ctx, command)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// PIDs are the processes that the rig has started and that have not ended.
func (r *Rig) PIDs() (out []int) {
	for i := range r.plan.Real {
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

func (r *Rig) processes() (out []*hollow.Process) {
	for _, group := range r.groups {
		out = append(out, group.process)
	}
	for _, group := range r.engines {
		out = append(out, group.process)
	}
	return out
}

// Close ends every process that the rig started, and all else.
func (r *Rig) Close() error {
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
