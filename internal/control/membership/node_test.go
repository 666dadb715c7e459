package membership

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"frostpier/internal/control/membership/membershippb"
	_ "frostpier/internal/testutil/fixedseed"
)

const epoch = 1_800_000_000 * time.Second

func addrs(n int) (out []netip.AddrPort) {
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7946))
	}
	return out
}

func newNode(t testing.TB, self, n int, extensions ...Extension) *Node {
	t.Helper()
	node, err := New(Config{Self: self, Peers: addrs(n), Fleet: "test", Seed: 1, Extensions: extensions})
	if err != nil {
		t.Fatal(err)
	}
	node.Start(epoch)
	return node
}

// from builds a datagram as another member would write it; change may alter it before it is sealed.
func from(n *Node, member int, change func(d *membershippb.Datagram)) []byte {
	d := &membershippb.Datagram{Version: Version, Least: leastReader, Fleet: n.fleet, From: uint32(member),
		Incarnation: uint64(epoch / time.Second), Kind: membershippb.Kind_KIND_GOSSIP}
	if change != nil {
		change(d)
	}
	b, _ := proto.Marshal(d)
	return seal(b)
}

func withUpdate(about int, s State, incarnation uint64, by int) func(d *membershippb.Datagram) {
	return func(d *membershippb.Datagram) {
		d.About, d.Word, d.By = append(d.About, uint32(about)), append(d.Word, packState(s, incarnation)), append(d.By, uint32(by+1))
	}
}

func (n *Node) get(t testing.TB, member int, b []byte) {
	t.Helper()
	n.Receive(epoch+time.Second, n.cfg.Peers[member], b)
	if err := n.Check(); err != nil {
		t.Fatal(err)
	}
}

