package membership

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// ProtocolVersion is the version of the datagrams that this program sends; minReaderVersion is the lowest version of a
// program that can decode them.
const (
	ProtocolVersion  = 1
	minReaderVersion = 1
)

// Sizes of the wire format, in bytes unless stated otherwise.
const (
	checksumField  = 1000    // field number
	checksumSize   = 6       // two bytes for the tag, four for the CRC-32C
	listOverhead   = 3       // one byte for the tag, at most two for the length
	stateBits      = 3       // bits of a packed state for the State; the higher bits are the incarnation
	maxIncarnation = 1 << 60 // exclusive: a higher one cannot be a time in seconds, and does not fit into a packed state
)

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	checksumTag = protowire.AppendTag(nil, checksumField, protowire.Fixed32Type)
)

// appendChecksum appends the checksum field to an encoded message.
func appendChecksum(b []byte) []byte {
	sum := crc32.Checksum(b, castagnoli)
	b = append(b, checksumTag...)
	return binary.LittleEndian.AppendUint32(b, sum)
}

// verifyChecksum returns the encoded message without the checksum field, and whether the checksum is correct.
func verifyChecksum(b []byte) ([]byte, bool) {
	k := len(b) - checksumSize
	if k < 0 || string(b[k:k+2]) != string(checksumTag) {
		return nil, false
	}
	return b[:k], binary.LittleEndian.Uint32(b[k+2:]) == crc32.Checksum(b[:k], castagnoli)
}

// packState returns a state and an incarnation in their wire format.
func packState(s State, incarnation uint64) uint64 { return incarnation<<stateBits | uint64(s) }

// unpackState splits a packed state. ok is false if the state is unknown or the incarnation is out of range.
func unpackState(packed uint64) (s State, incarnation uint64, ok bool) {
	s = State(packed & (1<<stateBits - 1))
	incarnation = packed >> stateBits
	ok = s >= Alive && s <= Left && incarnation < maxIncarnation
	return s, incarnation, ok
}

// resetMessage clears a message for reuse, and keeps the capacity of its slices.
func resetMessage(d *membershippb.Datagram) {
	about, words, by, payload := d.About[:0], d.Word[:0], d.By[:0], d.Payload[:0]
	d.Reset()
	d.About, d.Word, d.By, d.Payload = about, words, by, payload
}

// newDatagram clears the outgoing message, sets the fields common to all kinds, and returns it.
func (n *Node) newDatagram(kind membershippb.Kind, sequence uint32) *membershippb.Datagram {
	d := &n.outgoing
	resetMessage(d)
	d.Version, d.Least, d.Fleet = ProtocolVersion, minReaderVersion, n.fleet
	d.From, d.Incarnation = uint32(n.cfg.Self), n.members[n.cfg.Self].incarnation
	d.Kind, d.Sequence, d.Digest = kind, sequence, n.digest
	return d
}

// datagramWriter appends updates and extension messages to a message, up to the maximum size.
type datagramWriter struct {
	datagram  *membershippb.Datagram
	remaining int // free space in bytes
}

// appendUpdate appends the state of member i, and reports whether there was space for it.
func (w *datagramWriter) appendUpdate(i int, m *member) bool {
	packed, by := packState(m.state, m.incarnation), uint32(m.reportedBy+1)
	size := protowire.SizeVarint(uint64(i)) + protowire.SizeVarint(packed) + protowire.SizeVarint(uint64(by))
	if size > w.remaining {
		return false
	}
	w.remaining -= size
	d := w.datagram
	d.About, d.Word, d.By = append(d.About, uint32(i)), append(d.Word, packed), append(d.By, by)
	return true
}

// send adds a datagram to the output, unless to is noMember. As far as there is space, the datagram contains the fields
// of its kind, the update about the receiver if it must be notified, this member's leave, the state of the subject, queued
// updates, and extension messages. The last two are omitted if the byte budget does not allow them, or if the receiver is
// suspected or out of service, because most of them would be lost.
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

// piggyback adds queued updates and extension messages to a datagram, if the byte budget allows them (SWIM section 4.1).
// A GOSSIP datagram always contains updates: its callers have already checked the budget.
func (n *Node) piggyback(now time.Duration, w *datagramWriter, kind membershippb.Kind, to int) {
	if kind == membershippb.Kind_KIND_GOSSIP || n.budget.allowsUpdates(now) {
		n.appendQueuedUpdates(w)
	}
	if n.budget.allowsExtensions(now) {
		n.appendExtensions(now, w, to)
	}
}

// enqueueDatagram encodes a message into a reusable buffer and adds it to the datagrams to send.
func (n *Node) enqueueDatagram(to int, d *membershippb.Datagram) {
	k := len(n.datagrams)
	if k == len(n.buffers) {
		n.buffers = append(n.buffers, make([]byte, 0, MaxDatagramSize))
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(n.buffers[k][:0], d)
	if err != nil {
		return // cannot happen: encoding fails only for strings with invalid UTF-8, and the message has none
	}
	b = appendChecksum(b)
	n.buffers[k] = b
	n.datagrams = append(n.datagrams, Datagram{To: to, Bytes: b})
	n.budget.spend(len(b))
	n.counts.Sent++
	n.counts.SentBytes += uint64(len(b))
}
