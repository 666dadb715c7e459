package membership

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// Version is that of the datagrams that this program writes; leastReader is the lowest that can read them.
const (
	Version     = 1
	leastReader = 1
)

const (
	sumField = 1000
	sumSize  = 6       // two bytes of tag, four of sum
	listHead = 3       // a tag and a length of at most two bytes
	stateBit = 3       // bits of a packed state that hold the state
	mostInc  = 1 << 60 // an incarnation beyond is no time in seconds; it would not fit a packed state
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	sumTag     = protowire.AppendTag(nil, sumField, protowire.Fixed32Type)
	reading    = proto.UnmarshalOptions{Merge: true, DiscardUnknown: true} // merging reuses the lists' memory
)

// seal appends the checksum.
func seal(b []byte) []byte {
	sum := crc32.Checksum(b, castagnoli)
	b = append(b, sumTag...)
	return binary.LittleEndian.AppendUint32(b, sum)
}

// verifyChecksum checks the checksum and returns what it stands behind.
func verifyChecksum(b []byte) ([]byte, bool) {
	k := len(b) - sumSize
	if k < 0 || string(b[k:k+2]) != string(sumTag) {
		return nil, false
	}
	return b[:k], binary.LittleEndian.Uint32(b[k+2:]) == crc32.Checksum(b[:k], castagnoli)
}

func packState(s State, incarnation uint64) uint64 { return incarnation<<stateBit | uint64(s) }

// unpackState splits a packed state; ok is false for a state that this program does not know and for an absurd incarnation.
func unpackState(w uint64) (s State, incarnation uint64, ok bool) {
	s, incarnation = State(w&(1<<stateBit-1)), w>>stateBit
	return s, incarnation, s >= Alive && s <= Left && incarnation < mostInc
}

// clearMessage makes a message fit for use again while it keeps the lists' memory.
func clearMessage(d *membershippb.Datagram) {
	about, words, by := d.About[:0], d.Word[:0], d.By[:0]
	payload := d.Payload[:0]
	d.Reset()
	d.About, d.Word, d.By, d.Payload = about, words, by, payload
}

func (n *Node) head(kind membershippb.Kind, sequence uint32) *membershippb.Datagram {
	d := &n.enc
	clearMessage(d)
	d.Version, d.Least, d.Fleet = Version, leastReader, n.fleet
	d.From, d.Incarnation = uint32(n.cfg.Self), n.members[n.cfg.Self].incarnation
	d.Kind, d.Sequence, d.Digest = kind, sequence, n.digest
	return d
}

// send writes a datagram: the fields of its kind, then the update on the receiver itself if it needs one, then the state
// of the subject, then queued updates, then the messages of extensions, as far as there is room and the budget allows. A receiver
// that is suspected or out of service gets neither of the last two: most of them would be lost.
func (n *Node) send(now time.Duration, kind membershippb.Kind, to int, sequence uint32, subject int, incarnation uint64) {
	if to < 0 {
		return
	}
	d := n.head(kind, sequence)
	if subject >= 0 {
		d.Subject, d.SubjectIncarnation = uint32(subject+1), incarnation
	}
	room := MaxDatagram - sumSize - proto.Size(d) - 3*listHead
	add := func(i int) bool {
		m := &n.members[i]
		w, by := packState(m.state, m.incarnation), uint32(m.by+1)
		size := protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(w) + protowire.SizeVarint(uint64(by))
		if size > room {
			return false
		}
		room -= size
		d.About, d.Word, d.By = append(d.About, uint32(i)), append(d.Word, w), append(d.By, by)
		return true
	}
	if n.needsNotice(to) {
		add(to)
	}
	if n.leaving {
		add(n.cfg.Self)
	}
	if subject >= 0 && subject != to && n.members[subject].state != Alive {
		add(subject)
	}
	if n.members[to].state == Alive {
		if kind == membershippb.Kind_KIND_GOSSIP || n.budget.allowsUpdates(now) {
			n.addUpdates(add)
		}
		if n.budget.allowsExtensions(now) {
			n.appendExtensions(now, d, to, room)
		}
	}
	n.post(to, d)
}

