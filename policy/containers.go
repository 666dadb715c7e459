package policy

import (
	"math"
	"slices"
	"time"
)

// deadlineList keeps deadlines sorted; it decides nothing.
type deadlineList []time.Duration

func (l *deadlineList) add(d time.Duration) {
	i, _ := slices.BinarySearch(*l, d)
	*l = slices.Insert(*l, i, d)
}

func (l *deadlineList) remove(d time.Duration) {
	if i, found := slices.BinarySearch(*l, d); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

// before counts the deadlines that come before d.
func (l deadlineList) before(d time.Duration) int {
	i, _ := slices.BinarySearch(l, d)
	return i
}

// window sums amounts over a sliding span; it decides nothing.
type window struct {
	at     []time.Duration
	amount []float64
	sum    float64
}

func (w *window) add(now time.Duration, amount float64) {
	w.at = append(w.at, now)
	w.amount = append(w.amount, amount)
	w.sum += amount
}

// take lowers what was added at a time, if that is still in the window.
func (w *window) take(at time.Duration, amount float64) {
	if i, found := slices.BinarySearch(w.at, at); found {
		w.amount[i] -= amount
		w.sum -= amount
	}
}

// total drops what is older than span and returns the rest's sum.
func (w *window) total(now, span time.Duration) float64 {
	n := 0
	for n < len(w.at) && w.at[n] < now-span {
		w.sum -= w.amount[n]
		n++
	}
	if n > 0 {
		w.at, w.amount = slices.Delete(w.at, 0, n), slices.Delete(w.amount, 0, n)
	}
	if len(w.at) == 0 {
		w.sum = 0
	}
	return w.sum
}

// fading is a sum whose parts fade to 1/e in groupFade; it decides nothing.
type fading struct {
	sum float64
	at  time.Duration
}

func (f *fading) now(now time.Duration) float64 {
	if f.at != now {
		f.sum *= math.Exp(-float64(now-f.at) / float64(groupFade))
		f.at = now
	}
	return f.sum
}

func (f *fading) add(now time.Duration, amount float64) { f.sum = f.now(now) + amount }

// without drops x from a list in place.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(o T) bool { return o == x })
}

// least returns the engine of least value, the first among equals; nil of an empty list.
func least(engines []*engine, value func(*engine) float64) *engine {
	return lightest(engines, func(a, b *engine) bool { return value(a) < value(b) })
}

// filter returns the elements that keep accepts, in order.
func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for i, x := range list {
		if keep(x) {
			if kept == nil {
				kept = make([]T, 0, len(list)-i) // at once: growing it took a sixth of a decision
			}
			kept = append(kept, x)
		}
	}
	return kept
}

func sum[T any](list []*T, value func(*T) float64) float64 {
	total := 0.0
	for _, x := range list {
		total += value(x)
	}
	return total
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lightest returns the first element that no other is lighter than; nil of an empty list.
func lightest(engines []*engine, lighter func(a, b *engine) bool) *engine {
	var best *engine
	for _, e := range engines {
		if best == nil || lighter(e, best) {
			best = e
		}
	}
	return best
}

// mix scrambles a group's and an engine's number into one, the same at every gateway.
func mix(id int, e EngineID) uint64 {
	x := uint64(id+1)*0x9e3779b97f4a7c15 ^ uint64(e)*0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return x ^ x>>29
}

// figure reads a value of a report, if it is there and makes sense.
func figure(r Report, f Metric) (float64, bool) {
	v, ok := r.Values[f]
	return v, ok && r.Present && v >= 0 && !math.IsInf(v, 0)
}

// spreadEvenly gives each number an engine: of those with less than an even part of the numbers, the one with the
// highest mix of both; each salt gives another spread.
func spreadEvenly(ids []int, engines []*engine, salt int) map[int]*engine {
	homes, count := map[int]*engine{}, map[EngineID]int{}
	most := (len(ids) + len(engines) - 1) / max(1, len(engines))
	for _, id := range ids {
		var best *engine
		for _, e := range engines {
			if count[e.ID] < most && (best == nil || mix(id+salt<<32, e.ID) > mix(id+salt<<32, best.ID)) {
				best = e
			}
		}
		if best != nil {
			count[best.ID]++
		}
		homes[id] = best
	}
	return homes
}

// homeEngines are the ready engines where table groups may start: those that are no overflow, or all if there is no other;
// of these the near ones.
func (g *Gateway) homeEngines() []*engine {
	if shared := filter(g.ready, func(e *engine) bool { return !e.Overflow }); len(shared) > 0 {
		return g.nearFirst(shared)
	}
	return g.nearFirst(g.ready)
}

// homesOf is how many homes a group has. Few gateways do not crowd one, and two would only read the group cold; gateways
// that work with subsets of the engines have different homes anyway.
func (g *Gateway) homesOf() int {
	if g.s.Gateways < homesFrom || g.subset {
		return 1
	}
	return 2
}

// few narrows engines that count as equal down to two, drawn by chance, for a gateway that holds less than a query an
// engine. What it believes of their load all others believe too: they would all run to the one last told to be
// least loaded (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (g *Gateway) few(engines []*engine) []*engine {
	if len(engines) <= 2 || g.inService < 2 || g.threads >= g.wave*float64(len(g.ready)) {
		return engines
	}
	i, j := g.rnd.IntN(len(engines)), g.rnd.IntN(len(engines)-1)
	if j >= i {
		j++
	}
	return []*engine{engines[i], engines[j]}
}