func TestConfigIsChecked(t *testing.T) {
	good := func() Config { return Config{Self: 1, Peers: addrs(3), Fleet: "f"} }
	if _, err := New(good()); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Config){
		"self":     func(c *Config) { c.Self = 3 },
		"negative": func(c *Config) { c.Self = -1 },
		"twice":    func(c *Config) { c.Peers[2] = c.Peers[0] },
		"no port":  func(c *Config) { c.Peers[2] = netip.AddrPort{} },
		"many":     func(c *Config) { c.Peers = addrs(MostMembers + 1) },
		"interval": func(c *Config) { c.Interval = time.Millisecond },
		"timeout":  func(c *Config) { c.Timeout = time.Second },
		"suspect":  func(c *Config) { c.Suspect = time.Millisecond },
	} {
		c := good()
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// What is held changes as incarnation and state order it, and in no other way.
func TestRumoursOverride(t *testing.T) {
	inc := uint64(epoch / time.Second)
	for _, c := range []struct {
		held, told       State
		heldInc, toldInc uint64
		want             State
	}{
		{Alive, Suspect, inc, inc, Suspect}, {Alive, Suspect, inc, inc - 1, Alive}, {Suspect, Alive, inc, inc, Suspect},
		{Suspect, Alive, inc, inc + 1, Alive}, {Dead, Suspect, inc, inc, Dead}, {Dead, Alive, inc, inc, Dead},
		{Dead, Alive, inc, inc + 1, Alive}, {Alive, Left, inc, inc, Left}, {Left, Dead, inc, inc, Left},
		{Dead, Suspect, inc, inc + 1, Suspect}, {Suspect, Dead, inc, inc, Dead}, {Alive, Dead, inc, inc, Suspect}, {Alive, Dead, inc, inc - 1, Alive},
	} {
		n := newNode(t, 0, 5)
		n.get(t, 1, from(n, 1, withUpdate(3, Suspect, c.heldInc-1, 1))) // who dies is suspected first
		if c.held == Dead {
			n.get(t, 1, from(n, 1, withUpdate(3, Suspect, c.heldInc, 1)))
		}
		n.get(t, 1, from(n, 1, withUpdate(3, c.held, c.heldInc, 1)))
		n.get(t, 2, from(n, 2, withUpdate(3, c.told, c.toldInc, 2)))
		if s, _ := n.Member(3); s != c.want {
			t.Errorf("held %v@%d, told %v@%d: now %v, want %v", c.held, c.heldInc-inc, c.told, c.toldInc-inc, s, c.want)
		}
	}
}

// A member refutes what is wrong about it, also what is said of a former self with a later clock.
func TestRefutes(t *testing.T) {
	for _, s := range []State{Suspect, Dead, Left, Alive} {
		n := newNode(t, 0, 5)
		_, own := n.Member(0)
		told := own
		if s == Alive {
			told = own + 1000
		}
		n.get(t, 1, from(n, 1, withUpdate(0, s, told, 2)))
		state, now := n.Member(0)
		if state != Alive || now != told+1 || len(n.Events()) != 1 || n.Events()[0].Kind != Refuted {
			t.Errorf("told %v@%d: now %v@%d, events %v", s, told, state, now, n.Events())
		}
	}
}

// A member that starts again from nothing while its clock stepped back is told so, in answer to its first ping.
func TestFormerSelfIsNotified(t *testing.T) {
	n := newNode(t, 0, 5)
	n.get(t, 1, from(n, 1, nil))
	n.get(t, 1, from(n, 1, func(d *membershippb.Datagram) {
		d.Kind, d.Incarnation, d.Sequence = membershippb.Kind_KIND_PING, d.Incarnation-3600, 9
	}))
	d := &membershippb.Datagram{}
	inner, ok := verifyChecksum(n.Datagrams()[0].Bytes)
	if err := proto.Unmarshal(inner, d); err != nil || !ok || d.Kind != membershippb.Kind_KIND_ACK || d.Sequence != 9 ||
		len(d.About) == 0 || d.About[0] != 1 || d.Word[0] != packState(Alive, uint64(epoch/time.Second)) {
		t.Fatalf("answered %v, %v", d, err)
	}
}

// What must not be believed is counted, and changes nothing.
func TestDropped(t *testing.T) {
	kill := withUpdate(3, Dead, uint64(epoch/time.Second)+9, 1)
	long := from(newNode(t, 0, 5), 1, func(d *membershippb.Datagram) {
		kill(d)
		d.Payload = []*membershippb.Payload{{Kind: 1, Body: make([]byte, 300)}}
	})
	for name, c := range map[string]struct {
		from  netip.AddrPort
		b     []byte
		count func(Counts) uint64
	}{
		"stranger":            {netip.MustParseAddrPort("127.9.9.9:7946"), from(newNode(t, 0, 5), 1, kill), func(c Counts) uint64 { return c.Strangers }},
		"itself":              {addrs(5)[0], from(newNode(t, 0, 5), 0, kill), func(c Counts) uint64 { return c.Strangers }},
		"numbered as another": {addrs(5)[1], from(newNode(t, 0, 5), 2, kill), func(c Counts) uint64 { return c.Strangers }},
		"too long":            {addrs(5)[1], long, func(c Counts) uint64 { return c.Oversize }},
		"cut off":             {addrs(5)[1], from(newNode(t, 0, 5), 1, kill)[:20], func(c Counts) uint64 { return c.Malformed }},
		"empty":               {addrs(5)[1], nil, func(c Counts) uint64 { return c.Malformed }},
		"another fleet": {addrs(5)[1], from(newNode(t, 0, 5), 1, func(d *membershippb.Datagram) { kill(d); d.Fleet++ }),
			func(c Counts) uint64 { return c.OtherFleet }},
		"too new": {addrs(5)[1], from(newNode(t, 0, 5), 1, func(d *membershippb.Datagram) { kill(d); d.Least = Version + 1 }),
			func(c Counts) uint64 { return c.TooNew }},
		"no version": {addrs(5)[1], from(newNode(t, 0, 5), 1, func(d *membershippb.Datagram) { kill(d); d.Version = 0 }),
			func(c Counts) uint64 { return c.Malformed }},
		"absurd incarnation": {addrs(5)[1], from(newNode(t, 0, 5), 1, func(d *membershippb.Datagram) { kill(d); d.Incarnation = 1 << 63 }),
			func(c Counts) uint64 { return c.Malformed }},
	} {
		n := newNode(t, 0, 5)
		n.Receive(epoch+time.Second, c.from, c.b)
		if s, _ := n.Member(3); s != Alive || c.count(n.Counts()) != 1 || n.Counts().Received != 0 || len(n.Events()) != 0 {
			t.Errorf("%s: member 3 %v, counts %+v", name, s, n.Counts())
		}
	}
}

// Guards against a program that refuses what a newer one adds: unknown fields, kinds and states are skipped, and what
// it knows of the rest is used.
func TestNewerProgramsAreUnderstood(t *testing.T) {
	n := newNode(t, 0, 5)
	inc := uint64(epoch/time.Second) + 5
	b := from(n, 1, func(d *membershippb.Datagram) {
		d.Version, d.Kind = Version+3, 99
		withUpdate(2, 7, inc, 1)(d) // a state to come
		withUpdate(400, Dead, inc, 1)(d)
		withUpdate(3, Left, inc, 1)(d)
		d.Payload = []*membershippb.Payload{{Kind: 77, Body: []byte("of a subsystem to come")}}
	})
	b = b[:len(b)-sumSize]
	b = protowire.AppendTag(b, 500, protowire.BytesType) // a field to come
	b = seal(protowire.AppendString(b, "to come"))
	n.get(t, 1, b)
	if s, _ := n.Member(3); s != Left {
		t.Errorf("member 3 is %v: what is known was not used", s)
	}
	if s, _ := n.Member(2); s != Alive {
		t.Errorf("member 2 is %v by a state that is not known", s)
	}
	if n.Counts().Unknown != 3 || n.Counts().Received != 1 {
		t.Errorf("counts %+v", n.Counts())
	}
}

// The first version's form, byte for byte: what runs in service today must be understood for good.
func TestFirstVersionIsUnderstood(t *testing.T) {
	// version 1, least 1, fleet "test", from 2, its incarnation, PING, sequence 7, digest 5, member 3 left, told by
	// itself, a payload of kind 1, and the sum.
	raw, err := hex.DecodeString("080110011de571d0af20022880a4a7da063001380755050000006201036a058490bad2357201047a" +
		"050801120178c53e595a63a0")
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(t, 0, 5)
	n.get(t, 2, raw)
	if s, inc := n.Member(2); n.Counts().Received != 1 || s != Alive || inc != uint64(epoch/time.Second) {
		t.Errorf("counts %+v, member 2 %v@%d", n.Counts(), s, inc)
	}
	if len(n.Datagrams()) == 0 || n.Datagrams()[0].To != 2 {
		t.Errorf("no answer: %v", n.Datagrams())
	}
	if s, inc := n.Member(3); s != Left || inc != 1799999744 {
		t.Errorf("member 3 is %v@%d", s, inc)
	}
}

// testExtension has as much to say as there is room.
type testExtension struct{ kind uint32 }

func (r testExtension) Kind() uint32 { return r.kind }
func (r testExtension) Append(_ time.Duration, _, room int, dst []byte) []byte {
	return append(dst, bytes.Repeat([]byte{byte(r.kind)}, room)...)
}

// A datagram never exceeds its length, however many updates are queued; and extension messages arrive.
func TestDatagramsStayShort(t *testing.T) {
	n, other := newNode(t, 4000, MostMembers, testExtension{1}, testExtension{2}), newNode(t, 7, MostMembers, testExtension{1})
	carried := 0
	for round := range 40 {
		for k := range 60 { // absurd updates at the longest
			n.get(t, k, from(n, k, withUpdate(round*100+k, Suspect, mostInc-1, 3000)))
		}
		n.get(t, 7, from(n, 7, func(d *membershippb.Datagram) {
			d.Kind, d.Incarnation, d.Sequence = membershippb.Kind_KIND_SYNC_ASK, mostInc-1, 1<<32-1
		}))
		for k := range 20 {
			n.Tick(epoch + time.Duration(round*20+k+20)*200*time.Millisecond)
			if err := n.Check(); err != nil { // looks at the lengths
				t.Fatal(err)
			}
			for _, d := range n.Datagrams() {
				other.Receive(epoch+time.Second, addrs(MostMembers)[4000], d.Bytes)
				for _, e := range other.Events() {
					if e.Kind == ExtensionReceived && e.Member == 4000 && e.ExtensionKind == 1 && len(e.Body) > 0 {
						carried++
					}
				}
			}
		}
	}
	if n.Counts().Sent < 200 || carried == 0 || other.Counts().Malformed > 0 {
		t.Errorf("sent %d, carried %d, at the other %+v", n.Counts().Sent, carried, other.Counts())
	}
}

// Noise, cut and altered datagrams from a peer's address are never believed: the checksum finds them. No panic.
func TestNoiseIsNotBelieved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode2(t)
		b := from(n, 1, withUpdate(3, Dead, uint64(epoch/time.Second)+7, 2))
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
			t.Fatalf("member 3 %v, %+v", s, n.Counts())
		}
	})
}

