package subset

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The tests in this file log the tables of docs/design/subset.md. Run go test -v to print them.

const zoneCount = 7

// layout returns the zone of a gateway.
type layout func(number, gateways int, rnd *rand.Rand) int

func contiguous(number, gateways int, _ *rand.Rand) int { return number * zoneCount / gateways }
func roundRobin(number, _ int, _ *rand.Rand) int        { return number % zoneCount }
func random(_, _ int, rnd *rand.Rand) int               { return rnd.IntN(zoneCount) }

// uneven is like roundRobin, but places a third more gateways than the mean in zone 0.
func uneven(number, _ int, _ *rand.Rand) int {
	if number%20 == 0 {
		return 0
	}
	return number % zoneCount
}

// newFleetModel returns a fleet with 2 regions and 7 zones in which all gateways are in service and all engines are ready. It
// has the default settings and a rate of 1,625 statements per second and gateway.
func newFleetModel(gateways, engines int, zoneOf layout) fleetModel {
	f := fleetModel{config: DefaultConfig()}
	f.config.Rate, f.config.Regions = 1625, [][]int{{0, 1, 2, 3}, {4, 5, 6}}
	rnd := rand.New(rand.NewPCG(uint64(gateways), uint64(engines)))
	for i := range gateways {
		f.gateways = append(f.gateways, Gateway{zoneOf(i, gateways, rnd), true})
	}
	for i := range engines {
		f.engines = append(f.engines, Engine{ID: engineID(i), Zone: i % zoneCount, Ready: true})
	}
	return f
}

// engineID returns the ID of the i-th engine.
func engineID(i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "engine-%d", i)
	return h.Sum64()
}

// subsets returns the subset of each gateway in service. All gateways know the whole fleet.
func (f fleetModel) subsets() (*fleet, map[int]*wantedSet) {
	all := newFleet(f.config, sortEngines(f.engines), f.gateways, orderByPosition(len(f.gateways)))
	demands, sets := map[int][]demand{}, map[int]*wantedSet{}
	for number, g := range f.gateways {
		if !g.InService {
			continue
		}
		if demands[g.Zone] == nil {
			demands[g.Zone] = all.demands(g.Zone)
		}
		sets[number] = all.newWantedSet()
		sets[number].collect(all, demands[g.Zone], number)
	}
	return all, sets
}

// distribution returns the number of subsets that contain a serving engine, the load of a serving engine if each gateway
// distributes its traffic evenly over the serving engines of its subset, and the number of serving engines in a subset.
func (f fleetModel) distribution(traffic func(number int) float64) (subsets, load, sizes spread) {
	all, sets := f.subsets()
	subsetCounts, loads, servingCounts := make([]float64, len(all.engines)), make([]float64, len(all.engines)), []float64{}
	for number := range f.gateways {
		set, inService := sets[number]
		if !inService {
			continue
		}
		serving := 0.0
		for i, e := range all.engines {
			if set.marked[i] && e.isServing() {
				serving++
			}
		}
		servingCounts = append(servingCounts, serving)
		for i, e := range all.engines {
			if set.marked[i] && e.isServing() {
				subsetCounts[i]++
				loads[i] += traffic(number) / serving
			}
		}
	}
	ofServing := func(values []float64) (filtered []float64) {
		for i, e := range all.engines {
			if e.isServing() {
				filtered = append(filtered, values[i])
			}
		}
		return filtered
	}
	return spreadOf(ofServing(subsetCounts)), spreadOf(ofServing(loads)), spreadOf(servingCounts)
}

// spread contains the minimum, mean and maximum of a list of values.
type spread struct{ min, mean, max float64 }

func spreadOf(values []float64) spread {
	s := spread{min: math.Inf(1)}
	for _, v := range values {
		s.min, s.mean, s.max = min(s.min, v), s.mean+v/float64(len(values)), max(s.max, v)
	}
	return s
}

func (s spread) maxOverMean() float64 { return s.max / s.mean }

// uniform returns the same traffic for every gateway.
func uniform(int) float64 { return 1 }

// skewed returns log-normally distributed traffic: the median is about 0.6 of the mean, and the 90th percentile twice the mean.
func skewed(number int) float64 {
	return math.Exp(rand.New(rand.NewPCG(9, uint64(number))).NormFloat64())
}

