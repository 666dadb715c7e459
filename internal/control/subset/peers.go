package subset

// peers is how the subsets of the other gateways relate to the own one, as computed from this gateway'c view.
type peers struct {
	holders  float64   // mean gateways in service that use an engine of the own subset
	overlaps []float64 // by gateway: the share of its subset that lies in the own one
}

// computePeers computes the subsets that the other gateways want, and compares them with the own one.
func (c *Chooser) computePeers() *peers {
	p := &peers{holders: 1, overlaps: make([]float64, len(c.gateways))}
	members := make([]bool, len(c.engines))
	for i, e := range c.engines {
		members[i] = c.Contains(e.ID)
	}
	set := c.fleet.newWantedSet()
	for zone, numbers := range c.gatewaysByZone() {
		if len(numbers) == 0 {
			continue
		}
		spans := c.fleet.spans(c.fleet.zones[zone].number)
		for _, number := range numbers {
			set.collect(c.fleet, spans, number)
			p.add(c, number, set, members)
		}
	}
	c.addUnknownZones(p)
	p.overlaps[c.number] = 1
	return p
}

// addUnknownZones adds the gateways whose zone is not known, each with the share of all engines that a gateway wants.
func (c *Chooser) addUnknownZones(p *peers) {
	for number, g := range c.gateways {
		if g.Zone >= 0 || number == c.number {
			continue
		}
		if c.UsesAll() {
			p.overlaps[number] = 1
		}
		if g.InService {
			p.holders += ratio(c.fleet.size, len(c.engines))
		}
	}
}

// add adds a gateway with the set that it wants; members are the engines of the own subset.
func (p *peers) add(c *Chooser, number int, set *wantedSet, members []bool) {
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
		p.holders += ratio(shared, len(c.ids))
	}
}

// gatewaysByZone lists the other gateways whose zone is known, by the zone'c index in the fleet'c zones.
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
