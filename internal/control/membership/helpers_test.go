package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
	_ "frostpier/internal/testutil/fixedseed"
)

// epoch is the time at which the nodes in the tests start.
const epoch = 1_800_000_000 * time.Second

// startIncarnation is the incarnation of a member that starts at epoch.
const startIncarnation = uint64(epoch / time.Second)

// testingT has the methods of *testing.T, *testing.B and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// peerAddresses returns n loopback addresses.
func peerAddresses(n int) (out []netip.AddrPort) {
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7946))
	}
	return out
}

// newNode returns a node, started at epoch, of a fleet of n members.
func newNode(t testingT, self, n int, extensions ...Extension) *Node {
	t.Helper()
	return startNode(t, Config{Self: self, Peers: peerAddresses(n), Fleet: "test", Seed: 1, Extensions: extensions})
}

// startNode returns a node that was started at epoch.
func startNode(t testingT, cfg Config) *Node {
	t.Helper()
	node, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	node.Start(epoch)
	return node
}

// datagramFrom returns an encoded datagram from another member. change, if not nil, modifies it before the checksum is
// added.
func datagramFrom(n *Node, member int, change func(d *membershippb.Datagram)) []byte {
	d := &membershippb.Datagram{Version: ProtocolVersion, Least: minReaderVersion, Fleet: n.fleet, From: uint32(member),
		Incarnation: startIncarnation, Kind: membershippb.Kind_KIND_GOSSIP}
	if change != nil {
		change(d)
	}
	b, _ := proto.Marshal(d)
	return appendChecksum(b)
}

// withUpdate returns a change function for datagramFrom that adds an update about a member.
func withUpdate(about int, s State, incarnation uint64, by int) func(d *membershippb.Datagram) {
	return func(d *membershippb.Datagram) {
		d.About = append(d.About, uint32(about))
		d.Word = append(d.Word, packState(s, incarnation))
		d.By = append(d.By, uint32(by+1))
	}
}

// deliver calls Receive with a datagram from a member, one second after epoch, and checks the invariants.
func (n *Node) deliver(t testingT, member int, b []byte) {
	t.Helper()
	n.Receive(epoch+time.Second, n.cfg.Peers[member], b)
	if err := n.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
}

// deliverUpdate delivers an update about a member, gossiped by the member that reported it.
func (n *Node) deliverUpdate(t testingT, about int, s State, incarnation uint64, by int) {
	t.Helper()
	n.deliver(t, by, datagramFrom(n, by, withUpdate(about, s, incarnation, by)))
}

// firstDatagram decodes the first datagram of the last call.
func (n *Node) firstDatagram(t testingT) *membershippb.Datagram {
	t.Helper()
	d := &membershippb.Datagram{}
	message, ok := verifyChecksum(n.Datagrams()[0].Bytes)
	if err := proto.Unmarshal(message, d); !ok || err != nil {
		t.Fatal("the first datagram cannot be decoded: checksum valid:", ok, "error:", err)
	}
	return d
}

// countDatagramsTo returns the number of datagrams to a member in the output of the last call.
func (n *Node) countDatagramsTo(member int) (count int) {
	for _, d := range n.Datagrams() {
		if d.To == member {
			count++
		}
	}
	return count
}