// TestLoadIsBalanced checks that all engines have about the same load and are in about the same number of subsets. If one zone
// has far more gateways than the others, its gateways also use engines of other zones and have larger subsets. The load is then
// still even, but the number of subsets per engine is less so.
func TestLoadIsBalanced(t *testing.T) {
	const limit, unevenSubsetsLimit = 1.25, 1.3
	layouts := map[string]layout{"contiguous": contiguous, "round-robin": roundRobin, "random": random, "uneven": uneven}
	for _, size := range [][2]int{{300, 80}, {300, 300}, {550, 600}, {800, 1100}} {
		for name, zoneOf := range layouts {
			t.Run(fmt.Sprintf("%d x %d %s", size[0], size[1], name), func(t *testing.T) {
				f := newFleetModel(size[0], size[1], zoneOf)
				subsets, load, sizes := f.distribution(uniform)
				t.Logf("subset size: mean %.1f, maximum %.0f; subsets per engine: %.0f to %.0f; maximum over mean: subsets %.2f, load %.2f",
					sizes.mean, sizes.max, subsets.min, subsets.max, subsets.maxOverMean(), load.maxOverMean())
				subsetsLimit := limit
				if name == "uneven" {
					subsetsLimit = unevenSubsetsLimit
				}
				if subsets.maxOverMean() > subsetsLimit || load.maxOverMean() > limit || sizes.maxOverMean() > limit {
					t.Errorf("maximum over mean: subsets per engine %.2f, want at most %v; load %.2f and subset size %.2f, want at most %v",
						subsets.maxOverMean(), subsetsLimit, load.maxOverMean(), sizes.maxOverMean(), limit)
				}
			})
		}
	}
}

// TestUnavailableEnginesAreReplaced checks that the gateways of a fleet of 800 gateways and 1,100 engines immediately replace
// engines that are not serving, and that no other engine gets too much load.
func TestUnavailableEnginesAreReplaced(t *testing.T) {
	halfSubset := newFleetModel(800, 1100, contiguous).chooser(400).IDs()[:41]
	cases := []struct {
		name      string
		loadLimit float64 // maximum load of an engine, as a multiple of the mean
		fault     func(i int, e *Engine)
	}{
		{"no fault", 1.25, func(int, *Engine) {}},
		{"zone 5 drains", 1.5, func(_ int, e *Engine) { e.Ready = e.Zone != 5 }},
		{"zone 5 fails except for 8 engines", 2, func(i int, e *Engine) { e.Ready = e.Zone != 5 || i < 56 }},
		{"zones 4 and 5 fail", 2, func(_ int, e *Engine) { e.Ready = e.Zone != 4 && e.Zone != 5 }},
		{"a region fails", 1.25, func(_ int, e *Engine) { e.Ready = e.Zone < 4 }},
		{"60% of the engines are replaced", 1.25, func(i int, e *Engine) {
			if i%5 < 3 {
				*e = Engine{ID: engineID(i + 10000), Zone: e.Zone, Ready: true, WarmingUp: true}
			}
		}},
		{"half a subset drains", 1.35, func(_ int, e *Engine) { e.Ready = !slices.Contains(halfSubset, e.ID) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetModel(800, 1100, contiguous)
			for i := range f.engines {
				c.fault(i, &f.engines[i])
			}
			checkFault(t, f, c.loadLimit)
		})
	}
}

// TestLostZonesAreCovered checks that every engine stays in a subset and load stays balanced if the gateways of zones fail, with
// or without the engines.
func TestLostZonesAreCovered(t *testing.T) {
	t.Run("zone 5 loses its gateways and engines", func(t *testing.T) {
		f := newFleetModel(800, 1100, contiguous)
		for i := range f.engines {
			f.engines[i].Ready = f.engines[i].Zone != 5
		}
		for i := range f.gateways {
			f.gateways[i].InService = f.gateways[i].Zone != 5
		}
		checkFault(t, f, 1.25)
	})
	for _, zones := range []int{1, 6} {
		t.Run(fmt.Sprintf("%d zones lose their gateways", zones), func(t *testing.T) {
			f := newFleetModel(800, 1100, contiguous)
			for i := range f.gateways {
				f.gateways[i].InService = f.gateways[i].Zone >= zones
			}
			checkFault(t, f, 1.25)
		})
	}
}

// checkFault checks that subsets have the wanted number of serving engines on average, that every serving engine is in a subset,
// and that none has more than loadLimit times the mean load.
func checkFault(t *testing.T, f fleetModel, loadLimit float64) {
	t.Helper()
	subsets, load, sizes := f.distribution(uniform)
	engines := sizes.mean
	_, skewedLoad, _ := f.distribution(skewed)
	t.Logf("%.1f serving engines per subset, each in %.0f to %.0f subsets; maximum load over mean %.2f, with skewed traffic %.2f",
		engines, subsets.min, subsets.max, load.maxOverMean(), skewedLoad.maxOverMean())
	if size := f.config.subsetSize(1100, 800); engines < float64(size) {
		t.Errorf("%.1f serving engines per subset, want at least %d", engines, size)
	}
	if subsets.min < 1 || load.maxOverMean() > loadLimit {
		t.Errorf("an engine is in %.0f subsets, want at least 1; an engine has %.2f times the mean load, want at most %v",
			subsets.min, load.maxOverMean(), loadLimit)
	}
}

