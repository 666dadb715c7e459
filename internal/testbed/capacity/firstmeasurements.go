package capacity

// firstMeasurement is a figure that issue 23 states, of a single run. The page compares it with the slopes.
type firstMeasurement struct {
	description string
	value       float64
	slope       string // name of the slope that measures the same
	size        float64
}

func firstMeasurements() []firstMeasurement {
	partition, healing := PeakBurst.SlopeName(RegionsPartitioned), PeakBurst.SlopeName(PartitionHealed)
	return []firstMeasurement{
		{"a decision, 80 engines", 59e-6, DecisionProcessor, 80},
		{"a decision, 300 engines", 124e-6, DecisionProcessor, 300},
		{"a decision, 1,100 engines", 448e-6, DecisionProcessor, 1100},
		{"engines known, 300 x 300, 6 reports a second", 0.72, KnownAtLowRate, 300},
		{"engines known, 800 x 550, 6 reports a second", 0.52, KnownAtLowRate, 550},
		{"engines known, 800 x 1,100, 6 reports a second", 0.30, KnownAtLowRate, 1100},
		{"membership in a cut of halves, 100 gateways, over 5 s", 1500, partition, 100},
		{"membership in a cut of halves, 200 gateways, over 5 s", 3800, partition, 200},
		{"membership in a cut of halves, 400 gateways, over 5 s", 6000, partition, 400},
		{"membership in a cut of halves, 800 gateways, over 5 s", 10_400, partition, 800},
		{"its healing, 800 gateways, over 5 s", 9100, healing, 800},
		{"membership in a cut of halves, 800 gateways, settled", 80, SettledBytes.SlopeName(RegionsPartitioned), 800},
	}
}

// firstMeasurementsTable returns the comparison of the first measurements with the slopes.
func (m Model) firstMeasurementsTable() Table {
	table := Table{Header: []string{"what", "first measured", "here, median", "here, least", "median over first"}}
	for _, first := range firstMeasurements() {
		slope := m.Result.Slope(first.slope)
		median, lowest := slope.EstimateAt(first.size).Value, slope.minAt(first.size)
		table.Rows = append(table.Rows, []string{first.description, formatQuantity(first.value, slope.Unit), formatQuantity(median, slope.Unit),
			formatQuantity(lowest, slope.Unit), "x" + formatNumber(median/first.value)})
	}
	return table
}
