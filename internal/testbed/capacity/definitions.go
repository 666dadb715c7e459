package capacity

import "fmt"

// Values of Slope.SizeOf, which say what the size of a slope counts.
const (
	SizeOfEngines     = "engines"
	SizeOfGateways    = "gateways"
	SizeOfConnections = "connections"
)

// Units of slopes.
const (
	UnitSeconds          = "s"
	UnitSecondsPerSecond = "s/s" // processor time per wall-clock time, the share of a core
	UnitBytes            = "bytes"
	UnitBytesPerSecond   = "bytes/s"
	UnitPerSecond        = "1/s"
	UnitShare            = "share"
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
	Unit   string // UnitSeconds or another unit
	SizeOf string // what the size counts: SizeOfEngines, SizeOfGateways or SizeOfConnections
	Form   Form   // form of the fitted curve
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
		{GroupDecision, DecisionProcessorTime, UnitSeconds, SizeOfEngines, Linear},
		{GroupDecision, CoreProcessorTime, UnitSeconds, SizeOfEngines, Linear},
		{GroupReports, KnownEngineShareAtLowReportRate, UnitShare, SizeOfEngines, Power},
		{GroupReports, ReportAgeAtLowReportRate, UnitSeconds, SizeOfEngines, Power},
		{GroupReports, KnownEngineShareAtFullReportRate, UnitShare, SizeOfEngines, Flat},
		{GroupReports, ReportAgeAtFullReportRate, UnitSeconds, SizeOfEngines, Linear},
		{GroupReports, ReportsProcessorTime, UnitSecondsPerSecond, SizeOfEngines, Linear},
		{GroupReports, ReportsBytes, UnitBytesPerSecond, SizeOfEngines, Flat},
		{GroupReports, DigestMemory, UnitBytes, SizeOfEngines, Linear},
		{GroupMembership, MembershipBytes, UnitBytesPerSecond, SizeOfGateways, Flat},
		{GroupMembership, MembershipProcessorTime, UnitSecondsPerSecond, SizeOfGateways, Linear},
		{GroupMembership, MembershipMemory, UnitBytes, SizeOfGateways, Linear},
		{GroupMembership, DetectionFirstMember, UnitSeconds, SizeOfGateways, Flat},
		{GroupMembership, DetectionAllMembers, UnitSeconds, SizeOfGateways, Power},
		{GroupMembership, DetectionMax, UnitSeconds, SizeOfGateways, Power},
		{GroupDiscovery, ListBytes, UnitBytes, SizeOfEngines, Linear},
		{GroupDiscovery, ListParse, UnitSeconds, SizeOfEngines, Linear},
		{GroupDiscovery, ListApply, UnitSeconds, SizeOfEngines, Power},
		{GroupDiscovery, ListMemory, UnitBytes, SizeOfEngines, Linear},
		{GroupConnections, EngineConnection, UnitBytes, SizeOfConnections, Power},
		{GroupConnections, ClientConnection, UnitBytes, SizeOfConnections, Power},
		{GroupStaged, StagedReportBytes, UnitBytesPerSecond, SizeOfGateways, Flat},
		{GroupStaged, StagedReportProcessorTime, UnitSeconds, SizeOfGateways, Linear},
	}
	for _, phase := range Phases() {
		list = append(list, phaseDefinitions(phase)...)
	}
	return list
}

// phaseDefinitions returns the definitions of the slopes of a phase. Without a fault, and after the fleet has settled, the
// cost of gossip to a gateway does not depend on the size of the fleet, so those slopes are flat.
func phaseDefinitions(phase Phase) (list []Definition) {
	units := map[PhaseQuantity]string{PeakDatagrams: UnitPerSecond, PeakProcessorTime: UnitSecondsPerSecond, ConvergenceSeconds: UnitSeconds}
	for _, quantity := range PhaseQuantities(phase) {
		unit, form := units[quantity], Power
		if unit == "" {
			unit = UnitBytesPerSecond
		}
		if phase == PhaseQuiet || quantity == SettledBytes {
			form = Flat
		}
		list = append(list, Definition{GroupFaults, quantity.SlopeName(phase), unit, SizeOfGateways, form})
	}
	return list
}
