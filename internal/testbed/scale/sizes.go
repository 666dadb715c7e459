// Package scale plans runs of fleets at the size of production. It owns the sizes that fit a machine, the layout of
// members and engines in zones, the plan of a run with its faults, the rates of samples, and the format of the results.
// It does no input or output: package scale/runner plays the plans, and cmd/fleettest takes the options and keeps the
// results.
package scale

import "fmt"

// Sizes are the sizes of a run.
type Sizes struct {
	RealGateways     int     // gateways that are processes of the program
	HollowGateways   int     // gateways of package hollow
	Engines          int     // hollow engines
	Zones            int     // of gateways and engines
	Regions          int     // that the zones are in
	StatementRate    float64 // statements a second that each real gateway is sent in the step "loaded"
	SubsetMinEngines int     // engines that a gateway uses at least; 0 = every gateway uses all
}

// Members returns the number of gateways, real and hollow.
func (s Sizes) Members() int { return s.RealGateways + s.HollowGateways }

// Machine describes the machine of a run.
type Machine struct {
	MemoryBytes uint64 // of the machine
	Descriptors uint64 // limit for one process
}

// Bounds of a run, whatever the machine.
const (
	MaxProcesses    = 200
	MaxMembers      = 4096 // as package membership takes
	MaxEngines      = 10_000
	MaxRate         = 2_000 // statements a second and real gateway
	memoryShare     = 0.5   // of the machine's memory that a run may use
	descriptorShare = 0.8   // of the descriptor limit that a process may need
	toolProcesses   = 1     // the tool itself: relay, discovery server, clients
)

// What the parts of a run need, rounded up from measurements. Memory is in bytes.
const (
	realBytes         = 96 << 20  // a gateway process before 1,100 engines and 800 members
	processBytes      = 24 << 20  // a process of hollow parts, before any part
	hollowBytes       = 512 << 10 // a hollow gateway, before its tables
	hollowPerMember   = 400       // and for each member in its tables
	hollowPerEngine   = 400       // and for each engine
	engineBytes       = 16 << 10  // a hollow engine
	connectionBytes   = 24 << 10  // a connection at a hollow engine or a client
	relayPerMember    = 16 << 10  // a face of the relay and a watcher of the discovery server
	watcherPerEngine  = 512       // an event on its way to a watcher
	engineConnections = 1.25      // connections that a gateway may hold to an engine, its urgent share included
	spareDescriptors  = 64        // files, pipes and the runtime's own
	facesAndWatchers  = 2         // descriptors of the tool for a member
	pipesPerProcess   = 4
	hollowDescriptors = 3 // socket, watch, and a dial under way
)

// How many hollow gateways and engines share a process.
const (
	HollowPerProcess  = 200
	enginesPerProcess = 550
)

// HollowProcesses returns how many processes run the hollow gateways.
func (s Sizes) HollowProcesses() int { return ceilDiv(s.HollowGateways, HollowPerProcess) }

// connectionsPerEngine is how many connections the real gateways together may open to an engine.
func (s Sizes) connectionsPerEngine() int { return int(engineConnections*float64(s.RealGateways)) + 1 }

// EngineProcesses returns how many processes run the hollow engines, so that none runs out of descriptors.
func (s Sizes) EngineProcesses(m Machine) int {
	available := max(1, int(descriptorShare*float64(m.Descriptors))-spareDescriptors)
	byDescriptors := ceilDiv(s.Engines*(1+s.connectionsPerEngine()), available)
	return max(byDescriptors, ceilDiv(s.Engines, enginesPerProcess))
}

// ceilDiv is n over by, rounded up.
func ceilDiv(n, by int) int { return (n + by - 1) / by }

// SocketLimit returns how many descriptors a real gateway's configuration allows: enough for connections to all engines.
func (s Sizes) SocketLimit() int { return 512 + 2*s.Engines }

// Requirements is what a run needs.
type Requirements struct {
	Processes   int
	MemoryBytes uint64
	Descriptors uint64 // of the process that needs most
}

// Requirements returns what a run of these sizes needs on this machine.
func (s Sizes) Requirements(m Machine) Requirements {
	members, engines := uint64(s.Members()), uint64(s.Engines)
	hollowProcesses, engineProcesses := s.HollowProcesses(), s.EngineProcesses(m)
	connections := engines * uint64(s.connectionsPerEngine())
	memory := uint64(s.RealGateways)*realBytes +
		uint64(hollowProcesses+engineProcesses+toolProcesses)*processBytes +
		uint64(s.HollowGateways)*(hollowBytes+members*hollowPerMember+engines*hollowPerEngine) +
		engines*engineBytes + connections*connectionBytes +
		members*(relayPerMember+engines*watcherPerEngine)
	processes := s.RealGateways + hollowProcesses + engineProcesses + toolProcesses
	return Requirements{Processes: processes, MemoryBytes: memory, Descriptors: s.maxDescriptors(m, processes)}
}

// maxDescriptors is how many descriptors the process with most of them needs.
func (s Sizes) maxDescriptors(m Machine, processes int) uint64 {
	tool := s.Members()*facesAndWatchers + processes*pipesPerProcess + s.RealGateways
	hollow := min(s.HollowGateways, HollowPerProcess) * hollowDescriptors
	engines := ceilDiv(s.Engines*(1+s.connectionsPerEngine()), max(1, s.EngineProcesses(m)))
	return uint64(max(tool, hollow, engines, s.SocketLimit()) + spareDescriptors)
}

// LimitError is a run that does not fit the machine.
type LimitError struct {
	Option    string // to lower, as on the command line
	Resource  string // that the run would exceed
	Required  uint64
	Available uint64
}

// Error names the option, what the run needs, and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: the run would need %d, and the limit is %d (%s)", e.Option, e.Required, e.Available, e.Resource)
}

// ValueError is an option whose value is out of bounds.
type ValueError struct {
	Option string
	Value  string
	Bounds string
}

// Error names the option, its value and the bounds.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s is not %s", e.Option, e.Value, e.Bounds)
}

// Check returns a *ValueError for sizes that are out of bounds, and a *LimitError for those that do not fit the machine.
func (s Sizes) Check(m Machine) error {
	if err := s.checkValues(); err != nil {
		return err
	}
	need := s.Requirements(m)
	memory := uint64(memoryShare * float64(m.MemoryBytes))
	if need.Processes > MaxProcesses {
		return &LimitError{Option: "--real", Resource: "processes of a run", Required: uint64(need.Processes), Available: MaxProcesses}
	}
	if need.MemoryBytes > memory {
		return &LimitError{Option: s.largestOption(), Resource: "half of the machine's memory, bytes", Required: need.MemoryBytes, Available: memory}
	}
	if limit := uint64(descriptorShare * float64(m.Descriptors)); need.Descriptors > limit {
		return &LimitError{Option: s.largestDescriptorOption(), Resource: "four fifths of the descriptor limit", Required: need.Descriptors, Available: limit}
	}
	return nil
}

// largestOption is the option that costs most memory.
func (s Sizes) largestOption() string {
	hollow := s.HollowGateways * (hollowBytes + s.Members()*hollowPerMember + s.Engines*hollowPerEngine)
	if s.RealGateways*realBytes >= hollow {
		return "--real"
	}
	return "--hollow"
}

// largestDescriptorOption is the option that costs most descriptors.
func (s Sizes) largestDescriptorOption() string {
	if s.Members()*facesAndWatchers > s.SocketLimit() {
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
