package subset

import "math/bits"

// wantedSet is the set of engines that a gateway wants.
type wantedSet struct {
	engines []listedEngine
	marked  []bool // by index in engines: in the set
	core    []bool // by index in engines: in a part of a ring that many gateways share
}

func (f *fleet) newWantedSet() *wantedSet {
	return &wantedSet{engines: f.engines, marked: make([]bool, len(f.engines)), core: make([]bool, len(f.engines))}
}

// collect replaces the set with the engines that a gateway wants, according to the demands of its zone.
func (w *wantedSet) collect(f *fleet, demands []demand, number int) {
	clear(w.marked)
	clear(w.core)
	for _, d := range demands {
		w.cover(d, position(number))
		at := position(f.ranks[number])
		w.fill(d, w.addPart(d, at), at)
	}
}

// cover marks the engines of a demand's ring whose hash is between the gateway's position and that of the next owner. The
// result depends only on gateway numbers and engine IDs, so that each engine is marked by one of the gateways even if they
// disagree about the rest of the fleet's state.
func (w *wantedSet) cover(d demand, from uint64) {
	if !d.coverAll {
		return
	}
	length := d.owners.distanceToNext(from)
	for _, engine := range d.ring.members {
		if length == 0 || w.engines[engine].hash-from < length {
			w.marked[engine] = true
		}
	}
}

// addPart marks the part of a demand's ring that a position selects, and returns it. Many gateways share a part, so that they
// keep the same table groups warm on its engines.
func (w *wantedSet) addPart(d demand, at uint64) ringRange {
	if d.parts == 0 {
		return ringRange{}
	}
	high, _ := bits.Mul64(at, uint64(d.parts))
	number, engines := int(high), len(d.ring.members)
	part := ringRange{number * engines / d.parts, (number + 1) * engines / d.parts}
	for _, engine := range d.ring.members[part.from:part.to] {
		w.marked[engine], w.core[engine] = true, true
	}
	return part
}

// fill marks further engines of a demand's ring until the demand's number of serving engines is marked. It walks around the
// engines outside the gateway's part. The gateways that share a part start at evenly distributed positions, so that the
// engines that they add are evenly distributed too.
func (w *wantedSet) fill(d demand, part ringRange, at uint64) {
	if d.serving == 0 {
		return
	}
	missing := d.serving
	for _, engine := range d.ring.members {
		if w.marked[engine] && w.engines[engine].isServing() {
			missing--
		}
	}
	d.ring.walkOutside(part, at*uint64(max(1, d.parts)), func(engine int) bool {
		if missing <= 0 {
			return false
		}
		if !w.marked[engine] && w.engines[engine].isServing() {
			missing--
		}
		w.marked[engine] = true
		return true
	})
}
