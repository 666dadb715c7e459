package capacity

import "fmt"

// State is the fleet in one phase, as a gateway that is up sees it.
type State struct {
	Phase      Phase
	Often      string
	Gateways   float64 // in service
	Engines    float64 // within reach
	Statements float64 // a second at a gateway
	Clients    float64 // connections at a gateway
}

// Shares that a fault takes; the users name none for a rack.
const (
	rackShare = 1.0 / 40 // assumed: 20 of 800 gateways and 28 of 1,100 engines
)

// States are the fleet in each phase.
func (m Model) States() []State {
	t := m.Target
	full := State{Gateways: t.Gateways, Engines: t.Engines, Statements: t.StatementsPerGateway(), Clients: t.ClientsPerGateway()}
	often := map[Phase]string{
		Quiet:      "else",
		Restart:    fmt.Sprintf("%s a day, one in %s", whole(t.RestartsPerDay), seconds(daySeconds/t.RestartsPerDay)),
		OneLost:    fmt.Sprintf("%s a day", whole(t.MachinesPerDay)),
		RackLost:   "each month or two",
		ZoneLost:   "every other month",
		ZoneBack:   "after each of these",
		RegionsCut: fmt.Sprintf("now and then, for %s min", whole(t.RegionsApart.Minutes())),
		Healed:     "after each of these",
	}
	var states []State
	for _, phase := range Phases() {
		state := full.without(m.lost(phase))
		if phase == RegionsCut { // every region keeps its gateways, engines and clients
			state = full
			state.Gateways, state.Engines = t.Gateways/t.Regions, t.Engines/t.Regions
		}
		state.Phase, state.Often = phase, often[phase]
		states = append(states, state)
	}
	return states
}

// lost are the gateways and engines that a phase takes.
func (m Model) lost(phase Phase) (gateways, engines float64) {
	t := m.Target
	switch phase {
	case Restart:
		return 1, 0
	case OneLost:
		return 1, 1
	case RackLost:
		return t.Gateways * rackShare, t.Engines * rackShare
	case ZoneLost:
		return t.Gateways / t.Zones, t.Engines / t.Zones
	}
	return 0, 0
}

// without spreads what lost gateways served over the others.
func (s State) without(gateways, engines float64) State {
	share := s.Gateways / (s.Gateways - gateways)
	return State{Gateways: s.Gateways - gateways, Engines: s.Engines - engines, Statements: s.Statements * share,
		Clients: s.Clients * share}
}

// Peak is what a state costs a gateway over its worst 10 s.
type Peak struct {
	State
	Decisions   float64 // share of a core
	Total       Cost    // without the clients' connections
	WithClients float64 // bytes of memory
	Membership  float64 // bytes a second sent without load reports
	MostSent    float64 // by the gateway that sends most, with load reports
	Over        float64 // seconds for which the mean over 10 s was over the budget, with load reports
	Agree       float64 // seconds until all views are right; 0 = views differ by design
	Verdict     []Verdict
}

// Peaks are all states with their costs. Membership's peaks come from runs with as many gateways as the whole fleet has.
func (m Model) Peaks() (peaks []Peak) {
	for _, state := range m.States() {
		peaks = append(peaks, m.peak(state))
	}
	return peaks
}

func (m Model) peak(state State) Peak {
	t, phase := m.Target, state.Phase
	decision := m.decisionCost(state.Engines, state.Statements)
	total := decision.Add(m.connectionCost(state.Engines)).Add(m.membershipCost(t.Gateways)).
		Add(m.reportCost(t.Gateways, state.Engines))
	quiet := m.value(PeakProcessor.Of(Quiet), t.Gateways)
	total.Processor += max(0, m.value(PeakProcessor.Of(phase), t.Gateways)-quiet)
	total.BytesSecond = m.value(PeakBytesReports.Of(phase), t.Gateways) + m.stagedCost(t.Gateways).BytesSecond
	peak := Peak{State: state, Decisions: decision.Processor, Total: total,
		WithClients: total.Memory + m.clientCost(state.Clients).Memory,
		Membership:  m.value(PeakBytes.Of(phase), t.Gateways),
		Over:        m.over(PeakBytesReports.Of(phase), t.Gateways),
		MostSent:    m.value(PeakMostReports.Of(phase), t.Gateways) + m.stagedCost(t.Gateways).BytesSecond}
	if phase != RegionsCut {
		peak.Agree = m.value(SecondsToAgree.Of(phase), t.Gateways)
	}
	peak.Verdict = []Verdict{judge("core", total.Processor, t.Processor), judge("memory", total.Memory, t.MemoryBytes),
		judge("bytes", total.BytesSecond, t.BytesPerSecond), judge("bytes of one", peak.MostSent, t.BytesPerSecond)}
	return peak
}
