package subset

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
)

// goldenStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are a low-discrepancy sequence: any run of
// them, and any regular selection, lies evenly on the circle, and adding one moves none of the others.
const goldenStep = 0x9e3779b97f4a7c15

// position is the place on the unit circle, in units of 2^-64, that a number of a gateway has.
func position(number int) uint64 { return uint64(number) * goldenStep }

// orderByPosition returns the numbers of so many gateways by their position.
func orderByPosition(gateways int) []int {
	order := make([]int, gateways)
	for number := range order {
		order[number] = number
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(position(a), position(b)) })
	return order
}

// mix64 scrambles an engine's id (the finalizer of SplitMix64). It maps no two ids alike.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ring is some of a fleet's engines in the order of their hash, closed to a circle.
type ring struct {
	members []int // places in the fleet's list
	serving int   // engines that serve
}

// ringOf makes a ring of the engines in the zones that keep accepts.
func (f *fleet) ringOf(keep func(z *zone) bool) *ring {
	kept := make([]bool, len(f.zones))
	for i := range f.zones {
		kept[i] = keep(&f.zones[i])
	}
	r := &ring{members: make([]int, 0, len(f.engines))}
	for i, e := range f.engines {
		if !kept[f.zoneOf[i]] {
			continue
		}
		r.members = append(r.members, i)
		if e.serves() {
			r.serving++
		}
	}
	return r
}

// run is the members [from, to) of a ring.
type run struct{ from, to int }

// walkOutside calls visit with the engines outside a run, once around from the place that a position falls on among them,
// until visit returns false.
func (r *ring) walkOutside(taken run, at uint64, visit func(engine int) bool) {
	engines := len(r.members) - (taken.to - taken.from)
	first, _ := bits.Mul64(at, uint64(engines))
	for i := range engines {
		outside := (int(first) + i) % engines
		if !visit(r.members[(taken.to+outside)%len(r.members)]) {
			return
		}
	}
}

// positions are those of some gateways in service, ascending.
type positions []uint64

// distance is how far it is from a position to the next other one of these, around the circle; 0 if there is no other.
func (p positions) distance(from uint64) uint64 {
	next := sort.Search(len(p), func(i int) bool { return p[i] > from })
	switch {
	case next < len(p):
		return p[next] - from
	case len(p) > 0:
		return p[0] - from
	}
	return 0
}
