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

// agreementInterval is the time between two checks of whether all gateways agree, and so the resolution of the times until
// they do.
const agreementInterval = 250 * time.Millisecond

// ErrNotConverged is the error of a step after which the views of some gateways do not match the truth.
var ErrNotConverged = errors.New("not all gateways agree")

// waitAgreed waits until every gateway that runs has exactly the members in service that it can reach, and the latest engine
// list. It returns how long that took.
func (r *Runner) waitAgreed(ctx context.Context, what string) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.plan.ConvergenceTimeout)
	defer cancel()
	tick := time.NewTicker(agreementInterval)
	defer tick.Stop()
	for {
		err := r.checkAgreed(ctx)
		if err == nil {
			return time.Since(start), nil
		}
		if !errors.Is(err, ErrNotConverged) {
			return 0, fmt.Errorf("%s: %w", what, err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, fmt.Errorf("%s: %w after %v: %w", what, ctx.Err(), time.Since(start).Round(time.Second), err)
		}
	}
}

// checkAgreed returns nil if all gateways agree, and otherwise an ErrNotConverged that names one which does not.
func (r *Runner) checkAgreed(ctx context.Context) error {
	if err := r.checkReal(); err != nil {
		return err
	}
	states, err := r.hollowStates(ctx, false)
	if err != nil {
		return err
	}
	return r.checkHollow(states)
}

// shouldServe reports whether a member should be in service in a gateway's view.
func (r *Runner) shouldServe(viewer, member int) bool {
	return r.up[member] && (!r.regionsCut || r.plan.RegionOf(viewer) == r.plan.RegionOf(member))
}

// expectedEngineList is the resource version of the engine list that all gateways should have, and its number of engines.
func (r *Runner) expectedEngineList() (version int64, engines int) {
	for _, engine := range r.engineList {
		if engine.State != terminated {
			engines++
		}
	}
	return r.fleet.Discovery.ResourceVersion(), engines
}

// checkReal checks the gateways that are processes of the program.
func (r *Runner) checkReal() error {
	for viewer := range r.plan.RealGateways {
		if !r.up[viewer] {
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
		return fmt.Errorf("%w: gateway %d does not serve", ErrNotConverged, viewer)
	}
	version, engines := r.expectedEngineList()
	if v, n := r.fleet.EngineList(viewer); v != version || n != engines {
		return fmt.Errorf("%w: gateway %d has version %d of the engine list with %d engines, not %d with %d", ErrNotConverged,
			viewer, v, n, version, engines)
	}
	for member := range r.plan.Members() {
		if view := r.fleet.MemberState(viewer, member); (view == "alive") != r.shouldServe(viewer, member) {
			return fmt.Errorf("%w: in the view of gateway %d member %d is %s, which runs: %v", ErrNotConverged,
				viewer, member, view, r.up[member])
		}
	}
	return nil
}

// checkHollow checks hollow gateways by their fingerprints, of which all in a region should have the same.
func (r *Runner) checkHollow(states []hollow.GatewayState) error {
	version, engines := r.expectedEngineList()
	fingerprints := make([]uint64, r.plan.Regions)
	for region := range fingerprints {
		viewer := slices.Index(r.plan.MemberRegions(), region)
		fingerprints[region] = scale.Fingerprint(r.plan.Members(), func(member int) bool { return r.shouldServe(viewer, member) })
	}
	for _, state := range states {
		switch {
		case state.Up != r.up[state.Number]:
			return fmt.Errorf("%w: hollow gateway %d runs: %v", ErrNotConverged, state.Number, state.Up)
		case !state.Up:
		case state.EngineListVersion != version || state.Engines != engines:
			return fmt.Errorf("%w: hollow gateway %d has version %d of the engine list with %d engines, not %d with %d", ErrNotConverged,
				state.Number, state.EngineListVersion, state.Engines, version, engines)
		case state.Fingerprint != fingerprints[r.plan.RegionOf(state.Number)]:
			return fmt.Errorf("%w: hollow gateway %d has %d members in service, not the expected ones", ErrNotConverged, state.Number, state.InService)
		}
	}
	return nil
}

// hollowStates returns the states of all hollow gateways.
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

// engineUsage measures how the hollow gateways use the engines and know their load.
func (r *Runner) engineUsage(ctx context.Context) (scale.EngineUsage, error) {
	states, err := r.hollowStates(ctx, true)
	if err != nil {
		return scale.EngineUsage{}, err
	}
	up, known, used := 0, 0, 0
	for _, state := range states {
		if !state.Up {
			continue
		}
		up++
		known += state.EnginesKnown
		used += state.Used
	}
	return scale.EngineUsage{Used: float64(used) / float64(max(1, up)), KnownShare: float64(known) / float64(max(1, used))}, nil
}
