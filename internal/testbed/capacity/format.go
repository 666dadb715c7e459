package capacity

import (
	"fmt"
	"math"
	"strings"
)

// formatQuantity formats a value of the given unit with three significant digits.
func formatQuantity(value float64, unit string) string {
	switch unit {
	case UnitSeconds:
		return formatSeconds(value)
	case UnitSecondsPerSecond:
		return formatPercent(value) + " of a core"
	case UnitBytes:
		return formatBytes(value)
	case UnitBytesPerSecond:
		return formatBytes(value) + "/s"
	case UnitPerSecond:
		return formatNumber(value) + "/s"
	}
	return formatNumber(value)
}

// formatSeconds formats a duration in seconds as us, ms or s.
func formatSeconds(value float64) string {
	switch {
	case value < 1e-3:
		return formatNumber(value*1e6) + " us"
	case value < 1:
		return formatNumber(value*1e3) + " ms"
	}
	return formatNumber(value) + " s"
}

// formatBytes formats a number of bytes as B, KB or MB, where 1 KB is 1000 bytes.
func formatBytes(value float64) string {
	switch {
	case value >= 1e6:
		return formatNumber(value/1e6) + " MB"
	case value >= 1e4:
		return formatNumber(value/1e3) + " KB"
	}
	return formatNumber(value) + " B"
}

// formatCount formats a number as an integer.
func formatCount(value float64) string { return fmt.Sprintf("%.0f", value) }

func formatPercent(share float64) string { return formatNumber(100*share) + "%" }

// significantDigits is the number of digits that formatNumber keeps.
const significantDigits = 3

// formatNumber formats a number with three significant digits, without an exponent or trailing zeros.
func formatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	places := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if places <= 0 {
		scale := math.Pow(10, float64(-places))
		return fmt.Sprintf("%.0f", math.Round(value/scale)*scale)
	}
	text := fmt.Sprintf("%.*f", places, value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

// formatOrDash formats a value, and 0 as a dash.
func formatOrDash(value float64, format func(float64) string) string {
	if value == 0 {
		return "-"
	}
	return format(value)
}

func formatBytesPerSecond(value float64) string { return formatBytes(value) + "/s" }
