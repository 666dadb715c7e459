package capacity

import "frostpier/internal/control/loadreport"

// Model works the page out from a result.
type Model struct {
	Target Target
	Result Result
	fitted map[string]fittedSlope
}

// fittedSlope is a slope with its curve, which the ranking asks for thousands of times.
type fittedSlope struct {
	slope Slope
	fit   Fit
}

// NewModel makes the model of the expected fleet.
func NewModel(result Result) Model {
	m := Model{Target: Expected(), Result: result, fitted: map[string]fittedSlope{}}
	for _, slope := range result.Slopes {
		m.fitted[slope.Name] = fittedSlope{slope, slope.Fit()}
	}
	return m
}

// value is what a slope says of a size.
func (m Model) value(name string, size float64) float64 {
	fitted := m.fitted[name]
	return fitted.slope.estimate(fitted.fit, size).Value
}

// over is for how many seconds a peak of bytes was over the budget, at a size that was measured.
func (m Model) over(name string, size float64) float64 {
	for _, point := range m.Result.Slope(name).Points {
		if point.Size == size {
			return point.Over
		}
	}
	return 0
}

// Cost is what something costs one gateway.
type Cost struct {
	Processor   float64 // share of a core
	Memory      float64 // bytes
	BytesSecond float64 // sent
}

// Add adds up.
func (c Cost) Add(other Cost) Cost {
	return Cost{c.Processor + other.Processor, c.Memory + other.Memory, c.BytesSecond + other.BytesSecond}
}

// decisionCost is that of core and decision module with so many engines and statements a second.
func (m Model) decisionCost(engines, statements float64) Cost {
	return Cost{Processor: m.value(CoreProcessor, engines) * statements, Memory: m.value(ListMemory, engines)}
}

// connectionCost is that of a connection to each engine.
func (m Model) connectionCost(engines float64) Cost {
	return Cost{Memory: engines * m.value(EngineConnection, engines)}
}

// clientCost is that of the clients' connections. They carry statements and are not control; the page shows totals with
// and without them.
func (m Model) clientCost(clients float64) Cost {
	return Cost{Memory: clients * m.value(ClientConnection, clients)}
}

// membershipCost is that of membership while nothing happens.
func (m Model) membershipCost(gateways float64) Cost {
	return Cost{Processor: m.value(MembershipProcessor, gateways), Memory: m.value(MembershipMemory, gateways),
		BytesSecond: m.value(MembershipBytes, gateways)}
}

// reportCost is that of shared load reports beyond membership, on whose datagrams they are carried.
func (m Model) reportCost(gateways, engines float64) Cost {
	membership := m.membershipCost(gateways)
	return Cost{Processor: max(0, m.value(ReportsProcessor, engines)-membership.Processor),
		Memory:      m.value(DigestMemory, engines),
		BytesSecond: max(0, m.value(ReportsBytes, engines)-membership.BytesSecond)}
}

// stagedCost is that of the reports to the controller of a staged change, one a second.
func (m Model) stagedCost(gateways float64) Cost {
	return Cost{BytesSecond: m.value(StagedReportBytes, gateways)}
}

// knownShare is the share of engines of which shared reports tell, where every answer brings a report: all that the
// table holds.
func knownShare(engines float64) float64 { return min(1, loadreport.MaxEngines/engines) }
