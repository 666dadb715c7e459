package capacity

import (
	"fmt"
	"math"
)

// effectPhases returns the phases that have a column in the table of effects. The column of PhaseRegionsPartitioned also covers
// PhasePartitionHealed.
func effectPhases() []Phase {
	return []Phase{PhaseMachineLost, PhaseRestart, PhaseRackLost, PhaseZoneLost, PhaseZoneRecovered, PhaseRegionsPartitioned}
}

// effectTable returns a table of the effect of each fault on each role.
func (m Model) effectTable() Table {
	table := Table{Header: []string{"role"}}
	for _, phase := range effectPhases() {
		table.Header = append(table.Header, string(phase))
	}
	for _, role := range m.Roles() {
		row := []string{string(role.Name)}
		for _, phase := range effectPhases() {
			row = append(row, m.effect(role.Name, m.stateOf(phase)))
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

// stateOf returns the state of the fleet in a phase.
func (m Model) stateOf(phase Phase) State {
	for _, state := range m.States() {
		if state.Phase == phase {
			return state
		}
	}
	return State{}
}

// effect describes the effect of a state on a role.
func (m Model) effect(role RoleName, state State) string {
	switch role {
	case RoleClientSide:
		return m.clientEffect(state)
	case RoleDecisions:
		cost := m.decisionCost(state.Engines, state.StatementsPerSecond)
		return fmt.Sprintf("%s of a core with %.0f engines", formatPercent(cost.Processor), state.Engines)
	case RoleEngineSide:
		return m.engineEffect(state)
	case RoleMembership:
		return m.membershipEffect(state)
	case RoleLoadReports:
		return m.reportEffect(state)
	case RoleDiscovery:
		return m.discoveryEffect(state)
	}
	return m.controlEffect(role, state)
}

func (m Model) clientEffect(state State) string {
	perGateway := m.Target.ClientsPerGateway()
	switch moved := m.Target.ClientConnections - perGateway*state.Gateways; {
	case state.Phase == PhaseRegionsPartitioned:
		return "clients stay within their region"
	case state.Phase == PhaseZoneRecovered:
		return "clients return as they reconnect"
	case moved > 0:
		return fmt.Sprintf("%s connections move; %.0f at each remaining gateway", formatCount(moved), state.ClientConnections)
	}
	return "none"
}

func (m Model) engineEffect(state State) string {
	lost := m.Target.Engines - state.Engines
	switch {
	case state.Phase == PhaseRegionsPartitioned:
		connections := m.Target.Gateways * m.Target.Engines / m.Target.Regions
		return fmt.Sprintf("connections to the other region close: %s in total", formatCount(connections))
	case state.Phase == PhaseZoneRecovered:
		gateways, engines := m.losses(PhaseZoneLost)
		connections := m.Target.Gateways*engines + gateways*state.Engines - gateways*engines
		return fmt.Sprintf("%s connections are opened within seconds", formatCount(connections))
	case state.Phase == PhaseRestart:
		return fmt.Sprintf("%s connections are reopened", formatCount(state.Engines))
	}
	return fmt.Sprintf("connections closed at each gateway: %s", formatCount(math.Ceil(lost)))
}

func (m Model) membershipEffect(state State) string {
	gateways := m.Target.Gateways
	text := fmt.Sprintf("%s at the peak", formatBytesPerSecond(m.estimate(PeakBytes.SlopeName(state.Phase), gateways)))
	if state.Phase == PhaseRegionsPartitioned {
		healing := m.estimate(PeakBytes.SlopeName(PhasePartitionHealed), gateways)
		return fmt.Sprintf("%s, %s after healing; each side considers the other dead", text, formatBytesPerSecond(healing))
	}
	return text + ", views agree after " + formatSeconds(m.estimate(ConvergenceSeconds.SlopeName(state.Phase), gateways))
}

func (m Model) reportEffect(state State) string {
	bytes := m.estimate(PeakBytesWithReports.SlopeName(state.Phase), m.Target.Gateways)
	peak := fmt.Sprintf("%s at the peak, including membership", formatBytesPerSecond(bytes))
	switch state.Phase {
	case PhaseRegionsPartitioned:
		return "no reports of the other region's engines; " + peak
	case PhaseRestart, PhaseZoneRecovered:
		return "a starting gateway has no reports for some seconds"
	}
	return peak
}

func (m Model) discoveryEffect(state State) string {
	list := m.estimate(ListBytes, m.Target.Engines)
	gateways, engines := m.losses(state.Phase)
	switch state.Phase {
	case PhaseRestart:
		return formatBytes(list) + " to the starting gateway, if its configuration has no list"
	case PhaseZoneRecovered:
		gateways, engines = m.losses(PhaseZoneLost)
		return fmt.Sprintf("%s to the starting gateways, %s changed lines to all gateways", formatBytes(list*gateways),
			formatCount(math.Ceil(engines)))
	case PhaseRegionsPartitioned:
		return fmt.Sprintf("the region without the server keeps its last list; afterwards a full list to each of its gateways: %s",
			formatBytes(list*m.Target.Gateways/m.Target.Regions))
	}
	return fmt.Sprintf("changed lines of about 165 B to each of %.0f gateways: %s", m.Target.Gateways-gateways, formatCount(math.Ceil(engines)))
}

// controlEffect describes the effect on the roles of control machines. The program implements few of them.
func (m Model) controlEffect(role RoleName, state State) string {
	t := m.Target
	switch role {
	case RoleConfiguration:
		if state.Phase == PhaseRestart {
			return fmt.Sprintf("overlaps with %s of the changes; whether the gateway reads the old or the new file is undefined",
				formatPercent(t.RestartOverlap()))
		}
		return "nothing detects gateways that missed a change"
	case RoleStagedChange:
		if state.Phase == PhaseRegionsPartitioned {
			return "holds: too few reports from the other region"
		}
		return "a change in progress holds, or continues once the gateways report again"
	case RolePrimaries:
		if state.Phase == PhaseRestart || state.Phase == PhaseZoneRecovered {
			return "none"
		}
		return fmt.Sprintf("%s of the engines' primaries have to change; no mechanism does so", formatPercent(1-state.Engines/t.Engines))
	}
	return m.quorumEffect(state)
}

// quorumEffect describes whether a majority of the control machines remains, if they are spread evenly over zones and
// regions.
func (m Model) quorumEffect(state State) string {
	machines := m.Target.ControlMachines
	switch state.Phase {
	case PhaseZoneLost:
		return fmt.Sprintf("%.0f of %.0f remain: a majority", machines-1, machines)
	case PhaseRegionsPartitioned:
		return fmt.Sprintf("%.0f on each side: no majority on either", machines/m.Target.Regions)
	case PhaseMachineLost, PhaseRackLost:
		return fmt.Sprintf("at most one of %.0f lost: a majority remains", machines)
	}
	return "none"
}
