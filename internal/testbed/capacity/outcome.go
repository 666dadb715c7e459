package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// outcomeText summarizes the ranking: the requirements that are missed first or by the largest factor, the traffic of
// partitions, and the effect of subsets.
func (m Model) outcomeText() string {
	ranking := m.Ranking()
	first := ranking[0]
	firstAlways := ranking[slices.IndexFunc(ranking, func(r RankedRequirement) bool { return r.Condition == ConditionAlways })]
	return strings.Join([]string{
		fmt.Sprintf("- By size, \"%s\" is missed first: %s, from %s on.", first.Name, first.Condition, m.fleetSizeText(first)),
		fmt.Sprintf("- Of the requirements missed at all times, \"%s\" is missed first: from %s on.", firstAlways.Name, m.fleetSizeText(firstAlways)),
		m.steadyStateText(ranking),
		m.faultText(),
		m.subsetText(),
	}, "\n") + "\n"
}

// steadyStateText names the requirement that the target misses by the largest factor without faults.
func (m Model) steadyStateText(ranking []RankedRequirement) string {
	worst := RankedRequirement{}
	for _, requirement := range ranking {
		if requirement.Condition == ConditionAlways && requirement.FactorAtTarget > worst.FactorAtTarget {
			worst = requirement
		}
	}
	return fmt.Sprintf("- By cost without faults, \"%s\" is missed by the largest factor: %sx at the target, at all times.",
		worst.Name, formatNumber(worst.FactorAtTarget))
}

// faultText describes for how long the traffic exceeds the budget in a partition between regions and after its healing.
func (m Model) faultText() string {
	over := func(quantity PhaseQuantity, phase Phase) string {
		return formatSeconds(m.secondsOverBudget(quantity.SlopeName(phase), m.Target.Gateways))
	}
	return fmt.Sprintf("- In a partition between regions, bytes averaged over 10 s exceed the budget for %s with load reports and %s without; after "+
		"its healing for %s and %s.", over(PeakBytesWithReports, PhaseRegionsPartitioned), over(PeakBytes, PhaseRegionsPartitioned),
		over(PeakBytesWithReports, PhasePartitionHealed), over(PeakBytes, PhasePartitionHealed))
}

// subsetText describes the cost of decisions with subsets.
func (m Model) subsetText() string {
	t := m.Target
	factor := m.decisionCost(SubsetSize, t.StatementsPerGateway()).Processor / t.Processor
	rate := t.Processor / m.estimate(CoreProcessorTime, SubsetSize)
	text := fmt.Sprintf("- With subsets of %d engines, decisions use x%s of the 4.1%% of a core; they stay within it up to %s statements a second, "+
		"and the target has %s.", SubsetSize, formatNumber(factor), formatNumber(rate), formatCount(t.StatementsPerGateway()))
	if largest := m.LargestSubset(); largest > 0 && factor > 1 {
		text += fmt.Sprintf(" At the target's rate a subset may have at most %s engines, unless decisions become cheaper.", formatCount(largest))
	}
	return text
}
