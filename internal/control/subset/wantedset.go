package subset

import "math/bits"

// wantedSet is the engines that one gateway wants.
type wantedSet struct {
	engines []listedEngine
	marked  []bool // by index in engines
	core    []bool // by index in engines: in a part that many gateways share
}

func (f *fleet) newWantedSet() *wantedSet {
	return &wantedSet{engines: f.engines, marked: make([]bool, len(f.engines)), core: make([]bool, len(f.engines))}
}

// collect replaces the set by that which a gateway wants, by the spans of its zone.
func (w *wantedSet) collect(f *fleet, spans []span, number int) {
	clear(w.marked)
	clear(w.core)
	for _, s := range spans {
		w.cover(s, position(number))
		at := position(f.ranks[number])
		w.fill(s, w.addPart(s, at), at)
	}
}

// cover marks a span's engines whose hash lies between the gateway's position and that of the next owner. It depends on numbers
// and ids alone: whatever else gateways know differently, each engine is marked by one of them.
func (w *wantedSet) cover(s span, from uint64) {
	if !s.covered {
		return
	}
	length := s.owners.distance(from)
	for _, engine := range s.ring.members {
		if length == 0 || w.engines[engine].hash-from < length {
			w.marked[engine] = true
		}
	}
}

// addPart marks the part of a span's ring that a position points to, and returns it. Many gateways have the same part, so that
// they keep the same table groups warm there.
func (w *wantedSet) addPart(s span, at uint64) ringRange {
	if s.parts == 0 {
		return ringRange{}
	}
	high, _ := bits.Mul64(at, uint64(s.parts))
	number, engines := int(high), len(s.ring.members)
	part := ringRange{number * engines / s.parts, (number + 1) * engines / s.parts}
	for _, engine := range s.ring.members[part.from:part.to] {
		w.marked[engine], w.core[engine] = true, true
	}
	return part
}

// fill marks more engines of a span's ring until as many serve as are wanted. It goes around the engines outside the gateway's
// part. The gateways of one part begin at evenly distributed places, so that what they add is distributed evenly.
func (w *wantedSet) fill(s span, part ringRange, at uint64) {
	if s.serving == 0 {
		return
	}
	missing := s.serving
	for _, engine := range s.ring.members {
		if w.marked[engine] && w.engines[engine].serves() {
			missing--
		}
	}
	s.ring.walkOutside(part, at*uint64(max(1, s.parts)), func(engine int) bool {
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
