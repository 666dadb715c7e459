package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestBadChangeIsRolledBackInFirstStage checks that a change with any kind of simulated bug is rolled back in its first stage.
func TestBadChangeIsRolledBackInFirstStage(t *testing.T) {
	t.Parallel()
	bugs := []string{"crash at start", "hang at start", "crash after 5 s", "slow", "rejects a class", "corrupts results", "leaks"}
	for _, bug := range bugs {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			rolledBack, longest, affected := 0, time.Duration(0), 0.0
			const seeds = 20
			for seed := range uint64(seeds) {
				sim := newSimulation(t, 30, seed, bug)
				phase := sim.run(20 * time.Minute)
				if phase == RolledBack && sim.machine.State().Stage == 0 && sim.allOn(OldVersion) {
					rolledBack++
					longest = max(longest, sim.now-simEpoch)
				}
				affected += sim.affectedAnswers / sim.answers / seeds
			}
			t.Logf("%d of %d rolled back in the first stage, the slowest after %v; share of affected answers %.4f", rolledBack, seeds, longest, affected)
			if rolledBack < seeds {
				t.Errorf("%d of %d rolled back in the first stage, want all", rolledBack, seeds)
			}
		})
	}
}

// TestSamplesSubtractOnlyReportedChecks checks that Samples subtracts from a gateway's counts only the checks that they contain, not
// those before the first report of the watch or after the last one.
//
// It guards against a false rollback after the controller had been resumed in a report outage: clients' fast queries were subtracted
// in place of checks, so that a share of 0.588 of the new gateways' answers counted as slow, against 0.254 of the old ones'.
func TestSamplesSubtractOnlyReportedChecks(t *testing.T) {
	sim := newSimulation(t, 6, 1, "")
	for sim.machine.State().Phase != Watching {
		sim.run(simTick)
	}
	sim.resume() // the resumed machine has no report of any gateway
	const gateway, class = 0, 0
	check := func(n int) {
		sim.machine.RecordChecks(gateway, class, CheckResults{Correct: n, InTime: n, Fast: n})
	}
	report := func(n uint64) {
		counts := make([]Counts, len(simClasses))
		counts[class] = Counts{Requests: n, InTime: n, Fast: n}
		sim.machine.ReceiveReport(sim.now, Report{Gateway: gateway, PID: 1, Classes: counts})
	}
	check(100)
	report(1000) // the baseline
	check(10)
	report(1030)
	check(50) // not reported yet
	samples := sim.machine.Samples(sim.now)
	if len(samples) != 1 {
		t.Fatalf("%d samples, want 1", len(samples))
	}
	if got, want := samples[0].Classes[class], (Counts{Requests: 20, InTime: 20, Fast: 20}); got != want {
		t.Errorf("clients' counts %+v, want %+v", got, want)
	}
}

// TestGoodChangeCompletes checks that changes without a bug complete, except for at most one false alarm in 20.
func TestGoodChangeCompletes(t *testing.T) {
	t.Parallel()
	falseAlarms := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		sim := newSimulation(t, 30, seed, "")
		if sim.run(40*time.Minute) != Done || !sim.allOn(NewVersion) {
			t.Logf("seed %d: %s: %s", seed, sim.machine.State().Phase, sim.machine.State().Reason)
			falseAlarms++
		}
		if sim.maxUnavailable > 1 {
			t.Errorf("seed %d: %d gateways out of service at once, want at most 1", seed, sim.maxUnavailable)
		}
	}
	if falseAlarms > seeds/20 {
		t.Errorf("%d of %d good changes did not complete, want at most %d", falseAlarms, seeds, seeds/20)
	}
}

// TestEngineOutageDoesNotRollBack checks that an engine outage during a watch, which affects old and new gateways alike, does not roll
// the change back.
func TestEngineOutageDoesNotRollBack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newSimulation(t, 30, seed, "")
		sim.engineOutage = func(at time.Duration) float64 {
			if s := at - simEpoch; s > 10*time.Second && s < 25*time.Second {
				return 0.5
			}
			return 0
		}
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("seed %d: phase %s, want %s; reason: %s", seed, phase, Done, sim.machine.State().Reason)
		}
	}
}

