// Package scale plans runs of fleets at the size that operators expect: what fits the machine, where members and
// engines lie, which steps are played, and the results. It does no input or output; package scalerig plays the plan.
package scale

import "fmt"

// Sizes say how large a run is.
type Sizes struct {
	Real    int     // gateways that are processes of the program
	Hollow  int     // gateways that run its membership, load reports and discovery watch, and decide nothing
	Engines int     // hollow engines
	Zones   int     // of gateways and engines
	Regions int     // that the zones lie in
	Rate    float64 // statements a second that each real gateway is sent in the step "loaded"
	Subset  int     // engines that a gateway uses, at the least; 0 = every gateway uses all engines
}

// Members is how many gateways there are in all.
func (s Sizes) Members() int { return s.Real + s.Hollow }

// Machine is what a run may use of the machine.
type Machine struct {
	MemoryBytes uint64 // of the machine
	Descriptors uint64 // that one process may hold
}

// Bounds of a run, whatever the machine.
const (
	MostProcesses   = 200
	MostMembers     = 4096 // as package membership takes
	MostEngines     = 10_000
	MostRate        = 2_000 // statements a second and real gateway
	memoryShare     = 0.5   // of the machine's memory that a run may use
	descriptorShare = 0.8   // of the descriptor limit that a process is planned to use
	ownProcesses    = 1     // the tool itself: relay, discovery server, clients
)

// What the parts of a run take, in bytes, from measurements and rounded up.
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

// How many hollow parts share a process.
const (
	HollowPerProcess  = 200
	enginesPerProcess = 550
)

// HollowProcesses is how many processes hold the hollow gateways.
func (s Sizes) HollowProcesses() int { return divideUp(s.Hollow, HollowPerProcess) }

// connectionsPerEngine is how many connections the real gateways may hold to an engine.
func (s Sizes) connectionsPerEngine() int { return int(engineConnections*float64(s.Real)) + 1 }

// EngineProcesses is how many processes hold the hollow engines, so that none runs out of descriptors.
func (s Sizes) EngineProcesses(m Machine) int {
	room := max(1, int(descriptorShare*float64(m.Descriptors))-spareDescriptors)
	byDescriptors := divideUp(s.Engines*(1+s.connectionsPerEngine()), room)
	return max(byDescriptors, divideUp(s.Engines, enginesPerProcess))
}

func divideUp(n, by int) int { return (n + by - 1) / by }

// SocketLimit is how many descriptors a real gateway's configuration allows it: enough for a connection to each engine.
func (s Sizes) SocketLimit() int { return 512 + 2*s.Engines }

// Need is what a run takes.
type Need struct {
	Processes   int
	MemoryBytes uint64
	Descriptors uint64 // of the process that holds the most
}

// Need works out what a run of this size takes on this machine.
func (s Sizes) Need(m Machine) Need {
	members, engines := uint64(s.Members()), uint64(s.Engines)
	hollowProcesses, engineProcesses := s.HollowProcesses(), s.EngineProcesses(m)
	connections := engines * uint64(s.connectionsPerEngine())
	memory := uint64(s.Real)*realBytes +
		uint64(hollowProcesses+engineProcesses+ownProcesses)*processBytes +
		uint64(s.Hollow)*(hollowBytes+members*hollowPerMember+engines*hollowPerEngine) +
		engines*engineBytes + connections*connectionBytes +
		members*(relayPerMember+engines*watcherPerEngine)
	processes := s.Real + hollowProcesses + engineProcesses + ownProcesses
	return Need{Processes: processes, MemoryBytes: memory, Descriptors: s.mostDescriptors(m, processes)}
}

// mostDescriptors is what the process with the most of them holds.
func (s Sizes) mostDescriptors(m Machine, processes int) uint64 {
	tool := s.Members()*facesAndWatchers + processes*pipesPerProcess + s.Real
	hollow := min(s.Hollow, HollowPerProcess) * hollowDescriptors
	engines := divideUp(s.Engines*(1+s.connectionsPerEngine()), max(1, s.EngineProcesses(m)))
	return uint64(max(tool, hollow, engines, s.SocketLimit()) + spareDescriptors)
}

// LimitError says that a run of this size does not fit, which option to lower, and what the limit is.
type LimitError struct {
	Option string // as on the command line
	Limit  string // what it would exceed
	Need   uint64
	Have   uint64
}

// Error names the option and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: the run would need %d, and the limit is %d (%s)", e.Option, e.Need, e.Have, e.Limit)
}

// ValueError says that an option makes no sense by itself.
type ValueError struct {
	Option string
	Value  string
	Want   string
}

// Error names the option.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s is not %s", e.Option, e.Value, e.Want)
}

// Check refuses sizes that make no sense, with a ValueError, or do not fit the machine, with a LimitError.
func (s Sizes) Check(m Machine) error {
	if err := s.checkValues(); err != nil {
		return err
	}
	need := s.Need(m)
	memory := uint64(memoryShare * float64(m.MemoryBytes))
	if need.Processes > MostProcesses {
		return &LimitError{Option: "--real", Limit: "processes of a run", Need: uint64(need.Processes), Have: MostProcesses}
	}
	if need.MemoryBytes > memory {
		return &LimitError{Option: s.largestOption(), Limit: "half of the machine's memory, bytes", Need: need.MemoryBytes, Have: memory}
	}
	if room := uint64(descriptorShare * float64(m.Descriptors)); need.Descriptors > room {
		return &LimitError{Option: s.descriptorOption(), Limit: "four fifths of the descriptor limit", Need: need.Descriptors, Have: room}
	}
	return nil
}

// largestOption is the option whose part of the memory is the largest.
func (s Sizes) largestOption() string {
	hollow := s.Hollow * (hollowBytes + s.Members()*hollowPerMember + s.Engines*hollowPerEngine)
	if s.Real*realBytes >= hollow {
		return "--real"
	}
	return "--hollow"
}

// descriptorOption is the option that the most descriptors come from.
func (s Sizes) descriptorOption() string {
	if s.Members()*facesAndWatchers > s.SocketLimit() {
		return "--hollow"
	}
	return "--engines"
}

func (s Sizes) checkValues() error {
	ranges := []struct {
		option      string
		value       int
		least, most int
	}{
		{"--real", s.Real, 1, MostMembers},
		{"--hollow", s.Hollow, 0, MostMembers},
		{"--real and --hollow together", s.Members(), 2, MostMembers},
		{"--engines", s.Engines, 1, MostEngines},
		{"--zones", s.Zones, 1, min(s.Members(), s.Engines)},
		{"--regions", s.Regions, 1, s.Zones},
	}
	for _, r := range ranges {
		if r.value < r.least || r.value > r.most {
			return &ValueError{Option: r.option, Value: fmt.Sprint(r.value), Want: fmt.Sprintf("between %d and %d", r.least, r.most)}
		}
	}
	if s.Subset < 0 || s.Subset > MostEngines {
		return &ValueError{Option: "--subset", Value: fmt.Sprint(s.Subset), Want: fmt.Sprintf("between 0 and %d", MostEngines)}
	}
	if !(s.Rate >= 0 && s.Rate <= MostRate) {
		return &ValueError{Option: "--rate", Value: fmt.Sprint(s.Rate), Want: fmt.Sprintf("between 0 and %d", MostRate)}
	}
	return nil
}
