// Package scale plans runs of fleets at the size of production. It computes what a run requires of the machine, assigns
// members and engines to zones, generates the plan of a run with its faults, computes rates from samples, and defines the
// format of the results. It does no input or output: package scale/runner executes the plans, and cmd/fleettest parses the
// options and stores the results.
package scale

import "fmt"

// Sizes are the sizes of the fleet in a run.
type Sizes struct {
	RealGateways     int     // number of gateways that are processes of the program
	HollowGateways   int     // number of gateways of package hollow
	Engines          int     // number of hollow engines
	Zones            int     // number of zones that the gateways and engines are assigned to
	Regions          int     // number of regions that the zones are assigned to
	StatementRate    float64 // statements per second that clients send to each real gateway in StepLoaded
	SubsetMinEngines int     // minimum size of a gateway's engine subset; 0 = all engines
}

// Members returns the number of gateways, real and hollow.
func (s Sizes) Members() int { return s.RealGateways + s.HollowGateways }

// Machine describes the machine of a run.
type Machine struct {
	MemoryBytes uint64 // total physical memory
	Descriptors uint64 // limit on the file descriptors of a process
}

// Bounds of a run.
const (
	MaxProcesses    = 200
	MaxMembers      = 4096 // limit of package membership
	MaxEngines      = 10_000
	MaxRate         = 2_000 // statements per second to each real gateway
	memoryShare     = 0.5   // share of the machine's memory that a run may use
	descriptorShare = 0.8   // share of its descriptor limit that a process may use
	toolProcesses   = 1     // the tool itself, with the relay, the discovery server and the clients
)

// Resources that a run requires, rounded up from measurements. Memory is in bytes.
const (
	gatewayBytes                = 96 << 20  // memory of a gateway process with 1,100 engines and 800 members
	hollowProcessBytes          = 24 << 20  // memory of a process of hollow gateways or engines, without these themselves
	hollowGatewayBytes          = 512 << 10 // memory of a hollow gateway without its tables
	hollowBytesPerMember        = 400       // memory for each member in a hollow gateway's tables
	hollowBytesPerEngine        = 400       // memory for each engine in a hollow gateway's tables
	engineBytes                 = 16 << 10  // memory of a hollow engine
	connectionBytes             = 24 << 10  // memory of a connection at a hollow engine or a client
	relayBytesPerMember         = 16 << 10  // memory of a member's relay socket and of its watch connection to the discovery server
	watchBytesPerEngine         = 512       // memory of an event in the send queue of a watch connection
	connectionsPerGateway       = 1.25      // connections of each gateway to an engine, including those reserved for urgent queries
	otherDescriptors            = 64        // descriptors of files, pipes and the Go runtime
	descriptorsPerMember        = 2         // relay socket and watch connection in the tool
	pipesPerProcess             = 4
	descriptorsPerHollowGateway = 3 // socket, watch connection, and a connection attempt
)

// Numbers of hollow gateways and engines that share a process.
const (
	HollowPerProcess  = 200
	enginesPerProcess = 550
)

// HollowProcesses returns the number of processes that run the hollow gateways.
func (s Sizes) HollowProcesses() int { return ceilDiv(s.HollowGateways, HollowPerProcess) }

// connectionsPerEngine returns the number of connections that all real gateways together may open to an engine.
func (s Sizes) connectionsPerEngine() int {
	return int(connectionsPerGateway*float64(s.RealGateways)) + 1
}

// EngineProcesses returns the number of processes that run the hollow engines. It is large enough that each process stays
// within the descriptor limit.
func (s Sizes) EngineProcesses(m Machine) int {
	available := max(1, int(descriptorShare*float64(m.Descriptors))-otherDescriptors)
	byDescriptors := ceilDiv(s.Engines*(1+s.connectionsPerEngine()), available)
	return max(byDescriptors, ceilDiv(s.Engines, enginesPerProcess))
}

// ceilDiv returns n divided by divisor, rounded up.
func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }

// SocketLimit returns the descriptor limit in a real gateway's configuration. It allows connections to all engines.
func (s Sizes) SocketLimit() int { return 512 + 2*s.Engines }

// Requirements are the resources that a run requires.
type Requirements struct {
	Processes   int
	MemoryBytes uint64
	Descriptors uint64 // maximum over the processes
}