// homeHash returns the same hash of a table group and an engine as package policy uses.
func homeHash(group int, engine uint64) uint64 {
	x := uint64(group+1)*0x9e3779b97f4a7c15 ^ engine*0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return x ^ x>>29
}

// chooseHomes returns the home engine of each table group, chosen in the same way as package policy does: by rendezvous hashing,
// with the same maximum number of groups for each engine.
func chooseHomes(groups, salt int, engines []uint64) []uint64 {
	homes, count := make([]uint64, groups), map[uint64]int{}
	limit := (groups + len(engines) - 1) / len(engines)
	for group := range homes {
		available := slices.DeleteFunc(slices.Clone(engines), func(e uint64) bool { return count[e] >= limit })
		homes[group] = slices.MaxFunc(available, func(a, b uint64) int {
			return cmp.Compare(homeHash(group+salt<<32, a), homeHash(group+salt<<32, b))
		})
		count[homes[group]]++
	}
	return homes
}

// TestTableGroupHomesPerEngine checks, in the largest fleet, that few table groups have their home on the same engine, on average over
// the engines, if all gateways choose homes from the core of their subsets. For comparison, it logs the numbers of homes per group and
// of groups per engine in smaller fleets, and if homes are chosen from all engines or from the whole subset.
func TestTableGroupHomesPerEngine(t *testing.T) {
	const groups, maxGroupsPerEngine = 200, 3.2
	for _, size := range [][2]int{{300, 300}, {550, 600}, {800, 1100}} {
		f := newFleetModel(size[0], size[1], contiguous)
		all, sets := f.subsets()
		allEngines := func(int, *wantedSet) bool { return true }
		for _, c := range []struct {
			name     string
			homes    int
			eligible func(engine int, set *wantedSet) bool
		}{
			{"all engines, two homes", 2, allEngines},
			{"subset, two homes", 2, func(i int, set *wantedSet) bool { return set.marked[i] }},
			{"subset, one home", 1, func(i int, set *wantedSet) bool { return set.marked[i] }},
			{"core, one home", 1, func(i int, set *wantedSet) bool { return set.core[i] }},
		} {
			// Gateways that choose among the same engines have the same homes, so homes are cached by these engines.
			gatewaysByPair, cache := map[[2]uint64]int{}, map[string][]uint64{}
			for number, set := range sets {
				var eligible []uint64
				for i, e := range all.engines {
					if c.eligible(i, set) {
						eligible = append(eligible, e.ID)
					}
				}
				key := fmt.Sprint(number%c.homes, eligible)
				if cache[key] == nil {
					cache[key] = chooseHomes(groups, number%c.homes, eligible)
				}
				for group, home := range cache[key] {
					gatewaysByPair[[2]uint64{uint64(group), home}]++
				}
			}
			groupsPerEngine := make([]float64, len(all.engines))
			common := 0 // pairs of a group and a home that at least 1% of the gateways have
			for pair, gateways := range gatewaysByPair {
				i := slices.IndexFunc(all.engines, func(e listedEngine) bool { return e.ID == pair[1] })
				groupsPerEngine[i]++
				if gateways*100 >= len(sets) {
					common++
				}
			}
			s := spreadOf(groupsPerEngine)
			t.Logf("%d x %d, %s: %.1f homes per group, %.1f of them for at least 1%% of the gateways; groups per engine: mean %.2f, maximum %.0f",
				size[0], size[1], c.name, float64(len(gatewaysByPair))/groups, float64(common)/groups, s.mean, s.max)
			if c.name == "core, one home" && size[0] == 800 && s.mean > maxGroupsPerEngine {
				t.Errorf("mean of %.2f groups per engine, want at most %v", s.mean, maxGroupsPerEngine)
			}
		}
	}
}

func BenchmarkSetEngines(b *testing.B) {
	f := newFleetModel(800, 1100, contiguous)
	s := f.chooser(3)
	for b.Loop() {
		s.SetEngines(0, f.engines)
	}
}

func BenchmarkMeanGatewaysPerEngine(b *testing.B) {
	f := newFleetModel(800, 1100, contiguous)
	s := f.chooser(3)
	for b.Loop() {
		s.peerOverlaps = nil
		s.MeanGatewaysPerEngine()
	}
}

func BenchmarkContains(b *testing.B) {
	f := newFleetModel(800, 1100, contiguous)
	s := f.chooser(3)
	for i := 0; b.Loop(); i++ {
		s.Contains(f.engines[i%len(f.engines)].ID)
	}
}
