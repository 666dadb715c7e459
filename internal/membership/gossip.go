package membership

import (
	"time"

	"frostpier/internal/membership/wirepb"
)

// queue holds the members that have updates to gossip, each once, the least gossiped first. It is a ring with
// room for every member.
type queue struct {
	ring        []int32
	head, count int
}

func (q *queue) init(members int) { q.ring = make([]int32, members) }

func (q *queue) pushFront(i int) {
	q.head = (q.head + len(q.ring) - 1) % len(q.ring)
	q.ring[q.head] = int32(i)
	q.count++
}

func (q *queue) pushBack(i int) {
	q.ring[(q.head+q.count)%len(q.ring)] = int32(i)
	q.count++
}

func (q *queue) pop() int {
	i := q.ring[q.head]
	q.head = (q.head + 1) % len(q.ring)
	q.count--
	return int(i)
}

// queueUpdate queues the present state of a member to be gossiped the given number of times.
func (n *Node) queueUpdate(now time.Duration, i int, times int16) {
	m := &n.members[i]
	if m.repeats == 0 {
		n.updates.pushFront(i)
	}
	m.repeats = times
	n.updatedAt = now
	n.wantRound(now)
}

// wantRound has a round of gossip take place.
func (n *Node) wantRound(now time.Duration) {
	if n.gossipAt == 0 {
		n.gossipAt = now + n.cfg.part(gossipShare)
	}
}

// tickGossip does a gossip round: updates to a few members, notices, and pieces of the full state. It sends nothing if
// none of them is pending.
func (n *Node) tickGossip(now time.Duration) {
	if n.gossipAt == 0 || now < n.gossipAt {
		return
	}
	n.gossipAt = 0
	for range fanout {
		if to := n.someone(-1); to >= 0 && n.updates.count > 0 {
			n.send(now, wirepb.Kind_KIND_GOSSIP, to, 0, -1, 0)
		}
	}
	n.sendNotices(now)
	n.sendPieces(now)
	if n.updates.count > 0 || len(n.notices) > 0 || len(n.askers) > 0 {
		n.gossipAt = now + n.cfg.part(gossipShare)
	}
}

// tickExtensions sends the messages of the extensions to a random member.
func (n *Node) tickExtensions(now time.Duration) {
	if n.extensionsAt == 0 || now < n.extensionsAt {
		return
	}
	n.extensionsAt = now + n.cfg.ExtensionInterval
	if to := n.someone(-1); to >= 0 && !n.leaving {
		n.send(now, wirepb.Kind_KIND_GOSSIP, to, 0, -1, 0)
	}
}

// notify has a member told directly what is held of it, because that is in doubt: it will say if it is wrong. Once an
// interval is enough for each.
func (n *Node) notify(now time.Duration, i int) {
	m := &n.members[i]
	if i == n.cfg.Self || len(n.notices) == mostNotices || m.noticed > 0 && now-m.noticed < n.cfg.Interval {
		return
	}
	m.noticed = now
	n.notices = append(n.notices, i)
	n.wantRound(now)
}

func (n *Node) sendNotices(now time.Duration) {
	sent := 0
	for sent < min(noticesRound, len(n.notices)) {
		n.ping(now, n.notices[sent])
		sent++
	}
	n.notices = append(n.notices[:0], n.notices[sent:]...)
}
