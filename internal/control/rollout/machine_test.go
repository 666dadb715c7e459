package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Every kind of bad change is rolled back in its first stage.
func TestBadChangeIsRolledBackInFirstStage(t *testing.T) {
	t.Parallel()
	bugs := []string{"crash at start", "hang at start", "crash after 5 s", "slow", "rejects a class", "corrupts results", "leaks"}
	for _, bug := range bugs {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			rolledBack, longest, harmed := 0, time.Duration(0), 0.0
			const seeds = 20
			for seed := range uint64(seeds) {
				sim := newSimulation(t, 30, seed, bug)
				phase := sim.run(20 * time.Minute)
				if phase == RolledBack && sim.machine.State().Stage == 0 && sim.allOn(OldVersion) {
					rolledBack++
					longest = max(longest, sim.now-simEpoch)
				}
				harmed += sim.harmed / sim.answers / seeds
			}
			t.Logf("%d of %d rolled back in the first stage, the last after %v, %.4f of all answers harmed", rolledBack, seeds, longest, harmed)
			if rolledBack < seeds {
				t.Errorf("%d of %d rolled back in the first stage", rolledBack, seeds)
			}
		})
	}
}

// Only the checks that a gateway's counts hold are taken out of them: not those before the first report of a watch, and not those since
// the last report. Clients' queries were taken out in their place, those in time first, and a good change was taken back after the
// controller had been resumed in an outage of the reports: "slower than a quarter of the aim 0.588, old gateways 0.254".
func TestOnlyCountedChecksAreSubtracted(t *testing.T) {
	sim := newSimulation(t, 6, 1, "")
	for sim.machine.State().Phase != Watching {
		sim.run(simTick)
	}
	sim.resume() // nothing is known of any gateway
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
		t.Fatalf("%d samples", len(samples))
	}
	if got, want := samples[0].Classes[class], (Counts{Requests: 20, InTime: 20, Fast: 20}); got != want {
		t.Errorf("%+v of clients, want %+v", got, want)
	}
}

// Good changes complete, but for a false alarm in twenty.
func TestGoodChangeCompletes(t *testing.T) {
	t.Parallel()
	alarms := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		sim := newSimulation(t, 30, seed, "")
		if sim.run(40*time.Minute) != Done || !sim.allOn(NewVersion) {
			t.Logf("seed %d: %s: %s", seed, sim.machine.State().Phase, sim.machine.State().Reason)
			alarms++
		}
		if sim.maxDown > 1 {
			t.Errorf("seed %d: %d gateways down at once", seed, sim.maxDown)
		}
	}
	if alarms > seeds/20 {
		t.Errorf("%d of %d good changes did not complete", alarms, seeds)
	}
}

// An outage of engines in mid-stage affects old and new gateways alike and does not roll the change back.
func TestEngineOutageDoesNotRollBack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newSimulation(t, 30, seed, "")
		sim.outage = func(at time.Duration) float64 {
			if s := at - simEpoch; s > 10*time.Second && s < 25*time.Second {
				return 0.5
			}
			return 0
		}
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("seed %d: %s: %s", seed, phase, sim.machine.State().Reason)
		}
	}
}

// A single crash in the stage, of a new or an old gateway, does not roll the change back.
func TestSingleCrashDoesNotRollBack(t *testing.T) {
	for name, place := range map[string]int{"of a new gateway": 0, "of an old gateway": 20} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 30, 4, "")
			crashing := sim.machine.order[place]
			sim.gateways[crashing].crashAt = simEpoch + 12*time.Second
			if phase := sim.run(40 * time.Minute); phase != Done {
				t.Errorf("%s: %s\n%s", phase, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
			}
		})
	}
}

// A controller that is paused, or partitioned from a third of the gateways for a while, does not roll back; one that does not
// hear from the new gateway alone does.
func TestControllerPauseAndPartition(t *testing.T) {
	t.Run("pause", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		sim.pausedUntil = simEpoch + 40*time.Second
		sim.run(5 * time.Second)
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("%s: %s", phase, sim.machine.State().Reason)
		}
	})
	t.Run("partition of a third and the new gateway", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		first := sim.machine.order[0]
		sim.partitioned = func(i int, at time.Duration) bool {
			s := at - simEpoch
			return s > 10*time.Second && s < 40*time.Second && (i == first || i%3 == 0)
		}
		if phase := sim.run(40 * time.Minute); phase != Done {
			t.Errorf("%s: %s", phase, sim.machine.State().Reason)
		}
	})
	t.Run("partition of the new gateway alone", func(t *testing.T) {
		sim := newSimulation(t, 30, 6, "")
		first := sim.machine.order[0]
		sim.partitioned = func(i int, at time.Duration) bool {
			return at-simEpoch > 10*time.Second && at-simEpoch < 100*time.Second && i == first
		}
		if phase := sim.run(40 * time.Minute); phase != RolledBack || sim.gateways[first].starts[OldVersion] != 1 {
			t.Errorf("%s, started %v", phase, sim.gateways[first].starts)
		}
	})
}

