package runner

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/scale"
)

// Names of what is read in steps that have two parts.
const (
	machinesLost  = "machines-lost"
	machinesBack  = "machines-back"
	zoneLost      = "zone-lost"
	zoneBack      = "zone-back"
	regionsCut    = "regions-cut"
	regionsHealed = "regions-healed"
)

// readOf is what one part of a step adds to what the sampler reads.
type readOf struct {
	allKnow    time.Duration // until all gateways knew; 0 where there was nothing to learn
	statements float64       // a second and real gateway
	served     float64       // share of them
}

// Play plays the plan's steps and returns what was read, also of those before one that failed.
func (r *Rig) Play(ctx context.Context) (scale.Run, error) {
	run := scale.Run{Facts: r.facts()}
	for _, step := range r.plan.Steps {
		results, err := r.play(ctx, step)
		run.Steps = append(run.Steps, results...)
		if err != nil {
			return run, fmt.Errorf("step %s: %w", step, err)
		}
	}
	if alarms := r.fleet.Alarms(); len(alarms) > 0 {
		return run, fmt.Errorf("in the gateways' logs: %s", alarms[0])
	}
	run.Facts.LoadAtEnd = LoadAverage()
	return run, nil
}

func (r *Rig) facts() scale.Facts {
	return scale.Facts{Subset: r.plan.Subset, Cores: runtime.NumCPU(), MemoryMB: int(r.machine.MemoryBytes >> 20), GoVersion: runtime.Version(),
		Seed: r.plan.Seed, LoadAtStart: LoadAverage(), Zones: r.plan.Zones, Regions: r.plan.Regions,
		EngineDelayMS: float64(r.opt.EngineDelay) / float64(time.Millisecond), ReportsPerSecond: r.opt.ReportsPerSecond,
		DateUTC: time.Now().UTC().Format(time.RFC3339)}
}

// part is one part of a step that is read for itself.
type part struct {
	name    string
	play    func(context.Context) (readOf, error)
	settles bool // it is read for a while longer than it plays
}

// parts are those of a step.
func (r *Rig) parts(step scale.Step) []part {
	switch step {
	case scale.Quiet:
		return []part{{string(step), r.quiet, false}}
	case scale.Loaded:
		return []part{{string(step), r.loaded, false}}
	case scale.Restarts:
		return []part{{string(step), r.restarts, true}}
	case scale.Machines:
		return []part{{machinesLost, r.loseMachines, true}, {machinesBack, r.startMachines, true}}
	case scale.Zone:
		return []part{{zoneLost, r.loseZone, true}, {zoneBack, r.startZone, true}}
	case scale.Regions:
		return []part{{regionsCut, r.cutRegions, true}, {regionsHealed, r.healRegions, true}}
	case scale.List:
		return []part{{string(step), r.changeList, true}}
	case scale.Reconnect:
		return []part{{string(step), r.reconnect, true}}
	}
	return nil
}

func (r *Rig) play(ctx context.Context, step scale.Step) (out []scale.StepResult, err error) {
	for _, part := range r.parts(step) {
		result, err := r.read(ctx, part)
		if err != nil {
			return out, err
		}
		r.opt.Note(fmt.Sprintf("%s: %.0f s, all knew after %.1f s", part.name, result.Seconds, result.SecondsUntilAllKnow))
		out = append(out, result)
	}
	return out, nil
}

// read plays a part of a step, and reads from its start until it has settled.
func (r *Rig) read(ctx context.Context, p part) (scale.StepResult, error) {
	from := r.sampler.read()
	read, err := p.play(ctx)
	if err != nil {
		return scale.StepResult{}, err
	}
	if p.settles {
		if err := sleep(ctx, r.plan.Settle); err != nil {
			return scale.StepResult{}, err
		}
	}
	result := r.sampler.result(from, r.sampler.read())
	engines, err := r.measureEngines(ctx)
	result.EnginesUsed, result.EnginesKnownShare = engines.Used, engines.KnownShare
	result.Name, result.SecondsUntilAllKnow = p.name, read.allKnow.Seconds()
	result.RealGateways, result.HollowGateways, result.Engines = r.plan.Real, r.plan.Hollow, r.plan.Engines
	result.StatementsPerSecond, result.StatementsServed = read.statements, read.served
	return result, err
}

// sleep waits, or ends early with the context.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Rig) quiet(ctx context.Context) (readOf, error) { return readOf{}, sleep(ctx, r.plan.Quiet) }

// loaded sends the real gateways statements.
func (r *Rig) loaded(ctx context.Context) (readOf, error) {
	began := time.Now()
	traffic := emulator.Traffic{Classes: lookups(), Rate: r.plan.Rate * float64(r.plan.Real), Gateways: r.plan.Real, Groups: 200,
		Zipf: 0.7, Seed: r.plan.Seed}
	clients := emulator.NewClients(r.fleet.Clients(), traffic.Classes, r.plan.Seed, func() time.Duration { return time.Since(began) })
	defer clients.Close()
	clients.Play(traffic.Draw(r.plan.Quiet), ctx.Done())
	outcomes, _ := clients.Outcomes(0)
	served := 0
	for _, outcome := range outcomes {
		if outcome.Verdict == emulator.Served {
			served++
		}
	}
	perSecond := float64(len(outcomes)) / float64(r.plan.Real) / r.plan.Quiet.Seconds()
	return readOf{statements: perSecond, served: float64(served) / float64(max(1, len(outcomes)))}, ctx.Err()
}

