package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// unmarshalOptions has Merge set, so that decoding into a cleared message reuses the capacity of its slices.
var unmarshalOptions = proto.UnmarshalOptions{Merge: true, DiscardUnknown: true}

// decode decodes a datagram into n.incoming and returns the member number of its sender. If the datagram is invalid, it
// increments the counter for the reason and returns false.
func (n *Node) decode(from netip.AddrPort, b []byte) (sender int, ok bool) {
	sender, known := n.memberByAddr[from]
	if !known || sender == n.cfg.Self {
		n.counts.Strangers++
		return 0, false
	}
	if len(b) > MaxDatagramSize {
		n.counts.Oversize++
		return 0, false
	}
	d := &n.incoming
	if !unmarshalDatagram(b, d) {
		n.counts.Malformed++
		return 0, false
	}
	switch {
	case d.Fleet != n.fleet:
		n.counts.OtherFleet++
	case d.Least > ProtocolVersion:
		n.counts.TooNew++
	case int(d.From) != sender:
		n.counts.Strangers++
	default:
		return sender, true
	}
	return 0, false
}

// unmarshalDatagram verifies the checksum, decodes the message, and checks the range of its fields. It returns false if
// any of these fails.
func unmarshalDatagram(b []byte, d *membershippb.Datagram) bool {
	resetMessage(d)
	message, ok := verifyChecksum(b)
	if !ok || unmarshalOptions.Unmarshal(message, d) != nil {
		return false
	}
	return d.Version != 0 && d.Incarnation != 0 && d.Incarnation < maxIncarnation && d.SubjectIncarnation < maxIncarnation
}

// handleDatagram handles a valid datagram. Updates about others are applied only if the sender is in service in the local
// view, or has left.
func (n *Node) handleDatagram(now time.Duration, from int, d *membershippb.Datagram) {
	trusted := n.recordContact(now, from, d.Incarnation)
	if d.Kind == membershippb.Kind_KIND_SYNC {
		if trusted {
			n.applySyncChunk(now, from, d)
		}
		return
	}
	if trusted || n.members[from].state == Left {
		n.applyUpdates(now, d)
	} else {
		n.applyUpdatesAboutSelf(now, d) // safe from any member, since a wrong one is refuted
	}
	subject := int(d.Subject) - 1 // noMember if the field is 0
	if subject >= len(n.members) {
		n.counts.Unknown++
		return
	}
	n.handleKind(now, from, subject, trusted, d)
	acknowledged := d.Kind == membershippb.Kind_KIND_PING // the ACK sent by handleKind already contains the notice
	if !acknowledged && n.needsNotice(from) && (n.members[from].state != Left || n.members[from].staleIncarnation) {
		n.notify(now, from)
	}
	if !trusted {
		return
	}
	if d.Kind == membershippb.Kind_KIND_PING || d.Kind == membershippb.Kind_KIND_ACK {
		n.compareDigest(now, from, d.Digest)
	}
	n.deliverExtensions(from, d)
}

// handleKind handles the part of a datagram that depends on its kind.
func (n *Node) handleKind(now time.Duration, from, subject int, trusted bool, d *membershippb.Datagram) {
	switch d.Kind {
	case membershippb.Kind_KIND_PING:
		n.send(now, membershippb.Kind_KIND_ACK, from, d.Sequence, noMember, 0)
	case membershippb.Kind_KIND_ACK:
		if trusted {
			n.handleAck(now, from, d.Sequence, subject, d.SubjectIncarnation)
		}
	case membershippb.Kind_KIND_PING_REQ:
		if subject != noMember && subject != n.cfg.Self && subject != from {
			n.relayProbe(now, from, d.Sequence, subject)
		}
	case membershippb.Kind_KIND_NACK:
		n.handleNack(from, d.Sequence)
	case membershippb.Kind_KIND_SYNC_ASK:
		n.handleSyncRequest(now, from, int(d.First))
	case membershippb.Kind_KIND_GOSSIP:
	default:
		n.counts.Unknown++ // from a newer version; the updates in the datagram were applied all the same
	}
}

// applyUpdates applies the updates in a datagram. Each has an element in About and in Word; By may be shorter.
func (n *Node) applyUpdates(now time.Duration, d *membershippb.Datagram) {
	for k := range min(len(d.About), len(d.Word)) {
		by := noMember
		if k < len(d.By) {
			by = int(d.By[k]) - 1
		}
		s, incarnation, ok := unpackState(d.Word[k])
		if int64(d.About[k]) >= int64(len(n.members)) || by >= len(n.members) || !ok {
			n.counts.Unknown++
			continue
		}
		n.applyUpdate(now, int(d.About[k]), s, incarnation, by)
	}
}

// applyUpdatesAboutSelf applies only the updates about this member.
func (n *Node) applyUpdatesAboutSelf(now time.Duration, d *membershippb.Datagram) {
	for k := range min(len(d.About), len(d.Word)) {
		s, incarnation, ok := unpackState(d.Word[k])
		if ok && int64(d.About[k]) == int64(n.cfg.Self) {
			n.refute(now, s, incarnation, noMember)
		}
	}
}
