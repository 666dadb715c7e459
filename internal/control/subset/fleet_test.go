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

// The tables of docs/design/subset.md; go test -v prints them.

const zoneCount = 7

// A layout gives each gateway its zone.
type layout func(number, gateways int, rnd *rand.Rand) int

func contiguous(number, gateways int, _ *rand.Rand) int { return number * zoneCount / gateways }
func roundRobin(number, _ int, _ *rand.Rand) int        { return number % zoneCount }
func random(_, _ int, rnd *rand.Rand) int               { return rnd.IntN(zoneCount) }

// uneven gives zone 0 a third more gateways than the mean.
func uneven(number, _ int, _ *rand.Rand) int {
	if number%20 == 0 {
		return 0
	}
	return number % zoneCount
}

// fleetOf is a whole fleet in 2 regions with 7 zones, with the default settings and 1,625 statements a second a gateway.
func fleetOf(gateways, engines int, at layout) fleetModel {
	f := fleetModel{config: DefaultConfig()}
	f.config.Rate, f.config.Regions = 1625, [][]int{{0, 1, 2, 3}, {4, 5, 6}}
	rnd := rand.New(rand.NewPCG(uint64(gateways), uint64(engines)))
	for i := range gateways {
		f.gateways = append(f.gateways, Gateway{at(i, gateways, rnd), true})
	}
	for i := range engines {
		f.engines = append(f.engines, Engine{ID: named(i), Zone: i % zoneCount, Ready: true})
	}
	return f
}

func named(i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "engine-%d", i)
	return h.Sum64()
}

// subsets computes the subset of each gateway in service, by one view.
func (f fleetModel) subsets() (*fleet, map[int]*wantedSet) {
	all := newFleet(f.config, sortEngines(f.engines), f.gateways, orderByPosition(len(f.gateways)))
	spans, sets := map[int][]span{}, map[int]*wantedSet{}
	for number, g := range f.gateways {
		if !g.InService {
			continue
		}
		if spans[g.Zone] == nil {
			spans[g.Zone] = all.spans(g.Zone)
		}
		sets[number] = all.newWantedSet()
		sets[number].collect(all, spans[g.Zone], number)
	}
	return all, sets
}

// evenness returns how the serving engines are distributed: in how many subsets each is, and its load if each gateway distributes
// its traffic evenly over the serving engines of its subset; and how many such engines the subsets have.
func (f fleetModel) evenness(traffic func(number int) float64) (subsets, load, sizes spread) {
	all, sets := f.subsets()
	held, loads, counts := make([]float64, len(all.engines)), make([]float64, len(all.engines)), []float64{}
	for number := range f.gateways {
		set, inService := sets[number]
		if !inService {
			continue
		}
		serving := 0.0
		for i, e := range all.engines {
			if set.marked[i] && e.serves() {
				serving++
			}
		}
		counts = append(counts, serving)
		for i, e := range all.engines {
			if set.marked[i] && e.serves() {
				held[i]++
				loads[i] += traffic(number) / serving
			}
		}
	}
	serves := func(values []float64) (of []float64) {
		for i, e := range all.engines {
			if e.serves() {
				of = append(of, values[i])
			}
		}
		return of
	}
	return spreadOf(serves(held)), spreadOf(serves(loads)), spreadOf(counts)
}

// spread is the minimum, mean and maximum of some values.
type spread struct{ min, mean, max float64 }

func spreadOf(values []float64) spread {
	s := spread{min: math.Inf(1)}
	for _, v := range values {
		s.min, s.mean, s.max = min(s.min, v), s.mean+v/float64(len(values)), max(s.max, v)
	}
	return s
}

func (s spread) maxOverMean() float64 { return s.max / s.mean }

func even(int) float64 { return 1 }

// skewed gives gateways traffic by a log-normal law: the middle one gets half of the mean, one in ten twice the mean.
func skewed(number int) float64 {
	return math.Exp(rand.New(rand.NewPCG(9, uint64(number))).NormFloat64())
}