// TestSingleCrashDoesNotRollBack checks that a single crash of a new or an old gateway during a stage does not roll the change back.
func TestSingleCrashDoesNotRollBack(t *testing.T) {
	for name, position := range map[string]int{"of a new gateway": 0, "of an old gateway": 20} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 30, 4, "")
			crashing := sim.machine.changeOrder[position]
			sim.gateways[crashing].crashAt = simEpoch + 12*time.Second
			if phase := sim.run(40 * time.Minute); phase != Done {
				t.Errorf("phase %s, want %s; reason: %s\n%s", phase, Done, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
			}
		})
	}
}

// TestMissingReportsRollBackOnlyIfNewGatewayAloneIsSilent checks that a suspended controller, or a temporary partition from a third
// of the gateways, does not cause a rollback, and that missing reports of the new gateway alone do.
func TestMissingReportsRollBackOnlyIfNewGatewayAloneIsSilent(t *testing.T) {
	t.Run("pause", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		sim.pausedUntil = simEpoch + 40*time.Second
		sim.run(5 * time.Second)
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("phase %s, want %s; reason: %s", phase, Done, sim.machine.State().Reason)
		}
	})
	t.Run("partition of a third and the new gateway", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		first := sim.machine.changeOrder[0]
		sim.partitioned = func(i int, at time.Duration) bool {
			s := at - simEpoch
			return s > 10*time.Second && s < 40*time.Second && (i == first || i%3 == 0)
		}
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("phase %s, want %s; reason: %s", phase, Done, sim.machine.State().Reason)
		}
	})
	t.Run("partition of the new gateway alone", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		first := sim.machine.changeOrder[0]
		sim.partitioned = func(i int, at time.Duration) bool {
			return at-simEpoch > 10*time.Second && at-simEpoch < 100*time.Second && i == first
		}
		if phase := sim.run(40 * time.Minute); phase != RolledBack || sim.gateways[first].starts[OldVersion] != 1 {
			t.Errorf("phase %s, want %s; starts by version %v, want one on the old version", phase, RolledBack, sim.gateways[first].starts)
		}
	})
}

// TestPartitionDuringStartExtendsWait checks that the controller waits for a new gateway that is partitioned before its first report as long as
// old gateways are silent too. If it alone is silent, or stays silent when the others report again, its start has failed.
func TestPartitionDuringStartExtendsWait(t *testing.T) {
	const partitionEnd = 70 * time.Second
	cases := []struct {
		name, bug string
		alone     bool
		phase     Phase
	}{
		{"with a third of the old gateways", "", false, Done},
		{"alone", "", true, RolledBack},
		{"with a third of the old gateways, hanging at its start", "hang at start", false, RolledBack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 30, 6, c.bug)
			first := sim.machine.changeOrder[0]
			sim.partitioned = func(i int, at time.Duration) bool {
				started := sim.gateways[first].starts[NewVersion] > 0
				return started && at-simEpoch < partitionEnd && (i == first || i%3 == 0 && !c.alone)
			}
			sim.run(partitionEnd - 10*time.Second)
			if phase := sim.machine.State().Phase; !c.alone && phase != Changing {
				t.Errorf("phase %s before the partition ends, want %s; reason: %s", phase, Changing, sim.machine.State().Reason)
			}
			if phase := sim.run(40 * time.Minute); phase != c.phase {
				t.Errorf("phase %s, want %s; reason: %s\n%s", phase, c.phase, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
			}
		})
	}
}

