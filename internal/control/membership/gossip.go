package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
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
	n.sendUpdates(now)
	n.sendNotices(now)
	n.sendPieces(now)
	if n.updates.count > 0 || len(n.notices) > 0 || len(n.askers) > 0 {
		n.gossipAt = now + n.cfg.part(gossipShare)
	}
}

// sendUpdates sends queued updates to a few members, as the budget allows.
func (n *Node) sendUpdates(now time.Duration) {
	for range fanout {
		if n.updates.count == 0 {
			return
		}
		if !n.budget.allowsUpdates(now) && now-n.gossipedAt < n.cfg.part(updatePatience) {
			n.counts.Postponed++
			return
		}
		if to := n.someone(-1); to >= 0 {
			n.gossipedAt = now
			n.send(now, membershippb.Kind_KIND_GOSSIP, to, 0, -1, 0)
		}
	}
}

// tickExtensions sends the messages of the extensions to a random member, drawn by the weights where there are any.
func (n *Node) tickExtensions(now time.Duration) {
	if n.extensionsAt == 0 || now < n.extensionsAt {
		return
	}
	n.extensionsAt = now + n.cfg.ExtensionInterval
	if !n.budget.allowsExtensions(now) {
		n.counts.Postponed++
		return
	}
	if to := n.receiver(); to >= 0 && !n.leaving {
		n.send(now, membershippb.Kind_KIND_GOSSIP, to, 0, -1, 0)
	}
}

// receiver is a random member in service other than this one, drawn by the weights where there are any; -1 if there is none.
func (n *Node) receiver() int {
	var weights []float64
	if n.cfg.Weights != nil {
		weights = n.cfg.Weights()
	}
	if weights == nil {
		return n.someone(-1)
	}
	sum := n.sumWeights(weights)
	if !(sum > 0) {
		return n.someone(-1)
	}
	left := n.rnd.Float64() * sum
	last := -1
	for _, i := range n.order {
		if w := n.weight(weights, i); w > 0 {
			last = i
			if left -= w; left < 0 {
				break
			}
		}
	}
	return last
}

// sumWeights adds up the weights of the members in service.
func (n *Node) sumWeights(weights []float64) (sum float64) {
	for _, i := range n.order {
		sum += n.weight(weights, i)
	}
	return sum
}

// weight is that of a member; 0 if it is out of service or has none.
func (n *Node) weight(weights []float64, member int) float64 {
	if member >= len(weights) || !n.members[member].state.Serves() {
		return 0
	}
	return max(0, weights[member])
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
