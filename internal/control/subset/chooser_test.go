package subset

import (
	"errors"
	"fmt"
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
		Ready: rapid.IntRange(0, 9).Draw(t, "ready") > 0, Cold: rapid.IntRange(0, 9).Draw(t, "cold") == 0}
}

func drawFleet(t *rapid.T) fleetModel {
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	f := fleetModel{config: Config{Least: rapid.IntRange(1, 40).Draw(t, "least"), EngineRate: 1,
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

// parts is what decides on the large steps: into how many parts the rings of a gateway's zone fall.
func parts(s *Chooser) []int {
	list := []int{s.fleet.size}
	for _, span := range s.fleet.spans(s.zone) {
		list = append(list, span.parts)
	}
	return list
}

// maxMoved is how many other engines of a subset one engine more or less changes, at the most.
const maxMoved = 8

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

// TestDeathMovesOneNeighbour: one gateway more or less in service changes the subset of one other for each ring of which
// it covers a gap (its zone, and what it takes over for zones and regions without gateways), as long as the zone has others
// and none is short of engines.
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

// TestNoEngineLeftOut: some gateways are out of service, and each of the others knows that but does not know the zones of
// some, takes some that are up for dead, and has a list that lacks a few engines.
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
		listed, held, up := map[uint64]int{}, map[uint64]bool{}, 0
		for number, g := range f.gateways {
			if !g.InService {
				continue
			}
			up++
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
					listed[e.ID]++
				}
			}
			for _, id := range view.chooser(number).IDs() {
				held[id] = true
			}
		}
		for _, e := range f.engines {
			if up > 0 && listed[e.ID] == up && !held[e.ID] {
				t.Fatalf("engine %x of zone %d is in no subset of %d", e.ID, e.Zone, up)
			}
		}
	})
}

func TestSubsetIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		again := f
		again.engines = append(rapid.Permutation(f.engines).Draw(t, "order"), f.engines[0])
		a, b := f.chooser(number), again.chooser(number)
		if !slices.Equal(a.IDs(), b.IDs()) || a.Holders() != b.Holders() {
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

// TestHoldersAndOverlaps compares what a gateway works out of the others with what they hold.
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
			if share := both / float64(len(ids)); own.Overlaps(other) != share {
				t.Fatalf("overlap with %d is %v, computed as %v", other, share, own.Overlaps(other))
			}
			holders += both / float64(len(own.IDs()))
		}
		if math.Abs(own.Holders()-holders) > 1e-9 {
			t.Fatalf("%v holders, computed as %v", holders, own.Holders())
		}
	})
}

func TestWithoutOtherGateways(t *testing.T) {
	f := fleetOf(300, 1100, contiguous)
	s, err := New(f.config, 7, f.gateways[7].Zone, len(f.gateways))
	if err != nil {
		t.Fatal(err)
	}
	s.SetEngines(0, f.engines)
	if !s.All() || !s.Changed() || s.Changed() {
		t.Errorf("%d engines while nothing is known of other gateways", len(s.IDs()))
	}
	s.SetGateways(time.Second, f.gateways)
	if n := len(s.IDs()); n != DefaultMinEngines+2 || s.All() { // two for its gap
		t.Errorf("%d engines at once when the others are known", n)
	}
	s.SetGateways(time.Minute, nil)
	if !s.All() || s.Holders() != 1 {
		t.Errorf("%d engines of a gateway that is alone, held by %v", len(s.IDs()), s.Holders())
	}
	s.SetGateways(2*time.Minute, f.gateways)
	steps, last := 0, 2*time.Minute
	for at, due := s.Next(); due; at, due = s.Next() {
		before := len(s.IDs())
		s.Tick(at)
		steps, last = steps+1, at
		if left := before - len(s.IDs()); left < 1 || left > removalBatch {
			t.Fatalf("%d engines left in a step", left)
		}
	}
	if want := time.Duration(steps-1)*removalInterval + 2*time.Minute + DefaultLinger; steps != 255 || last != want {
		t.Errorf("narrowed in %d steps until %v, not %v", steps, last, want)
	}
	small := fleetOf(300, DefaultMinEngines, contiguous).chooser(3)
	if !small.All() || small.Holders() != 300 || small.Overlaps(299) != 1 {
		t.Errorf("a small fleet: %v, held by %v", small.All(), small.Holders())
	}
}

