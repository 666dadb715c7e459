package capacity

import (
	"fmt"
	"math"
)

// effectPhases returns the phases that have a column of effects. Healing is described with the partition.
func effectPhases() []Phase {
	return []Phase{MachineLost, Restart, RackLost, ZoneLost, ZoneRecovered, RegionsPartitioned}
}

// effectTable returns the effect of each fault on each role.
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

// stateOf returns the state of a phase.
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
	case ClientSide:
		return m.clientEffect(state)
	case Decisions:
		cost := m.decisionCost(state.Engines, state.StatementsPerSecond)
		return fmt.Sprintf("%s of a core with %.0f engines", formatPercent(cost.Processor), state.Engines)
	case EngineSide:
		return m.engineEffect(state)
	case Membership:
		return m.membershipEffect(state)
	case LoadReports:
		return m.reportEffect(state)
	case Discovery:
		return m.discoveryEffect(state)
	}
	return m.controlEffect(role, state)
}

func (m Model) clientEffect(state State) string {
	quiet := m.Target.ClientsPerGateway()
	switch moved := m.Target.ClientConnections - quiet*state.Gateways; {
	case state.Phase == RegionsPartitioned:
		return "clients stay within their region"
	case state.Phase == ZoneRecovered:
		return "clients come back as they connect anew"
	case moved > 0:
		return fmt.Sprintf("%s connections move; %.0f at each other gateway", formatCount(moved), state.ClientConnections)
	}
	return "none"
}

func (m Model) engineEffect(state State) string {
	lost := m.Target.Engines - state.Engines
	switch {
	case state.Phase == RegionsPartitioned:
		connections := m.Target.Gateways * m.Target.Engines / m.Target.Regions
		return fmt.Sprintf("those to the other region end: %s in all", formatCount(connections))
	case state.Phase == ZoneRecovered:
		gateways, engines := m.losses(ZoneLost)
		connections := m.Target.Gateways*engines + gateways*state.Engines - gateways*engines
		return fmt.Sprintf("%s are opened within seconds", formatCount(connections))
	case state.Phase == Restart:
		return fmt.Sprintf("%s are opened anew", formatCount(state.Engines))
	}
	return fmt.Sprintf("%s end at each gateway", formatCount(math.Ceil(lost)))
}

func (m Model) membershipEffect(state State) string {
	gateways := m.Target.Gateways
	text := fmt.Sprintf("%s at the peak", formatBytesPerSecond(m.estimate(PeakBytes.SlopeName(state.Phase), gateways)))
	if state.Phase == RegionsPartitioned {
		healing := m.estimate(PeakBytes.SlopeName(PartitionHealed), gateways)
		return fmt.Sprintf("%s, %s when healed; each side counts the other as dead", text, formatBytesPerSecond(healing))
	}
	return text + ", all agree after " + formatSeconds(m.estimate(ConvergenceSeconds.SlopeName(state.Phase), gateways))
}

func (m Model) reportEffect(state State) string {
	bytes := m.estimate(PeakBytesWithReports.SlopeName(state.Phase), m.Target.Gateways)
	peak := fmt.Sprintf("%s with membership at the peak", formatBytesPerSecond(bytes))
	switch state.Phase {
	case RegionsPartitioned:
		return "none of the other region's engines; " + peak
	case Restart, ZoneRecovered:
		return "a gateway that starts knows none for some seconds"
	}
	return peak
}

func (m Model) discoveryEffect(state State) string {
	list := m.estimate(ListBytes, m.Target.Engines)
	gateways, engines := m.losses(state.Phase)
	switch state.Phase {
	case Restart:
		return formatBytes(list) + " to the gateway that starts, if its configuration holds no list"
	case ZoneRecovered:
		gateways, engines = m.losses(ZoneLost)
		return fmt.Sprintf("%s to those that start, %s changes to all", formatBytes(list*gateways), formatCount(math.Ceil(engines)))
	case RegionsPartitioned:
		return fmt.Sprintf("the region without the server keeps its last list; a whole list to each after: %s",
			formatBytes(list*m.Target.Gateways/m.Target.Regions))
	}
	return fmt.Sprintf("changed lines to each of %.0f gateways, of some 165 B: %s", m.Target.Gateways-gateways, formatCount(math.Ceil(engines)))
}

// controlEffect describes the effect on roles of control machines, most of which the program does not have.
func (m Model) controlEffect(role RoleName, state State) string {
	t := m.Target
	switch role {
	case Configuration:
		if state.Phase == Restart {
			return fmt.Sprintf("falls into %s of the changes; which file it reads is open", formatPercent(t.RestartOverlap()))
		}
		return "nothing tells who missed a change"
	case StagedChange:
		if state.Phase == RegionsPartitioned {
			return "holds: too little is known of the other region"
		}
		return "a change under way holds, or goes on once they report again"
	case Primaries:
		if state.Phase == Restart || state.Phase == ZoneRecovered {
			return "none"
		}
		return fmt.Sprintf("%s of the engines' primaries have to change; nothing does it", formatPercent(1-state.Engines/t.Engines))
	}
	return m.quorumEffect(state)
}

// quorumEffect describes which majority of the control machines remains, if they are spread evenly over zones and regions.
func (m Model) quorumEffect(state State) string {
	machines := m.Target.ControlMachines
	switch state.Phase {
	case ZoneLost:
		return fmt.Sprintf("%.0f of %.0f left: a majority", machines-1, machines)
	case RegionsPartitioned:
		return fmt.Sprintf("%.0f on each side: no majority on either", machines/m.Target.Regions)
	case MachineLost, RackLost:
		return fmt.Sprintf("at most one of %.0f: a majority is left", machines)
	}
	return "none"
}
