package capacity

import (
	"fmt"
	"math"
)

// effects are the phases that the page tells the effects of; healing is told with the cut.
func effects() []Phase { return []Phase{OneLost, Restart, RackLost, ZoneLost, ZoneBack, RegionsCut} }

// effectTable says what each fault does to each role.
func (m Model) effectTable() Table {
	table := Table{Head: []string{"role"}}
	for _, phase := range effects() {
		table.Head = append(table.Head, string(phase))
	}
	for _, role := range m.Roles() {
		row := []string{string(role.Name)}
		for _, phase := range effects() {
			row = append(row, m.effect(role.Name, m.state(phase)))
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

func (m Model) state(phase Phase) State {
	for _, state := range m.States() {
		if state.Phase == phase {
			return state
		}
	}
	return State{}
}

// effect is what a state does to a role.
func (m Model) effect(role RoleName, state State) string {
	switch role {
	case ClientSide:
		return m.clientEffect(state)
	case Decisions:
		return fmt.Sprintf("%s of a core with %.0f engines", percent(m.decisionCost(state.Engines, state.Statements).Processor), state.Engines)
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
	case state.Phase == RegionsCut:
		return "clients stay within their region"
	case state.Phase == ZoneBack:
		return "clients come back as they connect anew"
	case moved > 0:
		return fmt.Sprintf("%s connections move; %.0f at each other gateway", whole(moved), state.Clients)
	}
	return "none"
}

func (m Model) engineEffect(state State) string {
	lost := m.Target.Engines - state.Engines
	switch {
	case state.Phase == RegionsCut:
		return fmt.Sprintf("those to the other region end: %s in all", whole(m.Target.Gateways*m.Target.Engines/m.Target.Regions))
	case state.Phase == ZoneBack:
		gateways, engines := m.lost(ZoneLost)
		return fmt.Sprintf("%s are opened within seconds", whole(m.Target.Gateways*engines+gateways*state.Engines-gateways*engines))
	case state.Phase == Restart:
		return fmt.Sprintf("%s are opened anew", whole(state.Engines))
	}
	return fmt.Sprintf("%s end at each gateway", whole(math.Ceil(lost)))
}

func (m Model) membershipEffect(state State) string {
	gateways := m.Target.Gateways
	text := fmt.Sprintf("%s at the peak", bytesSecond(m.value(PeakBytes.Of(state.Phase), gateways)))
	if state.Phase == RegionsCut {
		return fmt.Sprintf("%s, %s when healed; each side counts the other as dead", text, bytesSecond(m.value(PeakBytes.Of(Healed), gateways)))
	}
	return text + ", all agree after " + seconds(m.value(SecondsToAgree.Of(state.Phase), gateways))
}

func (m Model) reportEffect(state State) string {
	switch state.Phase {
	case RegionsCut:
		return fmt.Sprintf("none of the other region's engines; %s with membership at the peak", bytesSecond(m.value(PeakBytesReports.Of(state.Phase), m.Target.Gateways)))
	case Restart, ZoneBack:
		return "a gateway that starts knows none for some seconds"
	}
	return fmt.Sprintf("%s with membership at the peak", bytesSecond(m.value(PeakBytesReports.Of(state.Phase), m.Target.Gateways)))
}

func (m Model) discoveryEffect(state State) string {
	list := m.value(ListBytes, m.Target.Engines)
	gateways, engines := m.lost(state.Phase)
	switch state.Phase {
	case Restart:
		return bytesOf(list) + " to the gateway that starts, if its configuration holds no list"
	case ZoneBack:
		gateways, engines = m.lost(ZoneLost)
		return fmt.Sprintf("%s to those that start, %s changes to all", bytesOf(list*gateways), whole(math.Ceil(engines)))
	case RegionsCut:
		return fmt.Sprintf("the region without the server keeps its last list; a whole list to each after: %s", bytesOf(list*m.Target.Gateways/m.Target.Regions))
	}
	return fmt.Sprintf("changed lines to each of %.0f gateways, of some 165 B: %s", m.Target.Gateways-gateways, whole(math.Ceil(engines)))
}

// controlEffect is that on the roles that are absent, or stand at one controller.
func (m Model) controlEffect(role RoleName, state State) string {
	t := m.Target
	switch role {
	case Configuration:
		if state.Phase == Restart {
			return fmt.Sprintf("falls into %s of the changes; which file it reads is open", percent(t.Overlap()))
		}
		return "nothing tells who missed a change"
	case StagedChange:
		if state.Phase == RegionsCut {
			return "holds: too little is known of the other region"
		}
		return "a change under way holds, or goes on once they report again"
	case Primaries:
		if state.Phase == Restart || state.Phase == ZoneBack {
			return "none"
		}
		return fmt.Sprintf("%s of the engines' primaries have to change; nothing does it", percent(1-state.Engines/t.Engines))
	}
	return m.quorumEffect(state)
}

// quorumEffect is what is left of the control machines, spread evenly over zones and regions.
func (m Model) quorumEffect(state State) string {
	machines := m.Target.ControlMachines
	switch state.Phase {
	case ZoneLost:
		return fmt.Sprintf("%.0f of %.0f left: a majority", machines-1, machines)
	case RegionsCut:
		return fmt.Sprintf("%.0f on each side: no majority on either", machines/m.Target.Regions)
	case OneLost, RackLost:
		return fmt.Sprintf("at most one of %.0f: a majority is left", machines)
	}
	return "none"
}
