package capacity

// firstMeasurement is a value that issue 23 reported from a single run. The page compares it with the slopes.
type firstMeasurement struct {
	description string
	value       float64
	slope       string // name of the slope of the same quantity
	size        float64
}

func firstMeasurements() []firstMeasurement {
	partition, healing := PeakBurst.SlopeName(PhaseRegionsPartitioned), PeakBurst.SlopeName(PhasePartitionHealed)
	return []firstMeasurement{
		{"processor time of a decision, 80 engines", 59e-6, DecisionProcessorTime, 80},
		{"processor time of a decision, 300 engines", 124e-6, DecisionProcessorTime, 300},
		{"processor time of a decision, 1,100 engines", 448e-6, DecisionProcessorTime, 1100},
		{"engines known, 300 x 300, 6 reports a second", 0.72, KnownEngineShareAtLowReportRate, 300},
		{"engines known, 800 x 550, 6 reports a second", 0.52, KnownEngineShareAtLowReportRate, 550},
		{"engines known, 800 x 1,100, 6 reports a second", 0.30, KnownEngineShareAtLowReportRate, 1100},
		{"membership, fleet partitioned into halves, 100 gateways, over 5 s", 1500, partition, 100},
		{"membership, fleet partitioned into halves, 200 gateways, over 5 s", 3800, partition, 200},
		{"membership, fleet partitioned into halves, 400 gateways, over 5 s", 6000, partition, 400},
		{"membership, fleet partitioned into halves, 800 gateways, over 5 s", 10_400, partition, 800},
		{"membership, partition healed, 800 gateways, over 5 s", 9100, healing, 800},
		{"membership, fleet partitioned into halves, 800 gateways, settled", 80, SettledBytes.SlopeName(PhaseRegionsPartitioned), 800},
	}
}

// firstMeasurementsTable returns a table that compares the first measurements with the slopes.
func (m Model) firstMeasurementsTable() Table {
	table := Table{Header: []string{"quantity", "first measurement", "slope, median", "slope, minimum", "median / first measurement"}}
	for _, first := range firstMeasurements() {
		slope := m.Result.Slope(first.slope)
		median, lowest := slope.EstimateAt(first.size).Value, slope.minAt(first.size)
		table.Rows = append(table.Rows, []string{first.description, formatQuantity(first.value, slope.Unit), formatQuantity(median, slope.Unit),
			formatQuantity(lowest, slope.Unit), "x" + formatNumber(median/first.value)})
	}
	return table
}
