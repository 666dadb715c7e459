package capacity

// Condition says in which state of the fleet a requirement applies.
type Condition string

// The conditions.
const (
	ConditionAlways    Condition = "always"
	ConditionFaultOnly Condition = "in a fault only"
)

// Requirement is a requirement that depends on the size of the fleet.
type Requirement struct {
	Name             string
	Condition        Condition
	MissingMechanism string                                  // mechanism that would meet it, or ""
	Factor           func(gateways, engines float64) float64 // returns resource use / limit for a fleet of this size
	MinGateways      float64                                 // smallest measured size of the underlying slope; 0 = no lower bound
}

// Requirements returns all requirements that depend on the size of the fleet. They assume the target's rate of statements
// at every gateway, at all sizes of the fleet.
func (m Model) Requirements() []Requirement {
	t := m.Target
	list := []Requirement{
		{Name: "decisions within 4.1% of a core", Condition: ConditionAlways, MissingMechanism: "subsets of engines",
			Factor: func(_, engines float64) float64 {
				return m.decisionCost(engines, t.StatementsPerGateway()).Processor / t.Processor
			}},
		{Name: "connections per engine within 151 (assumed)", Condition: ConditionAlways, MissingMechanism: "subsets of engines",
			Factor: func(gateways, _ float64) float64 { return gateways / MySQLMaxConnections }},
		{Name: "0.95 of engines known, every response carries a report", Condition: ConditionAlways,
			MissingMechanism: "subsets of engines, or a larger table",
			Factor:           func(_, engines float64) float64 { return t.KnownShare / knownShare(engines) }},
		{Name: "0.95 of engines known, 6 responses a second carry reports", Condition: ConditionAlways, MissingMechanism: "subsets of engines",
			Factor: func(_, engines float64) float64 {
				return t.KnownShare / min(1, m.estimate(KnownEngineShareAtLowReportRate, engines))
			}},
		{Name: "bytes in the quiet state within 3 KB/s", Condition: ConditionAlways,
			Factor: func(gateways, _ float64) float64 {
				return (m.estimate(PeakBytesWithReports.SlopeName(PhaseQuiet), gateways) + m.stagedCost(gateways).BytesPerSecond) / t.BytesPerSecond
			}},
		{Name: "memory within 256 MB, without client connections", Condition: ConditionAlways, Factor: m.memoryFactor},
		{Name: "a full list received within 3 KB/s over 10 s", Condition: ConditionFaultOnly, MissingMechanism: "lists split into parts, at a limited rate",
			Factor: func(_, engines float64) float64 {
				return m.estimate(ListBytes, engines) / peakWindowSeconds / t.BytesPerSecond
			}},
	}
	for _, phase := range []Phase{PhaseRestart, PhaseRackLost, PhaseZoneLost, PhaseZoneRecovered, PhaseRegionsPartitioned, PhasePartitionHealed} {
		list = append(list, m.peakRequirement(phase, PeakBytes, "mean, membership alone"),
			m.peakRequirement(phase, PeakBytesWithReports, "mean, with load reports"),
			m.peakRequirement(phase, PeakTopSenderWithReports, "gateway that sends most, with load reports"))
	}
	return list
}

// peakRequirement returns the requirement that the 10 s peak of bytes in a phase stays within the budget.
func (m Model) peakRequirement(phase Phase, quantity PhaseQuantity, description string) Requirement {
	name := quantity.SlopeName(phase)
	return Requirement{Name: string(phase) + ": 3 KB/s, " + description, Condition: ConditionFaultOnly,
		MissingMechanism: "a limit on gossip while many members are suspected", MinGateways: m.Result.Slope(name).MinSize(),
		Factor: func(gateways, _ float64) float64 { return m.estimate(name, gateways) / m.Target.BytesPerSecond }}
}

// memoryFactor returns the memory use without client connections, divided by the budget.
func (m Model) memoryFactor(gateways, engines float64) float64 {
	memory := m.decisionCost(engines, 0).Add(m.connectionCost(engines)).Add(m.membershipCost(gateways)).
		Add(m.reportCost(gateways, engines)).Memory
	return memory / m.Target.MemoryBytes
}
