package testfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link describes the network from one gateway to another.
type Link struct {
	Cut       bool          // drops all datagrams
	Loss      float64       // fraction of datagrams lost
	Duplicate float64       // fraction of datagrams duplicated
	DelayMin  time.Duration // delays are uniformly distributed from DelayMin to DelayMax, which reorders datagrams
	DelayMax  time.Duration
}

// Relay forwards datagrams between gateways. It has one socket per gateway, whose address is the gateway's relay address.
// Other gateways send datagrams for the gateway to this address and receive the gateway's datagrams from it. The relay
// identifies the receiver of a datagram by the socket on which it arrives, and the sender by its source address.
type Relay struct {
	sockets                []*net.UDPConn   // by gateway
	gatewayAddrs           []netip.AddrPort // address on which each gateway listens
	gatewayByAddr          map[netip.AddrPort]int
	mu                     sync.Mutex
	defaultLink            Link
	links                  map[[2]int]Link
	dropInbound            map[int]bool
	dropOutbound           map[int]bool
	partitionSide          map[int]int
	random                 *rand.Rand
	sentDatagrams          []int
	sentBytes              []int
	deliveredBytes         []int // by receiving gateway
	longestDatagram        int   // bytes
	unknownSenderDatagrams int
	goroutines             sync.WaitGroup
}

// NewRelay opens a socket for each gateway on a free port of addr and forwards datagrams until Close. The seed determines
// losses, duplicates and delays.
func NewRelay(addr netip.Addr, gatewayAddrs []netip.AddrPort, seed uint64) (*Relay, error) {
	r := &Relay{
		gatewayAddrs:   gatewayAddrs,
		gatewayByAddr:  map[netip.AddrPort]int{},
		links:          map[[2]int]Link{},
		dropInbound:    map[int]bool{},
		dropOutbound:   map[int]bool{},
		partitionSide:  map[int]int{},
		random:         rand.New(rand.NewPCG(seed, 5)),
		sentDatagrams:  make([]int, len(gatewayAddrs)),
		sentBytes:      make([]int, len(gatewayAddrs)),
		deliveredBytes: make([]int, len(gatewayAddrs)),
	}
	for i, gatewayAddr := range gatewayAddrs {
		r.gatewayByAddr[gatewayAddr] = i
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		r.sockets = append(r.sockets, socket)
	}
	for i, socket := range r.sockets {
		r.goroutines.Add(1)
		go r.receive(i, socket)
	}
	return r, nil
}

// Addrs returns the relay address of each gateway, which the gateways' configurations list as peers.
func (r *Relay) Addrs() (out []netip.AddrPort) {
	for _, s := range r.sockets {
		out = append(out, s.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return out
}

// Close closes the sockets and waits for the relay's goroutines.
func (r *Relay) Close() {
	for _, s := range r.sockets {
		_ = s.Close()
	}
	r.goroutines.Wait()
}

// SetDefaultLink sets the link between all gateways for which SetLink has not set one.
func (r *Relay) SetDefaultLink(l Link) { r.withLock(func() { r.defaultLink = l }) }

// SetLink sets the link from one gateway to another.
func (r *Relay) SetLink(from, to int, l Link) { r.withLock(func() { r.links[[2]int{from, to}] = l }) }

// DropInbound starts or stops dropping all datagrams to a gateway.
func (r *Relay) DropInbound(i int, on bool) { r.withLock(func() { r.dropInbound[i] = on }) }

// DropOutbound starts or stops dropping all datagrams from a gateway.
func (r *Relay) DropOutbound(i int, on bool) { r.withLock(func() { r.dropOutbound[i] = on }) }

// SetPartitionSide assigns a gateway to a side of a network partition. Datagrams between the sides are dropped. All gateways
// start on side 0.
func (r *Relay) SetPartitionSide(i, side int) { r.withLock(func() { r.partitionSide[i] = side }) }

// Heal removes all faults except those of the default link.
func (r *Relay) Heal() {
	r.withLock(func() {
		clear(r.links)
		clear(r.dropInbound)
		clear(r.dropOutbound)
		clear(r.partitionSide)
	})
}

// Sent returns how many datagrams and bytes the relay has received from a gateway.
func (r *Relay) Sent(i int) (datagrams, bytes int) {
	r.withLock(func() { datagrams, bytes = r.sentDatagrams[i], r.sentBytes[i] })
	return datagrams, bytes
}

// DeliveredBytes returns the number of bytes of datagrams forwarded to a gateway.
func (r *Relay) DeliveredBytes(i int) (bytes int) {
	r.withLock(func() { bytes = r.deliveredBytes[i] })
	return bytes
}

// DatagramStats returns the length of the longest datagram in bytes, and the number of datagrams from unknown senders.
func (r *Relay) DatagramStats() (longest, unknownSender int) {
	r.withLock(func() { longest, unknownSender = r.longestDatagram, r.unknownSenderDatagrams })
	return longest, unknownSender
}

// withLock calls do while holding r.mu.
func (r *Relay) withLock(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// maxDatagram is the size of the receive buffer in bytes. Gateways send far shorter datagrams.
const maxDatagram = 2048

// receive reads and forwards the datagrams for one gateway until Close.
func (r *Relay) receive(to int, socket *net.UDPConn) {
	defer r.goroutines.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, addr, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP port unreachable: the gateway is not listening
		}
		sender := netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		r.forward(sender, to, append([]byte(nil), buf[:n]...))
	}
}

// forward counts a datagram and then delivers, duplicates or drops it according to its link.
func (r *Relay) forward(sender netip.AddrPort, to int, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, known := r.gatewayByAddr[sender]
	if !known {
		r.unknownSenderDatagrams++
		return
	}
	r.sentDatagrams[from]++
	r.sentBytes[from] += len(datagram)
	r.longestDatagram = max(r.longestDatagram, len(datagram))
	link := r.link(from, to)
	if link.Cut {
		return
	}
	copies := 1
	if r.random.Float64() < link.Duplicate {
		copies = 2
	}
	for range copies {
		if r.random.Float64() < link.Loss {
			continue
		}
		r.deliveredBytes[to] += len(datagram)
		r.deliver(from, to, datagram, r.delay(link))
	}
}

// link returns the link from one gateway to another including all injected faults. The caller holds r.mu.
func (r *Relay) link(from, to int) Link {
	link, set := r.links[[2]int{from, to}]
	if !set {
		link = r.defaultLink
	}
	link.Cut = link.Cut || r.dropInbound[to] || r.dropOutbound[from] || r.partitionSide[from] != r.partitionSide[to]
	return link
}

// delay returns a random delay for a datagram. The caller holds r.mu.
func (r *Relay) delay(link Link) time.Duration {
	if link.DelayMax <= link.DelayMin {
		return link.DelayMin
	}
	return link.DelayMin + time.Duration(r.random.Int64N(int64(link.DelayMax-link.DelayMin)))
}

// deliver sends a datagram to its receiver from the sender's relay address. A failed write counts as a lost datagram.
func (r *Relay) deliver(from, to int, datagram []byte, delay time.Duration) {
	write := func() { _, _ = r.sockets[from].WriteToUDPAddrPort(datagram, r.gatewayAddrs[to]) }
	if delay <= 0 {
		write()
		return
	}
	time.AfterFunc(delay, write)
}