// addUpdates adds queued updates until one does not fit.
func (n *Node) addUpdates(add func(i int) bool) {
	for range n.updates.count {
		i := n.updates.pop()
		m := &n.members[i]
		if !add(i) {
			n.updates.pushFront(i)
			return
		}
		if m.repeats--; m.repeats > 0 {
			n.updates.pushBack(i)
		}
	}
}

// payloadHead is what a payload needs beside its body: two tags, two lengths, its kind.
const payloadHead = 10

// appendExtensions offers the remaining room to the extensions, each in turn.
func (n *Node) appendExtensions(now time.Duration, d *membershippb.Datagram, to, room int) {
	for _, r := range n.cfg.Extensions {
		if room <= payloadHead {
			return
		}
		body := r.Append(now, to, room-payloadHead, nil)
		if len(body) == 0 || len(body) > room-payloadHead {
			continue
		}
		room -= len(body) + payloadHead
		d.Payload = append(d.Payload, &membershippb.Payload{Kind: r.Kind(), Body: body})
	}
}

// sendPiece writes a piece of the whole state, as many members as fit, and returns where the next starts.
func (n *Node) sendPiece(now time.Duration, to, first int) int {
	d := n.head(membershippb.Kind_KIND_SYNC, 0)
	d.First = uint32(first)
	room := MaxDatagram - sumSize - proto.Size(d) - listHead
	for ; first < len(n.members); first++ {
		m := &n.members[first]
		w := packState(m.state, m.incarnation)
		if m.state == Suspect { // the suspicion is told by rumours, with its accusers
			w = packState(Alive, m.incarnation)
		}
		size := protowire.SizeVarint(w)
		if size > room {
			break
		}
		room -= size
		d.Word = append(d.Word, w)
	}
	n.post(to, d)
	return first
}

