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

// position returns the place of a gateway on the unit circle, in units of 2^-64.
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

// mix64 hashes an engine's id with the finalizer of SplitMix64, which is a bijection: no two ids have the same hash.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ring is some of a fleet's engines in the order of their hash; the first follows the last.
type ring struct {
	members []int // indices in the fleet's engines
	serving int   // engines that serve
}

// ringOf returns the ring of the engines in the zones that keep accepts.
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

// ringRange is the members [from, to) of a ring.
type ringRange struct{ from, to int }

// walkOutside calls visit with the members outside a range, once around from the one that a position points to among them,
// until visit returns false.
func (r *ring) walkOutside(excluded ringRange, at uint64, visit func(engine int) bool) {
	count := len(r.members) - (excluded.to - excluded.from)
	first, _ := bits.Mul64(at, uint64(count))
	for i := range count {
		offset := (int(first) + i) % count
		if !visit(r.members[(excluded.to+offset)%len(r.members)]) {
			return
		}
	}
}

// positions are those of some gateways in service, ascending.
type positions []uint64

// distance returns how far it is from a position to the next other one, around the circle; 0 if there is no other.
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
