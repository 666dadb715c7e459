package capacity

import "time"

// Fleet is a size of the fleet with the load that it carries.
type Fleet struct {
	Gateways, Engines   float64
	Regions, Zones      float64
	ClientConnections   float64
	StatementsPerSecond float64
}

// StatementsPerGateway is the mean rate of statements at a gateway, a second.
func (f Fleet) StatementsPerGateway() float64 { return f.StatementsPerSecond / f.Gateways }

// ClientsPerGateway is the mean number of client connections of a gateway.
func (f Fleet) ClientsPerGateway() float64 { return f.ClientConnections / f.Gateways }

// Budget is what a gateway may spend on control: all that is not the statements' own bytes. Peaks count.
type Budget struct {
	Processor       float64 // share of a core
	MemoryBytes     float64
	BytesPerSecond  float64 // sent
	ControlMachines float64
}

// Changes are the changes that the fleet has to take in, and how fast.
type Changes struct {
	ConfigurationsPerDay float64
	ConfigurationWithin  time.Duration
	PrimariesPerDay      float64
	PrimaryWithin        time.Duration
}

// Faults are the rates of faults.
type Faults struct {
	MachinesPerDay, RestartsPerDay float64
	RacksPerMonth, ZonesPerMonth   float64
	RegionsApart                   time.Duration // now and then
}

// Target is everything that the fleet has to meet.
type Target struct {
	Fleet
	Budget
	Changes
	Faults
	KnownShare float64 // of the engines, of which a gateway holds a load report that has not ended
}

// Expected is the fleet that operators expect within two years, as issue 23 states it.
func Expected() Target {
	return Target{
		Fleet: Fleet{Gateways: 800, Engines: 1100, Regions: 2, Zones: 7, ClientConnections: 2.8e6,
			StatementsPerSecond: 1.3e6},
		Budget: Budget{Processor: 0.041, MemoryBytes: 256 << 20, BytesPerSecond: 3000, ControlMachines: 6},
		Changes: Changes{ConfigurationsPerDay: 470, ConfigurationWithin: 14 * time.Second, PrimariesPerDay: 2,
			PrimaryWithin: 7 * time.Second},
		Faults: Faults{MachinesPerDay: 3, RestartsPerDay: 330, RacksPerMonth: 2.0 / 3, ZonesPerMonth: 0.5,
			RegionsApart: time.Hour},
		KnownShare: 0.95,
	}
}

// Today is the size that the fleet has been run at, with the target's load on each gateway and engine.
func Today() Fleet {
	target := Expected().Fleet
	target.Gateways, target.Engines = 300, 80
	return target
}
