package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// asker is a member that asked for the whole state, and where its next piece starts.
type asker struct{ to, first int }

// compare looks at another's digest. While news is under way views differ for a moment; a difference that stays, or
// one that meets a member just started, is mended by asking for the whole state.
func (n *Node) compare(now time.Duration, from int, digest uint32) {
	if digest == n.digest || n.leaving {
		return
	}
	since, calm := now-n.askedAt, now-n.updatedAt
	interval := n.cfg.Interval
	fresh := !n.synced && now-n.started < young*interval && (n.askedAt == 0 || since > interval/2)
	settled := calm > interval*3/2 && since > 2*interval
	if fresh || settled || since > 5*interval {
		n.askedAt = now
		n.counts.Syncs++
		n.send(now, membershippb.Kind_KIND_SYNC_ASK, from, 0, -1, 0)
	}
}

// asked queues a request for the whole state; one that finds the queue full is dropped and will come again.
func (n *Node) asked(now time.Duration, from, first int) {
	for k := range n.askers {
		if n.askers[k].to == from {
			return
		}
	}
	if len(n.askers) < mostAskers && first >= 0 && first < len(n.members) {
		n.askers = append(n.askers, asker{from, first})
		n.wantRound(now)
	}
}

// sendPieces sends pieces of the whole state to those who asked for it, as the budget allows.
func (n *Node) sendPieces(now time.Duration) {
	for range piecesRound {
		if len(n.askers) == 0 || !n.budget.allowsUpdates(now) && now-n.pieceSentAt < n.cfg.part(piecePatience) {
			return
		}
		n.pieceSentAt = now
		a := n.askers[0]
		n.askers = append(n.askers[:0], n.askers[1:]...)
		if next := n.sendPiece(now, a.to, a.first); next < len(n.members) {
			n.askers = append(n.askers, asker{a.to, next})
		}
	}
}

// merge takes what another holds of a member. It beats what is held here as a rumour does, but who has been in service
// for a while, or heard from the member, does not believe its death at second hand: it doubts, and says so to the member.
func (n *Node) merge(now time.Duration, about int, s State, incarnation uint64, from int) {
	n.synced = true
	if about == n.cfg.Self {
		n.aboutSelf(now, s, incarnation, from)
		return
	}
	m := &n.members[about]
	switch {
	case incarnation == 0 && s != Dead:
	case !m.overrides(s, incarnation):
		if s.Serves() && incarnation == m.incarnation && !m.state.Serves() {
			n.notify(now, about) // one of us is wrong: the member itself decides
		}
	case s == Dead && m.state.Serves() && (m.contactedAt > 0 || now-n.started > young*n.cfg.Interval):
		n.doubt(now, about, incarnation, from)
		n.notify(now, about)
	default:
		n.set(now, about, s, incarnation, from, m.state.Serves() == s.Serves())
	}
}
