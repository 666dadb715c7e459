// Package testfleet starts many processes of the program on loopback, with a stand-in discovery server and a relay between every
// ordered pair of gateways, and injects faults: into the processes by signals, between them by the relay. The tests
// and cmd/fleettest use it.
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

// Link says what becomes of the datagrams of one ordered pair of gateways.
type Link struct {
	Cut      bool
	Loss     float64       // share that is lost
	Double   float64       // share that arrives twice
	DelayMin time.Duration // delays are drawn evenly between the two, so datagrams overtake each other
	DelayMax time.Duration
}

// Relay passes datagrams between gateways. Each gateway has one face, an address of the relay's: the others' peers
// name it, and what the gateway sends arrives at them from it. So there is one socket a gateway, and what becomes of
// a datagram is set for each ordered pair: its receiver is the face that it came to, its sender the address it came
// from.
type Relay struct {
	faces        []*net.UDPConn
	behind       []netip.AddrPort // where each gateway listens
	byAddr       map[netip.AddrPort]int
	mu           sync.Mutex
	usual        Link
	links        map[[2]int]Link
	dropInbound  map[int]bool
	dropOutbound map[int]bool
	side         map[int]int
	rnd          *rand.Rand
	sent         []int
	bytes        []int
	arrived      []int // bytes passed on to each gateway
	longest      int
	foreign      int
	done         sync.WaitGroup
}

// NewRelay opens a face for each gateway, at an address of the loopback network.
func NewRelay(addr netip.Addr, behind []netip.AddrPort, seed uint64) (*Relay, error) {
	r := &Relay{behind: behind, byAddr: map[netip.AddrPort]int{}, links: map[[2]int]Link{}, dropInbound: map[int]bool{},
		dropOutbound: map[int]bool{}, side: map[int]int{}, rnd: rand.New(rand.NewPCG(seed, 5)),
		sent: make([]int, len(behind)), bytes: make([]int, len(behind)),
		arrived: make([]int, len(behind))}
	for i, b := range behind {
		r.byAddr[b] = i
		face, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		r.faces = append(r.faces, face)
	}
	for i, face := range r.faces {
		r.done.Add(1)
		go r.read(i, face)
	}
	return r, nil
}

// Faces are the addresses that the gateways' configurations name as peers.
func (r *Relay) Faces() (out []netip.AddrPort) {
	for _, f := range r.faces {
		out = append(out, f.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return out
}

// Close ends the relay.
func (r *Relay) Close() {
	for _, f := range r.faces {
		f.Close()
	}
	r.done.Wait()
}

// Usual sets what becomes of datagrams of pairs that nothing else is set for.
func (r *Relay) Usual(l Link) { r.with(func() { r.usual = l }) }

// Set sets what becomes of the datagrams from one gateway to another.
func (r *Relay) Set(from, to int, l Link) { r.with(func() { r.links[[2]int{from, to}] = l }) }

// DropInbound drops all datagrams to a gateway, or ends that.
func (r *Relay) DropInbound(i int, on bool) { r.with(func() { r.dropInbound[i] = on }) }

// DropOutbound drops all datagrams of a gateway, or ends that.
func (r *Relay) DropOutbound(i int, on bool) { r.with(func() { r.dropOutbound[i] = on }) }

// Side puts a gateway on a side of a split: nothing passes between sides.
func (r *Relay) Side(i, side int) { r.with(func() { r.side[i] = side }) }

// Heal takes every fault between gateways back but the usual ones.
func (r *Relay) Heal() {
	r.with(func() {
		clear(r.links)
		clear(r.dropInbound)
		clear(r.dropOutbound)
		clear(r.side)
	})
}

// Sent is how many datagrams and bytes a gateway sent to the others so far.
func (r *Relay) Sent(i int) (datagrams, bytes int) {
	r.with(func() { datagrams, bytes = r.sent[i], r.bytes[i] })
	return datagrams, bytes
}

// Arrived is how many bytes of datagrams were passed on to a gateway so far.
func (r *Relay) Arrived(i int) (bytes int) {
	r.with(func() { bytes = r.arrived[i] })
	return bytes
}

// Longest is the length of the longest datagram seen, and Foreign how many came from no gateway.
func (r *Relay) Longest() (longest, foreign int) {
	r.with(func() { longest, foreign = r.longest, r.foreign })
	return longest, foreign
}

func (r *Relay) with(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Relay) read(to int, face *net.UDPConn) {
	defer r.done.Done()
	buf := make([]byte, 2048)
	for {
		n, addr, err := face.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer that a gateway is not there
		}
		r.pass(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), to, append([]byte(nil), buf[:n]...))
	}
}

// pass decides on a datagram, and has it arrive in its time.
func (r *Relay) pass(addr netip.AddrPort, to int, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, known := r.byAddr[addr]
	if !known {
		r.foreign++
		return
	}
	r.sent[from]++
	r.bytes[from] += len(b)
	r.longest = max(r.longest, len(b))
	link, set := r.links[[2]int{from, to}]
	if !set {
		link = r.usual
	}
	if link.Cut || r.dropInbound[to] || r.dropOutbound[from] || r.side[from] != r.side[to] {
		return
	}
	copies := 1
	if r.rnd.Float64() < link.Double {
		copies = 2
	}
	for range copies {
		if r.rnd.Float64() < link.Loss {
			continue
		}
		delay := link.DelayMin
		if link.DelayMax > link.DelayMin {
			delay += time.Duration(r.rnd.Int64N(int64(link.DelayMax - link.DelayMin)))
		}
		r.arrived[to] += len(b)
		arrive := func() { r.faces[from].WriteToUDPAddrPort(b, r.behind[to]) }
		if delay <= 0 {
			arrive()
		} else {
			time.AfterFunc(delay, arrive)
		}
	}
}
