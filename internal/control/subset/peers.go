package subset

// peers is what a gateway works out of the others' subsets from its own view.
type peers struct {
	holders  float64
	overlaps []float64 // by configured number
}

// countPeers goes through the subsets that the gateways want.
func (s *Chooser) countPeers() *peers {
	p := &peers{holders: 1, overlaps: make([]float64, len(s.gateways))}
	held := make([]bool, len(s.engines))
	for i, e := range s.engines {
		held[i] = s.Contains(e.ID)
	}
	set := s.fleet.newWantedSet()
	for place, numbers := range s.gatewaysByZone() {
		if len(numbers) == 0 {
			continue
		}
		spans := s.fleet.spans(s.fleet.zones[place].number)
		for _, number := range numbers {
			set.collect(s.fleet, spans, number)
			p.add(s, number, set, held)
		}
	}
	s.countUnknown(p)
	p.overlaps[s.number] = 1
	return p
}

// countUnknown counts the gateways whose zone is not known by the share of all engines that a gateway wants.
func (s *Chooser) countUnknown(p *peers) {
	for number, g := range s.gateways {
		if g.Zone >= 0 || number == s.number {
			continue
		}
		if s.All() {
			p.overlaps[number] = 1
		}
		if g.InService {
			p.holders += ratio(s.fleet.size, len(s.engines))
		}
	}
}

// add counts the set that another gateway wants.
func (p *peers) add(s *Chooser, number int, set *wantedSet, held []bool) {
	both, wanted := 0, 0
	for engine, marked := range set.marked {
		if !marked {
			continue
		}
		wanted++
		if held[engine] {
			both++
		}
	}
	p.overlaps[number] = ratio(both, wanted)
	if s.gateways[number].InService {
		p.holders += ratio(both, len(s.ids))
	}
}

// gatewaysByZone lists the other gateways of known zone by the place of that in the fleet's zones.
func (s *Chooser) gatewaysByZone() [][]int {
	lists := make([][]int, len(s.fleet.zones))
	for number, g := range s.gateways {
		if g.Zone < 0 || number == s.number {
			continue
		}
		place := s.fleet.placeOf(g.Zone)
		lists[place] = append(lists[place], number)
	}
	return lists
}