func newNode2(t *rapid.T) *Node {
	n, err := New(Config{Self: 0, Peers: addrs(5), Fleet: "test", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.Start(epoch)
	return n
}

// Any well-formed updates, true or absurd, from members that contradict each other: the rules hold, nothing grows
// beyond the peers, the own state stays.
func TestAbsurdUpdatesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode2(t)
		now := epoch
		small := rapid.Uint32Range(0, 7)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "tick") {
				n.Tick(now)
			} else {
				member := rapid.IntRange(1, 4).Draw(t, "from")
				n.Receive(now, n.cfg.Peers[member], from(n, member, func(d *membershippb.Datagram) {
					d.Kind = membershippb.Kind(small.Draw(t, "kind"))
					d.Sequence, d.Subject, d.First = small.Draw(t, "seq"), small.Draw(t, "subject"), small.Draw(t, "first")
					d.Incarnation = uint64(int64(d.Incarnation) + rapid.Int64Range(-5, 5).Draw(t, "own"))
					d.SubjectIncarnation, d.Digest = rapid.Uint64().Draw(t, "other"), small.Draw(t, "digest")
					for range rapid.IntRange(0, 6).Draw(t, "words") {
						w := uint64(epoch/time.Second+time.Duration(rapid.IntRange(-9, 9).Draw(t, "inc")))<<stateBit |
							uint64(small.Draw(t, "state"))
						d.About, d.Word, d.By = append(d.About, small.Draw(t, "about")), append(d.Word, w), append(d.By, small.Draw(t, "by"))
					}
				}))
			}
			if err := n.Check(); err != nil {
				t.Fatal(err)
			}
			if n.Next() < now {
				t.Fatalf("the next wait ended %v ago", now-n.Next())
			}
		}
	})
}

