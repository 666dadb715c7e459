// Package hollow runs gateways and engines without their main work, many to a process, so that one machine can hold a
// fleet of hundreds. A hollow gateway runs the project's own membership, load reports and discovery watch over real
// sockets, and takes no clients and no decisions. A hollow engine answers the platform's protocol after a stated delay.
// A process of either kind takes commands as JSON lines on standard input and answers each on standard output.
package hollow

import (
	"net/netip"
	"time"

	"frostpier/internal/control/subset"
	"frostpier/internal/control/subset/driver"
)

// GatewaySetup is the first line that a process of hollow gateways is sent.
type GatewaySetup struct {
	Fleet            string           `json:"fleet"` // the fleet's name, as in the operator's file
	Seed             uint64           `json:"seed"`
	Interval         time.Duration    `json:"interval"`           // of the membership protocol; 0 = its default
	ReportsPerSecond float64          `json:"reports_per_second"` // of engines' load that each gateway takes in
	Discovery        string           `json:"discovery"`          // address of the discovery server
	Peers            []netip.AddrPort `json:"peers"`              // of all members, as the hollow ones reach them
	Regions          []int            `json:"regions"`            // of all members
	Zones            []string         `json:"zones"`              // as the list of engines names them
	Subset           *subset.Config   `json:"subset,omitempty"`   // nil = every engine is used
	Members          []Member         `json:"members"`            // those that this process holds
}

// Member is a hollow gateway's number and the address where its peers' datagrams arrive.
type Member struct {
	Number int            `json:"number"`
	Zone   int            `json:"zone"` // index in the setup's zones
	Listen netip.AddrPort `json:"listen"`
}

// place is where a member is in its fleet.
func (s GatewaySetup) place(member Member) driver.Place {
	return driver.Place{Number: member.Number, Gateways: len(s.Peers), Zones: s.Zones, Zone: member.Zone}
}

// GatewayCommand asks a process of hollow gateways for something; what it does not name stays as it is.
type GatewayCommand struct {
	Start  []int     `json:"start,omitempty"` // members to start from nothing
	Kill   []int     `json:"kill,omitempty"`  // members to end at once
	Leave  []int     `json:"leave,omitempty"` // members to end after telling the others
	Cut    CutChange `json:"cut,omitempty"`
	Report bool      `json:"report,omitempty"` // the state of all members of the process is wanted
	Known  bool      `json:"known,omitempty"`  // ... with how many engines they know by load reports
}

// CutChange says what is to become of datagrams between regions.
type CutChange string

// The changes; the empty one is none.
const (
	CutRegions  CutChange = "cut"
	HealRegions CutChange = "heal"
)

// GatewayReply answers a GatewayCommand, and the setup.
type GatewayReply struct {
	Error  string         `json:"error,omitempty"`
	States []GatewayState `json:"states,omitempty"`
}

// GatewayState is what a hollow gateway holds.
type GatewayState struct {
	Number       int    `json:"number"`
	Up           bool   `json:"up"`
	InService    int    `json:"in_service"`  // members, this one included
	Fingerprint  uint64 `json:"fingerprint"` // of the members in service, as package scale works it out
	Version      int64  `json:"version"`     // of the list of engines
	Engines      int    `json:"engines"`     // that it lists
	Ready        int    `json:"ready"`       // of them, in service
	Used         int    `json:"used"`        // of them, by this gateway
	EnginesKnown int    `json:"engines_known"`
}

// EngineSetup is the first line that a process of hollow engines is sent.
type EngineSetup struct {
	Listen  netip.Addr    `json:"listen"` // the engines take free ports of this address
	Engines int           `json:"engines"`
	Delay   time.Duration `json:"delay"` // until a statement's answer
}

// EngineCommand asks a process of hollow engines for something.
type EngineCommand struct {
	Close []int `json:"close,omitempty"` // engines to end, by their place in the process
	Open  []int `json:"open,omitempty"`  // engines to start again at their former addresses
}

// EngineReply answers an EngineCommand, and the setup.
type EngineReply struct {
	Error       string   `json:"error,omitempty"`
	Addresses   []string `json:"addresses,omitempty"` // of all engines, after the setup alone
	Connections int      `json:"connections"`         // that are open
	Served      int64    `json:"served"`              // statements answered so far
}