// TestBalance checks that every engine has about the same load. Where one zone has far more gateways than the others, its
// gateways use engines of other zones too. They then have larger subsets, so that load stays even and the number of
// subsets less so.
func TestBalance(t *testing.T) {
	const limit, unevenSubsetsLimit = 1.25, 1.3
	layouts := map[string]layout{"contiguous": contiguous, "round-robin": roundRobin, "random": random, "uneven": uneven}
	for _, size := range [][2]int{{300, 80}, {300, 300}, {550, 600}, {800, 1100}} {
		for name, at := range layouts {
			t.Run(fmt.Sprintf("%d x %d %s", size[0], size[1], name), func(t *testing.T) {
				f := fleetOf(size[0], size[1], at)
				subsets, load, sizes := f.evenness(even)
				t.Logf("%.1f engines, at most %.0f, subsets an engine %.0f to %.0f, most over mean %.2f, load %.2f",
					sizes.mean, sizes.max, subsets.min, subsets.max, subsets.maxOverMean(), load.maxOverMean())
				subsetsLimit := limit
				if name == "uneven" {
					subsetsLimit = unevenSubsetsLimit
				}
				if subsets.maxOverMean() > subsetsLimit || load.maxOverMean() > limit || sizes.maxOverMean() > limit {
					t.Errorf("most over mean %.2f, load %.2f, sizes %.2f", subsets.maxOverMean(), load.maxOverMean(), sizes.maxOverMean())
				}
			})
		}
	}
}

// TestEngineFaults checks that the gateways of a fleet of 800 and 1,100 replace engines that do not serve at once, without giving
// any engine too much load.
func TestEngineFaults(t *testing.T) {
	half := fleetOf(800, 1100, contiguous).chooser(400).IDs()[:41]
	cases := []struct {
		name      string
		loadLimit float64 // times the mean
		fault     func(i int, e *Engine)
	}{
		{"none", 1.25, func(int, *Engine) {}},
		{"zone 5 drains", 1.5, func(_ int, e *Engine) { e.Ready = e.Zone != 5 }},
		{"zone 5 is gone but for 8", 2, func(i int, e *Engine) { e.Ready = e.Zone != 5 || i < 56 }},
		{"zones 4 and 5 are gone", 2, func(_ int, e *Engine) { e.Ready = e.Zone != 4 && e.Zone != 5 }},
		{"a region is gone", 1.25, func(_ int, e *Engine) { e.Ready = e.Zone < 4 }},
		{"60% replaced", 1.25, func(i int, e *Engine) {
			if i%5 < 3 {
				*e = Engine{ID: named(i + 10000), Zone: e.Zone, Ready: true, WarmingUp: true}
			}
		}},
		{"half a subset drains", 1.35, func(_ int, e *Engine) { e.Ready = !slices.Contains(half, e.ID) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := fleetOf(800, 1100, contiguous)
			for i := range f.engines {
				c.fault(i, &f.engines[i])
			}
			checkFault(t, f, c.loadLimit)
		})
	}
}

// TestZoneFaults checks the same where gateways are out of service too.
func TestZoneFaults(t *testing.T) {
	t.Run("zone 5 is lost, gateways and all", func(t *testing.T) {
		f := fleetOf(800, 1100, contiguous)
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
			f := fleetOf(800, 1100, contiguous)
			for i := range f.gateways {
				f.gateways[i].InService = f.gateways[i].Zone >= zones
			}
			checkFault(t, f, 1.25)
		})
	}
}

// checkFault checks that subsets have as many serving engines as are wanted, that every engine is in one, and that none has more
// than the limit times the mean load.
func checkFault(t *testing.T, f fleetModel, loadLimit float64) {
	t.Helper()
	subsets, load, sizes := f.evenness(even)
	engines := sizes.mean
	_, skew, _ := f.evenness(skewed)
	t.Logf("%.1f engines that serve, in %.0f to %.0f subsets each, load most over mean %.2f, with skewed traffic %.2f",
		engines, subsets.min, subsets.max, load.maxOverMean(), skew.maxOverMean())
	if size := f.config.size(1100, 800); engines < float64(size) {
		t.Errorf("%.1f engines that serve, %d wanted", engines, size)
	}
	if subsets.min < 1 || load.maxOverMean() > loadLimit {
		t.Errorf("an engine in %.0f subsets, one with %.2f times the mean load", subsets.min, load.maxOverMean())
	}
}

