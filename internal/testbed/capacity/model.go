package capacity

import "frostpier/internal/control/loadreport"

// Model estimates the costs of the target fleet from measured slopes.
type Model struct {
	Target Target
	Result Result
	fitted map[string]fittedSlope // by slope name
}

// fittedSlope caches the fitted curve of a slope, because the ranking evaluates it thousands of times.
type fittedSlope struct {
	slope Slope
	curve Fit
}

// New returns a model of the expected fleet. The result must contain all slopes of Definitions, which DecodeResult checks.
func New(result Result) Model {
	m := Model{Target: ExpectedTarget(), Result: result, fitted: map[string]fittedSlope{}}
	for _, slope := range result.Slopes {
		m.fitted[slope.Name] = fittedSlope{slope, slope.Fit()}
	}
	return m
}

// estimate returns the value of the named slope at a size.
func (m Model) estimate(name string, size float64) float64 {
	fitted := m.fitted[name]
	return fitted.slope.estimate(fitted.curve, size).Value
}

// secondsOverBudget returns for how many seconds the network traffic of the named slope exceeded the budget at a measured
// size, and 0 for a size that was not measured.
func (m Model) secondsOverBudget(name string, size float64) float64 {
	for _, point := range m.Result.Slope(name).Points {
		if point.Size == size {
			return point.SecondsOverBudget
		}
	}
	return 0
}

// Cost is the resource use of a part of the program at one gateway.
type Cost struct {
	Processor      float64 // share of a core
	Memory         float64 // bytes
	BytesPerSecond float64 // bytes sent on the network per second
}

// Add returns the sum of two costs.
func (c Cost) Add(other Cost) Cost {
	return Cost{c.Processor + other.Processor, c.Memory + other.Memory, c.BytesPerSecond + other.BytesPerSecond}
}

// decisionCost returns the cost of core and decision module with the given number of engines, at the given number of
// statements per second.
func (m Model) decisionCost(engines, statements float64) Cost {
	return Cost{Processor: m.estimate(CoreProcessorTime, engines) * statements, Memory: m.estimate(ListMemory, engines)}
}

// connectionCost returns the cost of one idle connection to each engine.
func (m Model) connectionCost(engines float64) Cost {
	return Cost{Memory: engines * m.estimate(EngineConnection, engines)}
}

// clientCost returns the cost of idle client connections. They carry statements and are not part of the control plane, so
// the page shows totals with and without them.
func (m Model) clientCost(clients float64) Cost {
	return Cost{Memory: clients * m.estimate(ClientConnection, clients)}
}

// membershipCost returns the cost of membership without faults.
func (m Model) membershipCost(gateways float64) Cost {
	return Cost{Processor: m.estimate(MembershipProcessorTime, gateways), Memory: m.estimate(MembershipMemory, gateways),
		BytesPerSecond: m.estimate(MembershipBytes, gateways)}
}

// reportCost returns the cost of shared load reports without that of membership, on whose datagrams they are piggybacked.
func (m Model) reportCost(gateways, engines float64) Cost {
	membership := m.membershipCost(gateways)
	return Cost{Processor: max(0, m.estimate(ReportsProcessorTime, engines)-membership.Processor),
		Memory:         m.estimate(DigestMemory, engines),
		BytesPerSecond: max(0, m.estimate(ReportsBytes, engines)-membership.BytesPerSecond)}
}

// stagedCost returns the cost of the reports that a gateway sends to the controller of a staged change, one per second.
func (m Model) stagedCost(gateways float64) Cost {
	return Cost{BytesPerSecond: m.estimate(StagedReportBytes, gateways)}
}

// knownShare returns the share of engines whose load is known if every response carries a report. Only the size of the
// report table limits it then.
func knownShare(engines float64) float64 { return min(1, loadreport.MaxEngines/engines) }
