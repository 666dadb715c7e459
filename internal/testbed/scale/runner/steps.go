package runner

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/scale"
)

// Names of the parts of steps that have two parts: the fault and the recovery. They are stored in result files.
const (
	machinesLost       = "machines-lost"
	machinesRecovered  = "machines-back"
	zoneLost           = "zone-lost"
	zoneRecovered      = "zone-back"
	regionsPartitioned = "regions-cut"
	regionsHealed      = "regions-healed"
)

// partOutcome holds the measurements of a part of a step, except those of the sampler.
type partOutcome struct {
	convergence time.Duration // time until the fleet converged; 0 if nothing changed
	statements  float64       // statements per second that clients sent to each real gateway
	served      float64       // share of the statements that were served
}

// Run runs the plan's steps and returns their results. After an error it returns the results of the completed parts.
func (r *Runner) Run(ctx context.Context) (scale.Run, error) {
	run := scale.Run{Metadata: r.metadata()}
	for _, step := range r.plan.Steps {
		results, err := r.runStep(ctx, step)
		run.Steps = append(run.Steps, results...)
		if err != nil {
			return run, fmt.Errorf("step %s: %w", step, err)
		}
	}
	if alarms := r.fleet.Alarms(); len(alarms) > 0 {
		return run, fmt.Errorf("unexpected line in a gateway's log: %s", alarms[0])
	}
	run.Metadata.LoadAverageAtEnd = LoadAverage()
	return run, nil
}

func (r *Runner) metadata() scale.RunMetadata {
	return scale.RunMetadata{SubsetMinEngines: r.plan.SubsetMinEngines, Cores: runtime.NumCPU(), MemoryMB: int(r.machine.MemoryBytes >> 20),
		GoVersion: runtime.Version(), Seed: r.plan.Seed, LoadAverageAtStart: LoadAverage(), Zones: r.plan.Zones, Regions: r.plan.Regions,
		EngineDelayMS: float64(r.options.EngineDelay) / float64(time.Millisecond), ReportsPerSecond: r.options.ReportsPerSecond,
		DateUTC: time.Now().UTC().Format(time.RFC3339)}
}

// part is a part of a step that is measured separately.
type part struct {
	name    string
	run     func(context.Context) (partOutcome, error)
	settles bool // the measurement continues for Durations.Settle after run has returned
}

// parts returns the parts of a step.
func (r *Runner) parts(step scale.Step) []part {
	switch step {
	case scale.StepQuiet:
		return []part{{string(step), r.quiet, false}}
	case scale.StepLoaded:
		return []part{{string(step), r.loaded, false}}
	case scale.StepRestarts:
		return []part{{string(step), r.restarts, true}}
	case scale.StepMachineFailures:
		return []part{{machinesLost, r.failMachines, true}, {machinesRecovered, r.recoverMachines, true}}
	case scale.StepZoneFailure:
		return []part{{zoneLost, r.failZone, true}, {zoneRecovered, r.recoverZone, true}}
	case scale.StepRegionPartition:
		return []part{{regionsPartitioned, r.partitionRegions, true}, {regionsHealed, r.healRegions, true}}
	case scale.StepEngineListChange:
		return []part{{string(step), r.changeList, true}}
	case scale.StepReconnect:
		return []part{{string(step), r.reconnect, true}}
	}
	return nil
}

func (r *Runner) runStep(ctx context.Context, step scale.Step) (out []scale.StepResult, err error) {
	for _, part := range r.parts(step) {
		result, err := r.runPart(ctx, part)
		if err != nil {
			return out, err
		}
		r.options.Progress(fmt.Sprintf("%s: %.0f s, converged after %.1f s", part.name, result.Seconds, result.ConvergenceSeconds))
		out = append(out, result)
	}
	return out, nil
}

// runPart runs a part of a step and measures from its start until it has settled.
func (r *Runner) runPart(ctx context.Context, p part) (scale.StepResult, error) {
	from := r.sampler.sample()
	outcome, err := p.run(ctx)
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
	result.Name, result.ConvergenceSeconds = p.name, outcome.convergence.Seconds()
	result.RealGateways, result.HollowGateways, result.Engines = r.plan.RealGateways, r.plan.HollowGateways, r.plan.Engines
	result.StatementsPerSecond, result.StatementsServedShare = outcome.statements, outcome.served
	return result, err
}

// sleep pauses for the given time. It returns the context's error if the context ends earlier.
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

func (r *Runner) quiet(ctx context.Context) (partOutcome, error) {
	return partOutcome{}, sleep(ctx, r.plan.QuietStep)
}

// loaded sends statements from clients to the real gateways.
func (r *Runner) loaded(ctx context.Context) (partOutcome, error) {
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
	return partOutcome{statements: perSecond, served: float64(served) / float64(max(1, len(outcomes)))}, ctx.Err()
}

