package capacity

import (
	"fmt"
	"strings"
)

// withoutFaults returns the result without the slopes of fault phases, which are shown in a separate table.
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

// shownQuantities returns the phase quantities that the page shows. The others are only in the result file.
func shownQuantities() []PhaseQuantity {
	return []PhaseQuantity{PeakBurst, PeakBytes, PeakTopSender, PeakBytesWithReports, PeakTopSenderWithReports, SettledBytes, ConvergenceSeconds}
}

func (m Model) faultSlopes() Table {
	table := Table{Header: []string{"state", "quantity", "measured at (gateways)", "runs", "spread", "fit", "residual"}}
	for _, phase := range Phases() {
		for _, quantity := range shownQuantities() {
			slope, found := m.Result.find(quantity.SlopeName(phase))
			if !found {
				continue
			}
			fit := slope.Fit()
			table.Rows = append(table.Rows, []string{
				string(phase),
				string(quantity),
				strings.TrimSuffix(formatPoints(slope), " (gateways)"),
				formatRuns(slope),
				formatSpread(slope),
				fit.String(),
				formatPercent(fit.Residual),
			})
		}
	}
	return table
}

func (m Model) roleTable() Table {
	table := Table{Header: []string{"role", "state", "messages", "processor", "memory", "bytes/s sent", "mechanism", "verdict"}}
	for _, role := range m.Roles() {
		table.Rows = append(table.Rows, []string{
			string(role.Name),
			role.State,
			role.Messages,
			formatOrDash(role.Cost.Processor, formatPercent),
			formatOrDash(role.Cost.Memory, formatBytes),
			formatOrDash(role.Cost.BytesPerSecond, formatBytesPerSecond),
			role.Mechanism,
			role.Verdict.String(),
		})
	}
	table.Rows = append(table.Rows, m.totalRow())
	return table
}

// totalRow returns a row that compares the total of all roles, without client connections, with the budget.
func (m Model) totalRow() []string {
	t, total := m.Target, m.QuietTotal()
	verdicts := []Verdict{
		compare("core", total.Processor, t.Processor),
		compare("memory", total.Memory, t.MemoryBytes),
		compare("bytes", total.BytesPerSecond, t.BytesPerSecond),
	}
	return []string{
		"**total without the client side**",
		"",
		"",
		formatPercent(total.Processor),
		formatBytes(total.Memory),
		formatBytesPerSecond(total.BytesPerSecond),
		"budgets: 4.1% of a core, 256 MB, 3 KB/s",
		formatFactors(verdicts),
	}
}

func (m Model) peakTable() Table {
	table := Table{Header: []string{
		"state",
		"frequency",
		"gateways, engines",
		"statements/s per gateway",
		"processor: decisions",
		"processor: all control",
		"memory without / with clients",
		"bytes/s, membership alone",
		"bytes/s, all control",
		"bytes/s of the gateway that sends most",
		"over 3 KB/s for",
		"views agree after",
		"use over budget: core, memory, mean bytes, bytes of the gateway that sends most",
	}}
	for _, peak := range m.Peaks() {
		table.Rows = append(table.Rows, peakRow(peak))
	}
	return table
}

func peakRow(peak Peak) []string {
	convergence := formatOrDash(peak.ConvergenceSeconds, formatSeconds)
	if peak.Phase == PhaseRegionsPartitioned {
		convergence = "views differ by design"
	}
	return []string{
		string(peak.Phase),
		peak.Frequency,
		fmt.Sprintf("%.0f, %.0f", peak.Gateways, peak.Engines),
		fmt.Sprintf("%.0f", peak.StatementsPerSecond),
		formatPercent(peak.DecisionProcessorShare),
		formatPercent(peak.Total.Processor),
		formatBytes(peak.Total.Memory) + " / " + formatBytes(peak.MemoryWithClients),
		formatBytesPerSecond(peak.MembershipBytes),
		formatBytesPerSecond(peak.Total.BytesPerSecond),
		formatBytesPerSecond(peak.TopSenderBytes),
		formatOrDash(peak.SecondsOverBudget, formatSeconds),
		convergence,
		formatFactors(peak.Verdicts),
	}
}

