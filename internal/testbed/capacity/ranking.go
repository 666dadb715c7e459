package capacity

import (
	"cmp"
	"slices"
)

// When says in which state a requirement is missed.
type When string

// The states.
const (
	Always    When = "always"
	FaultOnly When = "in a fault only"
)

// Requirement is one that the fleet's size bears on.
type Requirement struct {
	Name      string
	When      When
	Mechanism string                                  // that is missing
	Factor    func(gateways, engines float64) float64 // use over limit
	Smallest  float64                                 // gateways at the smallest size measured; 0 where that does not bear on it
}

// Broken is a requirement with the size at which it breaks on the way to the target.
type Broken struct {
	Requirement
	Breaks            bool
	Gateways, Engines float64 // the smallest fleet that misses it
	AtToday, AtTarget float64 // factors
	position          float64 // on the way, see path
}

// path is the fleet's way: in proportion up to the size run today, and straight from there to the target. Its position
// is 0 without a fleet, 1 today and 2 at the target.
func (m Model) path(position float64) (gateways, engines float64) {
	from, to := Today(), m.Target.Fleet
	if position <= 1 {
		return from.Gateways * position, from.Engines * position
	}
	part := position - 1
	return from.Gateways + part*(to.Gateways-from.Gateways), from.Engines + part*(to.Engines-from.Engines)
}

// The way to the target is searched in coarse steps, and within the one on which a requirement breaks by halving it.
const (
	pathEnd     = 2.0
	pathSteps   = 64
	pathHalving = 16
)

// breaksAt is the first position on the way at which a requirement is missed.
func (m Model) breaksAt(factor func(gateways, engines float64) float64) (position float64, breaks bool) {
	missed := func(position float64) bool { return factor(m.path(position)) > 1 }
	for step := 1; step <= pathSteps; step++ {
		high := pathEnd * float64(step) / pathSteps
		if !missed(high) {
			continue
		}
		low := high - pathEnd/pathSteps
		for range pathHalving {
			if middle := (low + high) / 2; missed(middle) {
				high = middle
			} else {
				low = middle
			}
		}
		return high, true
	}
	return pathEnd, false
}

// Ranking lists the requirements in the order in which they break on the way to the target; those that do not come last.
func (m Model) Ranking() []Broken {
	var list []Broken
	for _, requirement := range m.Requirements() {
		broken := Broken{Requirement: requirement}
		broken.AtToday, broken.AtTarget = requirement.Factor(m.path(1)), requirement.Factor(m.path(pathEnd))
		broken.position, broken.Breaks = m.breaksAt(requirement.Factor)
		broken.Gateways, broken.Engines = m.path(broken.position)
		list = append(list, broken)
	}
	slices.SortStableFunc(list, func(a, b Broken) int {
		if a.Breaks != b.Breaks {
			return cmp.Compare(rankOf(a.Breaks), rankOf(b.Breaks))
		}
		return cmp.Compare(a.position, b.position)
	})
	return list
}

// rankOf puts what breaks before what does not.
func rankOf(breaks bool) int {
	if breaks {
		return 0
	}
	return 1
}