// restarts restarts members gracefully, in waves that are spread over RestartPeriod.
func (r *Runner) restarts(ctx context.Context) (partOutcome, error) {
	began, members := time.Now(), r.plan.RestartOrder
	for done := 0; done < len(members); {
		if err := ctx.Err(); err != nil {
			return partOutcome{}, err
		}
		due := len(members)
		if passed := time.Since(began); passed < r.plan.RestartPeriod {
			due = 1 + int(float64(len(members)-1)*passed.Seconds()/r.plan.RestartPeriod.Seconds())
		}
		if due == done {
			if err := sleep(ctx, convergenceCheckInterval); err != nil {
				return partOutcome{}, err
			}
			continue
		}
		if err := r.restartWave(ctx, members[done:due]); err != nil {
			return partOutcome{}, err
		}
		done = due
	}
	convergence, err := r.waitConverged(ctx, "restarts")
	return partOutcome{convergence: convergence}, err
}

func (r *Runner) restartWave(ctx context.Context, members []int) error {
	if err := r.stopMembers(ctx, members); err != nil {
		return err
	}
	return r.startMembers(ctx, members)
}

func (r *Runner) failMachines(ctx context.Context) (partOutcome, error) {
	if err := r.killMembers(ctx, r.plan.FailedMembers); err != nil {
		return partOutcome{}, err
	}
	return r.awaitConvergence(ctx, "machine failures")
}

func (r *Runner) recoverMachines(ctx context.Context) (partOutcome, error) {
	if err := r.startMembers(ctx, r.plan.FailedMembers); err != nil {
		return partOutcome{}, err
	}
	return r.awaitConvergence(ctx, "recovery of the machines")
}

// awaitConvergence waits until the fleet has converged after the event.
func (r *Runner) awaitConvergence(ctx context.Context, event string) (partOutcome, error) {
	convergence, err := r.waitConverged(ctx, event)
	return partOutcome{convergence: convergence}, err
}

// failZone closes a zone's engines, kills its gateways, and then publishes that the engines have terminated.
func (r *Runner) failZone(ctx context.Context) (partOutcome, error) {
	engines := r.plan.EnginesIn(r.plan.FailedZone)
	if err := r.setEnginesOpen(ctx, engines, false); err != nil {
		return partOutcome{}, err
	}
	if err := r.killMembers(ctx, r.plan.MembersIn(r.plan.FailedZone)); err != nil {
		return partOutcome{}, err
	}
	r.publish(engines, terminated, 0)
	return r.awaitConvergence(ctx, "zone failure")
}

// recoverZone restarts the zone's engines and gateways. The engines are published with a new start time, so that they warm up.
func (r *Runner) recoverZone(ctx context.Context) (partOutcome, error) {
	engines := r.plan.EnginesIn(r.plan.FailedZone)
	if err := r.setEnginesOpen(ctx, engines, true); err != nil {
		return partOutcome{}, err
	}
	r.publish(engines, inService, time.Now().UnixMilli())
	if err := r.startMembers(ctx, r.plan.MembersIn(r.plan.FailedZone)); err != nil {
		return partOutcome{}, err
	}
	return r.awaitConvergence(ctx, "recovery of the zone")
}

// partitionRegions partitions the regions, waits for convergence, and returns once MinPartition has passed.
func (r *Runner) partitionRegions(ctx context.Context) (partOutcome, error) {
	began := time.Now()
	if err := r.setPartition(ctx, true); err != nil {
		return partOutcome{}, err
	}
	partition, err := r.awaitConvergence(ctx, "partition of the regions")
	if err != nil {
		return partOutcome{}, err
	}
	return partition, sleep(ctx, r.plan.MinPartition-time.Since(began))
}

func (r *Runner) healRegions(ctx context.Context) (partOutcome, error) {
	if err := r.setPartition(ctx, false); err != nil {
		return partOutcome{}, err
	}
	return r.awaitConvergence(ctx, "end of the partition")
}

// changeList drains some engines, removes them, and adds them again with a new start time, so that they warm up. The result
// has the longest convergence time of the three changes.
func (r *Runner) changeList(ctx context.Context) (slowest partOutcome, err error) {
	for _, state := range []string{terminating, terminated, inService} {
		startedMS := int64(0)
		if state == inService {
			startedMS = time.Now().UnixMilli()
		}
		r.publish(r.plan.ReplacedEngines, state, startedMS)
		published, err := r.awaitConvergence(ctx, "engines in state "+state)
		if err != nil {
			return partOutcome{}, err
		}
		slowest.convergence = max(slowest.convergence, published.convergence)
	}
	return slowest, nil
}

// reconnect disconnects all watches and publishes the full engine list, which they receive when they reconnect.
func (r *Runner) reconnect(ctx context.Context) (partOutcome, error) {
	r.fleet.Discovery.Disconnect()
	r.fleet.Discovery.PublishFull(r.engineList)
	return r.awaitConvergence(ctx, "reconnection of the watches")
}
