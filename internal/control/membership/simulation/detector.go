package simulation

import (
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Detector is the failure detector of a simulated member: a membership.Node, which documents the methods, or a baseline to
// compare it with.
type Detector interface {
	Start(now time.Duration)
	Tick(now time.Duration)
	Receive(now time.Duration, from netip.AddrPort, b []byte)
	Leave(now time.Duration)
	NextTick() time.Duration
	Datagrams() []membership.Datagram
	Events() []membership.Event
	Member(i int) (membership.State, uint64)
	NumInService() int
	CheckInvariants() error
}
