package scale

import "fmt"

// Members are numbered from 0, the real gateways first; members and engines take the zones in turn, so that each zone
// has its part of the real ones, the hollow ones and the engines.

// ZoneOf is the zone of a member or an engine.
func (s Sizes) ZoneOf(number int) int { return number % s.Zones }

// RegionOf is the region of a member or an engine: neighbouring zones share one.
func (s Sizes) RegionOf(number int) int { return s.ZoneOf(number) * s.Regions / s.Zones }

// ZoneName is how the list of engines names a zone.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// ZoneNames are the names of all zones.
func (s Sizes) ZoneNames() (names []string) {
	for zone := range s.Zones {
		names = append(names, ZoneName(zone))
	}
	return names
}

// ZonesByRegion are the zones of each region.
func (s Sizes) ZonesByRegion() [][]int {
	out := make([][]int, s.Regions)
	for zone := range s.Zones {
		region := s.RegionOf(zone)
		out[region] = append(out[region], zone)
	}
	return out
}

// EngineName is how the list of engines names an engine.
func EngineName(number int) string { return fmt.Sprintf("h-%08x", uint32(number+1)*2654435761) }

// MembersIn are the members of a zone.
func (s Sizes) MembersIn(zone int) []int { return s.numbersIn(zone, s.Members()) }

// EnginesIn are the engines of a zone.
func (s Sizes) EnginesIn(zone int) []int { return s.numbersIn(zone, s.Engines) }

func (s Sizes) numbersIn(zone, all int) (out []int) {
	for i := range all {
		if s.ZoneOf(i) == zone {
			out = append(out, i)
		}
	}
	return out
}

// RegionsOfMembers are the regions of all members, by number.
func (s Sizes) RegionsOfMembers() []int {
	out := make([]int, s.Members())
	for i := range out {
		out[i] = s.RegionOf(i)
	}
	return out
}
