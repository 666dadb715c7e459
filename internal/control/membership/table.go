package membership

import (
	"time"
)

// overrides reports whether an update on a member beats its present state: a later incarnation always does, within one the
// states do in their order.
func (m *member) overrides(s State, incarnation uint64) bool {
	return incarnation > m.incarnation || incarnation == m.incarnation && s > m.state
}

// applyUpdate takes a gossiped update on a member.
func (n *Node) applyUpdate(now time.Duration, about int, s State, incarnation uint64, by int) {
	if about == n.cfg.Self {
		n.aboutSelf(now, s, incarnation, by)
		return
	}
	m := &n.members[about]
	if incarnation == 0 { // ours: who never heard of the member can accuse it, but can report nothing else of it
		if s != Suspect && s != Dead {
			return
		}
		if incarnation = m.incarnation; incarnation > 0 {
			s = Suspect
		}
	}
	if s == Dead && incarnation >= m.incarnation && (m.state == Alive || m.reportedDead) {
		n.doubt(now, about, incarnation, by) // ours: who never heard of a suspicion asks for itself first
		return
	}
	if s == Suspect && m.state == Suspect && incarnation == m.incarnation {
		if n.accuse(about, by) { // news: it shortens the suspicion elsewhere too
			n.queueUpdate(now, about, n.limit)
		}
		return
	}
	if m.overrides(s, incarnation) {
		n.set(now, about, s, incarnation, by, false)
	}
}

// aboutSelf takes a rumour about this member: one that it is not in service, or one about a former self that had a
// later incarnation, is beaten by a new incarnation.
func (n *Node) aboutSelf(now time.Duration, s State, incarnation uint64, by int) {
	m := &n.members[n.cfg.Self]
	if incarnation < m.incarnation || incarnation == m.incarnation && s <= m.state {
		return
	}
	m.incarnation = incarnation + 1
	n.counts.Refuted++
	if s == Suspect || s == Dead {
		n.worsen(1) // Lifeguard: who is suspected may be late itself
	}
	n.queueUpdate(now, n.cfg.Self, n.limit)
	n.events = append(n.events, Event{Kind: Refuted, Member: n.cfg.Self, Was: s, Is: m.state,
		Incarnation: m.incarnation, By: by})
}

// recordContact records that a datagram of a member has arrived, with the sender's incarnation. It reports whether the
// member is in service here: otherwise its updates on others are not trusted.
func (n *Node) recordContact(now time.Duration, from int, incarnation uint64) bool {
	m := &n.members[from]
	m.contactedAt, m.behind = now, incarnation < m.incarnation
	if incarnation > m.incarnation {
		first := m.incarnation == 0 && m.state == Alive
		n.set(now, from, Alive, incarnation, from, first) // a start of the fleet is no news of each to all
	}
	return m.state.Serves() && !m.behind
}

// needsNotice reports whether a member must first receive the update on itself, so that it can refute it.
func (n *Node) needsNotice(to int) bool {
	m := &n.members[to]
	return m.behind || m.state != Alive
}

// set changes what is held of a member.
func (n *Node) set(now time.Duration, i int, s State, incarnation uint64, by int, quiet bool) {
	m := &n.members[i]
	was := m.state
	n.digest ^= digestOf(i, was) ^ digestOf(i, s)
	if was.Serves() != s.Serves() {
		if s.Serves() {
			n.serving++
		} else {
			n.serving--
		}
	}
	m.state, m.incarnation, m.by = s, incarnation, int32(by)
	if was == Suspect {
		n.acquit(i)
	}
	if s == Suspect {
		n.begin(now, i, by)
	}
	if !quiet {
		n.queueUpdate(now, i, n.limit)
	}
	if was != s {
		n.events = append(n.events, Event{Kind: Changed, Member: i, Was: was, Is: s, Incarnation: incarnation, By: by})
	}
}

// digestOf is what a member adds to a view's digest: nothing while in service, so that views agree from the start.
func digestOf(i int, s State) uint32 {
	if s.Serves() {
		return 0
	}
	x := uint64(i)<<3 | uint64(s) // the finisher of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x>>32 ^ x)
}
