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
	Cut       bool          // nothing arrives
	Loss      float64       // share of datagrams lost
	Duplicate float64       // share of datagrams duplicated
	DelayMin  time.Duration // delays are uniform between the two, so that datagrams are reordered
	DelayMax  time.Duration
}

// Relay forwards datagrams between gateways. Each gateway has one face: the relay's address that the other gateways know it
// by, and from which its datagrams arrive at them. So one socket for each gateway is enough to tell the ordered pair of a
// datagram: the receiver by the face that it came to, the sender by the address that it came from.
type Relay struct {
	faces            []*net.UDPConn
	gatewayAddrs     []netip.AddrPort // on which each gateway listens
	gatewayByAddr    map[netip.AddrPort]int
	mu               sync.Mutex
	defaultLink      Link
	links            map[[2]int]Link
	dropInbound      map[int]bool
	dropOutbound     map[int]bool
	side             map[int]int
	random           *rand.Rand
	sentDatagrams    []int
	sentBytes        []int
	deliveredBytes   []int // bytes forwarded to each gateway
	longestDatagram  int
	foreignDatagrams int
	goroutines       sync.WaitGroup
}

// NewRelay opens a face for each gateway on free ports of addr and forwards datagrams until Close. The seed decides losses,
// duplicates and delays.
func NewRelay(addr netip.Addr, gatewayAddrs []netip.AddrPort, seed uint64) (*Relay, error) {
	r := &Relay{
		gatewayAddrs:   gatewayAddrs,
		gatewayByAddr:  map[netip.AddrPort]int{},
		links:          map[[2]int]Link{},
		dropInbound:    map[int]bool{},
		dropOutbound:   map[int]bool{},
		side:           map[int]int{},
		random:         rand.New(rand.NewPCG(seed, 5)),
		sentDatagrams:  make([]int, len(gatewayAddrs)),
		sentBytes:      make([]int, len(gatewayAddrs)),
		deliveredBytes: make([]int, len(gatewayAddrs)),
	}
	for i, gatewayAddr := range gatewayAddrs {
		r.gatewayByAddr[gatewayAddr] = i
		face, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		r.faces = append(r.faces, face)
	}
	for i, face := range r.faces {
		r.goroutines.Add(1)
		go r.receive(i, face)
	}
	return r, nil
}

// Addrs returns the face of each gateway: the peers in the gateways' configurations.
func (r *Relay) Addrs() (out []netip.AddrPort) {
	for _, f := range r.faces {
		out = append(out, f.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return out
}

// Close closes the faces and waits for the relay's goroutines.
func (r *Relay) Close() {
	for _, f := range r.faces {
		_ = f.Close()
	}
	r.goroutines.Wait()
}

// SetDefaultLink sets the link of all pairs for which Set has set none.
func (r *Relay) SetDefaultLink(l Link) { r.locked(func() { r.defaultLink = l }) }

// SetLink sets the link from one gateway to another.
func (r *Relay) SetLink(from, to int, l Link) { r.locked(func() { r.links[[2]int{from, to}] = l }) }

// DropInbound starts or stops dropping all datagrams to a gateway.
func (r *Relay) DropInbound(i int, on bool) { r.locked(func() { r.dropInbound[i] = on }) }

// DropOutbound starts or stops dropping all datagrams from a gateway.
func (r *Relay) DropOutbound(i int, on bool) { r.locked(func() { r.dropOutbound[i] = on }) }

// SetPartitionSide puts a gateway on a side of a network partition, across which nothing passes. All start on side 0.
func (r *Relay) SetPartitionSide(i, side int) { r.locked(func() { r.side[i] = side }) }

// Heal removes all faults but those of the link that Usual has set.
func (r *Relay) Heal() {
	r.locked(func() {
		clear(r.links)
		clear(r.dropInbound)
		clear(r.dropOutbound)
		clear(r.side)
	})
}

// Sent returns how many datagrams and bytes a gateway has sent to the others.
func (r *Relay) Sent(i int) (datagrams, bytes int) {
	r.locked(func() { datagrams, bytes = r.sentDatagrams[i], r.sentBytes[i] })
	return datagrams, bytes
}

// DeliveredBytes returns how many bytes of datagrams have been forwarded to a gateway.
func (r *Relay) DeliveredBytes(i int) (bytes int) {
	r.locked(func() { bytes = r.deliveredBytes[i] })
	return bytes
}

// DatagramStats returns the length of the longest datagram, in bytes, and how many datagrams came from no gateway.
func (r *Relay) DatagramStats() (longest, foreign int) {
	r.locked(func() { longest, foreign = r.longestDatagram, r.foreignDatagrams })
	return longest, foreign
}

// locked calls do with the lock held.
func (r *Relay) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// maxDatagram bounds a datagram, in bytes; gateways send far shorter ones.
const maxDatagram = 2048

// receive reads the datagrams that come to a gateway's face until Close.
func (r *Relay) receive(to int, face *net.UDPConn) {
	defer r.goroutines.Done()
	buf := make([]byte, maxDatagram)
	for {
		n, addr, err := face.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP message that a gateway does not listen
		}
		sender := netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		r.forward(sender, to, append([]byte(nil), buf[:n]...))
	}
}

// forward counts a datagram and delivers it, or not, as its link says.
func (r *Relay) forward(sender netip.AddrPort, to int, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, known := r.gatewayByAddr[sender]
	if !known {
		r.foreignDatagrams++
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

// link is the link of a pair with all faults; the lock is held.
func (r *Relay) link(from, to int) Link {
	link, set := r.links[[2]int{from, to}]
	if !set {
		link = r.defaultLink
	}
	link.Cut = link.Cut || r.dropInbound[to] || r.dropOutbound[from] || r.side[from] != r.side[to]
	return link
}

// delay draws the delay of a datagram; the lock is held.
func (r *Relay) delay(link Link) time.Duration {
	if link.DelayMax <= link.DelayMin {
		return link.DelayMin
	}
	return link.DelayMin + time.Duration(r.random.Int64N(int64(link.DelayMax-link.DelayMin)))
}

// deliver sends a datagram to its receiver, from the sender's face. A failed write is a lost datagram.
func (r *Relay) deliver(from, to int, datagram []byte, delay time.Duration) {
	write := func() { _, _ = r.faces[from].WriteToUDPAddrPort(datagram, r.gatewayAddrs[to]) }
	if delay <= 0 {
		write()
		return
	}
	time.AfterFunc(delay, write)
}
