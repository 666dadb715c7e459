package capacity

import "fmt"

// MySQLConnections is what an engine takes at once where nothing else is set: max_connections of MySQL 8.0, by its
// reference manual. The users name no limit of their engines.
const MySQLConnections = 151

// RoleName names a part of the work.
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

// Role is what one part of the work costs a gateway at the target while nothing happens.
type Role struct {
	Name      RoleName
	State     string
	Messages  string
	Cost      Cost
	Mechanism string
	Verdict   Verdict
}

// Roles are all roles at the target.
func (m Model) Roles() []Role {
	return []Role{m.clientSide(), m.decisions(), m.engineSide(), m.membership(), m.loadReports(), m.discovery(),
		m.configuration(), m.stagedChange(), m.primaries(), m.controlMachines()}
}

func (m Model) clientSide() Role {
	t := m.Target
	cost := m.clientCost(t.ClientsPerGateway())
	return Role{Name: ClientSide, State: fmt.Sprintf("%s connections", whole(t.ClientsPerGateway())),
		Messages: fmt.Sprintf("%s statements and answers a second; their bytes are not control", whole(t.StatementsPerGateway())),
		Cost:     cost, Mechanism: fmt.Sprintf("`frontend.PlatformListener`; `limits.sockets` of %s or more", whole(t.ClientsPerGateway()/clientSockets)),
		Verdict: judge("256 MB, by connections at rest", cost.Memory, t.MemoryBytes)}
}

// clientSockets is the share of limits.sockets that clients may have, see internal/program.
const clientSockets = 0.4

func (m Model) decisions() Role {
	t := m.Target
	cost := m.decisionCost(t.Engines, t.StatementsPerGateway())
	each := m.value(CoreProcessor, t.Engines)
	return Role{Name: Decisions, State: fmt.Sprintf("%s engines, 200 table groups, %s statements out", whole(t.Engines),
		digits(t.StatementsPerGateway()*answerSeconds)),
		Messages: fmt.Sprintf("%s statements a second at %s each", whole(t.StatementsPerGateway()), seconds(each)),
		Cost:     cost, Mechanism: "`policy` and `internal/core`; each statement looks at every engine",
		Verdict: judge("4.1% of a core", cost.Processor, t.Processor)}
}

// answerSeconds is how long an engine takes for an answer in the measurements of decisions.
const answerSeconds = 0.1

func (m Model) engineSide() Role {
	t := m.Target
	cost := m.connectionCost(t.Engines)
	return Role{Name: EngineSide, State: fmt.Sprintf("%s connections a gateway, %s in all, %s at an engine", whole(t.Engines),
		whole(t.Engines*t.Gateways), whole(t.Gateways)),
		Messages: fmt.Sprintf("%s statements a second on each", digits(t.StatementsPerGateway()/t.Engines)),
		Cost:     cost, Mechanism: "`enginepool.Pool`, one or more to each engine that is used",
		Verdict: judge(fmt.Sprintf("%d connections at an engine (MySQL's default; assumed)", MySQLConnections), t.Gateways, MySQLConnections)}
}

func (m Model) membership() Role {
	t := m.Target
	cost := m.membershipCost(t.Gateways)
	return Role{Name: Membership, State: fmt.Sprintf("%s members", whole(t.Gateways)),
		Messages: "one datagram a second", Cost: cost, Mechanism: "SWIM with Lifeguard, `internal/membership`",
		Verdict: judge("3 KB/s in the quiet state; see the faults", cost.BytesSecond, t.BytesPerSecond)}
}

func (m Model) loadReports() Role {
	t := m.Target
	few := m.value(KnownFewReports, t.Engines)
	known := knownShare(t.Engines)
	return Role{Name: LoadReports, State: fmt.Sprintf("%s of the engines known, %s old (%s if only 6 answers a second brought reports)",
		digits(m.value(KnownAllReports, t.Engines)), seconds(m.value(AgeAllReports, t.Engines)), digits(few)),
		Messages: "3.3 datagrams a second of its own, and every membership datagram filled to 256 bytes",
		Cost:     m.reportCost(t.Gateways, t.Engines), Mechanism: "`internal/spread`, a table of 1,024 engines",
		Verdict: judge("0.95 of the engines known", t.KnownShare, known)}
}

func (m Model) discovery() Role {
	t := m.Target
	bytes := m.value(ListBytes, t.Engines)
	processor := m.value(ListParse, t.Engines) + m.value(ListTake, t.Engines)
	return Role{Name: Discovery, State: fmt.Sprintf("a list of %s; the server is the platform's, not the project's", bytesOf(bytes)),
		Messages: fmt.Sprintf("a line a second; a whole list takes %s of processor time; %s for all watchers", seconds(processor),
			bytesOf(bytes*t.Gateways)),
		Mechanism: "`internal/discovery`: numbered events, asked for after the last one seen",
		Verdict:   judge("3 KB/s over 10 s, received, where a reconnection brings a whole list", bytes/peakSeconds, t.BytesPerSecond)}
}

// peakSeconds is the time over which peaks are taken.
const peakSeconds = 10

func (m Model) configuration() Role {
	t := m.Target
	return Role{Name: Configuration, State: "a file on each machine",
		Messages:  fmt.Sprintf("one change in %s, %s deliveries a day", seconds(daySeconds/t.ConfigurationsPerDay), whole(t.ConfigurationsPerDay*t.Gateways)),
		Mechanism: "SIGHUP on a file that something else has to lay", Verdict: absent("in force everywhere within 14 s")}
}

const daySeconds = 86_400

func (m Model) stagedChange() Role {
	t := m.Target
	cost := m.stagedCost(t.Gateways)
	return Role{Name: StagedChange, State: "a journal at one controller",
		Messages: fmt.Sprintf("a report a second; %s/s and %s of a core at the controller", bytesOf(cost.BytesSecond*t.Gateways),
			percent(m.value(StagedReportProcessor, t.Gateways))),
		Cost: cost, Mechanism: "`internal/rollout`, `internal/controller`: gateways on the controller's own machine only",
		Verdict: judge("14 s, by one stage's least watch of 30 s", leastWatchSeconds, t.ConfigurationWithin.Seconds())}
}

// leastWatchSeconds is the default of watch.least_s in a plan, see docs/ROLLOUT.md.
const leastWatchSeconds = 30

func (m Model) primaries() Role {
	return Role{Name: Primaries, State: "none: no part of the program knows a primary",
		Messages:  fmt.Sprintf("%s changes a day", whole(m.Target.PrimariesPerDay)),
		Mechanism: "none", Verdict: absent("each change over within 7 s")}
}

func (m Model) controlMachines() Role {
	return Role{Name: ControlMachine, State: "none: no part of the program runs there", Messages: "none",
		Mechanism: "none; in two regions no majority outlives the loss of either, see below",
		Verdict:   absent("a quorum that outlives a zone and a region's loss")}
}

// QuietTotal is what all roles together cost a gateway, without the clients' connections.
func (m Model) QuietTotal() (total Cost) {
	for _, role := range m.Roles() {
		if role.Name != ClientSide {
			total = total.Add(role.Cost)
		}
	}
	return total
}
