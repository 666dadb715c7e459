package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"frostpier/internal/testbed/hollow"
	"frostpier/internal/testbed/scale"
)

// convergenceCheckInterval is the time between two checks of whether the fleet has converged, and so the resolution of
// convergence times.
const convergenceCheckInterval = 250 * time.Millisecond

// ErrNotConverged reports that the members or the engine list in the view of some gateway are not the actual ones.
var ErrNotConverged = errors.New("the fleet has not converged")

// waitConverged waits until the fleet has converged: in the view of each running gateway exactly the members that it can
// reach are in service, and its engine list is the latest. It returns the time that this took.
func (r *Runner) waitConverged(ctx context.Context, event string) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.plan.ConvergenceTimeout)
	defer cancel()
	tick := time.NewTicker(convergenceCheckInterval)
	defer tick.Stop()
	for {
		err := r.checkConverged(ctx)
		if err == nil {
			return time.Since(start), nil
		}
		if !errors.Is(err, ErrNotConverged) {
			return 0, fmt.Errorf("%s: %w", event, err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, fmt.Errorf("%s: %w after %v: %w", event, ctx.Err(), time.Since(start).Round(time.Second), err)
		}
	}
}

// checkConverged returns nil if the fleet has converged, and otherwise an error that wraps ErrNotConverged and names a gateway
// with a wrong view.
func (r *Runner) checkConverged(ctx context.Context) error {
	if err := r.checkRealGateways(); err != nil {
		return err
	}
	states, err := r.hollowStates(ctx, false)
	if err != nil {
		return err
	}
	return r.checkHollowGateways(states)
}

// expectedInService reports whether a member should be in service in the view of the viewer.
func (r *Runner) expectedInService(viewer, member int) bool {
	return r.running[member] && (!r.partitioned || r.plan.RegionOf(viewer) == r.plan.RegionOf(member))
}

// expectedEngineList returns the resource version and the number of engines of the engine list that all gateways should have.
func (r *Runner) expectedEngineList() (version int64, engines int) {
	for _, engine := range r.engineList {
		if engine.State != terminated {
			engines++
		}
	}
	return r.fleet.Discovery.ResourceVersion(), engines
}

// checkRealGateways checks the views of the gateways that are processes of the program.
func (r *Runner) checkRealGateways() error {
	for viewer := range r.plan.RealGateways {
		if !r.running[viewer] {
			continue
		}
		if err := r.checkRealGateway(viewer); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) checkRealGateway(viewer int) error {
	if !r.fleet.Ready(viewer) {
		return fmt.Errorf("%w: gateway %d is not serving", ErrNotConverged, viewer)
	}
	version, engines := r.expectedEngineList()
	if v, n := r.fleet.EngineList(viewer); v != version || n != engines {
		return fmt.Errorf("%w: gateway %d has version %d of the engine list with %d engines, want version %d with %d", ErrNotConverged,
			viewer, v, n, version, engines)
	}
	for member := range r.plan.Members() {
		if view := r.fleet.MemberState(viewer, member); (view == "alive") != r.expectedInService(viewer, member) {
			return fmt.Errorf("%w: gateway %d sees member %d as %s, running: %v", ErrNotConverged,
				viewer, member, view, r.running[member])
		}
	}
	return nil
}

// checkHollowGateways checks the views of the hollow gateways. Their members in service are compared by fingerprint, which
// should be the same for all gateways of a region.
func (r *Runner) checkHollowGateways(states []hollow.GatewayState) error {
	version, engines := r.expectedEngineList()
	fingerprints := make([]uint64, r.plan.Regions)
	for region := range fingerprints {
		viewer := slices.Index(r.plan.MemberRegions(), region)
		fingerprints[region] = scale.Fingerprint(r.plan.Members(), func(member int) bool { return r.expectedInService(viewer, member) })
	}
	for _, state := range states {
		switch {
		case state.Running != r.running[state.Number]:
			return fmt.Errorf("%w: hollow gateway %d is running: %v, want %v", ErrNotConverged, state.Number, state.Running, r.running[state.Number])
		case !state.Running:
		case state.EngineListVersion != version || state.Engines != engines:
			return fmt.Errorf("%w: hollow gateway %d has version %d of the engine list with %d engines, want version %d with %d", ErrNotConverged,
				state.Number, state.EngineListVersion, state.Engines, version, engines)
		case state.Fingerprint != fingerprints[r.plan.RegionOf(state.Number)]:
			return fmt.Errorf("%w: hollow gateway %d has %d members in service, not the expected ones", ErrNotConverged, state.Number,
				state.InService)
		}
	}
	return nil
}

// hollowStates returns the states of all hollow gateways. If countKnown is set, they include the number of engines whose load
// a gateway knows.
func (r *Runner) hollowStates(ctx context.Context, countKnown bool) (out []hollow.GatewayState, err error) {
	replies, errs := make([][]hollow.GatewayState, len(r.gatewayGroups)), make([]error, len(r.gatewayGroups))
	var done sync.WaitGroup
	for i, group := range r.gatewayGroups {
		done.Add(1)
		go func() {
			defer done.Done()
			replies[i], errs[i] = group.process.SendGatewayCommand(ctx, hollow.GatewayCommand{ReportStates: true, CountKnown: countKnown})
		}()
	}
	done.Wait()
	return slices.Concat(replies...), errors.Join(errs...)
}

// engineUsage returns how many engines the running hollow gateways use, and of how many of these they know the load.
func (r *Runner) engineUsage(ctx context.Context) (scale.EngineUsage, error) {
	states, err := r.hollowStates(ctx, true)
	if err != nil {
		return scale.EngineUsage{}, err
	}
	running, known, used := 0, 0, 0
	for _, state := range states {
		if !state.Running {
			continue
		}
		running++
		known += state.EnginesWithKnownLoad
		used += state.UsedEngines
	}
	return scale.EngineUsage{Used: float64(used) / float64(max(1, running)), KnownShare: float64(known) / float64(max(1, used))}, nil
}
