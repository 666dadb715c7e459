package capacity

import "fmt"

// Values of Slope.SizeOf, which say what the size of a slope counts.
const (
	Engines     = "engines"
	Gateways    = "gateways"
	Connections = "connections"
)

// Units of slopes.
const (
	Seconds          = "s"
	SecondsPerSecond = "s/s" // processor time per wall-clock time, the share of a core
	Bytes            = "bytes"
	BytesPerSecond   = "bytes/s"
	PerSecond        = "1/s"
	Share            = "share"
)

// Group is a group of measurements that can be run separately.
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

// Groups returns all groups in the order in which they are measured.
func Groups() []Group {
	return []Group{GroupDecision, GroupReports, GroupMembership, GroupFaults, GroupDiscovery, GroupConnections, GroupStaged}
}

// Definition defines a slope to measure.
type Definition struct {
	Group  Group
	Name   string
	Unit   string // Seconds or another unit
	SizeOf string // what the size counts: Engines, Gateways or Connections
	Form   Form   // of the fitted curve
}

// Command returns the command line that measures the slope.
func (d Definition) Command() string {
	text := fmt.Sprintf("bin/fleettest slopes --only %s", d.Group)
	if d.Group == GroupReports || d.Group == GroupMembership || d.Group == GroupFaults {
		text += " --memory-mb 768" // for the membership tables of 800 gateways in one process
	}
	return text
}

// Definitions returns the definitions of all slopes, in the order of result files.
func Definitions() []Definition {
	list := []Definition{
		{GroupDecision, DecisionProcessor, Seconds, Engines, Linear},
		{GroupDecision, CoreProcessor, Seconds, Engines, Linear},
		{GroupReports, KnownAtLowRate, Share, Engines, Power},
		{GroupReports, AgeAtLowRate, Seconds, Engines, Power},
		{GroupReports, KnownAtFullRate, Share, Engines, Flat},
		{GroupReports, AgeAtFullRate, Seconds, Engines, Linear},
		{GroupReports, ReportsProcessor, SecondsPerSecond, Engines, Linear},
		{GroupReports, ReportsBytes, BytesPerSecond, Engines, Flat},
		{GroupReports, DigestMemory, Bytes, Engines, Linear},
		{GroupMembership, MembershipBytes, BytesPerSecond, Gateways, Flat},
		{GroupMembership, MembershipProcessor, SecondsPerSecond, Gateways, Linear},
		{GroupMembership, MembershipMemory, Bytes, Gateways, Linear},
		{GroupMembership, DetectionFirstMember, Seconds, Gateways, Flat},
		{GroupMembership, DetectionAllMembers, Seconds, Gateways, Power},
		{GroupMembership, DetectionMax, Seconds, Gateways, Power},
		{GroupDiscovery, ListBytes, Bytes, Engines, Linear},
		{GroupDiscovery, ListParse, Seconds, Engines, Linear},
		{GroupDiscovery, ListApply, Seconds, Engines, Power},
		{GroupDiscovery, ListMemory, Bytes, Engines, Linear},
		{GroupConnections, EngineConnection, Bytes, Connections, Power},
		{GroupConnections, ClientConnection, Bytes, Connections, Power},
		{GroupStaged, StagedReportBytes, BytesPerSecond, Gateways, Flat},
		{GroupStaged, StagedReportProcessor, Seconds, Gateways, Linear},
	}
	for _, phase := range Phases() {
		list = append(list, phaseDefinitions(phase)...)
	}
	return list
}

// phaseDefinitions returns the definitions of the slopes of a phase. Without a fault, and after the fleet has settled, the
// cost of gossip to a gateway does not depend on the size of the fleet, so those slopes are flat.
func phaseDefinitions(phase Phase) (list []Definition) {
	units := map[PhaseQuantity]string{PeakDatagrams: PerSecond, PeakProcessorTime: SecondsPerSecond, ConvergenceSeconds: Seconds}
	for _, quantity := range PhaseQuantities(phase) {
		unit, form := units[quantity], Power
		if unit == "" {
			unit = BytesPerSecond
		}
		if phase == Quiet || quantity == SettledBytes {
			form = Flat
		}
		list = append(list, Definition{GroupFaults, quantity.SlopeName(phase), unit, Gateways, form})
	}
	return list
}
