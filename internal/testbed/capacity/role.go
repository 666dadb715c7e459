package capacity

import "fmt"

// MySQLMaxConnections is the limit of connections that is assumed for an engine, since the operators state none: the
// default of max_connections in MySQL 8.0.
const MySQLMaxConnections = 151

// RoleName names a role: a part of the work of gateways and control machines.
type RoleName string

// The roles, in the order of issue 23.
const (
	ClientSide     RoleName = "client side"
	Decisions      RoleName = "decisions"
	EngineSide     RoleName = "connections to engines"
	Membership     RoleName = "membership"
	LoadReports    RoleName = "shared load reports"
	Discovery      RoleName = "discovery's server and its watchers"
	Configuration  RoleName = "configuration"
	StagedChange   RoleName = "staged change"
	Primaries      RoleName = "tracking of primaries"
	ControlMachine RoleName = "the six control machines"
)

// Role is a role with its cost to a gateway of the target fleet, without faults. The texts stand on the page.
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
	return Role{Name: ClientSide, State: fmt.Sprintf("%s connections", formatCount(t.ClientsPerGateway())),
		Messages: fmt.Sprintf("%s statements and answers a second; their bytes are not control", formatCount(t.StatementsPerGateway())),
		Cost:     cost,
		Mechanism: fmt.Sprintf("`frontend.PlatformListener`; `limits.sockets` of %s or more",
			formatCount(t.ClientsPerGateway()/clientSocketShare)),
		Verdict: compare("256 MB, by connections at rest", cost.Memory, t.MemoryBytes)}
}

// clientSocketShare is the share of limits.sockets that is reserved for clients, see internal/program.
const clientSocketShare = 0.4

func (m Model) decisions() Role {
	t := m.Target
	cost := m.decisionCost(t.Engines, t.StatementsPerGateway())
	each := m.estimate(CoreProcessor, t.Engines)
	return Role{Name: Decisions, State: fmt.Sprintf("%s engines, 200 table groups, %s statements out", formatCount(t.Engines),
		formatNumber(t.StatementsPerGateway()*responseSeconds)),
		Messages: fmt.Sprintf("%s statements a second at %s each", formatCount(t.StatementsPerGateway()), formatSeconds(each)),
		Cost:     cost, Mechanism: "`policy` and `internal/core`; each statement looks at every engine",
		Verdict: compare("4.1% of a core", cost.Processor, t.Processor)}
}

// responseSeconds is the response time of engines in the measurements of decisions.
const responseSeconds = 0.1

func (m Model) engineSide() Role {
	t := m.Target
	cost := m.connectionCost(t.Engines)
	return Role{Name: EngineSide, State: fmt.Sprintf("%s connections a gateway, %s in all, %s at an engine", formatCount(t.Engines),
		formatCount(t.Engines*t.Gateways), formatCount(t.Gateways)),
		Messages: fmt.Sprintf("%s statements a second on each", formatNumber(t.StatementsPerGateway()/t.Engines)),
		Cost:     cost, Mechanism: "`enginepool.Pool`, one or more to each engine that is used",
		Verdict: compare(fmt.Sprintf("%d connections at an engine (MySQL's default; assumed)", MySQLMaxConnections), t.Gateways, MySQLMaxConnections)}
}

func (m Model) membership() Role {
	t := m.Target
	cost := m.membershipCost(t.Gateways)
	return Role{Name: Membership, State: fmt.Sprintf("%s members", formatCount(t.Gateways)),
		Messages: "one datagram a second", Cost: cost, Mechanism: "SWIM with Lifeguard, `internal/control/membership`",
		Verdict: compare("3 KB/s in the quiet state; see the faults", cost.BytesPerSecond, t.BytesPerSecond)}
}

func (m Model) loadReports() Role {
	t := m.Target
	knownAtLowRate := m.estimate(KnownAtLowRate, t.Engines)
	known := knownShare(t.Engines)
	return Role{Name: LoadReports, State: fmt.Sprintf("%s of the engines known, %s old (%s if only 6 answers a second brought reports)",
		formatNumber(m.estimate(KnownAtFullRate, t.Engines)), formatSeconds(m.estimate(AgeAtFullRate, t.Engines)), formatNumber(knownAtLowRate)),
		Messages: "3.3 datagrams a second of its own, and every membership datagram filled to 256 bytes",
		Cost:     m.reportCost(t.Gateways, t.Engines), Mechanism: "`internal/control/loadreport`, a table of 1,024 engines",
		Verdict: compare("0.95 of the engines known", t.KnownShare, known)}
}

func (m Model) discovery() Role {
	t := m.Target
	bytes := m.estimate(ListBytes, t.Engines)
	processor := m.estimate(ListParse, t.Engines) + m.estimate(ListApply, t.Engines)
	return Role{Name: Discovery, State: fmt.Sprintf("a list of %s; the server is the platform's, not the project's", formatBytes(bytes)),
		Messages: fmt.Sprintf("a line a second; a whole list takes %s of processor time; %s for all watchers", formatSeconds(processor),
			formatBytes(bytes*t.Gateways)),
		Mechanism: "`internal/protocol/discovery`: numbered events, asked for after the last one seen",
		Verdict:   compare("3 KB/s over 10 s, received, where a reconnection brings a whole list", bytes/peakWindowSeconds, t.BytesPerSecond)}
}

// peakWindowSeconds is the window over which peaks are averaged.
const peakWindowSeconds = 10

func (m Model) configuration() Role {
	t := m.Target
	return Role{Name: Configuration, State: "a file on each machine",
		Messages: fmt.Sprintf("one change in %s, %s deliveries a day", formatSeconds(daySeconds/t.ConfigurationsPerDay),
			formatCount(t.ConfigurationsPerDay*t.Gateways)),
		Mechanism: "SIGHUP on a file that something else has to lay", Verdict: absentVerdict("in force everywhere within 14 s")}
}

const daySeconds = 86_400

func (m Model) stagedChange() Role {
	t := m.Target
	cost := m.stagedCost(t.Gateways)
	return Role{Name: StagedChange, State: "a journal at one controller",
		Messages: fmt.Sprintf("a report a second; %s/s and %s of a core at the controller", formatBytes(cost.BytesPerSecond*t.Gateways),
			formatPercent(m.estimate(StagedReportProcessor, t.Gateways))),
		Cost: cost, Mechanism: "`internal/control/rollout`, `internal/controller`: gateways on the controller's own machine only",
		Verdict: compare("14 s, by one stage's least watch of 30 s", minWatchSeconds, t.ConfigurationWithin.Seconds())}
}

// minWatchSeconds is the default of watch.least_s in a rollout plan, see docs/operators/ROLLOUT.md.
const minWatchSeconds = 30

func (m Model) primaries() Role {
	return Role{Name: Primaries, State: "none: no part of the program knows a primary",
		Messages:  fmt.Sprintf("%s changes a day", formatCount(m.Target.PrimariesPerDay)),
		Mechanism: "none", Verdict: absentVerdict("each change over within 7 s")}
}

func (m Model) controlMachines() Role {
	return Role{Name: ControlMachine, State: "none: no part of the program runs there", Messages: "none",
		Mechanism: "none; in two regions no majority outlives the loss of either, see below",
		Verdict:   absentVerdict("a quorum that outlives a zone and a region's loss")}
}

// QuietTotal returns the cost of all roles together without faults and without client connections.
func (m Model) QuietTotal() (total Cost) {
	for _, role := range m.Roles() {
		if role.Name != ClientSide {
			total = total.Add(role.Cost)
		}
	}
	return total
}
