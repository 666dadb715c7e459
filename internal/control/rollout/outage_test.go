package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// reportOutage simulates an outage in which gateways' reports are lost. After its end the reports of some gateways resume later than
// those of others.
type reportOutage struct {
	from, to       time.Duration  // since simEpoch
	startCondition func() bool    // if not nil, the outage begins only once it returns true; the duration stays the same
	affects        func(int) bool // reports whether the gateway's reports are lost
	recoversLate   func(int) bool // reports whether the gateway's reports resume later
	lateBy         time.Duration  // for gateways with recoversLate
	resumeAfter    time.Duration  // time after the start of the outage at which the controller is killed and resumed; 0 = never

	startedAt time.Duration // start of the outage since simEpoch; 0 = not started yet
}

func affectsEveryGateway(int) bool { return true }

// isLost reports whether a gateway's report at the time since simEpoch is lost.
func (o *reportOutage) isLost(gateway int, at time.Duration) bool {
	if o.startedAt == 0 && at >= o.from && (o.startCondition == nil || o.startCondition()) {
		o.startedAt = max(1, at)
	}
	end := o.startedAt + o.to - o.from
	if o.recoversLate(gateway) {
		end += o.lateBy
	}
	return o.startedAt > 0 && at < end && o.affects(gateway)
}

// run simulates the change until it has finished, with the controller killed and resumed once if resumeAfter is set.
func (o *reportOutage) run(sim *fleetSimulation) Phase {
	sim.partitioned = func(i int, at time.Duration) bool { return o.isLost(i, at-simEpoch) }
	for end := sim.now + 40*time.Minute; o.resumeAfter > 0 && sim.now < end && !sim.machine.State().Phase.Finished(); {
		sim.run(simTick)
		if o.startedAt > 0 && sim.now-simEpoch >= o.startedAt+o.resumeAfter {
			sim.resume()
			o.resumeAfter = 0
		}
	}
	return sim.run(40 * time.Minute)
}

// outageSeeds is the number of simulated fleets for each outage.
const outageSeeds = 20

// TestReportOutageDoesNotRollBack checks that a temporary outage of all reports does not roll a good change back, whenever it begins and
// whichever reports resume first.
//
// It guards against two causes of false rollbacks, the first seen in an end-to-end test under load. If old gateways' reports resumed
// first, the outage counted as over at once, and new gateways counted as silent or failed to start because of the reports lost in it.
// In the last stage no old gateways are left to show an outage, so 18 new gateways counted as silent after 7 s.
func TestReportOutageDoesNotRollBack(t *testing.T) {
	t.Parallel()
	isNew := func(sim *fleetSimulation) func(int) bool {
		return func(i int) bool { return sim.gateways[i].version == NewVersion }
	}
	phaseIs := func(sim *fleetSimulation, phase Phase, lastStage bool) func() bool {
		return func() bool { return sim.machine.State().Phase == phase && (!lastStage || sim.machine.isLastStage()) }
	}
	outages := map[string]func(*fleetSimulation) reportOutage{
		"first watch": func(sim *fleetSimulation) reportOutage {
			return reportOutage{from: 5 * time.Second, startCondition: phaseIs(sim, Watching, false)}
		},
		"first start": func(sim *fleetSimulation) reportOutage {
			// The end is random within the last 2 s before twice the ready timeout.
			ends := seconds(2*sim.plan.Change.ReadyTimeoutSeconds) - time.Duration(sim.rand.IntN(10))*simTick
			return reportOutage{to: ends, startCondition: func() bool { return sim.gateways[sim.machine.changeOrder[0]].starts[NewVersion] > 0 }}
		},
		"last watch": func(sim *fleetSimulation) reportOutage {
			return reportOutage{startCondition: phaseIs(sim, Watching, true)}
		},
	}
	for name, newOutage := range outages {
		for _, c := range []struct{ length, delay time.Duration }{
			{6 * time.Second, 200 * time.Millisecond},
			{12 * time.Second, time.Second},
			{12 * time.Second, 1500 * time.Millisecond},
			{15 * time.Second, 2500 * time.Millisecond},
			{60 * time.Second, 4 * time.Second},
		} {
			t.Run(fmt.Sprintf("%s, %v, new gateways %v later", name, c.length, c.delay), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(outageSeeds) {
					sim := newSimulation(t, 30, seed, "")
					o := newOutage(sim)
					if o.to == 0 {
						o.to = o.from + c.length
					}
					o.affects, o.recoversLate, o.lateBy = affectsEveryGateway, isNew(sim), c.delay
					if seed%2 == 0 {
						o.resumeAfter = c.length / 2
					}
					if phase := o.run(sim); phase != Done {
						t.Errorf("seed %d: phase %s, want %s; reason: %s", seed, phase, Done, sim.machine.State().Reason)
					}
				}
			})
		}
	}
}

