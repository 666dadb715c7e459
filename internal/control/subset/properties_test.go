package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// fleetModel is the true state of a fleet. What its gateways know may differ from it.
type fleetModel struct {
	config   Config
	engines  []Engine
	gateways []Gateway
}

func drawEngine(t *rapid.T, zones int) Engine {
	return Engine{ID: rapid.Uint64().Draw(t, "id"), Zone: rapid.IntRange(0, zones-1).Draw(t, "zone"),
		Ready: rapid.IntRange(0, 9).Draw(t, "ready") > 0, WarmingUp: rapid.IntRange(0, 9).Draw(t, "cold") == 0}
}

func drawFleet(t *rapid.T) fleetModel {
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	f := fleetModel{config: Config{MinEngines: rapid.IntRange(1, 40).Draw(t, "least"), EngineRate: 1,
		Coverage: rapid.IntRange(1, 4).Draw(t, "coverage"), Linger: time.Second}}
	if zones > 2 && rapid.Bool().Draw(t, "regions") {
		f.config.Regions = [][]int{{0, 1}, {2}}
	}
	for range rapid.IntRange(1, 60).Draw(t, "gateways") {
		f.gateways = append(f.gateways, Gateway{Zone: rapid.IntRange(0, zones-1).Draw(t, "at"),
			InService: rapid.IntRange(0, 4).Draw(t, "up") > 0})
	}
	for range rapid.IntRange(1, 150).Draw(t, "engines") {
		if e := drawEngine(t, zones); !slices.ContainsFunc(f.engines, func(o Engine) bool { return o.ID == e.ID }) {
			f.engines = append(f.engines, e)
		}
	}
	return f
}

// chooser returns the Chooser of a gateway that knows the whole fleet.
func (f fleetModel) chooser(number int) *Chooser {
	s, err := New(f.config, number, f.gateways[number].Zone, len(f.gateways))
	if err != nil {
		panic(err)
	}
	s.SetGateways(0, f.gateways)
	s.SetEngines(0, f.engines)
	return s
}

// serving reports for each engine ID whether the engine is serving.
func (f fleetModel) serving() map[uint64]bool {
	serving := map[uint64]bool{}
	for _, e := range f.engines {
		serving[e.ID] = e.isServing()
	}
	return serving
}

// parts returns the subset size and the number of parts of each ring. If one of these changes, subsets change considerably.
func parts(s *Chooser) []int {
	list := []int{s.fleet.subsetSize}
	for _, d := range s.fleet.demands(s.zone) {
		list = append(list, d.parts)
	}
	return list
}

// maxMoved is the maximum number of other engines that may enter or leave a subset when an engine is added to the fleet.
const maxMoved = 8

// TestAddedEngineMovesFewOthers checks that only a few other engines enter or leave a subset when an engine is added to the
// fleet, as long as the number of parts of each ring stays the same.
func TestAddedEngineMovesFewOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawFleet(t)
		for i := range before.gateways {
			before.gateways[i].InService = true
		}
		after, added := before, drawEngine(t, 3)
		after.engines = append(slices.Clone(before.engines), added)
		for number := range before.gateways {
			a, b := before.chooser(number), after.chooser(number)
			if !slices.Equal(parts(a), parts(b)) {
				continue
			}
			moved := 0
			for id, isServing := range before.serving() {
				if isServing && id != added.ID && a.Contains(id) != b.Contains(id) {
					moved++
				}
			}
			if moved > maxMoved {
				t.Fatalf("gateway %d: %d other engines moved when one was added, want at most %d", number, moved, maxMoved)
			}
		}
	})
}

// TestGatewayFailureChangesOneSubsetPerRing checks that the failure of a gateway changes the subset of at most one other gateway
// for each ring that it covers: the rings of its zone, and of zones and regions without gateways. Cases in which the failure
// changes the share of the traffic that stays in a zone or region, or leaves a zone without gateways, are skipped.
func TestGatewayFailureChangesOneSubsetPerRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawFleet(t)
		failed := rapid.IntRange(0, len(before.gateways)-1).Draw(t, "failed")
		before.gateways[failed].InService = true
		after := before
		after.gateways = slices.Clone(before.gateways)
		after.gateways[failed].InService = false
		changed, rings := 0, countCoveredRings(before.chooser(failed))
		for number := range before.gateways {
			a, b := before.chooser(number), after.chooser(number)
			if number == failed || !before.gateways[number].InService || !equalLocality(a.fleet, b.fleet) {
				continue
			}
			if !slices.Equal(a.IDs(), b.IDs()) {
				changed++
			}
		}
		if changed > rings {
			t.Fatalf("%d subsets changed after the failure of a gateway that covered %d rings, want at most one per ring", changed, rings)
		}
	})
}

// countCoveredRings returns the number of non-empty rings that a gateway covers together with others.
func countCoveredRings(s *Chooser) int {
	rings := 0
	for _, d := range s.fleet.demands(s.zone) {
		if d.coverAll && len(d.ring.members) > 0 {
			rings++
		}
	}
	return rings
}

