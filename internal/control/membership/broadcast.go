package membership

import "time"

// broadcastQueue is a queue of the members whose state is to be gossiped, each at most once. New updates enter at the
// front, and transmitted ones return to the back. It is a ring buffer with a slot for every member.
type broadcastQueue struct {
	ring        []int32
	head, count int
}

func (q *broadcastQueue) init(members int) { q.ring = make([]int32, members) }

func (q *broadcastQueue) pushFront(i int) {
	q.head = (q.head + len(q.ring) - 1) % len(q.ring)
	q.ring[q.head] = int32(i)
	q.count++
}

func (q *broadcastQueue) pushBack(i int) {
	q.ring[(q.head+q.count)%len(q.ring)] = int32(i)
	q.count++
}

func (q *broadcastQueue) pop() int {
	i := q.ring[q.head]
	q.head = (q.head + 1) % len(q.ring)
	q.count--
	return int(i)
}

// queueUpdate queues the update about a member for the given number of transmissions.
func (n *Node) queueUpdate(now time.Duration, i int, retransmits int16) {
	m := &n.members[i]
	if m.retransmits == 0 {
		n.broadcasts.pushFront(i)
	}
	m.retransmits = retransmits
	n.lastUpdateQueuedAt = now
	n.scheduleGossip(now)
}

// appendQueuedUpdates appends queued updates to a datagram until one does not fit, and removes those that have been
// transmitted often enough.
func (n *Node) appendQueuedUpdates(w *datagramWriter) {
	for range n.broadcasts.count {
		i := n.broadcasts.pop()
		if !w.appendUpdate(i, &n.members[i]) {
			n.broadcasts.pushFront(i)
			return
		}
		m := &n.members[i]
		m.retransmits--
		if m.retransmits > 0 {
			n.broadcasts.pushBack(i)
		}
	}
}
