package testfleet

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// relayTimeout bounds the wait for a datagram.
const relayTimeout = 10 * time.Second

// relayFixture is a relay with the sockets of three gateways.
type relayFixture struct {
	t        *testing.T
	relay    *Relay
	faces    []netip.AddrPort
	gateways []*net.UDPConn
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
	return &relayFixture{t: t, relay: relay, faces: relay.Addrs(), gateways: gateways}
}

// send sends a datagram of one gateway to the face of another.
func (f *relayFixture) send(from, to int, text string) {
	f.t.Helper()
	if _, err := f.gateways[from].WriteToUDPAddrPort([]byte(text), f.faces[to]); err != nil {
		f.t.Fatal(err)
	}
}

// expect checks that the next datagram of a gateway comes from another's face.
func (f *relayFixture) expect(at, from int, text string) {
	f.t.Helper()
	buf := make([]byte, 100)
	f.gateways[at].SetReadDeadline(time.Now().Add(relayTimeout))
	n, sender, err := f.gateways[at].ReadFromUDPAddrPort(buf)
	if err != nil {
		f.t.Fatal(err)
	}
	addr := netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
	if got := string(buf[:n]); got != text || addr != f.faces[from] {
		f.t.Fatalf("at %d: %q from %v, want %q from %v", at, got, addr, text, f.faces[from])
	}
}

// waitSent waits until the relay has read n datagrams of gateway 0.
func (f *relayFixture) waitSent(n int) {
	f.t.Helper()
	for deadline := time.Now().Add(relayTimeout); ; time.Sleep(time.Millisecond) {
		if sent, _ := f.relay.Sent(0); sent == n {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("the relay has not read %d datagrams", n)
		}
	}
}

// Each datagram arrives from its sender's face; a link holds for its ordered pair alone.
func TestRelayKeepsPairsApart(t *testing.T) {
	f := newRelayFixture(t)
	f.send(0, 1, "a")
	f.expect(1, 0, "a")
	f.relay.SetLink(0, 1, Link{Cut: true})
	f.send(0, 1, "lost")
	f.waitSent(2)
	f.send(1, 0, "the other way")
	f.expect(0, 1, "the other way")
	f.send(2, 1, "another pair") // had the first passed, it would come before this one
	f.expect(1, 2, "another pair")
	f.relay.SetLink(0, 1, Link{Duplicate: 1})
	f.send(0, 1, "twice")
	f.expect(1, 0, "twice")
	f.expect(1, 0, "twice")
	f.relay.DropOutbound(0, true)
	f.send(0, 1, "outbound")
	f.waitSent(4) // what becomes of a datagram is decided when the relay reads it
	f.relay.Heal()
	f.relay.SetPartitionSide(2, 1)
	f.send(0, 2, "cut off")
	f.waitSent(5)
	f.send(0, 1, "healed")
	f.expect(1, 0, "healed")
	if n, b := f.relay.Sent(0); n != 6 || b != len("a")+len("lost")+len("twice")+len("outbound")+len("cut off")+len("healed") {
		t.Errorf("0 sent %d datagrams, %d bytes", n, b)
	}
}

// A datagram that comes from no gateway is counted.
func TestRelayCountsForeignDatagrams(t *testing.T) {
	f := newRelayFixture(t)
	stranger, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(f.faces[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("x"))
	for deadline := time.Now().Add(relayTimeout); ; time.Sleep(time.Millisecond) {
		if _, foreign := f.relay.DatagramStats(); foreign == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the stranger's datagram was not counted")
		}
	}
}