// equalLocality reports whether two fleets have the same local and regional shares, and gateways in service in the same zones.
func equalLocality(a, b *fleet) bool {
	for i, z := range a.zones {
		if z.localShare != b.zones[i].localShare || (z.inService == 0) != (b.zones[i].inService == 0) {
			return false
		}
	}
	for i, r := range a.regions {
		if r.regionalShare != b.regions[i].regionalShare {
			return false
		}
	}
	return true
}

// incompleteView returns the fleet as a gateway may know it: without the zones of some gateways, with some gateways wrongly out
// of service, and without a few engines.
func (f fleetModel) incompleteView(number int, rnd *rand.Rand) fleetModel {
	view := f
	view.gateways, view.engines = slices.Clone(f.gateways), nil
	for i := range view.gateways {
		if rnd.IntN(5) == 0 && i != number {
			view.gateways[i].Zone = unknownZone
		}
		view.gateways[i].InService = view.gateways[i].InService && rnd.IntN(20) > 0
	}
	for _, e := range f.engines {
		if rnd.IntN(30) > 0 {
			view.engines = append(view.engines, e)
		}
	}
	return view
}

// TestEveryEngineIsInSomeSubset checks that each engine that is in the lists of all gateways in service is in at least one
// subset, even if the gateways have different incomplete views of the fleet.
func TestEveryEngineIsInSomeSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		seed := rapid.Uint64().Draw(t, "views")
		rnd := rand.New(rand.NewPCG(seed, seed))
		for i := range f.gateways {
			if rnd.IntN(6) == 0 {
				f.gateways[i].Zone = unknownZone
			}
		}
		listed, chosen, inService := map[uint64]int{}, map[uint64]bool{}, 0
		for number, g := range f.gateways {
			if !g.InService {
				continue
			}
			inService++
			view := f.incompleteView(number, rnd)
			for _, e := range view.engines {
				listed[e.ID]++
			}
			for _, id := range view.chooser(number).IDs() {
				chosen[id] = true
			}
		}
		for _, e := range f.engines {
			if inService > 0 && listed[e.ID] == inService && !chosen[e.ID] {
				t.Fatalf("engine %x of zone %d is in none of %d subsets", e.ID, e.Zone, inService)
			}
		}
	})
}

// TestSubsetIsDeterministic checks that the subset does not depend on the order of the list of engines, and that it has the
// wanted number of serving engines.
func TestSubsetIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		again := f
		again.engines = append(rapid.Permutation(f.engines).Draw(t, "order"), f.engines[0])
		a, b := f.chooser(number), again.chooser(number)
		if !slices.Equal(a.IDs(), b.IDs()) || a.MeanGatewaysPerEngine() != b.MeanGatewaysPerEngine() {
			t.Fatalf("the same engines in a different order result in the subsets %x and %x", a.IDs(), b.IDs())
		}
		size := f.config.subsetSize(len(f.engines), len(f.gateways))
		serving, total := 0, 0
		for id, isServing := range f.serving() {
			if isServing {
				total++
				if a.Contains(id) {
					serving++
				}
			}
		}
		if serving < min(size, total) {
			t.Fatalf("subset has %d serving engines, want %d", serving, min(size, total))
		}
	})
}

// TestPeerOverlapsMatchPeerSubsets checks that MeanGatewaysPerEngine and Overlap agree with the subsets that the other gateways
// choose.
func TestPeerOverlapsMatchPeerSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		f.gateways[number].InService = true
		own, want := f.chooser(number), 0.0
		for other, g := range f.gateways {
			if !g.InService {
				continue
			}
			ids, shared := f.chooser(other).IDs(), 0.0
			for _, id := range ids {
				if own.Contains(id) {
					shared++
				}
			}
			if share := shared / float64(len(ids)); own.Overlap(other) != share {
				t.Fatalf("overlap with gateway %d is %v, want %v", other, own.Overlap(other), share)
			}
			want += shared / float64(len(own.IDs()))
		}
		if math.Abs(own.MeanGatewaysPerEngine()-want) > 1e-9 {
			t.Fatalf("mean number of gateways per engine is %v, want %v", own.MeanGatewaysPerEngine(), want)
		}
	})
}

// lingerChecker applies changes to a Chooser, and checks when engines are removed.
type lingerChecker struct {
	fleet    fleetModel
	number   int // number of the gateway
	chooser  *Chooser
	unwanted map[uint64]time.Duration // members that are no longer wanted, with the time when they became unwanted
}

// change calls Tick, or toggles the readiness of some engines.
func (l *lingerChecker) change(t *rapid.T, now time.Duration) {
	if rapid.Bool().Draw(t, "tick") {
		l.chooser.Tick(now)
		return
	}
	engines := l.fleet.engines
	first := rapid.IntRange(0, len(engines)-1).Draw(t, "first")
	for i := first; i < rapid.IntRange(first+1, len(engines)).Draw(t, "end"); i++ {
		engines[i].Ready = !engines[i].Ready
	}
	l.chooser.SetEngines(now, engines)
}