// Who comes late to its own waits draws no conclusions from that: the answers are still in its socket.
func TestOwnPauseAccusesNobody(t *testing.T) {
	n := newNode(t, 0, 5)
	now := n.Next()
	n.Tick(now) // probes
	n.Tick(now + 30*time.Second)
	if n.Counts().Suspected > 0 || n.Counts().Late != 1 || n.Health() == 0 {
		t.Fatalf("counts %+v, health %d", n.Counts(), n.Health())
	}
}

// pair runs two nodes against each other, the others being silent, and returns both.
func benchNodes(tb testing.TB) (*Node, *Node) {
	a, b := newNode(tb, 0, 300), newNode(tb, 1, 300)
	for i := range 300 {
		if i > 1 {
			a.Receive(epoch, a.cfg.Peers[i], from(a, i, nil))
			b.Receive(epoch, b.cfg.Peers[i], from(b, i, nil))
		}
	}
	return a, b
}

// exchange is a ping with its answer: two datagrams written and read.
func exchange(a, b *Node, now time.Duration) {
	a.reset()
	a.ping(now, 1)
	b.Receive(now, a.cfg.Peers[0], a.Datagrams()[0].Bytes)
	a.Receive(now, a.cfg.Peers[1], b.Datagrams()[0].Bytes)
}

// The steady state allocates nothing: neither a tick nor a datagram written and read.
func TestNothingIsAllocated(t *testing.T) {
	a, b := benchNodes(t)
	now := epoch + time.Second
	for range 100 {
		now += 300 * time.Millisecond
		exchange(a, b, now)
	}
	if k := testing.AllocsPerRun(200, func() { exchange(a, b, now) }); k > 0 {
		t.Errorf("%v allocations in a ping and its answer", k)
	}
	if k := testing.AllocsPerRun(200, func() { a.Tick(now) }); k > 0 {
		t.Errorf("%v allocations in a tick", k)
	}
}

func BenchmarkPingAndAnswer(b *testing.B) {
	x, y := benchNodes(b)
	b.ReportAllocs()
	for b.Loop() {
		exchange(x, y, epoch+time.Second)
	}
}

func BenchmarkTick(b *testing.B) {
	x, _ := benchNodes(b)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Millisecond
		x.Tick(now)
	}
}

