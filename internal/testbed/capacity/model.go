package capacity

import "frostpier/internal/control/loadreport"

// Model estimates the costs of the target fleet from measured slopes.
type Model struct {
	Target Target
	Result Result
	fitted map[string]fittedSlope // by name
}

// fittedSlope caches the curve of a slope: the ranking evaluates it thousands of times.
type fittedSlope struct {
	slope Slope
	curve Fit
}

// New returns the model of the expected fleet. The result must have all slopes, as DecodeResult ensures.
func New(result Result) Model {
	m := Model{Target: Expected(), Result: result, fitted: map[string]fittedSlope{}}
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

// secondsOverBudget returns for how many seconds a peak of bytes exceeded the budget, at a size that was measured; 0 at
// any other size.
func (m Model) secondsOverBudget(name string, size float64) float64 {
	for _, point := range m.Result.Slope(name).Points {
		if point.Size == size {
			return point.SecondsOverBudget
		}
	}
	return 0
}

// Cost is what a part of the program costs one gateway.
type Cost struct {
	Processor      float64 // share of a core
	Memory         float64 // bytes
	BytesPerSecond float64 // sent on the network
}

// Add returns the sum of two costs.
func (c Cost) Add(other Cost) Cost {
	return Cost{c.Processor + other.Processor, c.Memory + other.Memory, c.BytesPerSecond + other.BytesPerSecond}
}

// decisionCost is the cost of core and decision module with that many engines, at a rate of statements a second.
func (m Model) decisionCost(engines, statements float64) Cost {
	return Cost{Processor: m.estimate(CoreProcessor, engines) * statements, Memory: m.estimate(ListMemory, engines)}
}

// connectionCost is the cost of one idle connection to each engine.
func (m Model) connectionCost(engines float64) Cost {
	return Cost{Memory: engines * m.estimate(EngineConnection, engines)}
}

// clientCost is the cost of idle client connections. They carry statements and are no part of control, so the page shows
// totals with and without them.
func (m Model) clientCost(clients float64) Cost {
	return Cost{Memory: clients * m.estimate(ClientConnection, clients)}
}

// membershipCost is the cost of membership without faults.
func (m Model) membershipCost(gateways float64) Cost {
	return Cost{Processor: m.estimate(MembershipProcessor, gateways), Memory: m.estimate(MembershipMemory, gateways),
		BytesPerSecond: m.estimate(MembershipBytes, gateways)}
}

// reportCost is the cost of shared load reports beyond that of membership, on whose datagrams they are piggybacked.
func (m Model) reportCost(gateways, engines float64) Cost {
	membership := m.membershipCost(gateways)
	return Cost{Processor: max(0, m.estimate(ReportsProcessor, engines)-membership.Processor),
		Memory:         m.estimate(DigestMemory, engines),
		BytesPerSecond: max(0, m.estimate(ReportsBytes, engines)-membership.BytesPerSecond)}
}

// stagedCost is the cost of the reports to the controller of a staged change, one a second.
func (m Model) stagedCost(gateways float64) Cost {
	return Cost{BytesPerSecond: m.estimate(StagedReportBytes, gateways)}
}

// knownShare is the share of engines whose load is known if every response carries a report: then only the size of the
// report table limits it.
func knownShare(engines float64) float64 { return min(1, loadreport.MaxEngines/engines) }
