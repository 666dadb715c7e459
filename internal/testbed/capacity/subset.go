package capacity

// SubsetRow compares a quantity between gateways that use all engines and gateways that use a subset of them.
type SubsetRow struct {
	Name                   string
	AllEngines, WithSubset float64
	Unit                   string
	Limit                  float64 // 0 = no limit
}

// SubsetSize is the number of engines that a gateway uses if subsetting is enabled.
const SubsetSize = 80

// SubsetRows returns the quantities that depend on the number of engines in use at a gateway. With subsets, the table of
// shared load reports holds only the engines of the subset.
func (m Model) SubsetRows() []SubsetRow {
	t := m.Target
	rate := t.StatementsPerGateway()
	connections := func(engines float64) float64 { return engines * t.Gateways / t.Engines }
	return []SubsetRow{
		{"processor time of decisions", m.decisionCost(t.Engines, rate).Processor, m.decisionCost(SubsetSize, rate).Processor, "share of a core", t.Processor},
		{"connections per gateway", t.Engines, SubsetSize, "", t.Engines / 10},
		{"connections per engine", connections(t.Engines), connections(SubsetSize), "", MySQLMaxConnections},
		{"connections in total", t.Engines * t.Gateways, SubsetSize * t.Gateways, "", 0},
		{"memory of connections to engines", m.connectionCost(t.Engines).Memory, m.connectionCost(SubsetSize).Memory, UnitBytes, 0},
		{"processor time of load reports", m.reportCost(t.Gateways, t.Engines).Processor, m.reportCost(t.Gateways, SubsetSize).Processor,
			"share of a core", 0},
		{"share of engines in use that fit in the table of shared reports", knownShare(t.Engines), knownShare(SubsetSize), UnitShare, 0},
		{"mean time between two responses of one engine to a gateway", t.Engines / rate, SubsetSize / rate, UnitSeconds, 0},
	}
}

// LargestSubset returns the largest number of engines with which decisions stay within the processor budget according to
// the fitted curve, and 0 if there is none.
func (m Model) LargestSubset() float64 {
	t, fit := m.Target, m.fitted[CoreProcessorTime].curve
	largest := 0.0
	for engines := 1.0; engines <= t.Engines && fit.ValueAt(engines)*t.StatementsPerGateway() <= t.Processor; engines++ {
		largest = engines
	}
	return largest
}
