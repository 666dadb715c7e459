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

// engineAddress is the loopback address of a process of engines: outside of the range that package testfleet uses.
func engineAddress(process int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(32 + process%32), byte(pid >> 8), byte(1 + pid%250)})
}

// startEngines starts the processes of hollow engines and makes the engine list.
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

// publish sets the state of engines in the engine list and publishes it. startedMS is the time of their start in Unix
// milliseconds, or 0.
func (r *Runner) publish(engines []int, state string, startedMS int64) {
	var changed []testfleet.Engine
	for _, number := range engines {
		r.engineList[number].State, r.engineList[number].StartedAtMS = state, startedMS
		changed = append(changed, r.engineList[number])
	}
	r.fleet.Discovery.Publish(changed)
}

// setEngines closes engines, or opens them again at their addresses.
func (r *Runner) setEngines(ctx context.Context, engines []int, open bool) error {
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
