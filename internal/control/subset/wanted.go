package subset

import (
	"math"
	"math/bits"
)

// partTolerance is the share by which a part of a ring may have fewer engines than a gateway wants of it.
const partTolerance = 0.1

// span is a ring of which each gateway of a zone wants some engines.
type span struct {
	ring    *ring
	parts   int       // equal parts of the ring, of which a gateway wants one whole; 0 = none
	serving int       // engines that serve which a gateway wants
	covered bool      // whether no engine of the ring may be left out by all
	sharers positions // of the gateways in service that see to that together
}

// spans lists the rings that the gateways of a zone share, and how much of each a gateway wants. A zone below 0 is not
// known: such a gateway takes its engines from the whole fleet.
func (f *fleet) spans(zoneNumber int) []span {
	if f.size >= len(f.engines) || f.size > f.total.serving {
		return []span{{ring: f.ringOf(anyZone), parts: 1}}
	}
	if zoneNumber < 0 {
		return []span{{ring: f.ringOf(anyZone), serving: f.size}, f.orphanRegions()}
	}
	own := &f.zones[f.placeOf(zoneNumber)]
	inZone := span{covered: true, sharers: own.sharers, ring: f.ringOf(func(z *zone) bool { return z == own })}
	inRegion := span{ring: f.ringOf(func(z *zone) bool { return z != own && z.region == own.region })}
	elsewhere := span{ring: f.ringOf(func(z *zone) bool { return z.region != own.region })}
	f.split(&inZone, &inRegion, &elsewhere)
	f.divide(own, &inZone, &inRegion, &elsewhere)
	return []span{inZone, inRegion, elsewhere, f.orphanZones(own.region), f.orphanRegions()}
}

func anyZone(*zone) bool { return true }

// split sets into how many parts the rings fall, from the nearest on, until the parts make up a subset. That goes by the
// engines that are listed, whether they serve or not, so that it stays as it is when they drain or restart.
func (f *fleet) split(spans ...*span) {
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

// divide sets how many engines that serve a gateway wants of its zone, of the other zones of its region, and of other
// regions. What one of these lacks comes from the next, and in the end from the nearest that has more.
func (f *fleet) divide(own *zone, inZone, inRegion, elsewhere *span) {
	size := f.sizeIn(own, inZone)
	local := min(own.serving, roundUp(own.local*float64(size)))
	rest := size - local
	nearby := min(inRegion.ring.serving, roundUp(f.regions[own.region].nearby*float64(rest)))
	far := min(elsewhere.ring.serving, rest-nearby)
	nearby = min(inRegion.ring.serving, rest-far)
	inZone.serving, inRegion.serving, elsewhere.serving = size-nearby-far, nearby, far
}

// sizeIn is the size of a subset in a zone: more than elsewhere where the zone's parts have more engines than the local
// share of it, so that what has to leave the zone leaves.
func (f *fleet) sizeIn(own *zone, inZone *span) int {
	if own.serving == 0 {
		return f.size
	}
	inPart := own.serving / inZone.parts
	return min(max(f.size, roundUp(float64(inPart)/own.local)), f.total.serving)
}

// roundUp rounds up, but for what an inexact division has added.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-9)) }

// orphanZones is the span of the engines in a region's zones without a gateway in service. The region's gateways take
// them over.
func (f *fleet) orphanZones(region int) span {
	r := &f.regions[region]
	orphans := f.ringOf(func(z *zone) bool { return z.region == region && z.inService == 0 })
	return f.takeOver(orphans, r.covered, r.sharers)
}

// orphanRegions is the span of the engines in regions without a gateway in service. All gateways take them over.
func (f *fleet) orphanRegions() span {
	orphans := f.ringOf(func(z *zone) bool { return f.regions[z.region].inService == 0 })
	return f.takeOver(orphans, f.total.covered, f.sharers)
}

// takeOver is the span of engines whose own gateways are out of service. They come on top of what a gateway wants, in
// the proportion in which their number stands to that of the engines whose gateways are in service.
func (f *fleet) takeOver(orphans *ring, covered int, sharers positions) span {
	serving := orphans.serving
	if covered > 0 {
		serving = min(serving, (f.size*serving+covered-1)/covered)
	}
	return span{ring: orphans, serving: serving, covered: true, sharers: sharers}
}

// wantedSet is the engines that one gateway wants.
type wantedSet struct {
	engines []listed
	marked  []bool // by place in engines
	core    []bool // likewise: in a part that the gateway shares with many
}

func (f *fleet) newWantedSet() *wantedSet {
	return &wantedSet{engines: f.engines, marked: make([]bool, len(f.engines)), core: make([]bool, len(f.engines))}
}

// collect makes it the set that a gateway wants, by the spans of its zone.
func (w *wantedSet) collect(f *fleet, spans []span, number int) {
	clear(w.marked)
	clear(w.core)
	for _, s := range spans {
		w.cover(s, position(number))
		at := position(f.ranks[number])
		w.fill(s, w.takePart(s, at), at)
	}
}

// cover marks a span's engines whose hash lies between the gateway's position and that of the next one in service. That
// goes by numbers and ids alone: whatever else gateways know differently, each engine falls to one of them.
func (w *wantedSet) cover(s span, from uint64) {
	if !s.covered {
		return
	}
	length := s.sharers.distance(from)
	for _, engine := range s.ring.members {
		if length == 0 || w.engines[engine].hash-from < length {
			w.marked[engine] = true
		}
	}
}

// takePart marks the part of a span's ring that a position falls into, and returns it. It is the same part for many
// gateways, so that they keep the same table groups warm there.
func (w *wantedSet) takePart(s span, at uint64) run {
	if s.parts == 0 {
		return run{}
	}
	high, _ := bits.Mul64(at, uint64(s.parts))
	part, engines := int(high), len(s.ring.members)
	taken := run{part * engines / s.parts, (part + 1) * engines / s.parts}
	for _, engine := range s.ring.members[taken.from:taken.to] {
		w.marked[engine], w.core[engine] = true, true
	}
	return taken
}

// fill marks more engines of a span's ring until so many as are wanted serve. It goes around what the part that was taken
// leaves over, and the gateways of one part begin all around that, so that what they add is spread evenly.
func (w *wantedSet) fill(s span, taken run, at uint64) {
	if s.serving == 0 {
		return
	}
	missing := s.serving
	for _, engine := range s.ring.members {
		if w.marked[engine] && w.engines[engine].serves() {
			missing--
		}
	}
	s.ring.walkOutside(taken, at*uint64(max(1, s.parts)), func(engine int) bool {
		if missing <= 0 {
			return false
		}
		if !w.marked[engine] && w.engines[engine].serves() {
			missing--
		}
		w.marked[engine] = true
		return true
	})
}
