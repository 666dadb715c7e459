package capacity

import "fmt"

// MySQLMaxConnections is the assumed connection limit of an engine, because the operators specify none. It is the default
// of max_connections in MySQL 8.0.
const MySQLMaxConnections = 151

// RoleName names a role.
type RoleName string

// The roles, in the order of issue 23, which specifies the target fleet.
const (
	RoleClientSide      RoleName = "client side"
	RoleDecisions       RoleName = "decisions"
	RoleEngineSide      RoleName = "connections to engines"
	RoleMembership      RoleName = "membership"
	RoleLoadReports     RoleName = "shared load reports"
	RoleDiscovery       RoleName = "discovery server and its watchers"
	RoleConfiguration   RoleName = "configuration"
	RoleStagedChange    RoleName = "staged change"
	RolePrimaries       RoleName = "tracking of primaries"
	RoleControlMachines RoleName = "the six control machines"
)

// Role is a function of gateways or control machines, such as membership, with its cost at one gateway of the target fleet
// without faults. The text fields are printed on the page.
type Role struct {
	Name      RoleName
	State     string
	Messages  string
	Cost      Cost
	Mechanism string
	Verdict   Verdict
}

// Roles returns all roles, in the order of the page.
func (m Model) Roles() []Role {
	return []Role{m.clientSide(), m.decisions(), m.engineSide(), m.membership(), m.loadReports(), m.discovery(),
		m.configuration(), m.stagedChange(), m.primaries(), m.controlMachines()}
}

func (m Model) clientSide() Role {
	t := m.Target
	cost := m.clientCost(t.ClientsPerGateway())
	return Role{Name: RoleClientSide, State: fmt.Sprintf("%s connections", formatCount(t.ClientsPerGateway())),
		Messages: fmt.Sprintf("%s statements and responses a second; their bytes are not control traffic", formatCount(t.StatementsPerGateway())),
		Cost:     cost,
		Mechanism: fmt.Sprintf("`frontend.PlatformListener`; `limits.sockets` of %s or more",
			formatCount(t.ClientsPerGateway()/clientSocketShare)),
		Verdict: compare("256 MB, for idle connections", cost.Memory, t.MemoryBytes)}
}

// clientSocketShare is the share of limits.sockets that is reserved for client connections, see internal/program.
const clientSocketShare = 0.4

func (m Model) decisions() Role {
	t := m.Target
	cost := m.decisionCost(t.Engines, t.StatementsPerGateway())
	each := m.estimate(CoreProcessorTime, t.Engines)
	return Role{Name: RoleDecisions, State: fmt.Sprintf("%s engines, 200 table groups, %s statements in flight", formatCount(t.Engines),
		formatNumber(t.StatementsPerGateway()*responseSeconds)),
		Messages: fmt.Sprintf("%s statements a second at %s each", formatCount(t.StatementsPerGateway()), formatSeconds(each)),
		Cost:     cost, Mechanism: "`policy` and `internal/core`; each statement evaluates every engine",
		Verdict: compare("4.1% of a core", cost.Processor, t.Processor)}
}

// responseSeconds is the response time of engines in the decision measurements, see measure.ResponseTime.
const responseSeconds = 0.1

func (m Model) engineSide() Role {
	t := m.Target
	cost := m.connectionCost(t.Engines)
	return Role{Name: RoleEngineSide, State: fmt.Sprintf("%s connections per gateway, %s in total, %s per engine", formatCount(t.Engines),
		formatCount(t.Engines*t.Gateways), formatCount(t.Gateways)),
		Messages: fmt.Sprintf("%s statements a second on each connection", formatNumber(t.StatementsPerGateway()/t.Engines)),
		Cost:     cost, Mechanism: "`enginepool.Pool`, one or more connections to each engine in use",
		Verdict: compare(fmt.Sprintf("%d connections per engine (MySQL's default; assumed)", MySQLMaxConnections), t.Gateways, MySQLMaxConnections)}
}

func (m Model) membership() Role {
	t := m.Target
	cost := m.membershipCost(t.Gateways)
	return Role{Name: RoleMembership, State: fmt.Sprintf("%s members", formatCount(t.Gateways)),
		Messages: "one datagram a second", Cost: cost, Mechanism: "SWIM with Lifeguard, `internal/control/membership`",
		Verdict: compare("3 KB/s in the quiet state; for faults see below", cost.BytesPerSecond, t.BytesPerSecond)}
}

