package membership

import "time"

// overrides reports whether an update about m overrides its known state: a higher incarnation always does; within an
// incarnation, a state overrides those before it in the order of the State constants (SWIM section 4.2).
func (m *member) overrides(s State, incarnation uint64) bool {
	return incarnation > m.incarnation || incarnation == m.incarnation && s > m.state
}

// applyUpdate applies a gossiped update about a member.
func (n *Node) applyUpdate(now time.Duration, subject int, s State, incarnation uint64, reporter int) {
	if subject == n.cfg.Self {
		n.refute(now, s, incarnation, reporter)
		return
	}
	m := &n.members[subject]
	if incarnation == 0 { // deviation: a reporter that never heard of the subject can only suspect it or report it dead
		if s != Suspect && s != Dead {
			return
		}
		incarnation = m.incarnation
		if incarnation > 0 {
			s = Suspect
		}
	}
	switch {
	case s == Dead && incarnation >= m.incarnation && (m.state == Alive || m.reportedDead):
		n.suspectReportedDead(now, subject, incarnation, reporter)
	case s == Suspect && m.state == Suspect && incarnation == m.incarnation:
		if n.confirmSuspicion(subject, reporter) { // gossip the confirmation, since it shortens the timeout at other members too
			n.queueUpdate(now, subject, n.retransmitLimit)
		}
	case m.overrides(s, incarnation):
		n.broadcastState(now, subject, s, incarnation, reporter)
	}
}

// refute handles an update about this member. If the update overrides the local state, because it says that this member
// is suspected or out of service or because a former incarnation was higher, this member adopts an incarnation that
// overrides the update, and gossips it (SWIM section 4.2).
func (n *Node) refute(now time.Duration, s State, incarnation uint64, reporter int) {
	m := &n.members[n.cfg.Self]
	if !m.overrides(s, incarnation) {
		return
	}
	m.incarnation = incarnation + 1
	n.counts.Refuted++
	if s == Suspect || s == Dead {
		n.adjustHealth(1) // Lifeguard section IV-A: a suspected member may itself be slow
	}
	n.queueUpdate(now, n.cfg.Self, n.retransmitLimit)
	n.events = append(n.events, Event{Kind: Refuted, Member: n.cfg.Self, OldState: s, NewState: m.state, Incarnation: m.incarnation, ReportedBy: reporter})
}

// recordContact records the arrival of a datagram from a member, with the sender's incarnation. It reports whether the
// sender is trusted: updates about others are accepted only from members in service with a current incarnation.
func (n *Node) recordContact(now time.Duration, from int, incarnation uint64) bool {
	m := &n.members[from]
	m.lastContactAt, m.staleIncarnation = now, incarnation < m.incarnation
	if incarnation > m.incarnation {
		n.setAlive(now, from, incarnation, from)
	}
	return m.state.InService() && !m.staleIncarnation
}

// needsNotice reports whether a member must be sent the update about itself, so that it can refute it.
func (n *Node) needsNotice(to int) bool {
	m := &n.members[to]
	return m.staleIncarnation || m.state != Alive
}

// setAlive adopts a higher incarnation of a member, and gossips the update unless this is the first contact with the
// member: otherwise, at the start of a fleet, every member would gossip about every other.
func (n *Node) setAlive(now time.Duration, i int, incarnation uint64, reporter int) {
	m := &n.members[i]
	firstContact := m.incarnation == 0 && m.state == Alive
	n.setState(now, i, Alive, incarnation, reporter)
	if !firstContact {
		n.queueUpdate(now, i, n.retransmitLimit)
	}
}

// broadcastState changes the state of a member and gossips the update.
func (n *Node) broadcastState(now time.Duration, i int, s State, incarnation uint64, reporter int) {
	n.setState(now, i, s, incarnation, reporter)
	n.queueUpdate(now, i, n.retransmitLimit)
}

// setState changes the state of a member, updates the values derived from it, and emits an event.
func (n *Node) setState(now time.Duration, i int, s State, incarnation uint64, reporter int) {
	m := &n.members[i]
	was := m.state
	n.digest ^= memberDigest(i, was) ^ memberDigest(i, s)
	if was.InService() {
		n.inService--
	}
	if s.InService() {
		n.inService++
	}
	m.state, m.incarnation, m.reportedBy = s, incarnation, int32(reporter)
	if was == Suspect {
		n.endSuspicion(i)
	}
	if s == Suspect {
		n.startSuspicion(now, i, reporter)
	}
	if was != s {
		n.events = append(n.events, Event{Kind: StateChanged, Member: i, OldState: was, NewState: s, Incarnation: incarnation, ReportedBy: reporter})
	}
}

// memberDigest returns the contribution of a member's state to the digest of the view: 0 for a member in service, so that
// the initial views have equal digests.
func memberDigest(i int, s State) uint32 {
	if s.InService() {
		return 0
	}
	x := uint64(i)<<stateBits | uint64(s) // the finalizer of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x>>32 ^ x)
}
