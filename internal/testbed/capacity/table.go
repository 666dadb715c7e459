package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Table is a table of the page.
type Table struct {
	Head []string
	Rows [][]string
}

// Markdown writes the table.
func (t Table) Markdown() string {
	var text strings.Builder
	line := func(cells []string) { fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.Head)
	rule := make([]string, len(t.Head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range t.Rows {
		line(row)
	}
	return text.String()
}

// extrapolatedMark stands behind figures from beyond what was measured.
const extrapolatedMark = " (extrapolated)"

// quantity writes a value in its unit, with three digits.
func quantity(value float64, unit string) string {
	switch unit {
	case Seconds:
		return seconds(value)
	case SecondsASecond:
		return percent(value) + " of a core"
	case Bytes:
		return bytesOf(value)
	case BytesASecond:
		return bytesOf(value) + "/s"
	case ASecond:
		return digits(value) + "/s"
	}
	return digits(value)
}

func seconds(value float64) string {
	switch {
	case value < 1e-3:
		return digits(value*1e6) + " us"
	case value < 1:
		return digits(value*1e3) + " ms"
	}
	return digits(value) + " s"
}

func bytesOf(value float64) string {
	switch {
	case value >= 1e6:
		return digits(value/1e6) + " MB"
	case value >= 1e4:
		return digits(value/1e3) + " KB"
	}
	return digits(value) + " B"
}

// whole writes a count of the target, to the next whole number.
func whole(value float64) string { return fmt.Sprintf("%.0f", value) }

func percent(share float64) string { return digits(100*share) + "%" }

// digits writes three significant digits without an exponent.
func digits(value float64) string {
	if value == 0 {
		return "0"
	}
	places := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if places <= 0 {
		scale := math.Pow(10, float64(-places))
		return fmt.Sprintf("%.0f", math.Round(value/scale)*scale)
	}
	text := fmt.Sprintf("%.*f", places, value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

// SlopeTable shows every slope with its points, fit, residual, prediction at the target and command.
func SlopeTable(result Result) Table {
	table := Table{Head: []string{"slope", "measured at", "runs at each", "spread", "fit", "residual", "at the target", "command"}}
	target := Expected()
	for _, slope := range result.Slopes {
		fit, estimate := slope.Fit(), slope.At(target.sizeOf(slope))
		table.Rows = append(table.Rows, []string{slope.Name, pointsOf(slope), runsOf(slope), spreadOf(slope), fit.String() + " " + slope.Unit,
			percent(fit.Residual), predictionOf(slope, estimate), "`" + slope.Command + "`"})
	}
	return table
}

// sizeOf is the target's size of what a slope counts. Connections are those of one gateway.
func (t Target) sizeOf(slope Slope) float64 {
	switch {
	case slope.SizeOf == Engines, slope.Name == EngineConnection:
		return t.Engines
	case slope.Name == ClientConnection:
		return t.ClientsPerGateway()
	}
	return t.Gateways
}

func pointsOf(slope Slope) string {
	var list []string
	for _, point := range slope.Points {
		list = append(list, fmt.Sprintf("%.0f: %s", point.Size, quantity(point.Value, slope.Unit)))
	}
	return strings.Join(list, ", ") + " (" + slope.SizeOf + ")"
}

func runsOf(slope Slope) string {
	least, most := slope.Points[0].Runs, slope.Points[0].Runs
	for _, point := range slope.Points {
		least, most = min(least, point.Runs), max(most, point.Runs)
	}
	if least == most {
		return fmt.Sprint(least)
	}
	return fmt.Sprintf("%d to %d", least, most)
}

// spreadOf is how far runs of one size lie apart, at the worst size.
func spreadOf(slope Slope) string {
	worst := 1.0
	for _, point := range slope.Points {
		worst = max(worst, point.Most/max(point.Least, math.SmallestNonzeroFloat64))
	}
	if worst == 1 {
		return "-"
	}
	return "x" + digits(worst)
}

func predictionOf(slope Slope, estimate Estimate) string {
	text := quantity(estimate.Value, slope.Unit)
	switch {
	case estimate.Extrapolated:
		return text + extrapolatedMark
	case estimate.Measured:
		return text + " (measured there)"
	}
	return text
}