// formatFactors lists the factors of several verdicts, with those over the limit in bold.
func formatFactors(verdicts []Verdict) string {
	var list []string
	for _, verdict := range verdicts {
		text := "x" + formatNumber(verdict.Factor)
		if verdict.Status == Misses {
			text = "**" + text + "**"
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}

func changeTable(steps []ChangeStep) Table {
	table := Table{Header: []string{"step", "today", "seconds in the proposed design", "source"}}
	for _, step := range steps {
		table.Rows = append(table.Rows, []string{step.Name, step.Existing, formatNumber(step.Seconds), step.Source})
	}
	table.Rows = append(table.Rows, []string{"total", "", formatNumber(TotalSeconds(steps)), ""})
	return table
}

func (m Model) primaryText() string {
	median, longest := m.MembershipDetectionTimes()
	withSwitchover := median + drainSeconds + dialSeconds
	limit := m.Target.PrimaryDeadline.Seconds()
	return changeTable(m.PrimaryChangeSteps()).Markdown() + fmt.Sprintf("\nNo mechanism performs a change of primary today. If membership performed "+
		"detection and propagation, these two steps would take %s (median; %s for the slowest of the measured kills). With the switchover the change "+
		"would take %s, with a limit of %s: misses by %sx. The seconds in the proposed design are settings and arithmetic, not measurements.\n",
		formatSeconds(median), formatSeconds(longest), formatSeconds(withSwitchover), formatSeconds(limit), formatNumber(withSwitchover/limit))
}

func (m Model) configurationText() string {
	limit := m.Target.ConfigurationDeadline.Seconds()
	return changeTable(m.ConfigurationChangeSteps()).Markdown() + fmt.Sprintf("\nNo mechanism distributes a configuration today. A staged change takes "+
		"at least 30 s per stage, %s times the %s allowed for the whole change. A restart overlaps with %s of the changes, if both are "+
		"spread evenly over the day.\n",
		formatNumber(minWatchSeconds/limit), formatSeconds(limit), formatPercent(m.Target.RestartOverlap()))
}

// rankingText returns the table of the requirements that are missed, and a line that lists those that are met.
func (m Model) rankingText() string {
	table := Table{Header: []string{
		"rank",
		"requirement",
		"missed",
		"from (gateways x engines)",
		"factor at 300 x 80",
		"factor at 800 x 1,100",
		"missing mechanism",
	}}
	var met []string
	for index, ranked := range m.Ranking() {
		if !ranked.Missed {
			met = append(met, fmt.Sprintf("%s (x%s)", ranked.Name, formatNumber(ranked.FactorAtTarget)))
			continue
		}
		table.Rows = append(table.Rows, []string{fmt.Sprint(index + 1), ranked.Name, string(ranked.Condition), m.fleetSizeText(ranked),
			"x" + formatNumber(ranked.FactorAtCurrent), "x" + formatNumber(ranked.FactorAtTarget), ranked.MissingMechanism})
	}
	return table.Markdown() + "\nMet at the target, with use over limit: " + strings.Join(met, "; ") + ".\n"
}

// fleetSizeText formats the size of the smallest fleet that misses a requirement. Below the smallest measured size the
// curve is not reliable, so it gives only that size as a bound.
func (m Model) fleetSizeText(ranked RankedRequirement) string {
	if ranked.Gateways < ranked.MinGateways {
		return fmt.Sprintf("below %s gateways, the smallest measured size", formatCount(ranked.MinGateways))
	}
	return fmt.Sprintf("%.0f x %.0f", ranked.Gateways, ranked.Engines)
}

func (m Model) subsetTable() Table {
	table := Table{Header: []string{"quantity, at 800 x 1,100", "all engines", fmt.Sprintf("%d engines per gateway", SubsetSize), "limit"}}
	for _, row := range m.SubsetRows() {
		format := func(value float64) string { return formatQuantity(value, row.Unit) }
		if row.Unit == "share of a core" {
			format = formatPercent
		}
		table.Rows = append(table.Rows, []string{row.Name, format(row.AllEngines), format(row.WithSubset), formatOrDash(row.Limit, format)})
	}
	return table
}
