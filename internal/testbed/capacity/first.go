package capacity

// firstMeasurement is one of those that issue 23 began with: one run each, to be checked before anything is built on it.
type firstMeasurement struct {
	what  string
	value float64
	slope string
	size  float64
}

func firstMeasurements() []firstMeasurement {
	cut, healed := PeakBurst.Of(RegionsCut), PeakBurst.Of(Healed)
	return []firstMeasurement{
		{"a decision, 80 engines", 59e-6, DecisionProcessor, 80},
		{"a decision, 300 engines", 124e-6, DecisionProcessor, 300},
		{"a decision, 1,100 engines", 448e-6, DecisionProcessor, 1100},
		{"engines known, 300 x 300, 6 reports a second", 0.72, KnownFewReports, 300},
		{"engines known, 800 x 550, 6 reports a second", 0.52, KnownFewReports, 550},
		{"engines known, 800 x 1,100, 6 reports a second", 0.30, KnownFewReports, 1100},
		{"membership in a cut of halves, 100 gateways, over 5 s", 1500, cut, 100},
		{"membership in a cut of halves, 200 gateways, over 5 s", 3800, cut, 200},
		{"membership in a cut of halves, 400 gateways, over 5 s", 6000, cut, 400},
		{"membership in a cut of halves, 800 gateways, over 5 s", 10_400, cut, 800},
		{"its healing, 800 gateways, over 5 s", 9100, healed, 800},
		{"membership in a cut of halves, 800 gateways, settled", 80, SettledBytes.Of(RegionsCut), 800},
	}
}

// checkedTable compares the first measurements with the slopes.
func (m Model) checkedTable() Table {
	table := Table{Head: []string{"what", "first measured", "here, median", "here, least", "median over first"}}
	for _, first := range firstMeasurements() {
		slope := m.Result.Slope(first.slope)
		here, least := slope.At(first.size).Value, slope.least(first.size)
		table.Rows = append(table.Rows, []string{first.what, quantity(first.value, slope.Unit), quantity(here, slope.Unit),
			quantity(least, slope.Unit), "x" + digits(here/first.value)})
	}
	return table
}
