package capacity

import (
	"cmp"
	"slices"
)

// RankedRequirement is a requirement with the smallest fleet, on the way from today's to the target, that misses it.
type RankedRequirement struct {
	Requirement
	Missed              bool    // on the way, at the target at the latest
	Gateways, Engines   float64 // the smallest fleet that misses it, or the target
	AtCurrent, AtTarget float64 // use over limit
	position            float64 // of that fleet, see fleetAt
}

// fleetAt returns the fleet at a position on the way to the target: 0 is no fleet, 1 is today's and 2 the target. In
// between the numbers of gateways and engines grow linearly.
func (m Model) fleetAt(position float64) (gateways, engines float64) {
	from, to := CurrentFleet(), m.Target.Fleet
	if position <= currentPosition {
		return from.Gateways * position, from.Engines * position
	}
	fraction := position - currentPosition
	return from.Gateways + fraction*(to.Gateways-from.Gateways), from.Engines + fraction*(to.Engines-from.Engines)
}

// The way to the target is searched in coarse steps, and the step in which a requirement is first missed by bisection.
const (
	currentPosition = 1.0
	targetPosition  = 2.0
	searchSteps     = 64
	bisections      = 16
)

// firstMissed returns the first position at which a requirement is missed; ok is false if the target meets it.
func (m Model) firstMissed(factor func(gateways, engines float64) float64) (position float64, ok bool) {
	isMissed := func(position float64) bool { return factor(m.fleetAt(position)) > 1 }
	for step := 1; step <= searchSteps; step++ {
		high := targetPosition * float64(step) / searchSteps
		if !isMissed(high) {
			continue
		}
		low := high - targetPosition/searchSteps
		for range bisections {
			if middle := (low + high) / 2; isMissed(middle) {
				high = middle
			} else {
				low = middle
			}
		}
		return high, true
	}
	return targetPosition, false
}

// Ranking returns the requirements in the order in which they are missed on the way to the target. Those that the target
// meets come last.
func (m Model) Ranking() []RankedRequirement {
	var list []RankedRequirement
	for _, requirement := range m.Requirements() {
		ranked := RankedRequirement{Requirement: requirement}
		ranked.AtCurrent, ranked.AtTarget = requirement.Factor(m.fleetAt(currentPosition)), requirement.Factor(m.fleetAt(targetPosition))
		ranked.position, ranked.Missed = m.firstMissed(requirement.Factor)
		ranked.Gateways, ranked.Engines = m.fleetAt(ranked.position)
		list = append(list, ranked)
	}
	slices.SortStableFunc(list, func(a, b RankedRequirement) int {
		if a.Missed != b.Missed {
			return cmp.Compare(missedFirst(a.Missed), missedFirst(b.Missed))
		}
		return cmp.Compare(a.position, b.position)
	})
	return list
}

// missedFirst is the sort key that puts missed requirements first.
func missedFirst(missed bool) int {
	if missed {
		return 0
	}
	return 1
}
