package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/testbed/testfleet"
)

// engineAddress returns the loopback address of a process of hollow engines. It is outside the range that package testfleet
// uses.
func engineAddress(process int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(32 + process%32), byte(pid >> 8), byte(1 + pid%250)})
}

// startEngines starts the processes of hollow engines and builds the engine list.
func (r *Runner) startEngines(ctx context.Context) error {
	processes := r.plan.EngineProcesses(r.machine)
	for i := range processes {
		first, end := i*r.plan.Engines/processes, (i+1)*r.plan.Engines/processes
		process, err := r.startProcess(r.options.HollowEngines, fmt.Sprintf("engines-%d.log", i))
		if err != nil {
			return err
		}
		r.engineGroups = append(r.engineGroups, &engineGroup{process: process, first: first, count: end - first})
		addresses, err := process.SetUpEngines(ctx, hollow.EngineSetup{Listen: engineAddress(i), Engines: end - first, Delay: r.options.EngineDelay})
		if err != nil {
			return err
		}
		for k, address := range addresses {
			number := first + k
			r.engineList = append(r.engineList, testfleet.Engine{Name: scale.EngineName(number), Addr: address, Zone: scale.ZoneName(r.plan.ZoneOf(number)),
				Kind: engineKind, State: inService})
		}
	}
	return nil
}

// publish sets the state and start time of engines in the engine list and publishes the change. startedMS is in Unix
// milliseconds; 0 means that the engines have no start time.
func (r *Runner) publish(engines []int, state string, startedMS int64) {
	var changed []testfleet.Engine
	for _, number := range engines {
		r.engineList[number].State, r.engineList[number].StartedAtMS = state, startedMS
		changed = append(changed, r.engineList[number])
	}
	r.fleet.Discovery.Publish(changed)
}

// setEnginesOpen closes engines, or reopens them at their previous addresses.
func (r *Runner) setEnginesOpen(ctx context.Context, engines []int, open bool) error {
	var errs []error
	for _, group := range r.engineGroups {
		var indexes []int
		for _, number := range engines {
			if number >= group.first && number < group.first+group.count {
				indexes = append(indexes, number-group.first)
			}
		}
		command := hollow.EngineCommand{Close: indexes}
		if open {
			command = hollow.EngineCommand{Open: indexes}
		}
		_, err := group.process.SendEngineCommand(ctx, command)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
