package membership

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// Timing of requests for the full state, in protocol intervals.
const (
	convergenceIntervals   = 1.5 // time without new updates after which gossip no longer explains a difference between views
	minSyncPeriodIntervals = 2   // minimum time between two requests if gossip does not explain the difference
	maxSyncPeriodIntervals = 5   // minimum time between two requests while new updates keep arriving
)

// syncRequest is the request of a member for the full state, and the first member in the next chunk to send.
type syncRequest struct{ to, first int }

// compareDigest compares the digest of another member's view with that of the local view. If they differ, and the
// difference is not expected to disappear by gossip or this member has just started, it requests the full state of that
// member (anti-entropy).
func (n *Node) compareDigest(now time.Duration, from int, digest uint32) {
	if digest == n.digest || n.left || !n.needsSync(now) {
		return
	}
	n.lastSyncRequestAt = now
	n.counts.Syncs++
	n.send(now, membershippb.Kind_KIND_SYNC_ASK, from, 0, noMember, 0)
}

// needsSync reports whether a difference between two views is a reason to request the full state now.
func (n *Node) needsSync(now time.Duration) bool {
	interval := n.cfg.Interval
	sinceRequest := now - n.lastSyncRequestAt
	sinceUpdate := now - n.lastUpdateQueuedAt
	starting := !n.synced && now-n.startedAt < startupIntervals*interval
	switch {
	case starting && (n.lastSyncRequestAt == 0 || sinceRequest > interval/2):
		return true
	case sinceUpdate > n.cfg.intervals(convergenceIntervals) && sinceRequest > minSyncPeriodIntervals*interval:
		return true
	}
	return sinceRequest > maxSyncPeriodIntervals*interval
}

// handleSyncRequest queues a request for the full state. If the queue is full, it drops the request: the member will
// repeat it.
func (n *Node) handleSyncRequest(now time.Duration, from, first int) {
	for k := range n.syncRequests {
		if n.syncRequests[k].to == from {
			return
		}
	}
	if len(n.syncRequests) < maxSyncRequests && first >= 0 && first < len(n.members) {
		n.syncRequests = append(n.syncRequests, syncRequest{from, first})
		n.scheduleGossip(now)
	}
}

// sendSyncChunks sends chunks of the full state to the members that requested it, in turn. If the byte budget does not
// allow a chunk, it is deferred for at most maxSyncChunkDelayIntervals.
func (n *Node) sendSyncChunks(now time.Duration) {
	for range syncChunksPerRound {
		if len(n.syncRequests) == 0 {
			return
		}
		if !n.budget.allowsUpdates(now) && now-n.lastSyncChunkAt < n.cfg.intervals(maxSyncChunkDelayIntervals) {
			return
		}
		n.lastSyncChunkAt = now
		request := n.syncRequests[0]
		n.syncRequests = append(n.syncRequests[:0], n.syncRequests[1:]...)
		if next := n.sendSyncChunk(request.to, request.first); next < len(n.members) {
			n.syncRequests = append(n.syncRequests, syncRequest{request.to, next})
		}
	}
}

// sendSyncChunk sends the states of as many members as fit, starting with first, and returns the first member of the next
// chunk.
func (n *Node) sendSyncChunk(to, first int) int {
	d := n.newDatagram(membershippb.Kind_KIND_SYNC, 0)
	d.First = uint32(first)
	remaining := MaxDatagramSize - checksumSize - proto.Size(d) - listOverhead
	next := first
	for ; next < len(n.members); next++ {
		m := &n.members[next]
		state := m.state
		if state == Suspect { // suspicions spread only by gossip, which includes the suspecting members
			state = Alive
		}
		packed := packState(state, m.incarnation)
		size := protowire.SizeVarint(packed)
		if size > remaining {
			break
		}
		remaining -= size
		d.Word = append(d.Word, packed)
	}
	n.enqueueDatagram(to, d)
	return next
}

// applySyncChunk merges a chunk of the full state of another member.
func (n *Node) applySyncChunk(now time.Duration, from int, d *membershippb.Datagram) {
	for k, packed := range d.Word {
		subject := int64(d.First) + int64(k)
		s, incarnation, ok := unpackState(packed)
		if subject >= int64(len(n.members)) || !ok {
			n.counts.Unknown++
			continue
		}
		n.mergeState(now, int(subject), s, incarnation, from)
	}
}

// mergeState merges another member's view of a member into the local view. The state overrides the local one as an update
// does, with one exception: if the subject is reported dead, and this member has been in contact with it or started more
// than startupIntervals ago, it suspects and notifies the subject instead.
func (n *Node) mergeState(now time.Duration, subject int, s State, incarnation uint64, from int) {
	n.synced = true
	if subject == n.cfg.Self {
		n.refute(now, s, incarnation, from)
		return
	}
	m := &n.members[subject]
	trustsOwnView := m.lastContactAt > 0 || now-n.startedAt > startupIntervals*n.cfg.Interval
	switch {
	case incarnation == 0 && s != Dead:
	case !m.overrides(s, incarnation):
		if s.InService() && incarnation == m.incarnation && !m.state.InService() {
			n.notify(now, subject) // one of the two views is wrong; if it is the local one, the subject refutes it
		}
	case s == Dead && m.state.InService() && trustsOwnView:
		n.suspectReportedDead(now, subject, incarnation, from)
		n.notify(now, subject)
	case m.state.InService() == s.InService():
		n.setState(now, subject, s, incarnation, from)
	default:
		n.broadcastState(now, subject, s, incarnation, from)
	}
}
