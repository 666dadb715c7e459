package subset

import (
	"cmp"
	"maps"
	"slices"
)

// Shares of zones are bound so that no engine gets more than twice its even part, with the unevenness of rings on top.
const (
	maxConfiguredLoad = 1.15 // times an even part, by the gateways that are configured: it moves with none that dies
	maxLiveLoad       = 1.5  // times an even part, by the gateways in service: most of the other zones' have died
)

// fleet is what one gateway knows of all: engines, gateways in service, and how both spread over zones and regions.
type fleet struct {
	size     int      // engines that serve which each gateway wants
	engines  []listed // in the order of their hash
	zoneOf   []int    // place in zones of each engine
	gateways []Gateway
	ranks    []int  // of each gateway among those configured in its zone; its number while its zone is not known
	zones    []zone // ascending
	regions  []region
	total    tally
	sharers  positions // of the gateways in service whose zone is known
}

// tally counts what a place has.
type tally struct {
	serving    int // engines
	covered    int // of these, engines in zones that have a gateway in service
	configured int // gateways whose zone is known
	inService  int // of these
}

type zone struct {
	tally
	number  int
	region  int       // place in fleet.regions
	sharers positions // of its gateways in service
	local   float64   // share of its gateways' subsets that lies in the zone itself
}

type region struct {
	tally
	sharers positions
	nearby  float64 // share of what does not lie in the own zone that still lies in the region
}

// listed is an engine of the list with its place on the unit circle, in the same units as positions.
type listed struct {
	Engine
	hash uint64
}

// sortEngines returns the list in the order of the hash, each id once, so that every order of the input gives the same.
func sortEngines(engines []Engine) []listed {
	sorted := make([]listed, len(engines))
	for i, e := range engines {
		sorted[i] = listed{e, mix64(e.ID)}
	}
	slices.SortFunc(sorted, func(a, b listed) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), compareBool(a.Ready, b.Ready), compareBool(a.Cold, b.Cold))
	})
	sorted = slices.CompactFunc(sorted, func(a, b listed) bool { return a.ID == b.ID })
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

// newFleet counts sorted engines and gateways by zone and region. Order is the gateways' numbers by their position.
func newFleet(c Config, engines []listed, gateways []Gateway, order []int) *fleet {
	f := &fleet{size: c.size(len(engines), len(gateways)), engines: engines, zoneOf: make([]int, len(engines)),
		gateways: gateways, ranks: make([]int, len(gateways)), regions: make([]region, len(c.Regions)+1)}
	f.listZones(c)
	f.countGateways()
	f.listSharers(order)
	f.countEngines()
	f.shareOut()
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

// regionOf is the place of a zone's region; zones that none names have the last place.
func (c Config) regionOf(zone int) int {
	for i, region := range c.Regions {
		if slices.Contains(region, zone) {
			return i
		}
	}
	return len(c.Regions)
}

// placeOf finds a zone that has an engine or a gateway.
func (f *fleet) placeOf(zoneNumber int) int {
	i, _ := slices.BinarySearchFunc(f.zones, zoneNumber, func(z zone, n int) int { return cmp.Compare(z.number, n) })
	return i
}

func (f *fleet) countGateways() {
	for number, g := range f.gateways {
		if g.Zone < 0 {
			f.ranks[number] = number
			continue
		}
		z := &f.zones[f.placeOf(g.Zone)]
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

// listSharers lists the gateways in service of each place.
func (f *fleet) listSharers(order []int) {
	for _, number := range order {
		g := f.gateways[number]
		if !g.InService || g.Zone < 0 {
			continue
		}
		z := &f.zones[f.placeOf(g.Zone)]
		for _, p := range []*positions{&z.sharers, &f.regions[z.region].sharers, &f.sharers} {
			*p = append(*p, position(number))
		}
	}
}

func (f *fleet) countEngines() {
	for i, e := range f.engines {
		f.zoneOf[i] = f.placeOf(e.Zone)
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

// shareOut sets which share of a gateway's subset lies in its zone, and which share of the rest in its region. A zone
// with fewer engines than its gateways need keeps what its engines can bear; the rest goes to the region as far as that
// has room, and then to all others.
func (f *fleet) shareOut() {
	kept := make([]float64, len(f.regions)) // gateways' worth of work that stays in its zone
	for i := range f.zones {
		z := &f.zones[i]
		z.local = min(1, ratio(z.serving, f.size), f.bearable(z.tally))
		kept[z.region] += z.local * float64(z.inService)
	}
	for i := range f.regions {
		r := &f.regions[i]
		room := maxLiveLoad*float64(f.total.inService)*ratio(r.serving, f.total.serving) - kept[i]
		spilled := float64(r.inService) - kept[i]
		r.nearby = 1
		if spilled > 0 {
			r.nearby = max(0, min(1, room/spilled))
		}
	}
}

// bearable is the share of its gateways' work that a place's engines can bear.
func (f *fleet) bearable(t tally) float64 {
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

// ratio is a part of a whole; 0 of nothing.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
