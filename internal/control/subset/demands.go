package subset

import "math"

// partTolerance is the fraction by which a part of a ring may have fewer engines than a gateway wants.
const partTolerance = 0.1

// demand says which engines of a ring each gateway of a zone wants.
type demand struct {
	ring     *ring
	parts    int       // number of equal parts of the ring, one of which each gateway wants; 0 = a gateway wants no part
	serving  int       // number of serving engines that a gateway wants
	coverAll bool      // every engine of the ring has to be in the subset of at least one owner
	owners   positions // positions of the gateways in service that together cover the ring
}

// demands returns the demands of the gateways of a zone. A negative zone is unknown: a gateway in an unknown zone wants
// engines from the whole fleet.
func (f *fleet) demands(zoneNumber int) []demand {
	if f.subsetSize >= len(f.engines) || f.subsetSize > f.total.serving {
		return []demand{{ring: f.ringOf(anyZone), parts: 1}}
	}
	if zoneNumber < 0 {
		return []demand{{ring: f.ringOf(anyZone), serving: f.subsetSize}, f.regionFailover()}
	}
	own := &f.zones[f.zoneIndex(zoneNumber)]
	inZone := demand{coverAll: true, owners: own.active, ring: f.ringOf(func(z *zone) bool { return z == own })}
	inRegion := demand{ring: f.ringOf(func(z *zone) bool { return z != own && z.region == own.region })}
	elsewhere := demand{ring: f.ringOf(func(z *zone) bool { return z.region != own.region })}
	f.setParts(&inZone, &inRegion, &elsewhere)
	f.setServing(own, &inZone, &inRegion, &elsewhere)
	return []demand{inZone, inRegion, elsewhere, f.zoneFailover(own.region), f.regionFailover()}
}

func anyZone(*zone) bool { return true }

// setParts sets the number of parts of each ring, starting with the nearest, until the parts contain enough engines for a
// subset. It counts all listed engines, including those that are not serving, so that the parts do not change when engines
// drain or restart.
func (f *fleet) setParts(demands ...*demand) {
	missing := f.subsetSize
	for _, d := range demands {
		if missing <= 0 {
			return
		}
		engines := len(d.ring.members)
		d.parts = max(1, int(float64(engines)/(float64(missing)*(1-partTolerance))))
		missing -= engines
	}
}

// setServing sets the number of serving engines that a gateway wants from its zone, from the other zones of its region, and
// from other regions. If one of these has too few engines, the next one supplies the rest. If the other regions have too few,
// the region supplies the rest, and then the zone.
func (f *fleet) setServing(own *zone, inZone, inRegion, elsewhere *demand) {
	target := f.targetIn(own, inZone)
	local := min(own.serving, roundUp(own.localShare*float64(target)))
	outside := target - local
	regional := min(inRegion.ring.serving, roundUp(f.regions[own.region].regionalShare*float64(outside)))
	remote := min(elsewhere.ring.serving, outside-regional)
	regional = min(inRegion.ring.serving, outside-remote)
	inZone.serving, inRegion.serving, elsewhere.serving = target-regional-remote, regional, remote
}

// targetIn returns the subset size of the gateways in a zone. It is larger than f.subsetSize if a part of the zone's ring has
// more engines than the local share of f.subsetSize. Otherwise too much of the traffic would stay in the zone.
func (f *fleet) targetIn(own *zone, inZone *demand) int {
	if own.serving == 0 {
		return f.subsetSize
	}
	enginesPerPart := own.serving / inZone.parts
	return min(max(f.subsetSize, roundUp(float64(enginesPerPart)/own.localShare)), f.total.serving)
}

// roundUp rounds up to an integer. It tolerates small floating-point errors above an integer.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-9)) }

// zoneFailover returns the demand for the engines of a region that are in zones without a gateway in service. All gateways of
// the region share these engines.
func (f *fleet) zoneFailover(region int) demand {
	r := &f.regions[region]
	uncovered := f.ringOf(func(z *zone) bool { return z.region == region && z.inService == 0 })
	return f.failoverDemand(uncovered, r.covered, r.active)
}

// regionFailover returns the demand for the engines in regions without a gateway in service. All gateways of the fleet share
// these engines.
func (f *fleet) regionFailover() demand {
	uncovered := f.ringOf(func(z *zone) bool { return f.regions[z.region].inService == 0 })
	return f.failoverDemand(uncovered, f.total.covered, f.active)
}

// failoverDemand returns the demand for engines whose own gateways are out of service. A gateway wants these in addition to
// its other engines, and in the same proportion: it wants a share of subsetSize/covered of the serving ones, where covered is
// the number of serving engines whose own gateways are in service.
func (f *fleet) failoverDemand(uncovered *ring, covered int, owners positions) demand {
	serving := uncovered.serving
	if covered > 0 {
		serving = min(serving, (f.subsetSize*serving+covered-1)/covered)
	}
	return demand{ring: uncovered, serving: serving, coverAll: true, owners: owners}
}