// mixHome and homesOf choose the home engine of a table group as policy's mix and spreadEvenly do.
func mixHome(group int, engine uint64) uint64 {
	x := uint64(group+1)*0x9e3779b97f4a7c15 ^ engine*0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return x ^ x>>29
}

func homesOf(groups, salt int, engines []uint64) []uint64 {
	homes, count := make([]uint64, groups), map[uint64]int{}
	most := (groups + len(engines) - 1) / len(engines)
	for group := range homes {
		free := slices.DeleteFunc(slices.Clone(engines), func(e uint64) bool { return count[e] >= most })
		homes[group] = slices.MaxFunc(free, func(a, b uint64) int {
			return cmp.Compare(mixHome(group+salt<<32, a), mixHome(group+salt<<32, b))
		})
		count[homes[group]]++
	}
	return homes
}

// TestWarmGroups counts at how many engines each of 200 table groups has a home, and how many groups each engine is home to.
func TestWarmGroups(t *testing.T) {
	const groups, mostOfOne = 200, 3.2
	for _, size := range [][2]int{{300, 300}, {550, 600}, {800, 1100}} {
		f := fleetOf(size[0], size[1], contiguous)
		all, sets := f.subsets()
		everything := func(int, *wantedSet) bool { return true }
		for _, c := range []struct {
			name  string
			homes int
			among func(engine int, set *wantedSet) bool
		}{
			{"all engines, two homes", 2, everything},
			{"subset, two homes", 2, func(i int, set *wantedSet) bool { return set.marked[i] }},
			{"subset, one home", 1, func(i int, set *wantedSet) bool { return set.marked[i] }},
			{"core, one home", 1, func(i int, set *wantedSet) bool { return set.core[i] }},
		} {
			places, known := map[[2]uint64]int{}, map[string][]uint64{}
			for number, set := range sets {
				var among []uint64
				for i, e := range all.engines {
					if c.among(i, set) {
						among = append(among, e.ID)
					}
				}
				key := fmt.Sprint(number%c.homes, among)
				if known[key] == nil {
					known[key] = homesOf(groups, number%c.homes, among)
				}
				for group, home := range known[key] {
					places[[2]uint64{uint64(group), home}]++
				}
			}
			each := make([]float64, len(all.engines))
			much := 0
			for place, gateways := range places {
				i := slices.IndexFunc(all.engines, func(e listedEngine) bool { return e.ID == place[1] })
				each[i]++
				if gateways*100 >= len(sets) {
					much++
				}
			}
			s := spreadOf(each)
			t.Logf("%d x %d, %s: a group has %.1f engines, %.1f of them for 1%% or more of the gateways; an engine has %.2f groups, at most %.0f",
				size[0], size[1], c.name, float64(len(places))/groups, float64(much)/groups, s.mean, s.max)
			if c.name == "core, one home" && size[0] == 800 && s.mean > mostOfOne {
				t.Errorf("an engine is home to %.2f groups, over %v", s.mean, mostOfOne)
			}
		}
	}
}

func BenchmarkSetEngines(b *testing.B) {
	f := fleetOf(800, 1100, contiguous)
	s := f.chooser(3)
	for b.Loop() {
		s.SetEngines(0, f.engines)
	}
}

func BenchmarkHolders(b *testing.B) {
	f := fleetOf(800, 1100, contiguous)
	s := f.chooser(3)
	for b.Loop() {
		s.peers = nil
		s.MeanGatewaysPerEngine()
	}
}

func BenchmarkContains(b *testing.B) {
	f := fleetOf(800, 1100, contiguous)
	s := f.chooser(3)
	for i := 0; b.Loop(); i++ {
		s.Contains(f.engines[i%len(f.engines)].ID)
	}
}