// restarts restarts members as planned, in waves over the time of the step.
func (r *Rig) restarts(ctx context.Context) (readOf, error) {
	began, todo := time.Now(), r.plan.Restart
	for done := 0; done < len(todo); {
		if err := ctx.Err(); err != nil {
			return readOf{}, err
		}
		due := len(todo)
		if passed := time.Since(began); passed < r.plan.RestartsOver {
			due = 1 + int(float64(len(todo)-1)*passed.Seconds()/r.plan.RestartsOver.Seconds())
		}
		if due == done {
			if err := sleep(ctx, agreeEvery); err != nil {
				return readOf{}, err
			}
			continue
		}
		if err := r.restartWave(ctx, todo[done:due]); err != nil {
			return readOf{}, err
		}
		done = due
	}
	allKnow, err := r.untilAgreed(ctx, "after the restarts")
	return readOf{allKnow: allKnow}, err
}

func (r *Rig) restartWave(ctx context.Context, members []int) error {
	if err := r.stopMembers(ctx, members); err != nil {
		return err
	}
	return r.startMembers(ctx, members)
}

func (r *Rig) loseMachines(ctx context.Context) (readOf, error) {
	if err := r.killMembers(ctx, r.plan.Lost); err != nil {
		return readOf{}, err
	}
	return r.learned(ctx, "machines lost")
}

func (r *Rig) startMachines(ctx context.Context) (readOf, error) {
	if err := r.startMembers(ctx, r.plan.Lost); err != nil {
		return readOf{}, err
	}
	return r.learned(ctx, "machines back")
}

// learned waits until all know.
func (r *Rig) learned(ctx context.Context, what string) (readOf, error) {
	allKnow, err := r.untilAgreed(ctx, what)
	return readOf{allKnow: allKnow}, err
}

// loseZone ends a zone's gateways and engines at once; the discovery server tells of the engines straight away.
func (r *Rig) loseZone(ctx context.Context) (readOf, error) {
	engines := r.plan.EnginesIn(r.plan.LostZone)
	if err := r.setEngines(ctx, engines, false); err != nil {
		return readOf{}, err
	}
	if err := r.killMembers(ctx, r.plan.MembersIn(r.plan.LostZone)); err != nil {
		return readOf{}, err
	}
	r.tell(engines, terminated, 0)
	return r.learned(ctx, "zone lost")
}

// startZone starts all of the zone again, its engines cold.
func (r *Rig) startZone(ctx context.Context) (readOf, error) {
	engines := r.plan.EnginesIn(r.plan.LostZone)
	if err := r.setEngines(ctx, engines, true); err != nil {
		return readOf{}, err
	}
	r.tell(engines, inService, time.Now().UnixMilli())
	if err := r.startMembers(ctx, r.plan.MembersIn(r.plan.LostZone)); err != nil {
		return readOf{}, err
	}
	return r.learned(ctx, "zone back")
}

// cutRegions parts the regions and keeps them parted for the time of the step.
func (r *Rig) cutRegions(ctx context.Context) (readOf, error) {
	began := time.Now()
	if err := r.setCut(ctx, true); err != nil {
		return readOf{}, err
	}
	read, err := r.learned(ctx, "regions cut")
	if err != nil {
		return readOf{}, err
	}
	return read, sleep(ctx, r.plan.Cut-time.Since(began))
}

func (r *Rig) healRegions(ctx context.Context) (readOf, error) {
	if err := r.setCut(ctx, false); err != nil {
		return readOf{}, err
	}
	return r.learned(ctx, "regions healed")
}

// changeList drains some engines, has them go, and lists them again as cold ones. The time until all know is that of the
// slowest of the three events.
func (r *Rig) changeList(ctx context.Context) (slowest readOf, err error) {
	for _, state := range []string{terminating, terminated, inService} {
		began := int64(0)
		if state == inService {
			began = time.Now().UnixMilli()
		}
		r.tell(r.plan.Changed, state, began)
		read, err := r.learned(ctx, "engines "+state)
		if err != nil {
			return readOf{}, err
		}
		slowest.allKnow = max(slowest.allKnow, read.allKnow)
	}
	return slowest, nil
}

// reconnect ends the connections of all watchers, and has the discovery server tell the whole list.
func (r *Rig) reconnect(ctx context.Context) (readOf, error) {
	r.fleet.Discovery.Disconnect()
	r.fleet.Discovery.PublishFull(r.list)
	return r.learned(ctx, "watchers connected again")
}
