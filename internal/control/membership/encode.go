package membership

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// ProtocolVersion is the version of the datagrams that this program writes; minReaderVersion is the lowest that can read them.
const (
	ProtocolVersion  = 1
	minReaderVersion = 1
)

// Sizes of the wire format, in bytes unless stated otherwise.
const (
	checksumField  = 1000    // field number
	checksumSize   = 6       // two bytes of tag, four of CRC-32C
	listOverhead   = 3       // a tag, and a length of at most two bytes
	stateBits      = 3       // bits of a packed state that hold the State
	maxIncarnation = 1 << 60 // exclusive: a later one is no time in seconds, and does not fit a packed state
)

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	checksumTag = protowire.AppendTag(nil, checksumField, protowire.Fixed32Type)
)

// appendChecksum appends the checksum field.
func appendChecksum(b []byte) []byte {
	sum := crc32.Checksum(b, castagnoli)
	b = append(b, checksumTag...)
	return binary.LittleEndian.AppendUint32(b, sum)
}

// verifyChecksum reports whether the checksum is correct, and returns the bytes that it covers.
func verifyChecksum(b []byte) ([]byte, bool) {
	k := len(b) - checksumSize
	if k < 0 || string(b[k:k+2]) != string(checksumTag) {
		return nil, false
	}
	return b[:k], binary.LittleEndian.Uint32(b[k+2:]) == crc32.Checksum(b[:k], castagnoli)
}

// packState returns the wire form of a state and incarnation.
func packState(s State, incarnation uint64) uint64 { return incarnation<<stateBits | uint64(s) }

// unpackState splits a packed state; ok is false for an unknown state and for an incarnation out of range.
func unpackState(word uint64) (s State, incarnation uint64, ok bool) {
	s = State(word & (1<<stateBits - 1))
	incarnation = word >> stateBits
	ok = s >= Alive && s <= Left && incarnation < maxIncarnation
	return s, incarnation, ok
}

// resetMessage clears a message for reuse, and keeps the memory of its lists.
func resetMessage(d *membershippb.Datagram) {
	about, words, by, payload := d.About[:0], d.Word[:0], d.By[:0], d.Payload[:0]
	d.Reset()
	d.About, d.Word, d.By, d.Payload = about, words, by, payload
}

// newDatagram returns the outgoing message with the fields that all kinds share.
func (n *Node) newDatagram(kind membershippb.Kind, sequence uint32) *membershippb.Datagram {
	d := &n.outgoing
	resetMessage(d)
	d.Version, d.Least, d.Fleet = ProtocolVersion, minReaderVersion, n.fleet
	d.From, d.Incarnation = uint32(n.cfg.Self), n.members[n.cfg.Self].incarnation
	d.Kind, d.Sequence, d.Digest = kind, sequence, n.digest
	return d
}

// datagramWriter appends updates and extension messages to a message while there is room.
type datagramWriter struct {
	datagram  *membershippb.Datagram
	remaining int // bytes left
}

// appendUpdate appends the state of member i, and reports whether it fitted.
func (w *datagramWriter) appendUpdate(i int, m *member) bool {
	word, by := packState(m.state, m.incarnation), uint32(m.reportedBy+1)
	size := protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(word) + protowire.SizeVarint(uint64(by))
	if size > w.remaining {
		return false
	}
	w.remaining -= size
	d := w.datagram
	d.About, d.Word, d.By = append(d.About, uint32(i)), append(d.Word, word), append(d.By, by)
	return true
}

// send sends a datagram to a member, or nothing if to is noMember. It holds, as far as there is room: the fields of its
// kind; the update on the receiver if that must be notified; the state of the subject; queued updates; extension messages.
// The byte budget may hold back the last two, and a receiver that is suspected or out of service gets neither, because
// most of them would be lost.
func (n *Node) send(now time.Duration, kind membershippb.Kind, to int, sequence uint32, subject int, subjectIncarnation uint64) {
	if to == noMember {
		return
	}
	d := n.newDatagram(kind, sequence)
	if subject != noMember {
		d.Subject, d.SubjectIncarnation = uint32(subject+1), subjectIncarnation
	}
	const lists = 3 // About, Word and By
	w := datagramWriter{datagram: d, remaining: MaxDatagramSize - checksumSize - proto.Size(d) - lists*listOverhead}
	if n.needsNotice(to) {
		w.appendUpdate(to, &n.members[to])
	}
	if n.left {
		w.appendUpdate(n.cfg.Self, &n.members[n.cfg.Self])
	}
	if subject != noMember && subject != to && n.members[subject].state != Alive {
		w.appendUpdate(subject, &n.members[subject])
	}
	if n.members[to].state == Alive {
		n.piggyback(now, &w, kind, to)
	}
	n.enqueueDatagram(to, d)
}

// piggyback adds queued updates and extension messages to a datagram, as the byte budget allows (SWIM section 4.1). A
// datagram of gossip always carries updates: its sender has consulted the budget.
func (n *Node) piggyback(now time.Duration, w *datagramWriter, kind membershippb.Kind, to int) {
	if kind == membershippb.Kind_KIND_GOSSIP || n.budget.allowsUpdates(now) {
		n.appendQueuedUpdates(w)
	}
	if n.budget.allowsExtensions(now) {
		n.appendExtensions(now, w, to)
	}
}

// enqueueDatagram encodes a message into a buffer of its own, which the next call reuses, and adds it to Datagrams.
func (n *Node) enqueueDatagram(to int, d *membershippb.Datagram) {
	k := len(n.datagrams)
	if k == len(n.buffers) {
		n.buffers = append(n.buffers, make([]byte, 0, MaxDatagramSize))
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(n.buffers[k][:0], d)
	if err != nil {
		return // does not happen: the message has no string that could be invalid UTF-8
	}
	b = appendChecksum(b)
	n.buffers[k] = b
	n.datagrams = append(n.datagrams, Datagram{To: to, Bytes: b})
	n.budget.spend(len(b))
	n.counts.Sent++
	n.counts.SentBytes += uint64(len(b))
}
