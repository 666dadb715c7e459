package capacity

import "fmt"

// Sizes that slopes are measured over.
const (
	Engines     = "engines"
	Gateways    = "gateways"
	Connections = "connections"
)

// Units.
const (
	Seconds        = "s"
	SecondsASecond = "s/s" // processor time: a share of a core
	Bytes          = "bytes"
	BytesASecond   = "bytes/s"
	ASecond        = "1/s"
	Share          = "share"
)

// Group is a part of the measurements that can be run by itself.
type Group string

// The groups.
const (
	GroupDecision    Group = "decision"
	GroupReports     Group = "reports"
	GroupMembership  Group = "membership"
	GroupFaults      Group = "faults"
	GroupDiscovery   Group = "discovery"
	GroupConnections Group = "connections"
	GroupStaged      Group = "staged"
)

// Groups are all groups in the order in which they are measured.
func Groups() []Group {
	return []Group{GroupDecision, GroupReports, GroupMembership, GroupFaults, GroupDiscovery, GroupConnections, GroupStaged}
}

// Definition says what a slope is, before anything is measured.
type Definition struct {
	Group  Group
	Name   string
	Unit   string
	SizeOf string
	Form   Form
}

// Command is the command that reproduces the slope.
func (d Definition) Command() string {
	text := fmt.Sprintf("bin/fleettest slopes --only %s", d.Group)
	if d.Group == GroupReports || d.Group == GroupMembership || d.Group == GroupFaults {
		text += " --memory-mb 768" // 800 gateways with all their tables
	}
	return text
}

// Definitions are all slopes of the page.
func Definitions() []Definition {
	list := []Definition{
		{GroupDecision, DecisionProcessor, Seconds, Engines, Linear},
		{GroupDecision, CoreProcessor, Seconds, Engines, Linear},
		{GroupReports, KnownFewReports, Share, Engines, Power},
		{GroupReports, AgeFewReports, Seconds, Engines, Power},
		{GroupReports, KnownAllReports, Share, Engines, Flat},
		{GroupReports, AgeAllReports, Seconds, Engines, Linear},
		{GroupReports, ReportsProcessor, SecondsASecond, Engines, Linear},
		{GroupReports, ReportsBytes, BytesASecond, Engines, Flat},
		{GroupReports, DigestMemory, Bytes, Engines, Linear},
		{GroupMembership, MembershipBytes, BytesASecond, Gateways, Flat},
		{GroupMembership, MembershipProcessor, SecondsASecond, Gateways, Linear},
		{GroupMembership, MembershipMemory, Bytes, Gateways, Linear},
		{GroupMembership, DetectionFirst, Seconds, Gateways, Flat},
		{GroupMembership, DetectionAll, Seconds, Gateways, Power},
		{GroupMembership, DetectionMost, Seconds, Gateways, Power},
		{GroupDiscovery, ListBytes, Bytes, Engines, Linear},
		{GroupDiscovery, ListParse, Seconds, Engines, Linear},
		{GroupDiscovery, ListTake, Seconds, Engines, Power},
		{GroupDiscovery, ListMemory, Bytes, Engines, Linear},
		{GroupConnections, EngineConnection, Bytes, Connections, Power},
		{GroupConnections, ClientConnection, Bytes, Connections, Power},
		{GroupStaged, StagedReportBytes, BytesASecond, Gateways, Flat},
		{GroupStaged, StagedReportProcessor, Seconds, Gateways, Linear},
	}
	for _, phase := range Phases() {
		list = append(list, phaseDefinitions(phase)...)
	}
	return list
}

// phaseDefinitions are the slopes of a phase: nothing grows with the fleet while it is quiet.
func phaseDefinitions(phase Phase) (list []Definition) {
	units := map[PhaseQuantity]string{PeakDatagrams: ASecond, PeakProcessor: SecondsASecond, SecondsToAgree: Seconds}
	for _, quantity := range PhaseQuantities(phase) {
		unit, form := units[quantity], Power
		if unit == "" {
			unit = BytesASecond
		}
		if phase == Quiet || quantity == SettledBytes {
			form = Flat
		}
		list = append(list, Definition{GroupFaults, quantity.Of(phase), unit, Gateways, form})
	}
	return list
}
