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

// fleetModel is a fleet as it is, which the views of its gateways may differ from.
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

// chooser returns the Chooser of a gateway that knows all of this.
func (f fleetModel) chooser(number int) *Chooser {
	s, err := New(f.config, number, f.gateways[number].Zone, len(f.gateways))
	if err != nil {
		panic(err)
	}
	s.SetGateways(0, f.gateways)
	s.SetEngines(0, f.engines)
	return s
}

func (f fleetModel) serving() map[uint64]bool {
	serving := map[uint64]bool{}
	for _, e := range f.engines {
		serving[e.ID] = e.serves()
	}
	return serving
}

// parts returns what a subset changes greatly with: its size, and into how many parts the rings of the zone are divided.
func parts(s *Chooser) []int {
	list := []int{s.fleet.size}
	for _, span := range s.fleet.spans(s.zone) {
		list = append(list, span.parts)
	}
	return list
}

// maxMoved is the maximum number of other engines of a subset that one engine more or less changes.
const maxMoved = 8

// TestOneEngineMovesFewOthers checks that one more engine changes few others of any subset, as long as the parts of the rings stay
// the same.
func TestOneEngineMovesFewOthers(t *testing.T) {
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
			for id, serves := range before.serving() {
				if serves && id != added.ID && a.Contains(id) != b.Contains(id) {
					moved++
				}
			}
			if moved > maxMoved {
				t.Fatalf("gateway %d: %d engines moved for one", number, moved)
			}
		}
	})
}

// TestGatewayFailureChangesOneNeighbour checks that the failure of a gateway changes the subset of one other for each ring that
// it covers (its zone, and zones and regions without gateways), as long as the zone has others and none is short of engines.
func TestGatewayFailureChangesOneNeighbour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawFleet(t)
		died := rapid.IntRange(0, len(before.gateways)-1).Draw(t, "died")
		before.gateways[died].InService = true
		after := before
		after.gateways = slices.Clone(before.gateways)
		after.gateways[died].InService = false
		changed, rings := 0, coveredRings(before.chooser(died))
		for number := range before.gateways {
			a, b := before.chooser(number), after.chooser(number)
			if number == died || !before.gateways[number].InService || !sameShares(a.fleet, b.fleet) {
				continue
			}
			if !slices.Equal(a.IDs(), b.IDs()) {
				changed++
			}
		}
		if changed > rings {
			t.Fatalf("%d gateways changed for one that covered %d rings", changed, rings)
		}
	})
}

func coveredRings(s *Chooser) int {
	rings := 0
	for _, span := range s.fleet.spans(s.zone) {
		if span.covered && len(span.ring.members) > 0 {
			rings++
		}
	}
	return rings
}

func sameShares(a, b *fleet) bool {
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

// incompleteView returns what a gateway may know of a fleet: it does not know the zones of some gateways, takes some for dead that
// are in service, and its list lacks a few engines.
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

// TestEveryEngineIsInASubset checks that an engine that all gateways in service have in their lists is in a subset, although each
// gateway has an incomplete view.
func TestEveryEngineIsInASubset(t *testing.T) {
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
				t.Fatalf("engine %x of zone %d is in no subset of %d", e.ID, e.Zone, inService)
			}
		}
	})
}

// TestSubsetIsDeterministic checks that the subset does not depend on the order of the list, and has as many serving engines as
// are wanted.
func TestSubsetIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		again := f
		again.engines = append(rapid.Permutation(f.engines).Draw(t, "order"), f.engines[0])
		a, b := f.chooser(number), again.chooser(number)
		if !slices.Equal(a.IDs(), b.IDs()) || a.MeanGatewaysPerEngine() != b.MeanGatewaysPerEngine() {
			t.Fatalf("%x and %x of the same list", a.IDs(), b.IDs())
		}
		size := f.config.size(len(f.engines), len(f.gateways))
		serving, total := 0, 0
		for id, serves := range f.serving() {
			if serves {
				total++
				if a.Contains(id) {
					serving++
				}
			}
		}
		if serving < min(size, total) {
			t.Fatalf("%d engines that serve in a subset of %d", serving, size)
		}
	})
}

// TestHoldersAndOverlaps compares what a gateway computes of the others with the subsets that these choose.
func TestHoldersAndOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		f.gateways[number].InService = true
		own, holders := f.chooser(number), 0.0
		for other, g := range f.gateways {
			if !g.InService {
				continue
			}
			ids, both := f.chooser(other).IDs(), 0.0
			for _, id := range ids {
				if own.Contains(id) {
					both++
				}
			}
			if share := both / float64(len(ids)); own.Overlap(other) != share {
				t.Fatalf("overlap with %d is %v, computed as %v", other, share, own.Overlap(other))
			}
			holders += both / float64(len(own.IDs()))
		}
		if math.Abs(own.MeanGatewaysPerEngine()-holders) > 1e-9 {
			t.Fatalf("%v holders, computed as %v", holders, own.MeanGatewaysPerEngine())
		}
	})
}

