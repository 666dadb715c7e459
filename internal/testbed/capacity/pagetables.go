package capacity

import (
	"fmt"
	"strings"
)

// withoutFaults leaves out the slopes of the phases: they have a table of their own.
func (m Model) withoutFaults() Result {
	result := m.Result
	result.Slopes = nil
	for _, definition := range Definitions() {
		if definition.Group != GroupFaults {
			result.Slopes = append(result.Slopes, m.Result.Slope(definition.Name))
		}
	}
	return result
}

// shownQuantities are those of the phases' quantities that the page shows; the others stand in the result file.
func shownQuantities() []PhaseQuantity {
	return []PhaseQuantity{PeakBurst, PeakBytes, PeakMost, PeakBytesReports, PeakMostReports, SettledBytes, SecondsToAgree}
}

func (m Model) faultSlopes() Table {
	table := Table{Head: []string{"state", "quantity", "measured at (gateways)", "runs", "spread", "fit", "residual"}}
	for _, phase := range Phases() {
		for _, quantity := range shownQuantities() {
			slope, found := m.Result.find(quantity.Of(phase))
			if !found {
				continue
			}
			fit := slope.Fit()
			table.Rows = append(table.Rows, []string{string(phase), string(quantity), strings.TrimSuffix(pointsOf(slope), " (gateways)"),
				runsOf(slope), spreadOf(slope), fit.String(), percent(fit.Residual)})
		}
	}
	return table
}

// orNone writes a figure, or a dash where there is none.
func orNone(value float64, write func(float64) string) string {
	if value == 0 {
		return "-"
	}
	return write(value)
}

func bytesSecond(value float64) string { return bytesOf(value) + "/s" }

func (m Model) roleTable() Table {
	table := Table{Head: []string{"role", "state", "messages", "processor", "memory", "bytes/s sent", "mechanism", "verdict"}}
	for _, role := range m.Roles() {
		table.Rows = append(table.Rows, []string{string(role.Name), role.State, role.Messages, orNone(role.Cost.Processor, percent),
			orNone(role.Cost.Memory, bytesOf), orNone(role.Cost.BytesSecond, bytesSecond), role.Mechanism, role.Verdict.String()})
	}
	table.Rows = append(table.Rows, m.totalRow())
	return table
}

// totalRow is all control together, without the clients' connections, against the budgets.
func (m Model) totalRow() []string {
	t, total := m.Target, m.QuietTotal()
	return []string{"**all but the client side**", "", "", percent(total.Processor), bytesOf(total.Memory), bytesSecond(total.BytesSecond),
		"budgets: 4.1% of a core, 256 MB, 3 KB/s", factors([]Verdict{judge("core", total.Processor, t.Processor),
			judge("memory", total.Memory, t.MemoryBytes), judge("bytes", total.BytesSecond, t.BytesPerSecond)})}
}

func (m Model) peakTable() Table {
	table := Table{Head: []string{"state", "how often", "gateways, engines", "statements/s a gateway", "processor: decisions", "processor: all control",
		"memory without / with clients", "bytes/s, membership alone", "bytes/s, all control", "bytes/s of the gateway that sends most", "over 3 KB/s for", "all agree after",
		"use over budget: core, memory, bytes in the mean, bytes of the one that sends most"}}
	for _, peak := range m.Peaks() {
		agree := orNone(peak.Agree, seconds)
		if peak.Phase == RegionsCut {
			agree = "views differ by design"
		}
		table.Rows = append(table.Rows, []string{string(peak.Phase), peak.Often,
			fmt.Sprintf("%.0f, %.0f", peak.Gateways, peak.Engines), fmt.Sprintf("%.0f", peak.Statements),
			percent(peak.Decisions), percent(peak.Total.Processor), bytesOf(peak.Total.Memory) + " / " + bytesOf(peak.WithClients),
			bytesSecond(peak.Membership), bytesSecond(peak.Total.BytesSecond), bytesSecond(peak.MostSent), orNone(peak.Over, seconds), agree, factors(peak.Verdict)})
	}
	return table
}

// factors writes use over limit of several requirements; what misses is bold.
func factors(verdicts []Verdict) string {
	var list []string
	for _, verdict := range verdicts {
		text := "x" + digits(verdict.Factor)
		if verdict.Status == Misses {
			text = "**" + text + "**"
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}

func partTable(parts []Part) Table {
	table := Table{Head: []string{"part", "today", "seconds in the sketch", "from"}}
	for _, part := range parts {
		table.Rows = append(table.Rows, []string{part.Name, part.Today, digits(part.Budget), part.Why})
	}
	table.Rows = append(table.Rows, []string{"sum", "", digits(Sum(parts)), ""})
	return table
}

func (m Model) primaryText() string {
	median, longest := m.DetectionToday()
	limit := m.Target.PrimaryWithin.Seconds()
	return partTable(m.PrimaryParts()).Markdown() + fmt.Sprintf("\nNothing carries a change of primary today. If detection and telling were "+
		"membership's, they alone would take %s (median; %s at the longest of the kills measured), and with the switching %s of the %s: "+
		"misses by %sx. The seconds of the sketch are settings and arithmetic, not results.\n", seconds(median), seconds(longest),
		seconds(median+drainSeconds+dialSeconds), seconds(limit), digits((median+drainSeconds+dialSeconds)/limit))
}

func (m Model) configurationText() string {
	limit := m.Target.ConfigurationWithin.Seconds()
	return partTable(m.ConfigurationParts()).Markdown() + fmt.Sprintf("\nNothing carries a configuration today. A change in stages takes 30 s "+
		"for each stage at the least, %s times the %s for the whole. A restart falls into %s of the changes, if both come evenly.\n",
		digits(leastWatchSeconds/limit), seconds(limit), percent(m.Target.Overlap()))
}

// rankingText is the table of the requirements that break, and a line on those that do not.
func (m Model) rankingText() string {
	table := Table{Head: []string{"place", "requirement", "missed", "from (gateways x engines)", "factor at 300 x 80", "factor at 800 x 1,100", "what is missing"}}
	var kept []string
	for place, broken := range m.Ranking() {
		if !broken.Breaks {
			kept = append(kept, fmt.Sprintf("%s (x%s)", broken.Name, digits(broken.AtTarget)))
			continue
		}
		table.Rows = append(table.Rows, []string{fmt.Sprint(place + 1), broken.Name, string(broken.When), m.sizeText(broken),
			"x" + digits(broken.AtToday), "x" + digits(broken.AtTarget), broken.Mechanism})
	}
	return table.Markdown() + "\nKept at the target, with use over limit: " + strings.Join(kept, "; ") + ".\n"
}

// sizeText is the size at which a requirement breaks; below what was measured no curve is believed.
func (m Model) sizeText(broken Broken) string {
	if broken.Gateways < broken.Smallest {
		return fmt.Sprintf("under %s gateways, the smallest measured", whole(broken.Smallest))
	}
	return fmt.Sprintf("%.0f x %.0f", broken.Gateways, broken.Engines)
}

func (m Model) subsetTable() Table {
	table := Table{Head: []string{"at 800 x 1,100", "all engines", fmt.Sprintf("%d engines a gateway", SubsetSize), "limit"}}
	for _, row := range m.SubsetEffect() {
		write := func(value float64) string { return quantity(value, row.Unit) }
		if row.Unit == "share of a core" {
			write = percent
		}
		table.Rows = append(table.Rows, []string{row.Name, write(row.Whole), write(row.WithSubset), orNone(row.Limit, write)})
	}
	return table
}