func (m Model) loadReports() Role {
	t := m.Target
	knownAtLowRate := m.estimate(KnownEngineShareAtLowReportRate, t.Engines)
	known := knownShare(t.Engines)
	return Role{Name: RoleLoadReports, State: fmt.Sprintf("%s of the engines known, reports %s old (%s known if only 6 responses a second carried reports)",
		formatNumber(m.estimate(KnownEngineShareAtFullReportRate, t.Engines)), formatSeconds(m.estimate(ReportAgeAtFullReportRate, t.Engines)),
		formatNumber(knownAtLowRate)),
		Messages: "3.3 datagrams a second for reports alone; membership datagrams are filled to 256 bytes",
		Cost:     m.reportCost(t.Gateways, t.Engines), Mechanism: "`internal/control/loadreport`, a table of 1,024 engines",
		Verdict: compare("0.95 of the engines known", t.KnownShare, known)}
}

func (m Model) discovery() Role {
	t := m.Target
	bytes := m.estimate(ListBytes, t.Engines)
	processor := m.estimate(ListParse, t.Engines) + m.estimate(ListApply, t.Engines)
	return Role{Name: RoleDiscovery, State: fmt.Sprintf("a list of %s; the server belongs to the platform, not to this project", formatBytes(bytes)),
		Messages: fmt.Sprintf("one line a second; a full list takes %s of processor time; %s for all watchers", formatSeconds(processor),
			formatBytes(bytes*t.Gateways)),
		Mechanism: "`internal/protocol/discovery`: numbered events; a watcher resumes after the last event that it received",
		Verdict:   compare("3 KB/s over 10 s, received, when a reconnect transfers a full list", bytes/peakWindowSeconds, t.BytesPerSecond)}
}

// peakWindowSeconds is the length of the window over which traffic peaks are averaged.
const peakWindowSeconds = 10

func (m Model) configuration() Role {
	t := m.Target
	return Role{Name: RoleConfiguration, State: "a file on each machine",
		Messages: fmt.Sprintf("one change every %s, %s deliveries a day", formatSeconds(daySeconds/t.ConfigurationChangesPerDay),
			formatCount(t.ConfigurationChangesPerDay*t.Gateways)),
		Mechanism: "SIGHUP, to reload a file that another tool has to install", Verdict: absentVerdict("in force everywhere within 14 s")}
}

const daySeconds = 86_400

func (m Model) stagedChange() Role {
	t := m.Target
	cost := m.stagedCost(t.Gateways)
	return Role{Name: RoleStagedChange, State: "a journal at one controller",
		Messages: fmt.Sprintf("a report a second; %s/s and %s of a core at the controller", formatBytes(cost.BytesPerSecond*t.Gateways),
			formatPercent(m.estimate(StagedReportProcessorTime, t.Gateways))),
		Cost: cost, Mechanism: "`internal/control/rollout`, `internal/controller`: gateways on the controller's own machine only",
		Verdict: compare("14 s, because a stage is watched for at least 30 s", minWatchSeconds, t.ConfigurationDeadline.Seconds())}
}

// minWatchSeconds is the default of watch.least_s, the minimum time for which a rollout plan watches a stage. See
// docs/operators/ROLLOUT.md.
const minWatchSeconds = 30

func (m Model) primaries() Role {
	return Role{Name: RolePrimaries, State: "none: the program does not track primaries",
		Messages:  fmt.Sprintf("%s changes a day", formatCount(m.Target.PrimaryChangesPerDay)),
		Mechanism: "none", Verdict: absentVerdict("each change complete within 7 s")}
}

func (m Model) controlMachines() Role {
	return Role{Name: RoleControlMachines, State: "none: no part of the program runs there", Messages: "none",
		Mechanism: "none; with two regions no majority survives the loss of either, see below",
		Verdict:   absentVerdict("a quorum that survives the loss of a zone or a region")}
}

// QuietTotal returns the total cost of all roles without faults and without client connections.
func (m Model) QuietTotal() (total Cost) {
	for _, role := range m.Roles() {
		if role.Name != RoleClientSide {
			total = total.Add(role.Cost)
		}
	}
	return total
}
