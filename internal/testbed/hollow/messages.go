// Package hollow runs gateways and engines without their main work, many to a process, so that one machine can hold a
// fleet of hundreds. A hollow gateway runs the project's own membership, load reports and discovery watch over real
// sockets; it serves no clients and makes no decisions. A hollow engine answers the platform's protocol after a fixed
// delay. A process of either kind reads commands as JSON lines from standard input and answers each on standard output.
// Package scale/runner is the parent's side, by way of Process; cmd/fleettest has the commands of the processes.
package hollow

import (
	"net/netip"
	"time"

	"frostpier/internal/control/subset"
	"frostpier/internal/subsetdriver"
)

// GatewaySetup is the first line to a process of hollow gateways.
type GatewaySetup struct {
	Fleet            string           `json:"fleet"` // the fleet's name, as in the operator's file
	Seed             uint64           `json:"seed"`
	Interval         time.Duration    `json:"interval"`           // of the membership protocol; 0 = its default
	ReportsPerSecond float64          `json:"reports_per_second"` // load reports that each gateway makes up
	DiscoveryAddr    string           `json:"discovery"`          // address of the discovery server
	Peers            []netip.AddrPort `json:"peers"`              // of all members, by number, as the hollow ones reach them
	Regions          []int            `json:"regions"`            // of all members, by number
	Zones            []string         `json:"zones"`              // as the engine list names them
	Subset           *subset.Config   `json:"subset,omitempty"`   // nil = every engine is used
	Members          []Member         `json:"members"`            // those that this process runs
}

// Member is a hollow gateway: its number, its zone, and the address on which it listens for its peers.
type Member struct {
	Number int            `json:"number"`
	Zone   int            `json:"zone"` // index in the setup's zones
	Listen netip.AddrPort `json:"listen"`
}

// place returns the position of a member in its fleet.
func (s GatewaySetup) place(member Member) subsetdriver.Location {
	return subsetdriver.Location{Number: member.Number, Gateways: len(s.Peers), Zones: s.Zones, Zone: member.Zone}
}

// GatewayCommand is a command to a process of hollow gateways. Members that it does not name stay as they are.
type GatewayCommand struct {
	Start        []int           `json:"start,omitempty"` // members to start
	Kill         []int           `json:"kill,omitempty"`  // members to stop at once
	Leave        []int           `json:"leave,omitempty"` // members to stop after they have announced it
	Partition    PartitionChange `json:"cut,omitempty"`
	ReportStates bool            `json:"report,omitempty"` // reply with the state of all members of the process
	CountKnown   bool            `json:"known,omitempty"`  // ... and with the number of engines whose load they know
}

// PartitionChange changes whether datagrams pass between regions.
type PartitionChange string

// Changes; the empty one is none.
const (
	PartitionRegions PartitionChange = "cut"
	HealRegions      PartitionChange = "heal"
)

// GatewayReply answers the setup and each GatewayCommand.
type GatewayReply struct {
	Error  string         `json:"error,omitempty"`
	States []GatewayState `json:"states,omitempty"`
}

// GatewayState is what a hollow gateway knows.
type GatewayState struct {
	Number            int    `json:"number"`
	Up                bool   `json:"up"`
	InService         int    `json:"in_service"`  // members, this one included
	Fingerprint       uint64 `json:"fingerprint"` // of the members in service, as package scale works it out
	EngineListVersion int64  `json:"version"`     // resource version of the engine list
	Engines           int    `json:"engines"`     // in the engine list
	Ready             int    `json:"ready"`       // of them, in service
	Used              int    `json:"used"`        // of them, by this gateway
	EnginesKnown      int    `json:"engines_known"`
}

// EngineSetup is the first line to a process of hollow engines.
type EngineSetup struct {
	Listen  netip.Addr    `json:"listen"` // the engines listen on free ports of this address
	Engines int           `json:"engines"`
	Delay   time.Duration `json:"delay"` // until a statement's answer
}

// EngineCommand is a command to a process of hollow engines.
type EngineCommand struct {
	Close []int `json:"close,omitempty"` // engines to close, by their index in the process
	Open  []int `json:"open,omitempty"`  // engines to open again at their former addresses
}

// EngineReply answers the setup and each EngineCommand.
type EngineReply struct {
	Error       string   `json:"error,omitempty"`
	Addresses   []string `json:"addresses,omitempty"` // of all engines, after the setup alone
	Connections int      `json:"connections"`         // that are open
	Served      int64    `json:"served"`              // statements answered so far
}
