package capacity

import (
	"cmp"
	"slices"
)

// RankedRequirement is a requirement with the smallest fleet that misses it, among those on the growth path to the target,
// see fleetAt.
type RankedRequirement struct {
	Requirement
	Missed                          bool    // a fleet on the path misses the requirement; the path includes the target
	Gateways, Engines               float64 // size of the smallest fleet that misses it, or of the target if none does
	FactorAtCurrent, FactorAtTarget float64 // resource use / limit in the current fleet and at the target
	position                        float64 // position of that fleet on the path, see fleetAt
}

// fleetAt returns the size of the fleet at a position on the growth path: 0 is an empty fleet, 1 is the current fleet and 2
// the target. In between, the numbers of gateways and engines grow linearly.
func (m Model) fleetAt(position float64) (gateways, engines float64) {
	from, to := CurrentFleet(), m.Target.Fleet
	if position <= currentPosition {
		return from.Gateways * position, from.Engines * position
	}
	fraction := position - currentPosition
	return from.Gateways + fraction*(to.Gateways-from.Gateways), from.Engines + fraction*(to.Engines-from.Engines)
}

// firstMissed searches the growth path in coarse steps, and then bisects the first step in which a requirement is missed.
const (
	currentPosition = 1.0
	targetPosition  = 2.0
	searchSteps     = 64
	bisections      = 16
)

// firstMissed returns the first position on the growth path at which a requirement is missed. The result ok is false if no
// fleet on the path misses it.
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

// Ranking returns the requirements in the order in which they are missed as the fleet grows to the target. Requirements
// that are met are last.
func (m Model) Ranking() []RankedRequirement {
	var list []RankedRequirement
	for _, requirement := range m.Requirements() {
		ranked := RankedRequirement{Requirement: requirement}
		ranked.FactorAtCurrent, ranked.FactorAtTarget = requirement.Factor(m.fleetAt(currentPosition)), requirement.Factor(m.fleetAt(targetPosition))
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

// missedFirst returns a sort key that orders missed requirements before met ones.
func missedFirst(missed bool) int {
	if missed {
		return 0
	}
	return 1
}
