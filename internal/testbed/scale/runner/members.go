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

// startHollow starts the processes of hollow gateways, and the gateways in them.
func (r *Runner) startHollow(ctx context.Context) error {
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

// hollowPeers returns the addresses at which hollow gateways reach all members: the real ones by the relay, which counts and
// drops their datagrams, and each other directly.
func (r *Runner) hollowPeers() []netip.AddrPort {
	faces := r.fleet.Relay.Addrs()
	return append(slices.Clone(faces[:r.plan.RealGateways]), r.fleet.RemoteAddrs()...)
}

func (r *Runner) allHollow() (out []int) {
	for member := r.plan.RealGateways; member < r.plan.Members(); member++ {
		out = append(out, member)
	}
	return out
}

// startMembers starts members, real or hollow, that do not run.
func (r *Runner) startMembers(ctx context.Context, members []int) error {
	realOnes, hollowOnes := r.divideMembers(members)
	for _, member := range realOnes {
		if err := r.fleet.Start(member); err != nil {
			return err
		}
	}
	if err := r.commandHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Start: own} }, hollowOnes); err != nil {
		return err
	}
	r.setUp(members, true)
	return nil
}

// killMembers kills members, all at the same time.
func (r *Runner) killMembers(ctx context.Context, members []int) error {
	realOnes, hollowOnes := r.divideMembers(members)
	err := r.concurrently(realOnes, r.fleet.Kill, func() error {
		return r.commandHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Kill: own} }, hollowOnes)
	})
	r.setUp(members, false)
	return err
}

// stopMembers has members shut down gracefully, all at the same time, and waits for their end.
func (r *Runner) stopMembers(ctx context.Context, members []int) error {
	realOnes, hollowOnes := r.divideMembers(members)
	err := r.concurrently(realOnes, r.fleet.Terminate, func() error {
		return r.commandHollow(ctx, func(own []int) hollow.GatewayCommand { return hollow.GatewayCommand{Leave: own} }, hollowOnes)
	})
	r.setUp(members, false)
	return err
}

// concurrently calls each for every real gateway, and rest for the hollow ones, all at the same time.
func (r *Runner) concurrently(realOnes []int, each func(int) error, rest func() error) error {
	errs := make([]error, len(realOnes)+1)
	var done sync.WaitGroup
	for i, member := range realOnes {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = each(member)
		}()
	}
	errs[len(realOnes)] = rest()
	done.Wait()
	return errors.Join(errs...)
}

// divideMembers divides members into real and hollow ones.
func (r *Runner) divideMembers(members []int) (realOnes, hollowOnes []int) {
	for _, member := range members {
		if member < r.plan.RealGateways {
			realOnes = append(realOnes, member)
		} else {
			hollowOnes = append(hollowOnes, member)
		}
	}
	return realOnes, hollowOnes
}

// setUp records whether members run.
func (r *Runner) setUp(members []int, up bool) {
	for _, member := range members {
		r.up[member] = up
	}
}

// commandHollow sends each process of hollow gateways a command about those of the members that it runs, all at the same
// time.
func (r *Runner) commandHollow(ctx context.Context, commandFor func(own []int) hollow.GatewayCommand, members []int) error {
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

// setCut partitions the regions, or heals the partition. The discovery server reaches all members either way.
func (r *Runner) setCut(ctx context.Context, cut bool) error {
	change := hollow.HealRegions
	if cut {
		change = hollow.PartitionRegions
		for member := range r.plan.Members() {
			r.fleet.Relay.SetPartitionSide(member, r.plan.RegionOf(member))
		}
	} else {
		r.fleet.Relay.Heal()
	}
	r.regionsCut = cut
	return r.commandHollow(ctx, func([]int) hollow.GatewayCommand { return hollow.GatewayCommand{Partition: change} }, r.allHollow())
}
