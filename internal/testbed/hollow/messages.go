// Package hollow runs hollow gateways and engines: processes that each host many gateways or engines without their main
// work, so that one machine can run a fleet of hundreds. A hollow gateway runs the program's membership, load report and
// discovery code over real sockets, but serves no clients and makes no scheduling decisions. A hollow engine speaks the
// platform's protocol and answers each statement after a fixed delay. A process of either kind reads commands as JSON lines
// from standard input and replies to each on standard output. Package scale/runner starts and controls the processes with
// Process; cmd/fleettest contains the hidden commands that they run.
package hollow

import (
	"net/netip"
	"time"

	"frostpier/internal/control/subset"
	"frostpier/internal/subsetdriver"
)

// GatewaySetup is the first message to a process of hollow gateways.
type GatewaySetup struct {
	Fleet            string           `json:"fleet"` // name of the fleet, as in the operator's file
	Seed             uint64           `json:"seed"`
	Interval         time.Duration    `json:"interval"`           // probe interval of the membership protocol; 0 = its default
	ReportsPerSecond float64          `json:"reports_per_second"` // synthetic load reports of each gateway
	DiscoveryAddr    string           `json:"discovery"`          // address of the discovery server
	Peers            []netip.AddrPort `json:"peers"`              // addresses of all members, by number, as seen by hollow gateways
	Regions          []int            `json:"regions"`            // regions of all members, by number
	Zones            []string         `json:"zones"`              // names of the zones, as in the engine list
	Subset           *subset.Config   `json:"subset,omitempty"`   // nil = all engines are used
	Members          []Member         `json:"members"`            // members assigned to this process
}

// Member is a hollow gateway: its number, its zone, and the address on which it listens for its peers.
type Member struct {
	Number int            `json:"number"`
	Zone   int            `json:"zone"` // index in the setup's zones
	Listen netip.AddrPort `json:"listen"`
}

// location returns the location of a member in its fleet.
func (s GatewaySetup) location(member Member) subsetdriver.Location {
	return subsetdriver.Location{GatewayIndex: member.Number, Gateways: len(s.Peers), Zones: s.Zones, Zone: member.Zone}
}

// GatewayCommand is a command to a process of hollow gateways. It does not affect members that it does not name.
type GatewayCommand struct {
	Start        []int           `json:"start,omitempty"` // members to start
	Kill         []int           `json:"kill,omitempty"`  // members to stop immediately, without an announcement
	Leave        []int           `json:"leave,omitempty"` // members to stop after they announced that they leave
	Partition    PartitionChange `json:"cut,omitempty"`
	ReportStates bool            `json:"report,omitempty"` // reply with the states of all members of the process
	CountKnown   bool            `json:"known,omitempty"`  // with ReportStates: also count the engines whose load is known
}

// PartitionChange starts or ends a network partition between the regions.
type PartitionChange string

// Changes of a partition. The empty PartitionChange changes nothing.
const (
	PartitionRegions PartitionChange = "cut"
	HealRegions      PartitionChange = "heal"
)

// GatewayReply is the reply to the setup and to each GatewayCommand.
type GatewayReply struct {
	Error  string         `json:"error,omitempty"`
	States []GatewayState `json:"states,omitempty"`
}

// GatewayState is the state of a hollow gateway with its view of the fleet. Only Number is set for a gateway that is not
// running.
type GatewayState struct {
	Number               int    `json:"number"`
	Running              bool   `json:"up"`
	InService            int    `json:"in_service"`  // number of members in service, including this one
	Fingerprint          uint64 `json:"fingerprint"` // fingerprint of the members in service, see scale.Fingerprint
	EngineListVersion    int64  `json:"version"`     // resource version
	Engines              int    `json:"engines"`     // number of listed engines
	ReadyEngines         int    `json:"ready"`       // listed engines that are ready
	UsedEngines          int    `json:"used"`        // ready engines in this gateway's subset
	EnginesWithKnownLoad int    `json:"engines_known"`
}

// EngineSetup is the first message to a process of hollow engines.
type EngineSetup struct {
	Listen  netip.Addr    `json:"listen"` // address on whose free ports the engines listen
	Engines int           `json:"engines"`
	Delay   time.Duration `json:"delay"` // time from a statement's submission to its result
}

// EngineCommand is a command to a process of hollow engines.
type EngineCommand struct {
	Close []int `json:"close,omitempty"` // indices of the engines to close
	Open  []int `json:"open,omitempty"`  // indices of the engines to reopen, at their previous addresses
}

// EngineReply is the reply to the setup and to each EngineCommand.
type EngineReply struct {
	Error       string   `json:"error,omitempty"`
	Addresses   []string `json:"addresses,omitempty"` // addresses of all engines; only in the reply to the setup
	Connections int      `json:"connections"`         // open connections of all engines
	Served      int64    `json:"served"`              // results returned so far
}
