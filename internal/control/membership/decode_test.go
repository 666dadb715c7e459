package membership

import (
	"encoding/hex"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"frostpier/internal/control/membership/membershippb"
)

// Checks that an invalid datagram changes nothing but the counter for its reason.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	death := withUpdate(3, Dead, startIncarnation+9, 1)
	deathFrom := func(member int, change func(d *membershippb.Datagram)) []byte {
		return datagramFrom(newNode(t, 0, 5), member, func(d *membershippb.Datagram) {
			death(d)
			if change != nil {
				change(d)
			}
		})
	}
	peers := peerAddresses(5)
	stranger := netip.MustParseAddrPort("127.9.9.9:7946")
	strangers := func(c Counts) uint64 { return c.Strangers }
	oversize := func(c Counts) uint64 { return c.Oversize }
	malformed := func(c Counts) uint64 { return c.Malformed }
	otherFleet := func(c Counts) uint64 { return c.OtherFleet }
	tooNew := func(c Counts) uint64 { return c.TooNew }
	for name, c := range map[string]struct {
		from  netip.AddrPort
		b     []byte
		count func(Counts) uint64
	}{
		"stranger":                 {stranger, deathFrom(1, nil), strangers},
		"own address":              {peers[0], deathFrom(0, nil), strangers},
		"number of another member": {peers[1], deathFrom(2, nil), strangers},
		"too long": {peers[1], deathFrom(1, func(d *membershippb.Datagram) {
			d.Payload = []*membershippb.Payload{{Kind: 1, Body: make([]byte, 300)}}
		}), oversize},
		"truncated":                {peers[1], deathFrom(1, nil)[:20], malformed},
		"empty":                    {peers[1], nil, malformed},
		"other fleet":              {peers[1], deathFrom(1, func(d *membershippb.Datagram) { d.Fleet++ }), otherFleet},
		"too new":                  {peers[1], deathFrom(1, func(d *membershippb.Datagram) { d.Least = ProtocolVersion + 1 }), tooNew},
		"no version":               {peers[1], deathFrom(1, func(d *membershippb.Datagram) { d.Version = 0 }), malformed},
		"incarnation out of range": {peers[1], deathFrom(1, func(d *membershippb.Datagram) { d.Incarnation = 1 << 63 }), malformed},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, 0, 5)
			n.Receive(epoch+time.Second, c.from, c.b)
			if s, _ := n.Member(3); s != Alive || c.count(n.Counts()) != 1 || n.Counts().Received != 0 || len(n.Events()) != 0 {
				t.Errorf("the datagram had an effect or a wrong count: member 3 is %v, counts %+v", s, n.Counts())
			}
		})
	}
}

// Checks that a datagram of a newer version is not rejected: unknown fields, kinds and states are skipped, and the rest
// is applied.
func TestUnknownFieldsKindsAndStatesAreSkipped(t *testing.T) {
	n := newNode(t, 0, 5)
	inc := startIncarnation + 5
	b := datagramFrom(n, 1, func(d *membershippb.Datagram) {
		d.Version, d.Kind = ProtocolVersion+3, 99
		withUpdate(2, 7, inc, 1)(d) // a future state
		withUpdate(400, Dead, inc, 1)(d)
		withUpdate(3, Left, inc, 1)(d)
		d.Payload = []*membershippb.Payload{{Kind: 77, Body: []byte("of a future subsystem")}}
	})
	b = b[:len(b)-checksumSize]
	b = protowire.AppendTag(b, 500, protowire.BytesType) // a future field
	b = appendChecksum(protowire.AppendString(b, "future value"))
	n.deliver(t, 1, b)
	if s, _ := n.Member(3); s != Left {
		t.Errorf("member 3 is %v, want left: the valid update was not applied", s)
	}
	if s, _ := n.Member(2); s != Alive {
		t.Errorf("member 2 is %v after an update with an unknown state, want alive", s)
	}
	if n.Counts().Unknown != 3 || n.Counts().Received != 1 {
		t.Errorf("counts %+v, want 3 Unknown and 1 Received", n.Counts())
	}
}

// Checks that a recorded datagram of version 1 is decoded and handled: every later version must be able to decode it.
func TestVersion1DatagramIsDecoded(t *testing.T) {
	// Version 1, least 1, fleet "test", from member 2, its incarnation, PING, sequence 7, digest 5, an update that member 3
	// left, reported by itself, a payload of kind 1, and the checksum.
	raw, err := hex.DecodeString("080110011de571d0af20022880a4a7da063001380755050000006201036a058490bad2357201047a" +
		"050801120178c53e595a63a0")
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(t, 0, 5)
	n.deliver(t, 2, raw)
	if s, inc := n.Member(2); n.Counts().Received != 1 || s != Alive || inc != startIncarnation {
		t.Errorf("the datagram was not handled: counts %+v, member 2 is %v, incarnation %d", n.Counts(), s, inc)
	}
	if len(n.Datagrams()) == 0 || n.Datagrams()[0].To != 2 {
		t.Errorf("datagrams %v, want an ACK to member 2 first", n.Datagrams())
	}
	if s, inc := n.Member(3); s != Left || inc != 1799999744 {
		t.Errorf("member 3 is %v, incarnation %d, want left, incarnation 1799999744", s, inc)
	}
}

// Checks that random, truncated and corrupted datagrams from a peer's address are rejected by the checksum without a
// panic.
func TestCorruptedDatagramsAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(t, 0, 5)
		b := datagramFrom(n, 1, withUpdate(3, Dead, startIncarnation+7, 2))
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			b = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "noise")
		case 1:
			b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		case 2:
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		}
		n.Receive(epoch+time.Second, n.cfg.Peers[1], b)
		if s, _ := n.Member(3); s != Alive || n.Counts().Received != 0 {
			t.Fatalf("the datagram was accepted: member 3 is %v, counts %+v", s, n.Counts())
		}
	})
}
