package scale

import "fmt"

// Members are numbered from 0, the real gateways first. Members and engines are assigned to zones round-robin, so that the
// zones have equal numbers of real gateways, hollow gateways and engines, give or take one.

// ZoneOf returns the zone of a member or an engine.
func (s Sizes) ZoneOf(number int) int { return number % s.Zones }

// RegionOf returns the region of a member or an engine. A region is a range of zones.
func (s Sizes) RegionOf(number int) int { return s.ZoneOf(number) * s.Regions / s.Zones }

// ZoneName returns the name that a zone has in the engine list.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// ZoneNames returns the names of all zones.
func (s Sizes) ZoneNames() (names []string) {
	for zone := range s.Zones {
		names = append(names, ZoneName(zone))
	}
	return names
}

// ZonesByRegion returns the zones of each region.
func (s Sizes) ZonesByRegion() [][]int {
	out := make([][]int, s.Regions)
	for zone := range s.Zones {
		region := s.RegionOf(zone)
		out[region] = append(out[region], zone)
	}
	return out
}

// EngineName returns the name that an engine has in the engine list.
func EngineName(number int) string { return fmt.Sprintf("h-%08x", uint32(number+1)*2654435761) }

// MembersIn returns the indexes of the members of a zone.
func (s Sizes) MembersIn(zone int) []int { return s.indexesInZone(zone, s.Members()) }

// EnginesIn returns the indexes of the engines of a zone.
func (s Sizes) EnginesIn(zone int) []int { return s.indexesInZone(zone, s.Engines) }

func (s Sizes) indexesInZone(zone, count int) (out []int) {
	for i := range count {
		if s.ZoneOf(i) == zone {
			out = append(out, i)
		}
	}
	return out
}

// MemberRegions returns the region of each member, by member index.
func (s Sizes) MemberRegions() []int {
	out := make([]int, s.Members())
	for i := range out {
		out[i] = s.RegionOf(i)
	}
	return out
}
