package hollow

import (
	"net/netip"
	"sync/atomic"

	"frostpier/internal/transport/datagram"
)

// regions emulates a network partition between regions. During the partition, hollow members drop datagrams between regions
// both when sending and when receiving, so that both directions between hollow and real members are interrupted.
type regions struct {
	byMember    []int // region of each member
	partitioned atomic.Bool
}

// separated reports whether the partition separates two members.
func (r *regions) separated(a, b int) bool {
	return r.partitioned.Load() && r.byMember[a] != r.byMember[b]
}

// partitionSocket is the socket of a member. During a partition it drops datagrams from and to other regions.
type partitionSocket struct {
	datagram.Socket
	regions *regions
	self    int
	members map[netip.AddrPort]int // member numbers by address
}

// WriteToUDPAddrPort sends a datagram. It drops it without an error, as a network would, if the receiver is separated.
func (s *partitionSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if member, known := s.members[to]; known && s.regions.separated(s.self, member) {
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}

// ReadFromUDPAddrPort returns the next datagram whose sender is not separated, and drops others.
func (s *partitionSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
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
