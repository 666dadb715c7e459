package capacity

// Names of the slopes. Those of a fault's phase are made by Of.
const (
	DecisionProcessor     = "decision: processor time of a statement"
	CoreProcessor         = "core and decision: processor time of a statement"
	KnownFewReports       = "load reports: share of engines known, 6 reports a second and gateway"
	AgeFewReports         = "load reports: mean age, 6 reports a second and gateway"
	KnownAllReports       = "load reports: share of engines known, 1625 reports a second and gateway"
	AgeAllReports         = "load reports: mean age, 1625 reports a second and gateway"
	ReportsProcessor      = "load reports and membership: processor time a second"
	ReportsBytes          = "load reports and membership: bytes a second"
	DigestMemory          = "load reports: memory of a digest"
	MembershipBytes       = "membership, quiet: bytes a second"
	MembershipProcessor   = "membership, quiet: processor time a second"
	MembershipMemory      = "membership: memory of a node"
	DetectionFirst        = "membership: seconds until a killed gateway is first told dead, median"
	DetectionAll          = "membership: seconds from then until all know, median"
	DetectionMost         = "membership: seconds until a killed gateway is known dead by all, longest"
	ListBytes             = "discovery: bytes of a whole list"
	ListParse             = "discovery: processor time to parse a whole list"
	ListTake              = "discovery: processor time of core and decision to take a whole list in"
	ListMemory            = "discovery: memory of core and decision with a list"
	EngineConnection      = "connections: memory of an idle connection to an engine"
	ClientConnection      = "connections: memory of a client's connection at rest"
	StagedReportBytes     = "staged change: bytes a second of a gateway's reports to the controller"
	StagedReportProcessor = "staged change: processor time of the controller to read a report of each gateway"
)

// Phase is one state of the fleet in the runs of faults.
type Phase string

// The phases.
const (
	Quiet      Phase = "quiet"
	Restart    Phase = "planned restart"
	OneLost    Phase = "machine lost"
	RackLost   Phase = "rack lost"
	ZoneLost   Phase = "zone lost"
	ZoneBack   Phase = "zone back cold"
	RegionsCut Phase = "regions cut"
	Healed     Phase = "regions healed"
)

// Phases are all phases in the order in which a run plays them.
func Phases() []Phase {
	return []Phase{Quiet, Restart, OneLost, RackLost, ZoneLost, ZoneBack, RegionsCut, Healed}
}

// PhaseQuantity is what is measured in a phase, of membership alone or with load reports on its datagrams.
type PhaseQuantity string

// The quantities.
const (
	PeakBytes        PhaseQuantity = "bytes a second, highest over 10 s"
	PeakBurst        PhaseQuantity = "bytes a second, highest over 5 s"
	PeakMost         PhaseQuantity = "bytes a second of the gateway that sends most, highest over 10 s"
	PeakDatagrams    PhaseQuantity = "datagrams a second, highest over 10 s"
	PeakProcessor    PhaseQuantity = "processor time a second, highest over 10 s"
	SettledBytes     PhaseQuantity = "bytes a second, last 10 s of the phase"
	SecondsToAgree   PhaseQuantity = "seconds until all views are right"
	PeakBytesReports PhaseQuantity = "bytes a second with load reports, highest over 10 s"
	PeakMostReports  PhaseQuantity = "bytes a second with load reports of the gateway that sends most, highest over 10 s"
)

// Of is the name of the slope of a quantity in a phase.
func (q PhaseQuantity) Of(phase Phase) string {
	return "membership, " + string(phase) + ": " + string(q)
}

// PhaseQuantities are the quantities that a phase has a slope of. While regions are cut from each other views differ
// by design.
func PhaseQuantities(phase Phase) []PhaseQuantity {
	list := []PhaseQuantity{PeakBytes, PeakBurst, PeakMost, PeakDatagrams, PeakProcessor, SettledBytes,
		PeakBytesReports, PeakMostReports}
	if phase != RegionsCut {
		list = append(list, SecondsToAgree)
	}
	return list
}