// lingerCheck follows a Chooser through changes, and checks when engines are removed.
type lingerCheck struct {
	fleet    fleetModel
	number   int // of the gateway
	chooser  *Chooser
	unwanted map[uint64]time.Duration // members that are no longer wanted: since when
}

// change lets a Chooser tick, or toggles some engines.
func (l *lingerCheck) change(t *rapid.T, now time.Duration) {
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

// check compares the subset with the one before a change, and with what is wanted.
func (l *lingerCheck) check(t *rapid.T, now time.Duration, before []uint64) {
	wanted, removed := l.fleet.chooser(l.number), 0
	for _, e := range l.fleet.engines {
		since, known := l.unwanted[e.ID]
		switch {
		case wanted.Contains(e.ID) && !l.chooser.Contains(e.ID):
			t.Fatalf("engine %x is wanted and not there", e.ID)
		case wanted.Contains(e.ID):
			delete(l.unwanted, e.ID)
		case l.chooser.Contains(e.ID) && !known:
			l.unwanted[e.ID] = now
		case !l.chooser.Contains(e.ID) && slices.Contains(before, e.ID):
			removed++
			if !known || now < since+l.fleet.config.Linger {
				t.Fatalf("engine %x was removed at %v, wanted until %v", e.ID, now, since)
			}
		}
	}
	if removed > removalBatch {
		t.Fatalf("%d engines removed in a step", removed)
	}
}

// TestUnwantedEnginesLinger drives a Chooser through random changes: what is wanted is there at once, what is not is removed
// no sooner than after Linger, a few in each step, and all of it in the end.
func TestUnwantedEnginesLinger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		c := f.chooser(number)
		l := &lingerCheck{fleet: f, number: number, chooser: c, unwanted: map[uint64]time.Duration{}}
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
			t.Fatalf("%d engines in the end, %d wanted", len(c.IDs()), len(wanted.IDs()))
		}
	})
}

// Generators of arbitrary values, in range or not.
var (
	anyTime   = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "time")) })
	anyZoneOf = rapid.OneOf(rapid.Int(), rapid.IntRange(-1, 3))
	anyEngine = rapid.Custom(func(t *rapid.T) Engine {
		return Engine{
			ID:        rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 9)).Draw(t, "id"),
			Zone:      anyZoneOf.Draw(t, "zone"),
			Ready:     rapid.Bool().Draw(t, "ready"),
			WarmingUp: rapid.Bool().Draw(t, "cold"),
		}
	})
	anyGateway = rapid.Custom(func(t *rapid.T) Gateway {
		return Gateway{anyZoneOf.Draw(t, "zone"), rapid.Bool().Draw(t, "up")}
	})
	anyConfig = rapid.Custom(func(t *rapid.T) Config {
		return Config{
			MinEngines: rapid.IntRange(-1, 20).Draw(t, "least"),
			EngineRate: rapid.Float64().Draw(t, "engine rate"),
			Rate:       rapid.Float64().Draw(t, "rate"),
			Coverage:   rapid.IntRange(-1, 9).Draw(t, "coverage"),
			Linger:     anyTime.Draw(t, "linger"),
			Regions:    [][]int{{anyZoneOf.Draw(t, "in a region")}},
		}
	})
)

// TestArbitraryInput checks that no input makes a Chooser inconsistent, and that invalid settings are refused.
func TestArbitraryInput(t *testing.T) {
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
					t.Fatalf("%+v is valid and was refused, or invalid and was accepted", config)
				}
			case 3:
				c.Tick(now)
			}
			checkConsistent(t, c)
		}
	})
}

// checkConsistent checks that a Chooser's answers agree with each other and are within bounds.
func checkConsistent(t *rapid.T, c *Chooser) {
	ids := c.IDs()
	if !slices.IsSorted(ids) || len(ids) != len(slices.Compact(slices.Clone(ids))) {
		t.Fatalf("%x is no sorted set", ids)
	}
	for _, e := range c.engines {
		if _, found := slices.BinarySearch(ids, e.ID); found != c.Contains(e.ID) || c.InCore(e.ID) && !found {
			t.Fatalf("engine %x: in the list %v", e.ID, found)
		}
	}
	if h, o := c.MeanGatewaysPerEngine(), c.Overlap(rapid.Int().Draw(t, "other")); !(h >= 1 && h <= 9) || !(o >= 0 && o <= 1) {
		t.Fatalf("%v holders, overlap %v", h, o)
	}
}
