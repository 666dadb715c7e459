package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/testfleet"
)

// startHollowGateways starts the processes of hollow gateways, sets them up, and starts the gateways in them.
func (r *Runner) startHollowGateways(ctx context.Context) error {
	listen, peers := r.fleet.RemoteAddrs(), r.hollowPeers()
	processes := r.plan.HollowProcesses()
	for i := range processes {
		first, end := i*r.plan.HollowGateways/processes, (i+1)*r.plan.HollowGateways/processes
		process, err := r.startProcess(r.options.HollowGateways, fmt.Sprintf("hollow-%d.log", i))
		if err != nil {
			return err
		}
		group := &gatewayGroup{process: process}
		r.gatewayGroups = append(r.gatewayGroups, group)
		setup := hollow.GatewaySetup{Fleet: testfleet.FleetName, Seed: r.plan.Seed, Interval: r.options.Interval, Peers: peers,
			ReportsPerSecond: r.options.ReportsPerSecond, DiscoveryAddr: r.fleet.Discovery.Addr(), Regions: r.plan.MemberRegions(),
			Zones: r.plan.ZoneNames(), Subset: r.subsetConfig()}
		for k := first; k < end; k++ {
			number := r.plan.RealGateways + k
			group.members = append(group.members, number)
			setup.Members = append(setup.Members, hollow.Member{Number: number, Zone: r.plan.ZoneOf(number), Listen: listen[k]})
		}
		if err := process.SetUpGateways(ctx, setup); err != nil {
			return err
		}
	}
	return r.startMembers(ctx, r.allHollow())
}

// hollowPeers returns the addresses to which hollow gateways send datagrams for each member. Datagrams to real gateways pass
// through the relay, which counts them and drops those between partitioned regions; hollow gateways reach each other directly.
func (r *Runner) hollowPeers() []netip.AddrPort {
	relayAddrs := r.fleet.Relay.Addrs()
	return append(slices.Clone(relayAddrs[:r.plan.RealGateways]), r.fleet.RemoteAddrs()...)
}

// allHollow returns the indexes of all hollow gateways.
func (r *Runner) allHollow() (out []int) {
	for member := r.plan.RealGateways; member < r.plan.Members(); member++ {
		out = append(out, member)
	}
	return out
}

// startMembers starts members, real or hollow, that are not running.
func (r *Runner) startMembers(ctx context.Context, members []int) error {
	realMembers, hollowMembers := r.splitMembers(members)
	for _, member := range realMembers {
		if err := r.fleet.Start(member); err != nil {
			return err
		}
	}
	if err := r.sendToHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Start: own} }, hollowMembers); err != nil {
		return err
	}
	r.setRunning(members, true)
	return nil
}

// killMembers kills members concurrently.
func (r *Runner) killMembers(ctx context.Context, members []int) error {
	realMembers, hollowMembers := r.splitMembers(members)
	err := r.runConcurrently(realMembers, r.fleet.Kill, func() error {
		return r.sendToHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Kill: own} }, hollowMembers)
	})
	r.setRunning(members, false)
	return err
}

// stopMembers shuts members down gracefully and concurrently, and waits until they have stopped.
func (r *Runner) stopMembers(ctx context.Context, members []int) error {
	realMembers, hollowMembers := r.splitMembers(members)
	err := r.runConcurrently(realMembers, r.fleet.Terminate, func() error {
		return r.sendToHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Leave: own} }, hollowMembers)
	})
	r.setRunning(members, false)
	return err
}

// runConcurrently calls forReal for each real gateway and forHollow once for all hollow gateways, all concurrently.
func (r *Runner) runConcurrently(realMembers []int, forReal func(int) error, forHollow func() error) error {
	errs := make([]error, len(realMembers)+1)
	var done sync.WaitGroup
	for i, member := range realMembers {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = forReal(member)
		}()
	}
	errs[len(realMembers)] = forHollow()
	done.Wait()
	return errors.Join(errs...)
}

// splitMembers splits members into real and hollow ones.
func (r *Runner) splitMembers(members []int) (realMembers, hollowMembers []int) {
	for _, member := range members {
		if member < r.plan.RealGateways {
			realMembers = append(realMembers, member)
		} else {
			hollowMembers = append(hollowMembers, member)
		}
	}
	return realMembers, hollowMembers
}

// setRunning records whether members are running.
func (r *Runner) setRunning(members []int, running bool) {
	for _, member := range members {
		r.running[member] = running
	}
}

// sendToHollow concurrently sends a command to each process that runs any of the hollow gateways in members. commandFor
// returns the command for the members of one process.
func (r *Runner) sendToHollow(ctx context.Context, commandFor func(own []int) hollow.GatewayCommand, members []int) error {
	errs := make([]error, len(r.gatewayGroups))
	var done sync.WaitGroup
	for i, group := range r.gatewayGroups {
		own := slices.DeleteFunc(slices.Clone(group.members), func(member int) bool { return !slices.Contains(members, member) })
		if len(own) == 0 {
			continue
		}
		done.Add(1)
		go func() {
			defer done.Done()
			_, errs[i] = group.process.SendGatewayCommand(ctx, commandFor(own))
		}()
	}
	done.Wait()
	return errors.Join(errs...)
}

// setPartition partitions the regions or heals the partition. The discovery server remains reachable by all members.
func (r *Runner) setPartition(ctx context.Context, partitioned bool) error {
	change := hollow.HealRegions
	if partitioned {
		change = hollow.PartitionRegions
		for member := range r.plan.Members() {
			r.fleet.Relay.SetPartitionSide(member, r.plan.RegionOf(member))
		}
	} else {
		r.fleet.Relay.Heal()
	}
	r.partitioned = partitioned
	return r.sendToHollow(ctx, func([]int) hollow.GatewayCommand { return hollow.GatewayCommand{Partition: change} }, r.allHollow())
}