// TestSilentNewGatewayIsRolledBack checks that a new gateway that stops reporting, or hangs at its start, causes a rollback within
// maxDetection. If that happens before or in an outage of all reports, the time counts from the end of the outage.
func TestSilentNewGatewayIsRolledBack(t *testing.T) {
	t.Parallel()
	// The plan's report timeout of 5 s, another 5 s until reports count as reliable, and the report interval of 1 s.
	const maxDetection = 11 * time.Second
	const outageEnd = 40 * time.Second
	for name, c := range map[string]struct {
		bug        string
		silentFrom time.Duration
		outage     bool
	}{
		"no outage":              {"", 15 * time.Second, false},
		"silent after an outage": {"", 15 * time.Second, true},
		"hanging at its start":   {"hang at start", 0, true},
		"silent from its start":  {"", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(outageSeeds) {
				sim := newSimulation(t, 30, seed, c.bug)
				first := sim.machine.changeOrder[0]
				sim.partitioned = func(i int, at time.Duration) bool {
					since := at - simEpoch
					silent := i == first && sim.gateways[i].version == NewVersion && since >= c.silentFrom
					return silent || c.outage && since >= 10*time.Second && since < outageEnd
				}
				from := max(c.silentFrom, seconds(sim.plan.Change.ReadyTimeoutSeconds))
				if c.outage {
					from = outageEnd
				}
				sim.run(from + maxDetection)
				if phase := sim.machine.State().Phase; phase != RollingBack && phase != RolledBack {
					t.Errorf("seed %d: phase %s, want a rollback within %v of the time when the fault could first be detected", seed, phase, maxDetection)
				}
			}
		})
	}
}

// TestSilentOldGatewayDoesNotMaskHang checks that a new gateway that hangs at its start causes a rollback although an old gateway never
// reports.
//
// It guards against an endless wait: the silent old gateway made a report outage look likely for ever. Gateways that are silent for
// longer than the maximum watch are now disregarded.
func TestSilentOldGatewayDoesNotMaskHang(t *testing.T) {
	sim := newSimulation(t, 12, 3, "hang at start")
	silent := sim.machine.changeOrder[5]
	sim.partitioned = func(i int, at time.Duration) bool { return i == silent }
	sim.run(seconds(sim.plan.Watch.MaxSeconds) + 20*time.Second)
	if phase := sim.machine.State().Phase; phase != RollingBack && phase != RolledBack {
		t.Errorf("phase %s, want a rollback", phase)
	}
}

// TestRandomReportOutagesKeepOutcome checks that, under random outages, late reports and controller restarts, a good change always completes and a
// bad one is always rolled back.
func TestRandomReportOutagesKeepOutcome(t *testing.T) {
	t.Parallel()
	bugs := []string{"crash at start", "hang at start", "crash after 5 s", "slow", "rejects a class", "corrupts results", "leaks"}
	rapid.Check(t, func(r *rapid.T) {
		bug := ""
		if rapid.Bool().Draw(r, "bad") {
			bug = rapid.SampledFrom(bugs).Draw(r, "bug")
		}
		sim := newSimulation(t, 30, rapid.Uint64Range(0, outageSeeds-1).Draw(r, "fleet"), bug)
		millis := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(r, name)) * time.Millisecond
		}
		from := millis("outage from", 0, 180_000)
		step := rapid.IntRange(1, 3).Draw(r, "every n-th gateway is affected")
		newRecoverLate := rapid.Bool().Draw(r, "new gateways recover late")
		lateGateways := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "late gateways seed"), 1)).Perm(30)
		lateGateways = lateGateways[:rapid.IntRange(0, 30).Draw(r, "number of late gateways")]
		o := reportOutage{
			from: from, to: from + millis("length", 6000, 60_000),
			affects: func(i int) bool {
				return step == 1 || i%step == 0 || sim.gateways[i].version == NewVersion && !sim.machine.isLastStage()
			},
			recoversLate: func(i int) bool {
				return newRecoverLate && sim.gateways[i].version == NewVersion || !newRecoverLate && slices.Contains(lateGateways, i)
			},
			lateBy:      millis("delay", 0, 4000),
			resumeAfter: millis("controller resumed after", 0, 70_000),
		}
		phase := o.run(sim)
		want := Done
		if bug != "" {
			want = RolledBack
		}
		if phase != want {
			r.Fatalf("bug %q: phase %s, want %s; reason: %s\n%s", bug, phase, want, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
		}
	})
}
