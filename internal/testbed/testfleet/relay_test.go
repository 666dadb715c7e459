package testfleet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// relayTimeout bounds each wait for a datagram.
const relayTimeout = 10 * time.Second

// relayFixture is a relay and the sockets of three gateways.
type relayFixture struct {
	t          *testing.T
	relay      *Relay
	relayAddrs []netip.AddrPort // by gateway
	gateways   []*net.UDPConn
}

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	addr := netip.MustParseAddr("127.0.0.1")
	gateways, addrs, err := reservePorts(addr, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { releasePorts(gateways) })
	relay, err := NewRelay(addr, addrs, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return &relayFixture{t: t, relay: relay, relayAddrs: relay.Addrs(), gateways: gateways}
}

// send sends a datagram from one gateway to the relay address of another.
func (f *relayFixture) send(from, to int, text string) {
	f.t.Helper()
	if _, err := f.gateways[from].WriteToUDPAddrPort([]byte(text), f.relayAddrs[to]); err != nil {
		f.t.Fatal(err)
	}
}

// expect checks the text of the next datagram to a gateway, and that it arrives from the sender's relay address.
func (f *relayFixture) expect(to, from int, text string) {
	f.t.Helper()
	buf := make([]byte, 100)
	f.gateways[to].SetReadDeadline(time.Now().Add(relayTimeout))
	n, sender, err := f.gateways[to].ReadFromUDPAddrPort(buf)
	if err != nil {
		f.t.Fatal(err)
	}
	addr := netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
	if got := string(buf[:n]); got != text || addr != f.relayAddrs[from] {
		f.t.Fatalf("gateway %d received %q from %v, want %q from %v", to, got, addr, text, f.relayAddrs[from])
	}
}

// waitSent waits until the relay has received n datagrams from gateway 0.
func (f *relayFixture) waitSent(n int) {
	f.t.Helper()
	for deadline := time.Now().Add(relayTimeout); ; time.Sleep(time.Millisecond) {
		if sent, _ := f.relay.Sent(0); sent == n {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("timeout waiting until the relay has received %d datagrams of gateway 0", n)
		}
	}
}

// Checks that the relay delivers each datagram from its sender's relay address, and that a link applies only to datagrams from its
// sender to its receiver.
func TestRelayAppliesLinksPerDirection(t *testing.T) {
	f := newRelayFixture(t)
	f.send(0, 1, "a")
	f.expect(1, 0, "a")
	f.relay.SetLink(0, 1, Link{Cut: true})
	f.send(0, 1, "lost")
	f.waitSent(2)
	f.send(1, 0, "opposite direction")
	f.expect(0, 1, "opposite direction")
	f.send(2, 1, "another sender") // "lost" would arrive before this datagram
	f.expect(1, 2, "another sender")
	f.relay.SetLink(0, 1, Link{Duplicate: 1})
	f.send(0, 1, "twice")
	f.expect(1, 0, "twice")
	f.expect(1, 0, "twice")
	f.relay.DropOutbound(0, true)
	f.send(0, 1, "outbound")
	f.waitSent(4) // the relay drops or delivers a datagram when it reads it
	f.relay.Heal()
	f.relay.SetPartitionSide(2, 1)
	f.send(0, 2, "cut off")
	f.waitSent(5)
	f.send(0, 1, "healed")
	f.expect(1, 0, "healed")
	if n, b := f.relay.Sent(0); n != 6 || b != len("a")+len("lost")+len("twice")+len("outbound")+len("cut off")+len("healed") {
		t.Errorf("the relay counted %d datagrams and %d bytes of gateway 0, want all 6 that it sent", n, b)
	}
}

// Checks that the relay counts datagrams from addresses that belong to no gateway.
func TestRelayCountsDatagramsFromUnknownSenders(t *testing.T) {
	f := newRelayFixture(t)
	unknown, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(f.relayAddrs[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer unknown.Close()
	unknown.Write([]byte("x"))
	for deadline := time.Now().Add(relayTimeout); ; time.Sleep(time.Millisecond) {
		if _, unknownSender := f.relay.DatagramStats(); unknownSender == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the datagram from an unknown sender was not counted")
		}
	}
}
