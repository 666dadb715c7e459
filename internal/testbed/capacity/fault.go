package capacity

import "fmt"

// State describes the fleet in a phase.
type State struct {
	Phase               Phase
	Frequency           string  // how often the phase occurs, as printed on the page
	Gateways            float64 // running gateways that can reach each other
	Engines             float64 // engines that a gateway can reach
	StatementsPerSecond float64 // per gateway
	ClientConnections   float64 // per gateway
}

// rackShare is the share of gateways and engines in one rack: 20 of 800 gateways and 28 of 1,100 engines. It is assumed,
// because the operators specify none.
const rackShare = 1.0 / 40

// States returns the state of the fleet in each phase.
func (m Model) States() []State {
	t := m.Target
	full := State{Gateways: t.Gateways, Engines: t.Engines, StatementsPerSecond: t.StatementsPerGateway(), ClientConnections: t.ClientsPerGateway()}
	frequency := map[Phase]string{
		PhaseQuiet:              "otherwise",
		PhaseRestart:            fmt.Sprintf("%s a day, one every %s", formatCount(t.RestartsPerDay), formatSeconds(daySeconds/t.RestartsPerDay)),
		PhaseMachineLost:        fmt.Sprintf("%s a day", formatCount(t.MachineFailuresPerDay)),
		PhaseRackLost:           "every month or two",
		PhaseZoneLost:           "every other month",
		PhaseZoneRecovered:      "after each loss of a zone",
		PhaseRegionsPartitioned: fmt.Sprintf("occasionally, for %s min", formatCount(t.PartitionDuration.Minutes())),
		PhasePartitionHealed:    "after each partition",
	}
	var states []State
	for _, phase := range Phases() {
		state := full.afterLoss(m.losses(phase))
		if phase == PhaseRegionsPartitioned { // each region keeps its gateways, engines and clients
			state = full
			state.Gateways, state.Engines = t.Gateways/t.Regions, t.Engines/t.Regions
		}
		state.Phase, state.Frequency = phase, frequency[phase]
		states = append(states, state)
	}
	return states
}

// losses returns the numbers of gateways and engines that are lost in a phase.
func (m Model) losses(phase Phase) (gateways, engines float64) {
	t := m.Target
	switch phase {
	case PhaseRestart:
		return 1, 0
	case PhaseMachineLost:
		return 1, 1
	case PhaseRackLost:
		return t.Gateways * rackShare, t.Engines * rackShare
	case PhaseZoneLost:
		return t.Gateways / t.Zones, t.Engines / t.Zones
	}
	return 0, 0
}

// afterLoss returns the state after the loss of gateways and engines. The load of the lost gateways is spread evenly over
// the remaining ones.
func (s State) afterLoss(gateways, engines float64) State {
	share := s.Gateways / (s.Gateways - gateways)
	return State{Gateways: s.Gateways - gateways, Engines: s.Engines - engines, StatementsPerSecond: s.StatementsPerSecond * share,
		ClientConnections: s.ClientConnections * share}
}

// Peak is the cost of a state at one gateway, in the 10 s in which it is highest.
type Peak struct {
	State
	DecisionProcessorShare float64 // share of a core used by decisions
	Total                  Cost    // cost of the control plane, without client connections
	MemoryWithClients      float64 // bytes of memory including client connections
	MembershipBytes        float64 // bytes sent per second, without load reports
	TopSenderBytes         float64 // bytes sent per second by the gateway that sends most, with load reports
	SecondsOverBudget      float64 // how long the 10 s average of bytes exceeded the budget, with load reports
	ConvergenceSeconds     float64 // until all membership views agree; 0 = they differ by design
	Verdicts               []Verdict
}

// Peaks returns all states with their costs. The peaks of membership were measured with the target's number of gateways.
func (m Model) Peaks() (peaks []Peak) {
	for _, state := range m.States() {
		peaks = append(peaks, m.peak(state))
	}
	return peaks
}

func (m Model) peak(state State) Peak {
	t, phase := m.Target, state.Phase
	decision := m.decisionCost(state.Engines, state.StatementsPerSecond)
	total := decision.Add(m.connectionCost(state.Engines)).Add(m.membershipCost(t.Gateways)).
		Add(m.reportCost(t.Gateways, state.Engines))
	quiet := m.estimate(PeakProcessorTime.SlopeName(PhaseQuiet), t.Gateways)
	total.Processor += max(0, m.estimate(PeakProcessorTime.SlopeName(phase), t.Gateways)-quiet)
	total.BytesPerSecond = m.estimate(PeakBytesWithReports.SlopeName(phase), t.Gateways) + m.stagedCost(t.Gateways).BytesPerSecond
	peak := Peak{
		State: state, DecisionProcessorShare: decision.Processor, Total: total,
		MemoryWithClients: total.Memory + m.clientCost(state.ClientConnections).Memory,
		MembershipBytes:   m.estimate(PeakBytes.SlopeName(phase), t.Gateways),
		SecondsOverBudget: m.secondsOverBudget(PeakBytesWithReports.SlopeName(phase), t.Gateways),
		TopSenderBytes:    m.estimate(PeakTopSenderWithReports.SlopeName(phase), t.Gateways) + m.stagedCost(t.Gateways).BytesPerSecond,
	}
	if phase != PhaseRegionsPartitioned {
		peak.ConvergenceSeconds = m.estimate(ConvergenceSeconds.SlopeName(phase), t.Gateways)
	}
	peak.Verdicts = []Verdict{
		compare("core", total.Processor, t.Processor),
		compare("memory", total.Memory, t.MemoryBytes),
		compare("bytes", total.BytesPerSecond, t.BytesPerSecond),
		compare("bytes of the gateway that sends most", peak.TopSenderBytes, t.BytesPerSecond),
	}
	return peak
}
