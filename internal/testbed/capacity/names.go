package capacity

// Names of the slopes in result files and on the page. PhaseQuantity.SlopeName returns those of the fault phases. At the
// low rate a gateway receives 6 load reports per second, at the full rate one with every response.
const (
	DecisionProcessorTime            = "decision: processor time of a statement"
	CoreProcessorTime                = "core and decision: processor time of a statement"
	KnownEngineShareAtLowReportRate  = "load reports: share of engines known, 6 reports a second and gateway"
	ReportAgeAtLowReportRate         = "load reports: mean age, 6 reports a second and gateway"
	KnownEngineShareAtFullReportRate = "load reports: share of engines known, 1625 reports a second and gateway"
	ReportAgeAtFullReportRate        = "load reports: mean age, 1625 reports a second and gateway"
	ReportsProcessorTime             = "load reports and membership: processor time a second"
	ReportsBytes                     = "load reports and membership: bytes a second"
	DigestMemory                     = "load reports: memory of a digest"
	MembershipBytes                  = "membership, quiet: bytes a second"
	MembershipProcessorTime          = "membership, quiet: processor time a second"
	MembershipMemory                 = "membership: memory of a node"
	DetectionFirstMember             = "membership: seconds until a killed gateway is first told dead, median"
	DetectionAllMembers              = "membership: seconds from then until all know, median"
	DetectionMax                     = "membership: seconds until a killed gateway is known dead by all, longest"
	ListBytes                        = "discovery: bytes of a whole list"
	ListParse                        = "discovery: processor time to parse a whole list"
	ListApply                        = "discovery: processor time of core and decision to take a whole list in"
	ListMemory                       = "discovery: memory of core and decision with a list"
	EngineConnection                 = "connections: memory of an idle connection to an engine"
	ClientConnection                 = "connections: memory of a client's connection at rest"
	StagedReportBytes                = "staged change: bytes a second of a gateway's reports to the controller"
	StagedReportProcessorTime        = "staged change: processor time of the controller to read a report of each gateway"
)

// Phase is a phase of a fault run: before, during or after a fault.
type Phase string

// The phases.
const (
	PhaseQuiet              Phase = "quiet"
	PhaseRestart            Phase = "planned restart"
	PhaseMachineLost        Phase = "machine lost"
	PhaseRackLost           Phase = "rack lost"
	PhaseZoneLost           Phase = "zone lost"
	PhaseZoneRecovered      Phase = "zone back cold"
	PhaseRegionsPartitioned Phase = "regions cut"
	PhasePartitionHealed    Phase = "regions healed"
)

// Phases returns all phases in the order of a fault run.
func Phases() []Phase {
	return []Phase{PhaseQuiet, PhaseRestart, PhaseMachineLost, PhaseRackLost, PhaseZoneLost, PhaseZoneRecovered, PhaseRegionsPartitioned, PhasePartitionHealed}
}

// PhaseQuantity is a quantity that is measured in each phase, for membership alone or for membership with load reports
// piggybacked on its datagrams.
type PhaseQuantity string

// The quantities. Rates are means over all gateways unless the name says otherwise.
const (
	PeakBytes                PhaseQuantity = "bytes a second, highest over 10 s"
	PeakBurst                PhaseQuantity = "bytes a second, highest over 5 s"
	PeakTopSender            PhaseQuantity = "bytes a second of the gateway that sends most, highest over 10 s"
	PeakDatagrams            PhaseQuantity = "datagrams a second, highest over 10 s"
	PeakProcessorTime        PhaseQuantity = "processor time a second, highest over 10 s"
	SettledBytes             PhaseQuantity = "bytes a second, last 10 s of the phase"
	ConvergenceSeconds       PhaseQuantity = "seconds until all views are right"
	PeakBytesWithReports     PhaseQuantity = "bytes a second with load reports, highest over 10 s"
	PeakTopSenderWithReports PhaseQuantity = "bytes a second with load reports of the gateway that sends most, highest over 10 s"
)

// SlopeName returns the name of the slope of the quantity in a phase.
func (q PhaseQuantity) SlopeName(phase Phase) string {
	return "membership, " + string(phase) + ": " + string(q)
}

// PhaseQuantities returns the quantities that are measured in a phase. While the regions are partitioned, the membership
// views of their gateways differ by design, so this phase has no ConvergenceSeconds.
func PhaseQuantities(phase Phase) []PhaseQuantity {
	list := []PhaseQuantity{PeakBytes, PeakBurst, PeakTopSender, PeakDatagrams, PeakProcessorTime, SettledBytes,
		PeakBytesWithReports, PeakTopSenderWithReports}
	if phase != PhaseRegionsPartitioned {
		list = append(list, ConvergenceSeconds)
	}
	return list
}
