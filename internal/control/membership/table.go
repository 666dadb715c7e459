package membership

import "time"

// overrides reports whether an update on a member overrides its known state: a later incarnation always does; within one,
// the states do in their order (SWIM section 4.2).
func (m *member) overrides(s State, incarnation uint64) bool {
	return incarnation > m.incarnation || incarnation == m.incarnation && s > m.state
}

// applyUpdate applies a gossiped update on a member.
func (n *Node) applyUpdate(now time.Duration, about int, s State, incarnation uint64, by int) {
	if about == n.cfg.Self {
		n.refute(now, s, incarnation, by)
		return
	}
	m := &n.members[about]
	if incarnation == 0 { // deviation: a sender that never heard of the member can suspect it, and report nothing else
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
		n.suspectReportedDead(now, about, incarnation, by)
	case s == Suspect && m.state == Suspect && incarnation == m.incarnation:
		if n.confirmSuspicion(about, by) { // gossiped on, because it shortens the timeout elsewhere too
			n.queueUpdate(now, about, n.retransmitLimit)
		}
	case m.overrides(s, incarnation):
		n.broadcastState(now, about, s, incarnation, by)
	}
}

// refute handles an update on this member. If it says that this member is out of service or suspected, or is about a
// former incarnation that was later than the present one, a new incarnation overrides it (SWIM section 4.2).
func (n *Node) refute(now time.Duration, s State, incarnation uint64, by int) {
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
	n.events = append(n.events, Event{Kind: Refuted, Member: n.cfg.Self, OldState: s, NewState: m.state, Incarnation: m.incarnation, ReportedBy: by})
}

// recordContact records that a datagram of a member arrived, with the sender's incarnation. It reports whether the member
// is in service: otherwise its updates on others are not trusted.
func (n *Node) recordContact(now time.Duration, from int, incarnation uint64) bool {
	m := &n.members[from]
	m.lastContactAt, m.staleIncarnation = now, incarnation < m.incarnation
	if incarnation > m.incarnation {
		n.setAlive(now, from, incarnation, from)
	}
	return m.state.InService() && !m.staleIncarnation
}

// needsNotice reports whether a member must be sent the update on itself, so that it can refute it.
func (n *Node) needsNotice(to int) bool {
	m := &n.members[to]
	return m.staleIncarnation || m.state != Alive
}

// setAlive adopts a later incarnation of a member. The update is gossiped unless it is the first contact with the member:
// at the start of a fleet all members would gossip on all.
func (n *Node) setAlive(now time.Duration, i int, incarnation uint64, by int) {
	m := &n.members[i]
	firstContact := m.incarnation == 0 && m.state == Alive
	n.setState(now, i, Alive, incarnation, by)
	if !firstContact {
		n.queueUpdate(now, i, n.retransmitLimit)
	}
}

// broadcastState changes the state of a member and gossips the update.
func (n *Node) broadcastState(now time.Duration, i int, s State, incarnation uint64, by int) {
	n.setState(now, i, s, incarnation, by)
	n.queueUpdate(now, i, n.retransmitLimit)
}

// setState changes the state of a member.
func (n *Node) setState(now time.Duration, i int, s State, incarnation uint64, by int) {
	m := &n.members[i]
	was := m.state
	n.digest ^= memberDigest(i, was) ^ memberDigest(i, s)
	if was.InService() {
		n.serving--
	}
	if s.InService() {
		n.serving++
	}
	m.state, m.incarnation, m.reportedBy = s, incarnation, int32(by)
	if was == Suspect {
		n.endSuspicion(i)
	}
	if s == Suspect {
		n.startSuspicion(now, i, by)
	}
	if was != s {
		n.events = append(n.events, Event{Kind: StateChanged, Member: i, OldState: was, NewState: s, Incarnation: incarnation, ReportedBy: by})
	}
}

// memberDigest returns what a member adds to the digest of a view: 0 while in service, so that views agree from the start.
func memberDigest(i int, s State) uint32 {
	if s.InService() {
		return 0
	}
	x := uint64(i)<<stateBits | uint64(s) // the finalizer of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x>>32 ^ x)
}