// TestInconclusiveWatchFollowsPlan checks that a watch with too little traffic holds the change or rolls it back, according to the plan.
func TestInconclusiveWatchFollowsPlan(t *testing.T) {
	for onInconclusive, want := range map[string]Phase{HoldInconclusive: Holding, RollBackInconclusive: RolledBack} {
		t.Run(onInconclusive, func(t *testing.T) {
			sim := newSimulation(t, 30, 2, "")
			sim.plan.Watch.OnInconclusive = onInconclusive
			sim.machine.plan.Watch.OnInconclusive = onInconclusive
			sim.setRate(0.01)
			if phase := sim.run(10 * time.Minute); phase != want {
				t.Errorf("phase %s, want %s", phase, want)
			}
			if want != Holding {
				return
			}
			sim.setRate(6)
			if err := sim.machine.Resume(sim.now); err != nil {
				t.Fatal(err)
			}
			if phase := sim.run(40 * time.Minute); phase != Done {
				t.Errorf("phase %s after resume, want %s", phase, Done)
			}
		})
	}
}

// TestResumeAfterKillAtEachAction checks that a controller that is killed before or after any action, and resumes, neither skips nor
// repeats a step: each gateway is started once on the new version, and never while its process runs.
func TestResumeAfterKillAtEachAction(t *testing.T) {
	for _, before := range []bool{true, false} {
		for action := range 13 {
			t.Run(fmt.Sprintf("action %d, before %v", action, before), func(t *testing.T) {
				sim := newSimulation(t, 6, 9, "")
				sim.killAt, sim.killBefore = action, before
				if phase := sim.run(40 * time.Minute); phase != Done {
					t.Errorf("phase %s, want %s; reason: %s", phase, Done, sim.machine.State().Reason)
				}
				if !sim.allOn(NewVersion) {
					t.Error("not all gateways serve on the new version")
				}
				for i, g := range sim.gateways {
					if g.starts[NewVersion] != 1 || g.starts[OldVersion] > 0 {
						t.Errorf("gateway %d: starts by version %v, want one on the new version", i, g.starts)
					}
				}
				if sim.maxUnavailable > 1 {
					t.Errorf("%d gateways out of service at once, want at most 1", sim.maxUnavailable)
				}
			})
		}
	}
	for action := range 6 {
		t.Run(fmt.Sprintf("action %d of a rollback", action), func(t *testing.T) {
			sim := newSimulation(t, 6, 9, "rejects a class")
			sim.killAt = action
			if phase := sim.run(40 * time.Minute); phase != RolledBack || !sim.allOn(OldVersion) {
				t.Errorf("phase %s, want %s with all gateways on the old version", phase, RolledBack)
			}
		})
	}
}

// TestOperatorCommandsByPhase checks that Pause, Resume and Abort have their effect, and fail with a PhaseError in phases that do not
// allow them.
func TestOperatorCommandsByPhase(t *testing.T) {
	sim := newSimulation(t, 30, 5, "")
	sim.run(10 * time.Second)
	if err := sim.machine.Pause(sim.now); err != nil {
		t.Fatal(err)
	}
	if phase := sim.run(5 * time.Minute); phase != Holding {
		t.Fatalf("phase %s after pause, want %s", phase, Holding)
	}
	if err := sim.machine.Pause(sim.now); !isPhaseError(err, Holding) {
		t.Errorf("second pause: error %v, want a PhaseError with %s", err, Holding)
	}
	if err := sim.machine.Resume(sim.now); err != nil {
		t.Fatal(err)
	}
	sim.run(40 * time.Second)
	if err := sim.machine.Abort(sim.now); err != nil {
		t.Fatal(err)
	}
	if phase := sim.run(5 * time.Minute); phase != RolledBack || !sim.allOn(OldVersion) {
		t.Errorf("phase %s after abort, want %s with all gateways on the old version", phase, RolledBack)
	}
	if err := sim.machine.Abort(sim.now); !isPhaseError(err, RolledBack) {
		t.Errorf("abort after the end: error %v, want a PhaseError with %s", err, RolledBack)
	}
	if err := sim.machine.Resume(sim.now); !isPhaseError(err, RolledBack) {
		t.Errorf("resume after the end: error %v, want a PhaseError with %s", err, RolledBack)
	}
}

// isPhaseError reports whether err is a PhaseError with the phase.
func isPhaseError(err error, phase Phase) bool {
	var wrongPhase *PhaseError
	return errors.As(err, &wrongPhase) && wrongPhase.Phase == phase
}
