package hollow

import (
	"net/netip"
	"sync/atomic"

	"frostpier/internal/transport/datagram"
)

// regions says which members reach each other. While regions are cut, datagrams between them are dropped where they are
// sent and where they arrive, so that both directions are cut for hollow and for real members.
type regions struct {
	of  []int // of each member
	cut atomic.Bool
}

func (r *regions) parted(a, b int) bool { return r.cut.Load() && r.of[a] != r.of[b] }

// regionSocket is a member's socket that drops what would pass between regions that are cut.
type regionSocket struct {
	datagram.Socket
	regions *regions
	self    int
	members map[netip.AddrPort]int // by the addresses that they are reached at
}

// WriteToUDPAddrPort sends a datagram, or drops it as the network would: without an error.
func (s *regionSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if member, known := s.members[to]; known && s.regions.parted(s.self, member) {
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
		if member, known := s.members[sender]; known && s.regions.parted(s.self, member) {
			continue
		}
		return n, from, nil
	}
}
