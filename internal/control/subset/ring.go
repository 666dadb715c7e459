package subset

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
)

// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are a low-discrepancy sequence: consecutive
// multiples, and multiples at regular intervals, are evenly distributed on the circle, and an additional one does not move the
// others.
const goldenRatioStep = 0x9e3779b97f4a7c15

// position returns the position of a gateway on the unit circle, in units of 2^-64.
func position(number int) uint64 { return uint64(number) * goldenRatioStep }

// orderByPosition returns the numbers from 0 to gateways-1, sorted by position.
func orderByPosition(gateways int) []int {
	order := make([]int, gateways)
	for number := range order {
		order[number] = number
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(position(a), position(b)) })
	return order
}

// mix64 hashes an engine ID with the finalizer of SplitMix64. This is a bijection, so different IDs have different hashes.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ring is a circular list of some of a fleet's engines, sorted by hash.
type ring struct {
	members []int // indices in fleet.engines
	serving int   // number of serving engines
}

// ringOf returns the ring of the engines in the zones for which include returns true.
func (f *fleet) ringOf(include func(z *zone) bool) *ring {
	included := make([]bool, len(f.zones))
	for i := range f.zones {
		included[i] = include(&f.zones[i])
	}
	r := &ring{members: make([]int, 0, len(f.engines))}
	for i, e := range f.engines {
		if !included[f.zoneOfEngine[i]] {
			continue
		}
		r.members = append(r.members, i)
		if e.isServing() {
			r.serving++
		}
	}
	return r
}

// ringRange is the half-open range [from, to) of a ring's members.
type ringRange struct{ from, to int }

// walkOutside calls visit for each member outside the excluded range until visit returns false. It starts with the member that
// the position at selects, and goes around the ring once.
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

// positions contains the positions of some gateways in service in ascending order.
type positions []uint64

// distanceToNext returns the distance on the circle from a position to the next other position, or 0 if there is no other.
func (p positions) distanceToNext(from uint64) uint64 {
	next := sort.Search(len(p), func(i int) bool { return p[i] > from })
	switch {
	case next < len(p):
		return p[next] - from
	case len(p) > 0:
		return p[0] - from
	}
	return 0
}
