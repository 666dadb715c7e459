package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// scheduleGossip schedules a round of gossip, unless one is already scheduled.
func (n *Node) scheduleGossip(now time.Duration) {
	if n.nextGossipAt == 0 {
		n.nextGossipAt = now + n.cfg.intervals(gossipPeriodIntervals)
	}
}

// tickGossip runs a round of gossip if one is due: it sends queued updates, notices, and chunks of the full state.
func (n *Node) tickGossip(now time.Duration) {
	if n.nextGossipAt == 0 || now < n.nextGossipAt {
		return
	}
	n.nextGossipAt = 0
	n.sendUpdates(now)
	n.sendNotices(now)
	n.sendSyncChunks(now)
	if n.broadcasts.count > 0 || len(n.notices) > 0 || len(n.syncRequests) > 0 {
		n.scheduleGossip(now)
	}
}

// sendUpdates gossips queued updates to random members. If the byte budget does not allow it, it defers them for at most
// maxUpdateDelayIntervals.
func (n *Node) sendUpdates(now time.Duration) {
	for range gossipFanout {
		if n.broadcasts.count == 0 {
			return
		}
		if !n.budget.allowsUpdates(now) && now-n.lastUpdatesSentAt < n.cfg.intervals(maxUpdateDelayIntervals) {
			n.counts.Postponed++
			return
		}
		if to := n.randomMember(noMember); to != noMember {
			n.lastUpdatesSentAt = now
			n.sendGossip(now, to)
		}
	}
}

// sendGossip sends a GOSSIP datagram, which contains only updates and extension messages.
func (n *Node) sendGossip(now time.Duration, to int) {
	n.send(now, membershippb.Kind_KIND_GOSSIP, to, 0, noMember, 0)
}

// notify queues a ping that notifies a member of its state in the local view, at most once per interval. If the state is
// wrong, the member refutes it (Lifeguard section IV-C, buddy system).
func (n *Node) notify(now time.Duration, i int) {
	m := &n.members[i]
	if i == n.cfg.Self || len(n.notices) == maxNotices {
		return
	}
	if m.lastNoticeAt > 0 && now-m.lastNoticeAt < n.cfg.Interval {
		return
	}
	m.lastNoticeAt = now
	n.notices = append(n.notices, i)
	n.scheduleGossip(now)
}

// sendNotices pings queued members to notify them of their state; send adds the update about the receiver to the ping.
func (n *Node) sendNotices(now time.Duration) {
	sent := 0
	for sent < min(noticesPerRound, len(n.notices)) {
		n.ping(now, n.notices[sent])
		sent++
	}
	n.notices = append(n.notices[:0], n.notices[sent:]...)
}