// A new gateway that is partitioned before its first report is waited for while old ones are silent too. One that is silent
// alone, or stays silent when the others report again, has failed to start.
func TestPartitionDuringStart(t *testing.T) {
	const healsAfter = 70 * time.Second
	cases := []struct {
		name, bug string
		alone     bool
		phase     Phase
	}{
		{"with a third of the old ones", "", false, Done},
		{"alone", "", true, RolledBack},
		{"with a third of the old ones, and it does not start", "hang at start", false, RolledBack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 30, 6, c.bug)
			first := sim.machine.order[0]
			sim.partitioned = func(i int, at time.Duration) bool {
				started := sim.gateways[first].starts[NewVersion] > 0
				return started && at-simEpoch < healsAfter && (i == first || i%3 == 0 && !c.alone)
			}
			sim.run(healsAfter - 10*time.Second)
			if phase := sim.machine.State().Phase; !c.alone && phase != Changing {
				t.Errorf("%s before the partition heals: %s", phase, sim.machine.State().Reason)
			}
			if phase := sim.run(40 * time.Minute); phase != c.phase {
				t.Errorf("%s: %s\n%s", phase, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
			}
		})
	}
}

// With too little traffic the watch is inconclusive, and the plan decides.
func TestInconclusiveWatch(t *testing.T) {
	for onInconclusive, want := range map[string]Phase{HoldInconclusive: Holding, RollBackInconclusive: RolledBack} {
		t.Run(onInconclusive, func(t *testing.T) {
			sim := newSimulation(t, 30, 2, "")
			sim.plan.Watch.OnInconclusive = onInconclusive
			sim.machine.plan.Watch.OnInconclusive = onInconclusive
			sim.setRate(0.01)
			if phase := sim.run(10 * time.Minute); phase != want {
				t.Errorf("%s, want %s", phase, want)
			}
			if want != Holding {
				return
			}
			sim.setRate(6)
			if err := sim.machine.Resume(sim.now); err != nil {
				t.Fatal(err)
			}
			if phase := sim.run(40 * time.Minute); phase != Done {
				t.Errorf("resumed: %s", phase)
			}
		})
	}
}

// A controller that is killed before or after any action and started again neither skips nor repeats a step: each gateway is
// started once on the new version, and never while its process runs.
func TestControllerKilledAtEachAction(t *testing.T) {
	for _, before := range []bool{true, false} {
		for action := range 13 {
			t.Run(fmt.Sprintf("action %d, before %v", action, before), func(t *testing.T) {
				sim := newSimulation(t, 6, 9, "")
				sim.killAt, sim.killBefore = action, before
				if phase := sim.run(40 * time.Minute); phase != Done {
					t.Errorf("%s, %s", phase, sim.machine.State().Reason)
				}
				if !sim.allOn(NewVersion) {
					t.Error("not all gateways serve on the new version")
				}
				for i, g := range sim.gateways {
					if g.starts[NewVersion] != 1 || g.starts[OldVersion] > 0 {
						t.Errorf("gateway %d started %v", i, g.starts)
					}
				}
				if sim.maxDown > 1 {
					t.Errorf("%d gateways down at once", sim.maxDown)
				}
			})
		}
	}
	for action := range 6 {
		t.Run(fmt.Sprintf("action %d of a rollback", action), func(t *testing.T) {
			sim := newSimulation(t, 6, 9, "rejects a class")
			sim.killAt = action
			if phase := sim.run(40 * time.Minute); phase != RolledBack || !sim.allOn(OldVersion) {
				t.Errorf("%s", phase)
			}
		})
	}
}

// An operator's commands take effect, and fail with the phase in which they are not possible.
func TestPauseResumeAbort(t *testing.T) {
	sim := newSimulation(t, 30, 5, "")
	sim.run(10 * time.Second)
	if err := sim.machine.Pause(sim.now); err != nil {
		t.Fatal(err)
	}
	if phase := sim.run(5 * time.Minute); phase != Holding {
		t.Fatalf("paused: %s", phase)
	}
	if err := sim.machine.Pause(sim.now); !isPhaseError(err, Holding) {
		t.Errorf("paused twice: %v", err)
	}
	if err := sim.machine.Resume(sim.now); err != nil {
		t.Fatal(err)
	}
	sim.run(40 * time.Second)
	if err := sim.machine.Abort(sim.now); err != nil {
		t.Fatal(err)
	}
	if phase := sim.run(5 * time.Minute); phase != RolledBack || !sim.allOn(OldVersion) {
		t.Errorf("aborted: %s", phase)
	}
	if err := sim.machine.Abort(sim.now); !isPhaseError(err, RolledBack) {
		t.Errorf("aborted after the end: %v", err)
	}
	if err := sim.machine.Resume(sim.now); !isPhaseError(err, RolledBack) {
		t.Errorf("resumed after the end: %v", err)
	}
}

// isPhaseError reports whether an error is a PhaseError of the phase.
func isPhaseError(err error, phase Phase) bool {
	var wrongPhase *PhaseError
	return errors.As(err, &wrongPhase) && wrongPhase.Phase == phase
}