// check compares the subset with the subset before a change and with the wanted engines.
func (l *lingerChecker) check(t *rapid.T, now time.Duration, before []uint64) {
	wanted, removed := l.fleet.chooser(l.number), 0
	for _, e := range l.fleet.engines {
		since, known := l.unwanted[e.ID]
		switch {
		case wanted.Contains(e.ID) && !l.chooser.Contains(e.ID):
			t.Fatalf("engine %x is wanted but not in the subset", e.ID)
		case wanted.Contains(e.ID):
			delete(l.unwanted, e.ID)
		case l.chooser.Contains(e.ID) && !known:
			l.unwanted[e.ID] = now
		case !l.chooser.Contains(e.ID) && slices.Contains(before, e.ID):
			removed++
			if !known || now < since+l.fleet.config.Linger {
				t.Fatalf("engine %x was removed at %v; it must linger after it became unwanted at %v", e.ID, now, since)
			}
		}
	}
	if removed > removalBatch {
		t.Fatalf("%d engines were removed at once, want at most %d", removed, removalBatch)
	}
}

// TestUnwantedEnginesLinger checks, through random changes, that a Chooser adds wanted engines at once, that it removes unwanted
// engines no sooner than after Linger and a few at a time, and that it removes all of them in the end.
func TestUnwantedEnginesLinger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		c := f.chooser(number)
		l := &lingerChecker{fleet: f, number: number, chooser: c, unwanted: map[uint64]time.Duration{}}
		now := f.config.Linger
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
			before := slices.Clone(c.IDs())
			l.change(t, now)
			l.check(t, now, before)
		}
		for at, due := c.NextTick(); due; at, due = c.NextTick() {
			c.Tick(at)
		}
		if wanted := f.chooser(number); !slices.Equal(c.IDs(), wanted.IDs()) {
			t.Fatalf("%d engines after the last removal, want the %d wanted ones", len(c.IDs()), len(wanted.IDs()))
		}
	})
}

// Generators of arbitrary values, both valid and invalid.
var (
	anyTime       = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "time")) })
	anyZoneNumber = rapid.OneOf(rapid.Int(), rapid.IntRange(-1, 3))
	anyEngine     = rapid.Custom(func(t *rapid.T) Engine {
		return Engine{
			ID:        rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 9)).Draw(t, "id"),
			Zone:      anyZoneNumber.Draw(t, "zone"),
			Ready:     rapid.Bool().Draw(t, "ready"),
			WarmingUp: rapid.Bool().Draw(t, "cold"),
		}
	})
	anyGateway = rapid.Custom(func(t *rapid.T) Gateway {
		return Gateway{anyZoneNumber.Draw(t, "zone"), rapid.Bool().Draw(t, "up")}
	})
	anyConfig = rapid.Custom(func(t *rapid.T) Config {
		return Config{
			MinEngines: rapid.IntRange(-1, 20).Draw(t, "least"),
			EngineRate: rapid.Float64().Draw(t, "engine rate"),
			Rate:       rapid.Float64().Draw(t, "rate"),
			Coverage:   rapid.IntRange(-1, 9).Draw(t, "coverage"),
			Linger:     anyTime.Draw(t, "linger"),
			Regions:    [][]int{{anyZoneNumber.Draw(t, "in a region")}},
		}
	})
)

// TestArbitraryInputKeepsInvariants checks that no input makes a Chooser inconsistent, and that it rejects invalid settings.
func TestArbitraryInputKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configured := rapid.IntRange(1, 9).Draw(t, "configured")
		c, err := New(DefaultConfig(), rapid.IntRange(0, configured-1).Draw(t, "number"), rapid.Int().Draw(t, "zone"), configured)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			now := anyTime.Draw(t, "now")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				c.SetEngines(now, rapid.SliceOf(anyEngine).Draw(t, "engines"))
			case 1:
				c.SetGateways(now, rapid.SliceOf(anyGateway).Draw(t, "gateways"))
			case 2:
				config := anyConfig.Draw(t, "config")
				if (c.Configure(now, config) == nil) != (config.Validate() == nil) {
					t.Fatalf("a valid Config was rejected, or an invalid one accepted: %+v", config)
				}
			case 3:
				c.Tick(now)
			}
			checkConsistent(t, c)
		}
	})
}

// checkConsistent checks that the results of a Chooser's methods are consistent and within bounds.
func checkConsistent(t *rapid.T, c *Chooser) {
	ids := c.IDs()
	if !slices.IsSorted(ids) || len(ids) != len(slices.Compact(slices.Clone(ids))) {
		t.Fatalf("IDs are not sorted and unique: %x", ids)
	}
	for _, e := range c.engines {
		if _, found := slices.BinarySearch(ids, e.ID); found != c.Contains(e.ID) || c.InCore(e.ID) && !found {
			t.Fatalf("engine %x: IDs contains it: %v, Contains: %v, InCore: %v", e.ID, found, c.Contains(e.ID), c.InCore(e.ID))
		}
	}
	if m, o := c.MeanGatewaysPerEngine(), c.Overlap(rapid.Int().Draw(t, "other")); !(m >= 1 && m <= 9) || !(o >= 0 && o <= 1) {
		t.Fatalf("%v gateways per engine, want 1 to 9; overlap %v, want 0 to 1", m, o)
	}
}
