package hollow

import (
	"net/netip"
	"sync/atomic"

	"frostpier/internal/transport/datagram"
)

// regions knows which members can reach each other. While regions are partitioned, a datagram between two of them is
// dropped both where it is sent and where it arrives, so that both directions between hollow and real members are cut.
type regions struct {
	byMember []int // of each member
	cut      atomic.Bool
}

func (r *regions) separated(a, b int) bool { return r.cut.Load() && r.byMember[a] != r.byMember[b] }

// regionSocket is a member's socket that drops datagrams between regions that are partitioned.
type regionSocket struct {
	datagram.Socket
	regions *regions
	self    int
	members map[netip.AddrPort]int // by address
}

// WriteToUDPAddrPort sends a datagram, or drops it as the network would: without an error.
func (s *regionSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if member, known := s.members[to]; known && s.regions.separated(s.self, member) {
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}

// ReadFromUDPAddrPort waits for the next datagram that is not dropped.
func (s *regionSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := s.Socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return n, from, err
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if member, known := s.members[sender]; known && s.regions.separated(s.self, member) {
			continue
		}
		return n, from, nil
	}
}
