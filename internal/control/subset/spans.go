package subset

import "math"

// partTolerance is the share by which a part of a ring may have fewer engines than a gateway wants.
const partTolerance = 0.1

// span is a ring of which each gateway of a zone wants some engines.
type span struct {
	ring    *ring
	parts   int       // equal parts of the ring, of which a gateway wants one; 0 = none
	serving int       // serving engines that a gateway wants
	covered bool      // each engine of the ring has to be in the subset of one of the owners at least
	owners  positions // of the gateways in service that cover the ring together
}

// spans returns the rings of which the gateways of a zone want engines, and how many of each. A zone below 0 is not known: such
// a gateway wants engines of the whole fleet.
func (f *fleet) spans(zoneNumber int) []span {
	if f.size >= len(f.engines) || f.size > f.total.serving {
		return []span{{ring: f.ringOf(anyZone), parts: 1}}
	}
	if zoneNumber < 0 {
		return []span{{ring: f.ringOf(anyZone), serving: f.size}, f.regionFailover()}
	}
	own := &f.zones[f.zoneIndex(zoneNumber)]
	inZone := span{covered: true, owners: own.active, ring: f.ringOf(func(z *zone) bool { return z == own })}
	inRegion := span{ring: f.ringOf(func(z *zone) bool { return z != own && z.region == own.region })}
	elsewhere := span{ring: f.ringOf(func(z *zone) bool { return z.region != own.region })}
	f.setParts(&inZone, &inRegion, &elsewhere)
	f.setServing(own, &inZone, &inRegion, &elsewhere)
	return []span{inZone, inRegion, elsewhere, f.zoneFailover(own.region), f.regionFailover()}
}

func anyZone(*zone) bool { return true }

// setParts sets into how many parts the rings are divided, from the nearest on, until the parts make up a subset. It counts the
// listed engines, whether they serve or not, so that the parts do not change when engines drain or restart.
func (f *fleet) setParts(spans ...*span) {
	left := f.size
	for _, s := range spans {
		if left <= 0 {
			return
		}
		engines := len(s.ring.members)
		s.parts = max(1, int(float64(engines)/(float64(left)*(1-partTolerance))))
		left -= engines
	}
}

// setServing sets how many serving engines a gateway wants of its zone, of the other zones of its region, and of other regions.
// What one of these lacks comes from the next, and finally from the nearest that has more.
func (f *fleet) setServing(own *zone, inZone, inRegion, elsewhere *span) {
	size := f.targetIn(own, inZone)
	local := min(own.serving, roundUp(own.localShare*float64(size)))
	rest := size - local
	nearby := min(inRegion.ring.serving, roundUp(f.regions[own.region].regionalShare*float64(rest)))
	far := min(elsewhere.ring.serving, rest-nearby)
	nearby = min(inRegion.ring.serving, rest-far)
	inZone.serving, inRegion.serving, elsewhere.serving = size-nearby-far, nearby, far
}

// targetIn returns the size of a subset in a zone. It is greater than elsewhere if a part of the zone has more engines than the
// local share of a subset, so that the share of the traffic that has to leave the zone does leave it.
func (f *fleet) targetIn(own *zone, inZone *span) int {
	if own.serving == 0 {
		return f.size
	}
	inPart := own.serving / inZone.parts
	return min(max(f.size, roundUp(float64(inPart)/own.localShare)), f.total.serving)
}

// roundUp rounds up, after subtracting the error of an inexact division.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-9)) }

// zoneFailover returns the span of the engines in a region's zones without a gateway in service. The region's gateways use them
// instead.
func (f *fleet) zoneFailover(region int) span {
	r := &f.regions[region]
	uncovered := f.ringOf(func(z *zone) bool { return z.region == region && z.inService == 0 })
	return f.failoverSpan(uncovered, r.covered, r.active)
}

// regionFailover returns the span of the engines in regions without a gateway in service. All gateways use them instead.
func (f *fleet) regionFailover() span {
	uncovered := f.ringOf(func(z *zone) bool { return f.regions[z.region].inService == 0 })
	return f.failoverSpan(uncovered, f.total.covered, f.active)
}

// failoverSpan returns the span of engines whose own gateways are out of service. They are added to what a gateway wants, in
// the proportion of their number to that of the covered engines: those whose gateways are in service.
func (f *fleet) failoverSpan(uncovered *ring, covered int, owners positions) span {
	serving := uncovered.serving
	if covered > 0 {
		serving = min(serving, (f.size*serving+covered-1)/covered)
	}
	return span{ring: uncovered, serving: serving, covered: true, owners: owners}
}
