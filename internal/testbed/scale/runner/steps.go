package runner

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/scale"
)

// Names of the parts of steps that have two.
const (
	machinesLost  = "machines-lost"
	machinesBack  = "machines-back"
	zoneLost      = "zone-lost"
	zoneBack      = "zone-back"
	regionsCut    = "regions-cut"
	regionsHealed = "regions-healed"
)

// partResult is what a part of a step yields beside the sampler's measurements.
type partResult struct {
	allKnow    time.Duration // until all gateways agreed; 0 where nothing changed
	statements float64       // a second that clients sent each real gateway
	served     float64       // share of them
}

// Play plays the plan's steps and returns their results. After an error it returns those of the steps before.
func (r *Runner) Play(ctx context.Context) (scale.Run, error) {
	run := scale.Run{Metadata: r.facts()}
	for _, step := range r.plan.Steps {
		results, err := r.playStep(ctx, step)
		run.Steps = append(run.Steps, results...)
		if err != nil {
			return run, fmt.Errorf("step %s: %w", step, err)
		}
	}
	if alarms := r.fleet.Alarms(); len(alarms) > 0 {
		return run, fmt.Errorf("in the gateways' logs: %s", alarms[0])
	}
	run.Metadata.LoadAverageAtEnd = LoadAverage()
	return run, nil
}

func (r *Runner) facts() scale.RunMetadata {
	return scale.RunMetadata{SubsetMinEngines: r.plan.SubsetMinEngines, Cores: runtime.NumCPU(), MemoryMB: int(r.machine.MemoryBytes >> 20), GoVersion: runtime.Version(),
		Seed: r.plan.Seed, LoadAverageAtStart: LoadAverage(), Zones: r.plan.Zones, Regions: r.plan.Regions,
		EngineDelayMS: float64(r.options.EngineDelay) / float64(time.Millisecond), ReportsPerSecond: r.options.ReportsPerSecond,
		DateUTC: time.Now().UTC().Format(time.RFC3339)}
}

// part is a part of a step that is measured separately.
type part struct {
	name    string
	play    func(context.Context) (partResult, error)
	settles bool // it is measured for a while longer than it plays
}

