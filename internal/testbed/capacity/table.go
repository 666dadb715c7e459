package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Table is a table on the page docs/operators/CAPACITY.md.
type Table struct {
	Header []string
	Rows   [][]string
}

// Markdown returns the table in Markdown.
func (t Table) Markdown() string {
	var text strings.Builder
	line := func(cells []string) { fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.Header)
	rule := make([]string, len(t.Header))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range t.Rows {
		line(row)
	}
	return text.String()
}

// extrapolatedSuffix marks extrapolated values.
const extrapolatedSuffix = " (extrapolated)"

// SlopeTable returns a table of all slopes with their points, fit, residual, estimate for the target and command.
func SlopeTable(result Result) Table {
	table := Table{Header: []string{"slope", "measured at", "runs per size", "spread", "fit", "residual", "at the target", "command"}}
	target := ExpectedTarget()
	for _, slope := range result.Slopes {
		fit, estimate := slope.Fit(), slope.EstimateAt(target.sizeOf(slope))
		table.Rows = append(table.Rows, []string{
			slope.Name,
			formatPoints(slope),
			formatRuns(slope),
			formatSpread(slope),
			fit.String() + " " + slope.Unit,
			formatPercent(fit.Residual),
			formatEstimate(slope, estimate),
			"`" + slope.Command + "`",
		})
	}
	return table
}

// sizeOf returns the size at which a slope is evaluated for the target. For connections it is the number at one gateway.
func (t Target) sizeOf(slope Slope) float64 {
	switch {
	case slope.SizeOf == SizeOfEngines, slope.Name == EngineConnection:
		return t.Engines
	case slope.Name == ClientConnection:
		return t.ClientsPerGateway()
	}
	return t.Gateways
}

func formatPoints(slope Slope) string {
	var list []string
	for _, point := range slope.Points {
		list = append(list, fmt.Sprintf("%.0f: %s", point.Size, formatQuantity(point.Value, slope.Unit)))
	}
	return strings.Join(list, ", ") + " (" + slope.SizeOf + ")"
}

// formatRuns formats the number of runs per point, as a range if it differs between the points.
func formatRuns(slope Slope) string {
	lowest, highest := slope.Points[0].Runs, slope.Points[0].Runs
	for _, point := range slope.Points {
		lowest, highest = min(lowest, point.Runs), max(highest, point.Runs)
	}
	if lowest == highest {
		return fmt.Sprint(lowest)
	}
	return fmt.Sprintf("%d to %d", lowest, highest)
}

// formatSpread formats the largest ratio between the runs of one size, and a ratio of 1 as a dash.
func formatSpread(slope Slope) string {
	worst := 1.0
	for _, point := range slope.Points {
		worst = max(worst, point.Max/max(point.Min, math.SmallestNonzeroFloat64))
	}
	if worst == 1 {
		return "-"
	}
	return "x" + formatNumber(worst)
}

func formatEstimate(slope Slope, estimate Estimate) string {
	text := formatQuantity(estimate.Value, slope.Unit)
	switch {
	case estimate.Extrapolated:
		return text + extrapolatedSuffix
	case estimate.Measured:
		return text + " (measured at this size)"
	}
	return text
}