// TestUnwantedEnginesLinger drives a Chooser through random changes: what is wanted is there at once, what is not leaves no sooner
// than after Linger, a few in each step, and all of it in the end.
func TestUnwantedEnginesLinger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		number := rapid.IntRange(0, len(f.gateways)-1).Draw(t, "number")
		s, now := f.chooser(number), f.config.Linger
		unwanted := map[uint64]time.Duration{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
			before := slices.Clone(s.IDs())
			if rapid.Bool().Draw(t, "tick") {
				s.Tick(now)
			} else {
				first := rapid.IntRange(0, len(f.engines)-1).Draw(t, "first")
				for i := first; i < rapid.IntRange(first+1, len(f.engines)).Draw(t, "end"); i++ {
					f.engines[i].Ready = !f.engines[i].Ready
				}
				s.SetEngines(now, f.engines)
			}
			wanted, left := f.chooser(number), 0
			for _, e := range f.engines {
				at, known := unwanted[e.ID]
				switch {
				case wanted.Contains(e.ID) && !s.Contains(e.ID):
					t.Fatalf("engine %x is wanted and not there", e.ID)
				case wanted.Contains(e.ID):
					delete(unwanted, e.ID)
				case s.Contains(e.ID) && !known:
					unwanted[e.ID] = now
				case !s.Contains(e.ID) && slices.Contains(before, e.ID):
					left++
					if !known || now < at+f.config.Linger {
						t.Fatalf("engine %x left at %v, wanted until %v", e.ID, now, at)
					}
				}
			}
			if left > removalBatch {
				t.Fatalf("%d engines left in a step", left)
			}
		}
		for at, due := s.Next(); due; at, due = s.Next() {
			s.Tick(at)
		}
		if wanted := f.chooser(number); !slices.Equal(s.IDs(), wanted.IDs()) {
			t.Fatalf("%d engines in the end, %d wanted", len(s.IDs()), len(wanted.IDs()))
		}
	})
}

func TestArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configured := rapid.IntRange(1, 9).Draw(t, "configured")
		s, err := New(DefaultConfig(), rapid.IntRange(0, configured-1).Draw(t, "number"), rapid.Int().Draw(t, "zone"), configured)
		if err != nil {
			t.Fatal(err)
		}
		moment := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "time")) })
		zone := rapid.OneOf(rapid.Int(), rapid.IntRange(-1, 3))
		for range 5 {
			now := moment.Draw(t, "now")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				s.SetEngines(now, rapid.SliceOf(rapid.Custom(func(t *rapid.T) Engine {
					return Engine{rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 9)).Draw(t, "id"), zone.Draw(t, "zone"),
						rapid.Bool().Draw(t, "ready"), rapid.Bool().Draw(t, "cold")}
				})).Draw(t, "engines"))
			case 1:
				s.SetGateways(now, rapid.SliceOf(rapid.Custom(func(t *rapid.T) Gateway {
					return Gateway{zone.Draw(t, "zone"), rapid.Bool().Draw(t, "up")}
				})).Draw(t, "gateways"))
			case 2:
				c := Config{Least: rapid.IntRange(-1, 20).Draw(t, "least"), EngineRate: rapid.Float64().Draw(t, "engine rate"),
					Rate: rapid.Float64().Draw(t, "rate"), Coverage: rapid.IntRange(-1, 9).Draw(t, "coverage"),
					Linger: moment.Draw(t, "linger"), Regions: [][]int{{zone.Draw(t, "in a region")}}}
				if (s.Configure(now, c) == nil) != (c.Check() == nil) {
					t.Fatalf("%+v is valid and was refused, or invalid and was accepted", c)
				}
			case 3:
				s.Tick(now)
			}
			ids := s.IDs()
			if !slices.IsSorted(ids) || len(ids) != len(slices.Compact(slices.Clone(ids))) {
				t.Fatalf("%x is no sorted set", ids)
			}
			for _, e := range s.engines {
				if _, found := slices.BinarySearch(ids, e.ID); found != s.Contains(e.ID) || s.Core(e.ID) && !found {
					t.Fatalf("engine %x: in the list %v", e.ID, found)
				}
			}
			if h, o := s.Holders(), s.Overlaps(rapid.Int().Draw(t, "other")); !(h >= 1 && h <= 9) || !(o >= 0 && o <= 1) {
				t.Fatalf("%v holders, overlap %v", h, o)
			}
		}
	})
}

func TestConfigErrors(t *testing.T) {
	for key, change := range map[string]func(*Config){
		"least":       func(c *Config) { c.Least = 0 },
		"rate":        func(c *Config) { c.Rate = math.NaN() },
		"engine_rate": func(c *Config) { c.EngineRate = 0 },
		"coverage":    func(c *Config) { c.Coverage = -1 },
		"linger":      func(c *Config) { c.Linger = 48 * time.Hour },
		"regions":     func(c *Config) { c.Regions = [][]int{{0}, {1, 0}} },
	} {
		t.Run(key, func(t *testing.T) {
			c := DefaultConfig()
			change(&c)
			var invalid *ConfigError
			if err := c.Check(); !errors.As(err, &invalid) || invalid.Key != key {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestArgumentErrors(t *testing.T) {
	for _, c := range []struct {
		number, gateways int
		key              string
	}{
		{0, 0, "gateways"},
		{-1, 3, "number"},
		{3, 3, "number"},
		{0, MaxGateways + 1, "gateways"},
	} {
		t.Run(fmt.Sprintf("number %d of %d", c.number, c.gateways), func(t *testing.T) {
			var invalid *ConfigError
			if _, err := New(DefaultConfig(), c.number, 0, c.gateways); !errors.As(err, &invalid) || invalid.Key != c.key {
				t.Errorf("%v", err)
			}
		})
	}
}
