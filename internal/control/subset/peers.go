package subset

// peerOverlaps describes how much the subsets of the other gateways overlap with this gateway's subset. This gateway computes
// their subsets from its own view of the fleet.
type peerOverlaps struct {
	meanGateways float64   // mean number of gateways in service that use an engine of this subset
	overlaps     []float64 // by gateway: share of its subset that is in this subset
}

// comparePeers computes the subsets that the other gateways want, and compares them with this gateway's subset.
func (c *Chooser) comparePeers() *peerOverlaps {
	p := &peerOverlaps{meanGateways: 1, overlaps: make([]float64, len(c.gateways))}
	members := make([]bool, len(c.engines))
	for i, e := range c.engines {
		members[i] = c.Contains(e.ID)
	}
	set := c.fleet.newWantedSet()
	for zone, numbers := range c.gatewaysByZone() {
		if len(numbers) == 0 {
			continue
		}
		demands := c.fleet.demands(c.fleet.zones[zone].number)
		for _, number := range numbers {
			set.collect(c.fleet, demands, number)
			p.add(c, number, set, members)
		}
	}
	c.addUnknownZones(p)
	p.overlaps[c.number] = 1
	return p
}

// addUnknownZones adds the gateways whose zone is unknown. It counts each in proportion to the share of all engines that a
// gateway wants.
func (c *Chooser) addUnknownZones(p *peerOverlaps) {
	for number, g := range c.gateways {
		if g.Zone >= 0 || number == c.number {
			continue
		}
		if c.UsesAll() {
			p.overlaps[number] = 1
		}
		if g.InService {
			p.meanGateways += ratio(c.fleet.subsetSize, len(c.engines))
		}
	}
}

// add adds a gateway and the set that it wants. members marks the engines of this gateway's subset.
func (p *peerOverlaps) add(c *Chooser, number int, set *wantedSet, members []bool) {
	wanted, shared := 0, 0
	for engine, marked := range set.marked {
		if !marked {
			continue
		}
		wanted++
		if members[engine] {
			shared++
		}
	}
	p.overlaps[number] = ratio(shared, wanted)
	if c.gateways[number].InService {
		p.meanGateways += ratio(shared, len(c.ids))
	}
}

// gatewaysByZone returns the numbers of the other gateways whose zone is known, by the index of the zone in fleet.zones.
func (c *Chooser) gatewaysByZone() [][]int {
	lists := make([][]int, len(c.fleet.zones))
	for number, g := range c.gateways {
		if g.Zone < 0 || number == c.number {
			continue
		}
		zone := c.fleet.zoneIndex(g.Zone)
		lists[zone] = append(lists[zone], number)
	}
	return lists
}
