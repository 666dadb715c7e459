package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// outcomeText summarizes the ranking: the requirements that are missed first, and the effect of subsets.
func (m Model) outcomeText() string {
	ranking := m.Ranking()
	first := ranking[0]
	firstAlways := ranking[slices.IndexFunc(ranking, func(r RankedRequirement) bool { return r.Condition == Always })]
	return strings.Join([]string{
		fmt.Sprintf("- By size, \"%s\" is missed first: %s, from %s on.", first.Name, first.Condition, m.fleetSizeText(first)),
		fmt.Sprintf("- Of what is missed always, \"%s\" is first: from %s on.", firstAlways.Name, m.fleetSizeText(firstAlways)),
		m.steadyStateText(ranking),
		m.faultText(),
		m.subsetText(),
	}, "\n") + "\n"
}

// steadyStateText names the requirement that the target misses by the largest factor without a fault.
func (m Model) steadyStateText(ranking []RankedRequirement) string {
	worst := RankedRequirement{}
	for _, requirement := range ranking {
		if requirement.Condition == Always && requirement.AtTarget > worst.AtTarget {
			worst = requirement
		}
	}
	return fmt.Sprintf("- By standing cost, \"%s\" is missed most: by %sx at the target, at every moment.", worst.Name, formatNumber(worst.AtTarget))
}

// faultText gives how long a partition between regions and its healing exceed the budget of bytes.
func (m Model) faultText() string {
	over := func(quantity PhaseQuantity, phase Phase) string {
		return formatSeconds(m.secondsOverBudget(quantity.SlopeName(phase), m.Target.Gateways))
	}
	return fmt.Sprintf("- The bytes of a cut are over the budget, in the mean of 10 s, for %s with load reports and %s without; those of its healing "+
		"for %s and %s.", over(PeakBytesWithReports, RegionsPartitioned), over(PeakBytes, RegionsPartitioned),
		over(PeakBytesWithReports, PartitionHealed), over(PeakBytes, PartitionHealed))
}

// subsetText gives the cost of decisions with subsets.
func (m Model) subsetText() string {
	t := m.Target
	factor := m.decisionCost(SubsetSize, t.StatementsPerGateway()).Processor / t.Processor
	rate := t.Processor / m.estimate(CoreProcessor, SubsetSize)
	text := fmt.Sprintf("- With %d engines a gateway, decisions take x%s of the 4.1%% of a core; they keep to it up to %s statements a second, "+
		"where the target has %s.", SubsetSize, formatNumber(factor), formatNumber(rate), formatCount(t.StatementsPerGateway()))
	if largest := m.LargestSubset(); largest > 0 && factor > 1 {
		text += fmt.Sprintf(" At the target's rate they would have to be %s engines, or the decision cheaper.", formatCount(largest))
	}
	return text
}
