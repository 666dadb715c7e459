package policy

import (
	"math"
	"slices"
	"time"
)

// deadlineList is a sorted list of deadlines: the paper's priority list of an engine.
type deadlineList []time.Duration

func (l *deadlineList) add(deadline time.Duration) {
	i, _ := slices.BinarySearch(*l, deadline)
	*l = slices.Insert(*l, i, deadline)
}

func (l *deadlineList) remove(deadline time.Duration) {
	if i, found := slices.BinarySearch(*l, deadline); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

// countBefore returns how many deadlines are earlier than the given one.
func (l deadlineList) countBefore(deadline time.Duration) int {
	i, _ := slices.BinarySearch(l, deadline)
	return i
}

// slidingSum is the sum of amounts within a sliding time window.
type slidingSum struct {
	times   []time.Duration
	amounts []float64
	expired int // amounts at the start that are no longer part of the sum
	sum     float64
}

func (s *slidingSum) add(now time.Duration, amount float64) {
	s.times = append(s.times, now)
	s.amounts = append(s.amounts, amount)
	s.sum += amount
}

// subtractAt lowers an amount that was added at the given time, if it is still part of the sum.
func (s *slidingSum) subtractAt(at time.Duration, amount float64) {
	if i, found := slices.BinarySearch(s.times[s.expired:], at); found {
		s.amounts[s.expired+i] -= amount
		s.sum -= amount
	}
}

// total drops the amounts that are older than span and returns the sum of the rest.
func (s *slidingSum) total(now, span time.Duration) float64 {
	for s.expired < len(s.times) && s.times[s.expired] < now-span {
		s.sum -= s.amounts[s.expired]
		s.expired++
	}
	if s.expired == len(s.times) {
		s.sum = 0 // clears rounding errors
	}
	if 2*s.expired >= len(s.times) { // moving the rest for each expired amount would take quadratic time
		s.times = slices.Delete(s.times, 0, s.expired)
		s.amounts = slices.Delete(s.amounts, 0, s.expired)
		s.expired = 0
	}
	return s.sum
}

// decayingSum is a sum of amounts that decay exponentially with the time constant recentLoadDecay.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (d *decayingSum) valueAt(now time.Duration) float64 {
	if d.updatedAt != now {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(recentLoadDecay))
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(now time.Duration, amount float64) { d.sum = d.valueAt(now) + amount }

// remove deletes every occurrence of an element from a list, in place.
func remove[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == element })
}

// filter returns the elements for which keep returns true, in order.
func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for i, element := range list {
		if keep(element) {
			if kept == nil {
				kept = make([]T, 0, len(list)-i) // growing it by append took a sixth of the time of a decision
			}
			kept = append(kept, element)
		}
	}
	return kept
}

func sumOf[T any](list []*T, value func(*T) float64) float64 {
	total := 0.0
	for _, element := range list {
		total += value(element)
	}
	return total
}

// minBy returns the engine with the smallest value, the first of several equal ones, or nil if there are no engines.
func minBy(engines []*engine, value func(*engine) float64) *engine {
	return leastLoaded(engines, func(a, b *engine) bool { return value(a) < value(b) })
}

// leastLoaded returns the least-loaded engine according to less, or nil if there are no engines. It calls less exactly
// once for each engine after the first, because less may draw a random number to break a tie.
func leastLoaded(engines []*engine, less func(a, b *engine) bool) *engine {
	var best *engine
	for _, e := range engines {
		if best == nil || less(e, best) {
			best = e
		}
	}
	return best
}

// toDuration converts a number of seconds to a time.Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// hashPair returns a hash of a table group and an engine that is the same on every gateway.
func hashPair(group int, e EngineID) uint64 {
	x := uint64(group+1)*0x9e3779b97f4a7c15 ^ uint64(e)*0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return x ^ x>>29
}
