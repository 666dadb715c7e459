package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// outcomeText says which requirement fails first, by size and by standing cost, as the ranking has it.
func (m Model) outcomeText() string {
	ranking := m.Ranking()
	first := ranking[0]
	firstAlways := ranking[slices.IndexFunc(ranking, func(broken Broken) bool { return broken.When == Always })]
	return strings.Join([]string{
		fmt.Sprintf("- By size, \"%s\" is missed first: %s, from %s on.", first.Name, first.When, m.sizeText(first)),
		fmt.Sprintf("- Of what is missed always, \"%s\" is first: from %s on.", firstAlways.Name, m.sizeText(firstAlways)),
		m.standingText(ranking),
		m.faultText(),
		m.subsetText(),
	}, "\n") + "\n"
}

// standingText says what is missed most while nothing happens.
func (m Model) standingText(ranking []Broken) string {
	worst := Broken{}
	for _, broken := range ranking {
		if broken.When == Always && broken.AtTarget > worst.AtTarget {
			worst = broken
		}
	}
	return fmt.Sprintf("- By standing cost, \"%s\" is missed most: by %sx at the target, at every moment.", worst.Name, digits(worst.AtTarget))
}

// faultText says for how long the budget of bytes is exceeded in a cut between regions, the worst of the faults.
func (m Model) faultText() string {
	gateways := m.Target.Gateways
	return fmt.Sprintf("- The bytes of a cut are over the budget, in the mean of 10 s, for %s with load reports and %s without; those of its healing "+
		"for %s and %s.", seconds(m.over(PeakBytesReports.Of(RegionsCut), gateways)), seconds(m.over(PeakBytes.Of(RegionsCut), gateways)),
		seconds(m.over(PeakBytesReports.Of(Healed), gateways)), seconds(m.over(PeakBytes.Of(Healed), gateways)))
}

// subsetText says what subsets leave of the decisions' cost.
func (m Model) subsetText() string {
	t := m.Target
	left := m.decisionCost(SubsetSize, t.StatementsPerGateway()).Processor / t.Processor
	rate := t.Processor / m.value(CoreProcessor, SubsetSize)
	text := fmt.Sprintf("- With %d engines a gateway, decisions take x%s of the 4.1%% of a core; they keep to it up to %s statements a second, "+
		"where the target has %s.", SubsetSize, digits(left), digits(rate), whole(t.StatementsPerGateway()))
	if largest := m.LargestSubset(); largest > 0 && left > 1 {
		text += fmt.Sprintf(" At the target's rate they would have to be %s engines, or the decision cheaper.", whole(largest))
	}
	return text
}