func ExampleNode() {
	peers := addrs(2)
	a, _ := New(Config{Self: 0, Peers: peers, Fleet: "example"})
	b, _ := New(Config{Self: 1, Peers: peers, Fleet: "example"})
	a.Start(epoch)
	b.Start(epoch)
	for _, d := range a.Datagrams() { // a driver sends these to peers[d.To]
		b.Receive(epoch, peers[0], d.Bytes)
	}
	b.Leave(epoch + time.Second)
	for _, d := range b.Datagrams() {
		a.Receive(epoch+time.Second, peers[1], d.Bytes)
	}
	for _, e := range a.Events() {
		fmt.Println("member", e.Member, e.Was, "->", e.Is)
	}
	// Output: member 1 alive -> left
}

// Guards against a death declared unasked: a member that had missed a refutation held the suspicion for longer while its own
// health was bad, and declared a death the moment that it recovered, without one ping. Seen in 100 process-hours with
// pauses, once.
func TestRecoveredHealthTellsNoDeathUnasked(t *testing.T) {
	n := newNode(t, 0, 5)
	n.get(t, 1, from(n, 1, withUpdate(3, Suspect, uint64(epoch/time.Second), 1)))
	n.health = 4
	now := epoch + time.Second
	asked := 0
	for end := now + 18*time.Second; now < end; now += 20 * time.Millisecond {
		if now > epoch+17*time.Second {
			n.health = 0
		}
		n.Tick(now)
		for _, d := range n.Datagrams() {
			if d.To == 3 && now > epoch+16*time.Second {
				asked++
			}
		}
		if s, _ := n.Member(3); s == Dead && asked < 5 {
			t.Fatalf("declared dead after %v, asked %d times", now-epoch, asked)
		}
	}
}

// Guards against rumours that cross a cut which has healed: a death of a member that nothing was held against is not
// believed until it gave no answer for an interval. Half of 100 processes told eight of their own dead after a split.
func TestDeathOutOfNowhereIsAskedAbout(t *testing.T) {
	inc := uint64(epoch / time.Second)
	for _, answers := range []bool{true, false} {
		n := newNode(t, 0, 5)
		n.get(t, 1, from(n, 1, nil))
		n.get(t, 3, from(n, 3, nil))
		n.get(t, 1, from(n, 1, withUpdate(3, Dead, inc, 1)))
		if s, _ := n.Member(3); s != Suspect {
			t.Fatalf("member 3 is %v at once", s)
		}
		asked := 0
		for now := epoch + time.Second; now < epoch+4*time.Second; now += 20 * time.Millisecond {
			n.Tick(now)
			for _, d := range n.Datagrams() {
				if d.To == 3 {
					asked++
				}
			}
			if asked > 0 && answers {
				n.Receive(now, n.cfg.Peers[3], from(n, 3, func(d *membershippb.Datagram) { d.Incarnation++ }))
			}
		}
		if s, _ := n.Member(3); asked == 0 || (s == Alive) != answers || !answers && s != Dead {
			t.Errorf("answers %v: asked %d times, now %v", answers, asked, s)
		}
	}
}

// However many members are in doubt at once, the pings that ask them are so many in a time, every one is asked, and the
// same death heard again kills none of them unasked.
func TestDoubtsAreAskedAboutWithinABound(t *testing.T) {
	const peers, gone = 200, 150
	n := newNode(t, 0, peers)
	inc := uint64(epoch / time.Second)
	tellAll := func() {
		for i := 2; i < 2+gone; i++ {
			n.get(t, 1, from(n, 1, withUpdate(i, Dead, inc, 1)))
		}
	}
	tellAll()
	tellAll()
	if n.InService() != peers {
		t.Fatalf("%d of %d in service: a death heard twice was believed unasked", n.InService(), peers)
	}
	asked, pings := map[int]bool{}, 0
	const span = 10 * time.Second
	for now := epoch + time.Second; now < epoch+time.Second+span; now = max(now+time.Millisecond, n.Next()) {
		n.Tick(now)
		for _, d := range n.Datagrams() {
			if d.To >= 2 && d.To < 2+gone && n.callAt == now+n.cfg.part(callShare)/callsRound {
				asked[d.To] = true
				pings++
			}
		}
		if err := n.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if most := int(float64(callsRound)*float64(span)/float64(n.cfg.part(callShare))) + 1; pings > 2*most {
		t.Errorf("%d pings of suspects in %v, at most %d with those beside them", pings, span, 2*most)
	}
	if len(asked) < gone {
		t.Errorf("%d of %d that are in doubt were asked", len(asked), gone)
	}
}
