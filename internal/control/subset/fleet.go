package subset

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds of the load of a zone's engines, as a multiple of the fleet's mean. With the unevenness of rings on top, no engine gets
// more than twice the mean.
const (
	maxConfiguredLoad = 1.15 // by the configured gateways: it does not change when one fails
	maxLiveLoad       = 1.5  // by the gateways in service: reached when most gateways of other zones have failed
)

// fleet is what one gateway knows of all engines and gateways, and how both are distributed over zones and regions.
type fleet struct {
	size     int            // serving engines that each gateway wants
	engines  []listedEngine // in the order of their hash
	zoneOf   []int          // index in zones, by engine
	gateways []Gateway
	ranks    []int  // by gateway: its rank among those configured in its zone, or its number while its zone is not known
	zones    []zone // ascending
	regions  []region
	total    tally
	active   positions // of the gateways in service whose zone is known
}

// tally counts the engines and gateways of a zone, a region or the fleet.
type tally struct {
	serving    int // engines
	covered    int // of these, engines in zones that have a gateway in service
	configured int // gateways whose zone is known
	inService  int // of these
}

type zone struct {
	tally
	number     int
	region     int       // index in fleet.regions
	active     positions // of its gateways in service
	localShare float64   // share of its gateways' subsets that lies in the zone
}

type region struct {
	tally
	active        positions
	regionalShare float64 // of the rest of these subsets: the share that lies in the region
}

// listedEngine is an engine of the list with its hash: its place on the unit circle, in the units of positions.
type listedEngine struct {
	Engine
	hash uint64
}

// sortEngines returns the list in the order of the hash, each id once. The result does not depend on the order of the input.
func sortEngines(engines []Engine) []listedEngine {
	sorted := make([]listedEngine, len(engines))
	for i, e := range engines {
		sorted[i] = listedEngine{e, mix64(e.ID)}
	}
	slices.SortFunc(sorted, func(a, b listedEngine) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), compareBool(a.Ready, b.Ready), compareBool(a.WarmingUp, b.WarmingUp))
	})
	sorted = slices.CompactFunc(sorted, func(a, b listedEngine) bool { return a.ID == b.ID })
	return sorted[:min(len(sorted), MaxEngines)]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// newFleet counts sorted engines and gateways by zone and region; order is the gateways' numbers by their position.
func newFleet(c Config, engines []listedEngine, gateways []Gateway, order []int) *fleet {
	f := &fleet{size: c.size(len(engines), len(gateways)), engines: engines, zoneOf: make([]int, len(engines)),
		gateways: gateways, ranks: make([]int, len(gateways)), regions: make([]region, len(c.Regions)+1)}
	f.listZones(c)
	f.countGateways()
	f.listActive(order)
	f.countEngines()
	f.setLocality()
	return f
}

// listZones collects the zones that an engine or a gateway is in.
func (f *fleet) listZones(c Config) {
	known := map[int]bool{}
	for _, e := range f.engines {
		known[e.Zone] = true
	}
	for _, g := range f.gateways {
		if g.Zone >= 0 {
			known[g.Zone] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(known)) {
		f.zones = append(f.zones, zone{number: number, region: c.regionOf(number)})
	}
}

// regionOf returns the index of a zone's region. Zones that no region names are in one more, the last.
func (c Config) regionOf(zone int) int {
	for i, region := range c.Regions {
		if slices.Contains(region, zone) {
			return i
		}
	}
	return len(c.Regions)
}

// zoneIndex returns the index in zones of a zone that has an engine or a gateway.
func (f *fleet) zoneIndex(zoneNumber int) int {
	i, _ := slices.BinarySearchFunc(f.zones, zoneNumber, func(z zone, n int) int { return cmp.Compare(z.number, n) })
	return i
}

func (f *fleet) countGateways() {
	for number, g := range f.gateways {
		if g.Zone < 0 {
			f.ranks[number] = number
			continue
		}
		z := &f.zones[f.zoneIndex(g.Zone)]
		r := &f.regions[z.region]
		f.ranks[number] = z.configured
		for _, t := range []*tally{&z.tally, &r.tally, &f.total} {
			t.configured++
			if g.InService {
				t.inService++
			}
		}
	}
}

// listActive lists the positions of the gateways in service of each zone, of each region and of the fleet.
func (f *fleet) listActive(order []int) {
	for _, number := range order {
		g := f.gateways[number]
		if !g.InService || g.Zone < 0 {
			continue
		}
		z := &f.zones[f.zoneIndex(g.Zone)]
		for _, p := range []*positions{&z.active, &f.regions[z.region].active, &f.active} {
			*p = append(*p, position(number))
		}
	}
}

func (f *fleet) countEngines() {
	for i, e := range f.engines {
		f.zoneOf[i] = f.zoneIndex(e.Zone)
		if !e.serves() {
			continue
		}
		z := &f.zones[f.zoneOf[i]]
		for _, t := range []*tally{&z.tally, &f.regions[z.region].tally, &f.total} {
			t.serving++
			if z.inService > 0 {
				t.covered++
			}
		}
	}
}

// setLocality sets which share of a gateway's subset lies in its zone, and which share of the rest in its region, as Envoy's
// zone-aware routing does. A zone with fewer engines than its gateways need keeps what its engines have capacity for; the rest
// goes to the region as far as that has capacity, and then to all others.
func (f *fleet) setLocality() {
	kept := make([]float64, len(f.regions)) // by region: gateways' worth of traffic that stays in its zone
	for i := range f.zones {
		z := &f.zones[i]
		z.localShare = min(1, ratio(z.serving, f.size), f.localCapacity(z.tally))
		kept[z.region] += z.localShare * float64(z.inService)
	}
	for i := range f.regions {
		r := &f.regions[i]
		capacity := maxLiveLoad*float64(f.total.inService)*ratio(r.serving, f.total.serving) - kept[i]
		spilled := float64(r.inService) - kept[i]
		r.regionalShare = 1
		if spilled > 0 {
			r.regionalShare = max(0, min(1, capacity/spilled))
		}
	}
}

// localCapacity returns the share of its gateways' traffic for which a zone's engines have capacity.
func (f *fleet) localCapacity(t tally) float64 {
	engines := ratio(t.serving, f.total.serving)
	share := 1.0
	if t.configured > 0 {
		share = min(share, maxConfiguredLoad*engines/ratio(t.configured, f.total.configured))
	}
	if t.inService > 0 {
		share = min(share, maxLiveLoad*engines/ratio(t.inService, f.total.inService))
	}
	return share
}

// ratio returns a part of a whole, 0 if the whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