// parts returns the parts of a step.
func (r *Runner) parts(step scale.Step) []part {
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

func (r *Runner) playStep(ctx context.Context, step scale.Step) (out []scale.StepResult, err error) {
	for _, part := range r.parts(step) {
		result, err := r.playPart(ctx, part)
		if err != nil {
			return out, err
		}
		r.options.Progress(fmt.Sprintf("%s: %.0f s, all knew after %.1f s", part.name, result.Seconds, result.ConvergenceSeconds))
		out = append(out, result)
	}
	return out, nil
}

// playPart plays a part of a step, and measures from its start until it has settled.
func (r *Runner) playPart(ctx context.Context, p part) (scale.StepResult, error) {
	from := r.sampler.sample()
	played, err := p.play(ctx)
	if err != nil {
		return scale.StepResult{}, err
	}
	if p.settles {
		if err := sleep(ctx, r.plan.Settle); err != nil {
			return scale.StepResult{}, err
		}
	}
	result := r.sampler.summarize(from, r.sampler.sample())
	engines, err := r.engineUsage(ctx)
	result.EnginesUsed, result.EnginesKnownShare = engines.Used, engines.KnownShare
	result.Name, result.ConvergenceSeconds = p.name, played.allKnow.Seconds()
	result.RealGateways, result.HollowGateways, result.Engines = r.plan.RealGateways, r.plan.HollowGateways, r.plan.Engines
	result.StatementsPerSecond, result.StatementsServedShare = played.statements, played.served
	return result, err
}

// sleep waits, or returns the context's error once that has ended.
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

func (r *Runner) quiet(ctx context.Context) (partResult, error) {
	return partResult{}, sleep(ctx, r.plan.QuietStep)
}

// loaded has clients send statements to the real gateways.
func (r *Runner) loaded(ctx context.Context) (partResult, error) {
	began := time.Now()
	traffic := emulator.Traffic{Classes: lookupClass(), Rate: r.plan.StatementRate * float64(r.plan.RealGateways), Gateways: r.plan.RealGateways, Groups: 200,
		Zipf: 0.7, Seed: r.plan.Seed}
	clients := emulator.NewClients(r.fleet.ClientAddrs(), traffic.Classes, r.plan.Seed, func() time.Duration { return time.Since(began) })
	defer clients.Close()
	clients.Run(traffic.Generate(r.plan.QuietStep), ctx.Done())
	outcomes, _ := clients.Outcomes(0)
	served := 0
	for _, outcome := range outcomes {
		if outcome.Verdict == emulator.Served {
			served++
		}
	}
	perSecond := float64(len(outcomes)) / float64(r.plan.RealGateways) / r.plan.QuietStep.Seconds()
	return partResult{statements: perSecond, served: float64(served) / float64(max(1, len(outcomes)))}, ctx.Err()
}

// restarts restarts members gracefully, in waves over the time of the step.
func (r *Runner) restarts(ctx context.Context) (partResult, error) {
	began, todo := time.Now(), r.plan.RestartOrder
	for done := 0; done < len(todo); {
		if err := ctx.Err(); err != nil {
			return partResult{}, err
		}
		due := len(todo)
		if passed := time.Since(began); passed < r.plan.RestartPeriod {
			due = 1 + int(float64(len(todo)-1)*passed.Seconds()/r.plan.RestartPeriod.Seconds())
		}
		if due == done {
			if err := sleep(ctx, agreementInterval); err != nil {
				return partResult{}, err
			}
			continue
		}
		if err := r.restartWave(ctx, todo[done:due]); err != nil {
			return partResult{}, err
		}
		done = due
	}
	allKnow, err := r.waitAgreed(ctx, "after the restarts")
	return partResult{allKnow: allKnow}, err
}

func (r *Runner) restartWave(ctx context.Context, members []int) error {
	if err := r.stopMembers(ctx, members); err != nil {
		return err
	}
	return r.startMembers(ctx, members)
}

func (r *Runner) loseMachines(ctx context.Context) (partResult, error) {
	if err := r.killMembers(ctx, r.plan.FailedMembers); err != nil {
		return partResult{}, err
	}
	return r.waitAllKnow(ctx, "machines lost")
}

func (r *Runner) startMachines(ctx context.Context) (partResult, error) {
	if err := r.startMembers(ctx, r.plan.FailedMembers); err != nil {
		return partResult{}, err
	}
	return r.waitAllKnow(ctx, "machines back")
}

// waitAllKnow waits until all gateways agree.
func (r *Runner) waitAllKnow(ctx context.Context, what string) (partResult, error) {
	allKnow, err := r.waitAgreed(ctx, what)
	return partResult{allKnow: allKnow}, err
}

// loseZone kills a zone's gateways and engines; the engine list is published immediately.
func (r *Runner) loseZone(ctx context.Context) (partResult, error) {
	engines := r.plan.EnginesIn(r.plan.FailedZone)
	if err := r.setEngines(ctx, engines, false); err != nil {
		return partResult{}, err
	}
	if err := r.killMembers(ctx, r.plan.MembersIn(r.plan.FailedZone)); err != nil {
		return partResult{}, err
	}
	r.publish(engines, terminated, 0)
	return r.waitAllKnow(ctx, "zone lost")
}

// startZone starts the zone's gateways and engines again; the engines warm up.
func (r *Runner) startZone(ctx context.Context) (partResult, error) {
	engines := r.plan.EnginesIn(r.plan.FailedZone)
	if err := r.setEngines(ctx, engines, true); err != nil {
		return partResult{}, err
	}
	r.publish(engines, inService, time.Now().UnixMilli())
	if err := r.startMembers(ctx, r.plan.MembersIn(r.plan.FailedZone)); err != nil {
		return partResult{}, err
	}
	return r.waitAllKnow(ctx, "zone back")
}

// cutRegions partitions the regions for the time of the step.
func (r *Runner) cutRegions(ctx context.Context) (partResult, error) {
	began := time.Now()
	if err := r.setCut(ctx, true); err != nil {
		return partResult{}, err
	}
	partition, err := r.waitAllKnow(ctx, "regions cut")
	if err != nil {
		return partResult{}, err
	}
	return partition, sleep(ctx, r.plan.MinPartition-time.Since(began))
}

func (r *Runner) healRegions(ctx context.Context) (partResult, error) {
	if err := r.setCut(ctx, false); err != nil {
		return partResult{}, err
	}
	return r.waitAllKnow(ctx, "regions healed")
}

// changeList drains some engines, removes them, and adds them again, to warm up. The time until all know is that of the
// slowest of the three events.
func (r *Runner) changeList(ctx context.Context) (slowest partResult, err error) {
	for _, state := range []string{terminating, terminated, inService} {
		startedMS := int64(0)
		if state == inService {
			startedMS = time.Now().UnixMilli()
		}
		r.publish(r.plan.ReplacedEngines, state, startedMS)
		published, err := r.waitAllKnow(ctx, "engines "+state)
		if err != nil {
			return partResult{}, err
		}
		slowest.allKnow = max(slowest.allKnow, published.allKnow)
	}
	return slowest, nil
}

// reconnect disconnects all watches and publishes the full engine list.
func (r *Runner) reconnect(ctx context.Context) (partResult, error) {
	r.fleet.Discovery.Disconnect()
	r.fleet.Discovery.PublishFull(r.engineList)
	return r.waitAllKnow(ctx, "watchers connected again")
}