// Requirements returns the resources that a run of these sizes requires. The number of processes depends on the machine's
// descriptor limit.
func (s Sizes) Requirements(m Machine) Requirements {
	members, engines := uint64(s.Members()), uint64(s.Engines)
	hollowProcesses, engineProcesses := s.HollowProcesses(), s.EngineProcesses(m)
	connections := engines * uint64(s.connectionsPerEngine())
	memory := uint64(s.RealGateways)*gatewayBytes +
		uint64(hollowProcesses+engineProcesses+toolProcesses)*hollowProcessBytes +
		uint64(s.HollowGateways)*(hollowGatewayBytes+members*hollowBytesPerMember+engines*hollowBytesPerEngine) +
		engines*engineBytes + connections*connectionBytes +
		members*(relayBytesPerMember+engines*watchBytesPerEngine)
	processes := s.RealGateways + hollowProcesses + engineProcesses + toolProcesses
	return Requirements{Processes: processes, MemoryBytes: memory, Descriptors: s.maxDescriptors(m, processes)}
}

// maxDescriptors returns the highest number of descriptors that any process requires.
func (s Sizes) maxDescriptors(m Machine, processes int) uint64 {
	tool := s.Members()*descriptorsPerMember + processes*pipesPerProcess + s.RealGateways
	hollow := min(s.HollowGateways, HollowPerProcess) * descriptorsPerHollowGateway
	engines := ceilDiv(s.Engines*(1+s.connectionsPerEngine()), max(1, s.EngineProcesses(m)))
	return uint64(max(tool, hollow, engines, s.SocketLimit()) + otherDescriptors)
}

// LimitError reports a run that requires more of a resource than the machine has.
type LimitError struct {
	Option    string // command line option whose value should be lowered
	Resource  string
	Required  uint64
	Available uint64
}

// Error returns a message with the option, the required amount and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: the run requires %d, limit %d (%s)", e.Option, e.Required, e.Available, e.Resource)
}

// ValueError reports a command line option whose value is out of bounds.
type ValueError struct {
	Option string
	Value  string
	Bounds string // the accepted values, as in "must be between 1 and 5"
}

// Error returns a message with the option, its value and the bounds.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s: must be %s", e.Option, e.Value, e.Bounds)
}

// Check returns a *ValueError if a size is out of bounds, and a *LimitError if the machine lacks a required resource.
func (s Sizes) Check(m Machine) error {
	if err := s.checkValues(); err != nil {
		return err
	}
	required := s.Requirements(m)
	memory := uint64(memoryShare * float64(m.MemoryBytes))
	if required.Processes > MaxProcesses {
		return &LimitError{Option: "--real", Resource: "processes", Required: uint64(required.Processes), Available: MaxProcesses}
	}
	if required.MemoryBytes > memory {
		return &LimitError{Option: s.memoryOption(), Resource: "bytes of memory, half of the machine's", Required: required.MemoryBytes, Available: memory}
	}
	if limit := uint64(descriptorShare * float64(m.Descriptors)); required.Descriptors > limit {
		return &LimitError{Option: s.descriptorOption(), Resource: "descriptors of a process, 80 % of the limit", Required: required.Descriptors,
			Available: limit}
	}
	return nil
}

// memoryOption returns the option that contributes most to the required memory.
func (s Sizes) memoryOption() string {
	hollow := s.HollowGateways * (hollowGatewayBytes + s.Members()*hollowBytesPerMember + s.Engines*hollowBytesPerEngine)
	if s.RealGateways*gatewayBytes >= hollow {
		return "--real"
	}
	return "--hollow"
}

// descriptorOption returns the option that contributes most to the required descriptors.
func (s Sizes) descriptorOption() string {
	if s.Members()*descriptorsPerMember > s.SocketLimit() {
		return "--hollow"
	}
	return "--engines"
}

func (s Sizes) checkValues() error {
	ranges := []struct {
		option   string
		value    int
		min, max int
	}{
		{"--real", s.RealGateways, 1, MaxMembers},
		{"--hollow", s.HollowGateways, 0, MaxMembers},
		{"--real and --hollow together", s.Members(), 2, MaxMembers},
		{"--engines", s.Engines, 1, MaxEngines},
		{"--zones", s.Zones, 1, min(s.Members(), s.Engines)},
		{"--regions", s.Regions, 1, s.Zones},
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return &ValueError{Option: r.option, Value: fmt.Sprint(r.value), Bounds: fmt.Sprintf("between %d and %d", r.min, r.max)}
		}
	}
	if s.SubsetMinEngines < 0 || s.SubsetMinEngines > MaxEngines {
		return &ValueError{Option: "--subset", Value: fmt.Sprint(s.SubsetMinEngines), Bounds: fmt.Sprintf("between 0 and %d", MaxEngines)}
	}
	if !(s.StatementRate >= 0 && s.StatementRate <= MaxRate) {
		return &ValueError{Option: "--rate", Value: fmt.Sprint(s.StatementRate), Bounds: fmt.Sprintf("between 0 and %d", MaxRate)}
	}
	return nil
}
