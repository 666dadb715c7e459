package policy

import (
	"math"
	"slices"
	"time"
)

// deadlineList is a sorted list of deadlines: the paper's priority list of one engine.
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

// slidingSum is a sum of amounts over a sliding span of time.
type slidingSum struct {
	times   []time.Duration
	amounts []float64
	sum     float64
}

func (s *slidingSum) add(now time.Duration, amount float64) {
	s.times = append(s.times, now)
	s.amounts = append(s.amounts, amount)
	s.sum += amount
}

// subtractAt lowers the amount that was added at the given time, if that is still within the span.
func (s *slidingSum) subtractAt(at time.Duration, amount float64) {
	if i, found := slices.BinarySearch(s.times, at); found {
		s.amounts[i] -= amount
		s.sum -= amount
	}
}

// total drops the amounts older than span and returns the sum of the others.
func (s *slidingSum) total(now, span time.Duration) float64 {
	expired := 0
	for expired < len(s.times) && s.times[expired] < now-span {
		s.sum -= s.amounts[expired]
		expired++
	}
	if expired > 0 {
		s.times = slices.Delete(s.times, 0, expired)
		s.amounts = slices.Delete(s.amounts, 0, expired)
	}
	if len(s.times) == 0 {
		s.sum = 0 // removes the rounding error of the subtractions
	}
	return s.sum
}

// decayingSum is a sum whose parts decay exponentially, to 1/e within recentLoadDecay.
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

// filter returns the elements that keep accepts, in order.
func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for i, element := range list {
		if keep(element) {
			if kept == nil {
				kept = make([]T, 0, len(list)-i) // growing it step by step took a sixth of a decision's time
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

// minBy returns the engine of the smallest value, the first of several, or nil if there are no engines.
func minBy(engines []*engine, value func(*engine) float64) *engine {
	return leastLoaded(engines, func(a, b *engine) bool { return value(a) < value(b) })
}

// leastLoaded returns the first engine such that no later one is less loaded, or nil if there are no engines. less
// need not be a strict order: it may decide ties by chance, so it is called exactly once per engine after the first.
func leastLoaded(engines []*engine, less func(a, b *engine) bool) *engine {
	var best *engine
	for _, e := range engines {
		if best == nil || less(e, best) {
			best = e
		}
	}
	return best
}

// toDuration converts seconds to a time.Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// hashPair hashes a table group and an engine into one number, which is the same at every gateway.
func hashPair(group int, e EngineID) uint64 {
	x := uint64(group+1)*0x9e3779b97f4a7c15 ^ uint64(e)*0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return x ^ x>>29
}
