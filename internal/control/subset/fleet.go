package subset

import (
	"cmp"
	"maps"
	"slices"
)

// Limits of the load on a zone's engines, as multiples of the fleet's mean. The engines of a ring do not get exactly equal
// load, but with these limits no engine gets more than twice the mean.
const (
	maxConfiguredLoad = 1.15 // limit of the load computed for the configured gateways, so that a failed gateway does not change it
	maxLiveLoad       = 1.5  // limit of the load computed for the gateways in service; applies if most gateways of other zones have failed
)

// fleet contains all engines and gateways that a gateway knows, and their distribution over zones and regions.
type fleet struct {
	subsetSize   int            // serving engines that each gateway wants
	engines      []listedEngine // sorted by hash
	zoneOfEngine []int          // index in zones, by engine
	gateways     []Gateway
	ranks        []int  // by gateway: rank among the gateways configured in its zone, or its number if its zone is unknown
	zones        []zone // sorted by number
	regions      []region
	total        counts
	active       positions // positions of the gateways in service whose zone is known
}

// counts contains the numbers of engines and gateways in a zone, a region or the fleet. It does not include gateways whose
// zone is unknown.
type counts struct {
	serving    int // serving engines
	covered    int // serving engines in zones that have a gateway in service
	configured int // configured gateways
	inService  int // gateways in service
}

type zone struct {
	counts
	number     int
	region     int       // index in fleet.regions
	active     positions // positions of the zone's gateways in service
	localShare float64   // share of its gateways' subsets that is in the zone
}

type region struct {
	counts
	active        positions // positions of the region's gateways in service
	regionalShare float64   // share of the engines outside the gateway's zone that its gateways take from the region
}

// listedEngine is a listed engine with its hash. The hash is the engine's position on the unit circle, in units of 2^-64.
type listedEngine struct {
	Engine
	hash uint64
}

// sortEngines returns the engines sorted by hash, without duplicate IDs. The result does not depend on the order of the input.
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

// newFleet returns the fleet with the given engines, as returned by sortEngines, and gateways. order contains the numbers of
// the gateways, sorted by position.
func newFleet(c Config, engines []listedEngine, gateways []Gateway, order []int) *fleet {
	f := &fleet{subsetSize: c.subsetSize(len(engines), len(gateways)), engines: engines, zoneOfEngine: make([]int, len(engines)),
		gateways: gateways, ranks: make([]int, len(gateways)), regions: make([]region, len(c.Regions)+1)}
	f.listZones(c)
	f.countGateways()
	f.listActive(order)
	f.countEngines()
	f.computeLocality()
	return f
}

// listZones lists the zones that have an engine or a gateway.
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

// regionOf returns the index of a zone's region. The zones that are in no configured region form an additional, last one.
func (c Config) regionOf(zone int) int {
	for i, region := range c.Regions {
		if slices.Contains(region, zone) {
			return i
		}
	}
	return len(c.Regions)
}

// zoneIndex returns the index in f.zones of a zone that has an engine or a gateway.
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
		for _, c := range []*counts{&z.counts, &r.counts, &f.total} {
			c.configured++
			if g.InService {
				c.inService++
			}
		}
	}
}

// listActive lists the positions of the gateways in service, for each zone, each region and the fleet.
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
		f.zoneOfEngine[i] = f.zoneIndex(e.Zone)
		if !e.isServing() {
			continue
		}
		z := &f.zones[f.zoneOfEngine[i]]
		for _, c := range []*counts{&z.counts, &f.regions[z.region].counts, &f.total} {
			c.serving++
			if z.inService > 0 {
				c.covered++
			}
		}
	}
}

// computeLocality sets the share of a gateway's subset that is in its zone, and the share of the rest that is in its region,
// as Envoy's zone-aware routing does. A zone that has fewer engines than its gateways need keeps the traffic for which its
// engines have capacity. The rest of the traffic goes to the region, as far as the region has capacity, and then to all other
// regions.
func (f *fleet) computeLocality() {
	kept := make([]float64, len(f.regions)) // by region: traffic that stays in its zone, in units of a gateway's traffic
	for i := range f.zones {
		z := &f.zones[i]
		z.localShare = min(1, ratio(z.serving, f.subsetSize), f.localCapacity(z.counts))
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

// localCapacity returns the share of the traffic of a zone's gateways for which the zone's engines have capacity.
func (f *fleet) localCapacity(zone counts) float64 {
	engines := ratio(zone.serving, f.total.serving)
	share := 1.0
	if zone.configured > 0 {
		share = min(share, maxConfiguredLoad*engines/ratio(zone.configured, f.total.configured))
	}
	if zone.inService > 0 {
		share = min(share, maxLiveLoad*engines/ratio(zone.inService, f.total.inService))
	}
	return share
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
