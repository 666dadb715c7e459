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

// reportOutage is an outage of the path on which gateways report: reports are lost from its start, and come again at its end, from some
// gateways later than from others.
type reportOutage struct {
	from, to    time.Duration  // since simEpoch
	after       func() bool    // nil, or the outage begins only once this holds; its length stays
	affects     func(int) bool // the gateways whose reports are lost
	latecomer   func(int) bool // the gateways that come back later
	delay       time.Duration  // by which they do
	resumeAfter time.Duration  // the outage's begin: the controller is killed and resumed; 0 = never

	begunAt time.Duration // since simEpoch; 0 = not yet
}

func everyGateway(int) bool { return true }

// isLost reports whether a gateway's report is lost at a time since simEpoch.
func (o *reportOutage) isLost(gateway int, at time.Duration) bool {
	if o.begunAt == 0 && at >= o.from && (o.after == nil || o.after()) {
		o.begunAt = max(1, at)
	}
	end := o.begunAt + o.to - o.from
	if o.latecomer(gateway) {
		end += o.delay
	}
	return o.begunAt > 0 && at < end && o.affects(gateway)
}

// run plays the change to its end, with the controller killed and resumed on the way.
func (o *reportOutage) run(sim *fleetSimulation) Phase {
	sim.partitioned = func(i int, at time.Duration) bool { return o.isLost(i, at-simEpoch) }
	for end := sim.now + 40*time.Minute; o.resumeAfter > 0 && sim.now < end && !sim.machine.State().Phase.Finished(); {
		sim.run(simTick)
		if o.begunAt > 0 && sim.now-simEpoch >= o.begunAt+o.resumeAfter {
			sim.resume()
			o.resumeAfter = 0
		}
	}
	return sim.run(40 * time.Minute)
}

// outageSeeds are how many fleets play each outage.
const outageSeeds = 20

// An outage of all reports does not roll a good change back, wherever it comes and whoever reports first when it ends.
//
// A change was taken back although no gateway did worse (TestFleetTroublesOfTheStageAreNotBlamed saw it once, beside load). When the
// reports came back and the old gateways' were first, the path of the reports counted as sound from that moment, while the new ones
// looked silent for the whole outage: "1 new gateways report nothing", or "did not serve on its version 20 s after its start". In the
// last stage no old gateway is left, so nothing made the path suspect: "18 new gateways report nothing" after 7 s.
func TestReportOutageDoesNotRollBack(t *testing.T) {
	t.Parallel()
	isNew := func(sim *fleetSimulation) func(int) bool {
		return func(i int) bool { return sim.gateways[i].version == NewVersion }
	}
	phaseIs := func(sim *fleetSimulation, phase Phase, lastStage bool) func() bool {
		return func() bool { return sim.machine.State().Phase == phase && (!lastStage || sim.machine.lastStage()) }
	}
	places := map[string]func(*fleetSimulation) reportOutage{
		"first watch": func(sim *fleetSimulation) reportOutage {
			return reportOutage{from: 5 * time.Second, after: phaseIs(sim, Watching, false)}
		},
		"first start": func(sim *fleetSimulation) reportOutage {
			// It ends, by the seed, in the two seconds before the gateway has been waited for twice as long as a start may take.
			ends := seconds(2*sim.plan.Change.ReadyTimeoutSeconds) - time.Duration(sim.rand.IntN(10))*simTick
			return reportOutage{to: ends, after: func() bool { return sim.gateways[sim.machine.order[0]].starts[NewVersion] > 0 }}
		},
		"last watch": func(sim *fleetSimulation) reportOutage {
			return reportOutage{after: phaseIs(sim, Watching, true)}
		},
	}
	for place, newOutage := range places {
		for _, c := range []struct{ length, delay time.Duration }{
			{6 * time.Second, 200 * time.Millisecond},
			{12 * time.Second, time.Second},
			{12 * time.Second, 1500 * time.Millisecond},
			{15 * time.Second, 2500 * time.Millisecond},
			{60 * time.Second, 4 * time.Second},
		} {
			t.Run(fmt.Sprintf("%s, %v, new ones %v later", place, c.length, c.delay), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(outageSeeds) {
					sim := newSimulation(t, 30, seed, "")
					o := newOutage(sim)
					if o.to == 0 {
						o.to = o.from + c.length
					}
					o.affects, o.latecomer, o.delay = everyGateway, isNew(sim), c.delay
					if seed%2 == 0 {
						o.resumeAfter = c.length / 2
					}
					if phase := o.run(sim); phase != Done {
						t.Errorf("seed %d: %s: %s", seed, phase, sim.machine.State().Reason)
					}
				}
			})
		}
	}
}

// A new gateway that really is silent is found within maxDetection, whether it is silent alone or its silence begins in an outage of all
// reports: then from the outage's end. One that hangs at its start is found then too.
func TestSilentGatewayIsFoundAfterOutage(t *testing.T) {
	t.Parallel()
	// The plan's 5 s without a report, and again 5 s in which the path of the reports is known to be sound; reports come once a second.
	const maxDetection = 11 * time.Second
	const outageEnd = 40 * time.Second
	for name, c := range map[string]struct {
		bug        string
		silentFrom time.Duration
		outage     bool
	}{
		"alone":                    {"", 15 * time.Second, false},
		"when an outage ends":      {"", 15 * time.Second, true},
		"that hangs at its start":  {"hang at start", 0, true},
		"from before it first was": {"", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(outageSeeds) {
				sim := newSimulation(t, 30, seed, c.bug)
				first := sim.machine.order[0]
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
					t.Errorf("seed %d: %s, %v after it could be known", seed, phase, maxDetection)
				}
			}
		})
	}
}

// An old gateway that never reports again does not hide a new one that hangs at its start: it is no witness of an outage once it has been
// silent for longer than the longest watch. The new one was once waited for without end.
func TestSilentOldGatewayHidesNoHang(t *testing.T) {
	sim := newSimulation(t, 12, 3, "hang at start")
	lost := sim.machine.order[5]
	sim.partitioned = func(i int, at time.Duration) bool { return i == lost }
	sim.run(seconds(sim.plan.Watch.MaxSeconds) + 20*time.Second)
	if phase := sim.machine.State().Phase; phase != RollingBack && phase != RolledBack {
		t.Errorf("%s", phase)
	}
}

// Whatever outages, delays and restarts of the controller come, a good change is never rolled back, and each bad one always is.
func TestRandomOutages(t *testing.T) {
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
		step := rapid.IntRange(1, 3).Draw(r, "one gateway in so many is affected")
		newAreLate := rapid.Bool().Draw(r, "new ones are late")
		late := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "latecomers"), 1)).Perm(30)[:rapid.IntRange(0, 30).Draw(r, "number of latecomers")]
		o := reportOutage{
			from: from, to: from + millis("length", 6000, 60_000),
			affects: func(i int) bool {
				return step == 1 || i%step == 0 || sim.gateways[i].version == NewVersion && !sim.machine.lastStage()
			},
			latecomer: func(i int) bool {
				return newAreLate && sim.gateways[i].version == NewVersion || !newAreLate && slices.Contains(late, i)
			},
			delay:       millis("delay", 0, 4000),
			resumeAfter: millis("controller resumed", 0, 70_000),
		}
		phase := o.run(sim)
		want := Done
		if bug != "" {
			want = RolledBack
		}
		if phase != want {
			r.Fatalf("bug %q: %s: %s\n%s", bug, phase, sim.machine.State().Reason, strings.Join(sim.notes, "\n"))
		}
	})
}