// post hands a datagram out in a buffer of its own, which the next call uses again.
func (n *Node) post(to int, d *membershippb.Datagram) {
	k := len(n.out)
	if k == len(n.bufs) {
		n.bufs = append(n.bufs, make([]byte, 0, MaxDatagram))
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(n.bufs[k][:0], d)
	if err != nil {
		return // no message of this form fails to encode
	}
	b = seal(b)
	n.bufs[k] = b
	n.out = append(n.out, Datagram{To: to, Bytes: b})
	n.budget.spend(len(b))
	n.counts.Sent++
	n.counts.SentBytes += uint64(len(b))
}

// Receive takes a datagram that came from an address. What cannot be used is counted and dropped.
func (n *Node) Receive(now time.Duration, from netip.AddrPort, b []byte) {
	n.reset()
	if !n.begun {
		return
	}
	n.noteLate(now)
	if i, ok := n.read(from, b); ok {
		n.counts.Received++
		n.counts.ReceivedBytes += uint64(len(b))
		n.take(now, i, &n.dec)
	}
	n.plan(now)
}

// read checks a datagram and its sender.
func (n *Node) read(from netip.AddrPort, b []byte) (int, bool) {
	i, known := n.byAddr[from]
	if !known || i == n.cfg.Self {
		n.counts.Strangers++
		return 0, false
	}
	if len(b) > MaxDatagram {
		n.counts.Oversize++
		return 0, false
	}
	d := &n.dec
	clearMessage(d)
	inner, sound := verifyChecksum(b)
	if !sound || reading.Unmarshal(inner, d) != nil || d.Version == 0 || d.Incarnation == 0 ||
		d.Incarnation >= mostInc || d.SubjectIncarnation >= mostInc {
		n.counts.Malformed++
		return 0, false
	}
	switch {
	case d.Fleet != n.fleet:
		n.counts.OtherFleet++
	case d.Least > Version:
		n.counts.TooNew++
	case int(d.From) != i:
		n.counts.Strangers++
	default:
		return i, true
	}
	return 0, false
}

// take acts on a datagram.
func (n *Node) take(now time.Duration, from int, d *membershippb.Datagram) {
	trusted := n.recordContact(now, from, d.Incarnation)
	if d.Kind == membershippb.Kind_KIND_SYNC {
		if trusted {
			n.takePiece(now, from, d)
		}
		return
	}
	if trusted || n.members[from].state == Left {
		n.takeRumours(now, d)
	} else {
		n.takeOwn(now, d) // it says what it holds of this member, which is worth knowing from anyone
	}
	subject := int(d.Subject) - 1
	if subject >= len(n.members) {
		n.counts.Unknown++
		return
	}
	replied := false
	switch d.Kind {
	case membershippb.Kind_KIND_PING:
		n.send(now, membershippb.Kind_KIND_ACK, from, d.Sequence, -1, 0)
		replied = true
	case membershippb.Kind_KIND_ACK:
		if trusted {
			n.took(now, from, d.Sequence, subject, d.SubjectIncarnation)
		}
	case membershippb.Kind_KIND_PING_REQ:
		if subject >= 0 && subject != n.cfg.Self && subject != from {
			n.help(now, from, d.Sequence, subject)
		}
	case membershippb.Kind_KIND_NACK:
		n.nack(from, d.Sequence)
	case membershippb.Kind_KIND_SYNC_ASK:
		n.asked(now, from, int(d.First))
	case membershippb.Kind_KIND_GOSSIP:
	default:
		n.counts.Unknown++ // of a newer program: what it says of members was read all the same
	}
	if n.needsNotice(from) && !replied && (n.members[from].state != Left || n.members[from].behind) {
		n.notify(now, from)
	}
	if trusted {
		if d.Kind == membershippb.Kind_KIND_PING || d.Kind == membershippb.Kind_KIND_ACK {
			n.compare(now, from, d.Digest)
		}
		n.deliverExtensions(from, d)
	}
}

// takeRumours takes what is said of members. Lists of unequal length are read as far as all go.
func (n *Node) takeRumours(now time.Duration, d *membershippb.Datagram) {
	for k := range min(len(d.About), len(d.Word)) {
		by := -1
		if k < len(d.By) {
			by = int(d.By[k]) - 1
		}
		s, inc, ok := unpackState(d.Word[k])
		if int64(d.About[k]) >= int64(len(n.members)) || by >= len(n.members) || !ok {
			n.counts.Unknown++
			continue
		}
		n.applyUpdate(now, int(d.About[k]), s, inc, by)
	}
}

// takeOwn takes only what is said of this member.
func (n *Node) takeOwn(now time.Duration, d *membershippb.Datagram) {
	for k := range min(len(d.About), len(d.Word)) {
		if s, inc, ok := unpackState(d.Word[k]); ok && int64(d.About[k]) == int64(n.cfg.Self) {
			n.aboutSelf(now, s, inc, -1)
		}
	}
}

func (n *Node) takePiece(now time.Duration, from int, d *membershippb.Datagram) {
	for k, w := range d.Word {
		i := int64(d.First) + int64(k)
		s, inc, ok := unpackState(w)
		if i >= int64(len(n.members)) || !ok {
			n.counts.Unknown++
			continue
		}
		n.merge(now, int(i), s, inc, from)
	}
}

// deliverExtensions emits an event for each extension message of a kind that is registered here.
func (n *Node) deliverExtensions(from int, d *membershippb.Datagram) {
	for _, p := range d.Payload {
		for _, r := range n.cfg.Extensions {
			if r.Kind() == p.GetKind() {
				n.events = append(n.events, Event{Kind: ExtensionReceived, Member: from, By: from, ExtensionKind: p.GetKind(), Body: p.GetBody()})
			}
		}
	}
}
