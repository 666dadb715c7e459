package membership

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/membership/membershippb"
)

// Intervals between two requests for the full state, by reason.
const (
	convergenceIntervals = 1.5 // without a queued update, after which a difference is no longer one of gossip under way
	syncIntervals        = 2   // where views differ although gossip has come to rest
	maxSyncIntervals     = 5   // where views differ while there is always gossip
)

// syncRequest is a member that requested the full state, and the first member of its next chunk.
type syncRequest struct{ to, first int }

// compareDigest compares the digest of another member's view with the own. Views differ briefly while gossip is under way;
// if they still differ after that, or this member has just started, it requests the full state (anti-entropy).
func (n *Node) compareDigest(now time.Duration, from int, digest uint32) {
	if digest == n.digest || n.left || !n.needsSync(now) {
		return
	}
	n.lastSyncRequestAt = now
	n.counts.Syncs++
	n.send(now, membershippb.Kind_KIND_SYNC_ASK, from, 0, noMember, 0)
}

// needsSync reports whether a difference between two views calls for the full state.
func (n *Node) needsSync(now time.Duration) bool {
	interval := n.cfg.Interval
	sinceRequest := now - n.lastSyncRequestAt
	sinceUpdate := now - n.lastUpdateQueuedAt
	starting := !n.synced && now-n.startedAt < startupIntervals*interval
	switch {
	case starting && (n.lastSyncRequestAt == 0 || sinceRequest > interval/2):
		return true
	case sinceUpdate > n.cfg.intervals(convergenceIntervals) && sinceRequest > syncIntervals*interval:
		return true
	}
	return sinceRequest > maxSyncIntervals*interval
}

// handleSyncRequest queues a request for the full state. It drops one that finds the queue full: the member will repeat it.
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

// sendSyncChunks sends chunks of the full state to the members that requested it, in turn, as the budget allows.
func (n *Node) sendSyncChunks(now time.Duration) {
	for range syncChunksPerRound {
		if len(n.syncRequests) == 0 {
			return
		}
		if !n.budget.allowsUpdates(now) && now-n.lastSyncChunkAt < n.cfg.intervals(syncChunkPatience) {
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

// sendSyncChunk sends the state of as many members as fit, from first on, and returns the first of the next chunk.
func (n *Node) sendSyncChunk(to, first int) int {
	d := n.newDatagram(membershippb.Kind_KIND_SYNC, 0)
	d.First = uint32(first)
	room := MaxDatagramSize - checksumSize - proto.Size(d) - listOverhead
	next := first
	for ; next < len(n.members); next++ {
		m := &n.members[next]
		state := m.state
		if state == Suspect { // suspicions are gossiped, together with the members that confirm them
			state = Alive
		}
		word := packState(state, m.incarnation)
		size := protowire.SizeVarint(word)
		if size > room {
			break
		}
		room -= size
		d.Word = append(d.Word, word)
	}
	n.enqueueDatagram(to, d)
	return next
}

// applySyncChunk merges a chunk of the full state of another member.
func (n *Node) applySyncChunk(now time.Duration, from int, d *membershippb.Datagram) {
	for k, word := range d.Word {
		about := int64(d.First) + int64(k)
		s, incarnation, ok := unpackState(word)
		if about >= int64(len(n.members)) || !ok {
			n.counts.Unknown++
			continue
		}
		n.mergeState(now, int(about), s, incarnation, from)
	}
}

// mergeState merges another member's view of a member. It overrides the own view as an update does, except that a member
// which has served for a while, or is in contact with the one reported dead, suspects and notifies that one instead.
func (n *Node) mergeState(now time.Duration, about int, s State, incarnation uint64, from int) {
	n.synced = true
	if about == n.cfg.Self {
		n.refute(now, s, incarnation, from)
		return
	}
	m := &n.members[about]
	trustsOwnView := m.lastContactAt > 0 || now-n.startedAt > startupIntervals*n.cfg.Interval
	switch {
	case incarnation == 0 && s != Dead:
	case !m.overrides(s, incarnation):
		if s.InService() && incarnation == m.incarnation && !m.state.InService() {
			n.notify(now, about) // one of the two views is wrong: the member itself decides
		}
	case s == Dead && m.state.InService() && trustsOwnView:
		n.suspectReportedDead(now, about, incarnation, from)
		n.notify(now, about)
	case m.state.InService() == s.InService():
		n.setState(now, about, s, incarnation, from)
	default:
		n.broadcastState(now, about, s, incarnation, from)
	}
}
