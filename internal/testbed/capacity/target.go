package capacity

import "time"

// Fleet is the size of a fleet and its load.
type Fleet struct {
	Gateways, Engines   float64
	Regions, Zones      float64
	ClientConnections   float64
	StatementsPerSecond float64
}

// StatementsPerGateway returns the mean rate of statements at a gateway, per second.
func (f Fleet) StatementsPerGateway() float64 { return f.StatementsPerSecond / f.Gateways }

// ClientsPerGateway returns the mean number of client connections of a gateway.
func (f Fleet) ClientsPerGateway() float64 { return f.ClientConnections / f.Gateways }

// Budget limits the resources that a gateway may use for the control plane, which is everything but statements and their
// results. The limits also apply to peaks.
type Budget struct {
	Processor       float64 // share of a core
	MemoryBytes     float64
	BytesPerSecond  float64 // bytes sent on the network
	ControlMachines float64 // number of control machines in the fleet
}

// Changes holds the rates of changes to the fleet, and the time within which a change must be in force everywhere.
type Changes struct {
	ConfigurationChangesPerDay float64
	ConfigurationDeadline      time.Duration
	PrimaryChangesPerDay       float64
	PrimaryDeadline            time.Duration
}

// Faults holds the rates of faults.
type Faults struct {
	MachineFailuresPerDay, RestartsPerDay      float64
	RackFailuresPerMonth, ZoneFailuresPerMonth float64
	PartitionDuration                          time.Duration // duration of a partition between regions, whose rate is unknown
}

// Target is a fleet with its requirements.
type Target struct {
	Fleet
	Budget
	Changes
	Faults
	KnownShare float64 // required share of engines for which a gateway has an unexpired load report
}

// ExpectedTarget returns the fleet that operators expect within two years (issue 23).
func ExpectedTarget() Target {
	return Target{
		Fleet: Fleet{Gateways: 800, Engines: 1100, Regions: 2, Zones: 7, ClientConnections: 2.8e6,
			StatementsPerSecond: 1.3e6},
		Budget: Budget{Processor: 0.041, MemoryBytes: 256 << 20, BytesPerSecond: 3000, ControlMachines: 6},
		Changes: Changes{ConfigurationChangesPerDay: 470, ConfigurationDeadline: 14 * time.Second, PrimaryChangesPerDay: 2,
			PrimaryDeadline: 7 * time.Second},
		Faults: Faults{MachineFailuresPerDay: 3, RestartsPerDay: 330, RackFailuresPerMonth: 2.0 / 3, ZoneFailuresPerMonth: 0.5,
			PartitionDuration: time.Hour},
		KnownShare: 0.95,
	}
}

// CurrentFleet returns the size of the largest fleet in operation so far, with the load of the target.
func CurrentFleet() Fleet {
	target := ExpectedTarget().Fleet
	target.Gateways, target.Engines = 300, 80
	return target
}