// Requirements are those that the fleet's size bears on. Every gateway has the target's rate of statements, whatever
// the fleet's size.
func (m Model) Requirements() []Requirement {
	t := m.Target
	list := []Requirement{
		{Name: "decisions within 4.1% of a core", When: Always, Mechanism: "subsets of engines",
			Factor: func(_, engines float64) float64 {
				return m.decisionCost(engines, t.StatementsPerGateway()).Processor / t.Processor
			}},
		{Name: "connections at an engine within 151 (assumed)", When: Always, Mechanism: "subsets of engines",
			Factor: func(gateways, _ float64) float64 { return gateways / MySQLConnections }},
		{Name: "0.95 of engines known, every answer brings a report", When: Always,
			Mechanism: "subsets of engines, or a larger table",
			Factor:    func(_, engines float64) float64 { return t.KnownShare / knownShare(engines) }},
		{Name: "0.95 of engines known, 6 answers a second bring reports", When: Always, Mechanism: "subsets of engines",
			Factor: func(_, engines float64) float64 { return t.KnownShare / min(1, m.value(KnownFewReports, engines)) }},
		{Name: "bytes in the quiet state within 3 KB/s", When: Always,
			Factor: func(gateways, _ float64) float64 {
				return (m.value(PeakBytesReports.Of(Quiet), gateways) + m.stagedCost(gateways).BytesSecond) / t.BytesPerSecond
			}},
		{Name: "memory within 256 MB, without clients' connections", When: Always, Factor: m.memoryFactor},
		{Name: "a whole list received within 3 KB/s over 10 s", When: FaultOnly, Mechanism: "lists in parts, paced",
			Factor: func(_, engines float64) float64 { return m.value(ListBytes, engines) / peakSeconds / t.BytesPerSecond }},
	}
	for _, phase := range []Phase{Restart, RackLost, ZoneLost, ZoneBack, RegionsCut, Healed} {
		list = append(list, m.peakRequirement(phase, PeakBytes, "mean, membership alone"),
			m.peakRequirement(phase, PeakBytesReports, "mean, with load reports"),
			m.peakRequirement(phase, PeakMostReports, "gateway that sends most, with load reports"))
	}
	return list
}

// peakRequirement is that a phase's highest bytes over 10 s keep to the budget.
func (m Model) peakRequirement(phase Phase, quantity PhaseQuantity, what string) Requirement {
	name := quantity.Of(phase)
	return Requirement{Name: string(phase) + ": 3 KB/s, " + what, When: FaultOnly,
		Mechanism: "a bound on gossip in a mass suspicion", Smallest: m.Result.Slope(name).Smallest(),
		Factor: func(gateways, _ float64) float64 { return m.value(name, gateways) / m.Target.BytesPerSecond }}
}

func (m Model) memoryFactor(gateways, engines float64) float64 {
	memory := m.decisionCost(engines, 0).Add(m.connectionCost(engines)).Add(m.membershipCost(gateways)).
		Add(m.reportCost(gateways, engines)).Memory
	return memory / m.Target.MemoryBytes
}

// Subset is what the rows that depend on engines come to with fewer engines a gateway.
type Subset struct {
	Name              string
	Whole, WithSubset float64
	Unit              string
	Limit             float64 // 0 = none
}

// SubsetSize is the number of engines that a gateway works with in the subsetting under way.
const SubsetSize = 80

// SubsetEffect compares all engines with a subset. The shared table is that of the subset's engines.
func (m Model) SubsetEffect() []Subset {
	t := m.Target
	rate := t.StatementsPerGateway()
	connections := func(engines float64) float64 { return engines * t.Gateways / t.Engines }
	return []Subset{
		{"processor of decisions", m.decisionCost(t.Engines, rate).Processor, m.decisionCost(SubsetSize, rate).Processor, "share of a core", t.Processor},
		{"connections of a gateway", t.Engines, SubsetSize, "", t.Engines / 10},
		{"connections at an engine", connections(t.Engines), connections(SubsetSize), "", MySQLConnections},
		{"connections in all", t.Engines * t.Gateways, SubsetSize * t.Gateways, "", 0},
		{"memory of connections to engines", m.connectionCost(t.Engines).Memory, m.connectionCost(SubsetSize).Memory, Bytes, 0},
		{"processor of load reports", m.reportCost(t.Gateways, t.Engines).Processor, m.reportCost(t.Gateways, SubsetSize).Processor,
			"share of a core", 0},
		{"share of these engines that the shared table has room for", knownShare(t.Engines), knownShare(SubsetSize), Share, 0},
		{"seconds between two own answers of an engine, on average", t.Engines / rate, SubsetSize / rate, Seconds, 0},
	}
}

// LargestSubset is the largest number of engines with which decisions keep to the budget, by the curve.
func (m Model) LargestSubset() float64 {
	t, fit := m.Target, m.fitted[CoreProcessor].fit
	largest := 0.0
	for engines := 1.0; engines <= t.Engines && fit.At(engines)*t.StatementsPerGateway() <= t.Processor; engines++ {
		largest = engines
	}
	return largest
}
