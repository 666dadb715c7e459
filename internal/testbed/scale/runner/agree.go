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

// agreeEvery is the time between two looks at whether all gateways agree. It bounds how exactly times until all know are
// read.
const agreeEvery = 250 * time.Millisecond

// ErrNotAgreed is a step in which not all gateways came to hold what is so.
var ErrNotAgreed = errors.New("not all gateways agree")

// untilAgreed waits until every gateway that runs holds each member that it can reach in service, all others out of it, and
// the last list of engines. It returns how long that took.
func (r *Rig) untilAgreed(ctx context.Context, what string) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.plan.Patience)
	defer cancel()
	tick := time.NewTicker(agreeEvery)
	defer tick.Stop()
	for {
		err := r.agreed(ctx)
		if err == nil {
			return time.Since(began), nil
		}
		if !errors.Is(err, ErrNotAgreed) {
			return 0, fmt.Errorf("%s: %w", what, err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, fmt.Errorf("%s: %w after %v: %w", what, ctx.Err(), time.Since(began).Round(time.Second), err)
		}
	}
}

// agreed is nil when all gateways hold what is so.
func (r *Rig) agreed(ctx context.Context) error {
	if err := r.realAgreed(); err != nil {
		return err
	}
	states, err := r.states(ctx, false)
	if err != nil {
		return err
	}
	return r.hollowAgreed(states)
}

// serves reports whether a viewer should hold a member in service.
func (r *Rig) serves(viewer, member int) bool {
	return r.up[member] && (!r.cut || r.plan.RegionOf(viewer) == r.plan.RegionOf(member))
}

// listed is the list of engines that all should hold: the last event and how many engines it leaves.
func (r *Rig) listed() (version int64, engines int) {
	for _, engine := range r.list {
		if engine.State != terminated {
			engines++
		}
	}
	return r.fleet.Discovery.ResourceVersion(), engines
}

func (r *Rig) realAgreed() error {
	version, engines := r.listed()
	for viewer := range r.plan.Real {
		if !r.up[viewer] {
			continue
		}
		if !r.fleet.Ready(viewer) {
			return fmt.Errorf("%w: gateway %d does not serve", ErrNotAgreed, viewer)
		}
		if v, n := r.fleet.EngineList(viewer); v != version || n != engines {
			return fmt.Errorf("%w: gateway %d holds version %d of the list with %d engines, not %d with %d", ErrNotAgreed, viewer, v, n, version, engines)
		}
		for member := range r.plan.Members() {
			if view := r.fleet.View(viewer, member); (view == "alive") != r.serves(viewer, member) {
				return fmt.Errorf("%w: gateway %d holds %d %s, which runs: %v", ErrNotAgreed, viewer, member, view, r.up[member])
			}
		}
	}
	return nil
}

func (r *Rig) hollowAgreed(states []hollow.GatewayState) error {
	version, engines := r.listed()
	fingerprints := make([]uint64, r.plan.Regions)
	for region := range fingerprints {
		viewer := slices.Index(r.plan.RegionsOfMembers(), region)
		fingerprints[region] = scale.Fingerprint(r.plan.Members(), func(member int) bool { return r.serves(viewer, member) })
	}
	for _, state := range states {
		switch {
		case state.Up != r.up[state.Number]:
			return fmt.Errorf("%w: hollow gateway %d runs: %v", ErrNotAgreed, state.Number, state.Up)
		case !state.Up:
		case state.Version != version || state.Engines != engines:
			return fmt.Errorf("%w: hollow gateway %d holds version %d of the list with %d engines, not %d with %d", ErrNotAgreed,
				state.Number, state.Version, state.Engines, version, engines)
		case state.Fingerprint != fingerprints[r.plan.RegionOf(state.Number)]:
			return fmt.Errorf("%w: hollow gateway %d holds %d members in service", ErrNotAgreed, state.Number, state.InService)
		}
	}
	return nil
}

// states are those of all hollow gateways.
func (r *Rig) states(ctx context.Context, known bool) (out []hollow.GatewayState, err error) {
	replies, errs := make([][]hollow.GatewayState, len(r.groups)), make([]error, len(r.groups))
	var done sync.WaitGroup
	for i, group := range r.groups {
		done.Add(1)
		go func() {
			defer done.Done()
			replies[i], errs[i] = group.process.Gateways(ctx, hollow.GatewayCommand{Report: true, Known: known})
		}()
	}
	done.Wait()
	return slices.Concat(replies...), errors.Join(errs...)
}

// measureEngines reads how hollow gateways use the engines and know their load.
func (r *Rig) measureEngines(ctx context.Context) (scale.EnginesMeasure, error) {
	states, err := r.states(ctx, true)
	if err != nil {
		return scale.EnginesMeasure{}, err
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
	return scale.EnginesMeasure{Used: float64(used) / float64(max(1, up)), KnownShare: float64(known) / float64(max(1, used))}, nil
}
