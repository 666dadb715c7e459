package membership

import (
	"math"
	"time"
)

// suspicion is the suspicion of a member (SWIM section 4.2, Lifeguard section IV-B). The zero value means not suspected.
type suspicion struct {
	startedAt        time.Duration
	pingingSince     time.Duration // when this member started to ping it; 0 = not yet
	lastPingAt       time.Duration
	pings            int16 // pings sent; not counted beyond minSuspectPings
	ownProbeFailed   bool  // this member's probe of it failed
	reportedDead     bool  // another member reported it dead while it was alive in the local view
	suspectedBy      [maxConfirmations + 1]int32
	suspectedByCount int8 // number of members in suspectedBy
}

// postpone delays the timers of the suspicion.
func (s *suspicion) postpone(delay time.Duration) {
	s.startedAt += delay
	if s.pingingSince > 0 {
		s.pingingSince += delay
	}
}

// startSuspicion starts the suspicion of member i, which reporter (another member or this one) suspects.
func (n *Node) startSuspicion(now time.Duration, i, reporter int) {
	n.members[i].suspicion = suspicion{startedAt: now}
	n.suspects = append(n.suspects, i)
	n.confirmSuspicion(i, reporter)
}

// endSuspicion removes the suspicion of a member that refuted it, was declared dead, or left.
func (n *Node) endSuspicion(i int) {
	for k, suspect := range n.suspects {
		if suspect == i {
			last := len(n.suspects) - 1
			n.suspects[k] = n.suspects[last]
			n.suspects = n.suspects[:last]
			break
		}
	}
	n.members[i].suspicion = suspicion{}
}

// confirmSuspicion records that reporter suspects i, and returns true if this is a new, independent confirmation.
func (n *Node) confirmSuspicion(i, reporter int) bool {
	m := &n.members[i]
	if reporter == noMember || int(m.suspectedByCount) == len(m.suspectedBy) {
		return false
	}
	for _, known := range m.suspectedBy[:m.suspectedByCount] {
		if known == int32(reporter) {
			return false
		}
	}
	m.suspectedBy[m.suspectedByCount] = int32(reporter)
	m.suspectedByCount++
	m.reportedBy = int32(reporter)
	return true
}

// suspectAfterProbe suspects member i after this member's probe of it failed, or confirms an existing suspicion.
func (n *Node) suspectAfterProbe(now time.Duration, i int, nackedBy []int) {
	m := &n.members[i]
	if m.state == Alive {
		n.counts.Suspected++
		n.broadcastState(now, i, Suspect, m.incarnation, n.cfg.Self)
	}
	if m.state != Suspect {
		return
	}
	confirmed := n.confirmSuspicion(i, n.cfg.Self)
	for _, relay := range nackedBy { // a NACK is an independent confirmation
		if n.confirmSuspicion(i, relay) {
			confirmed = true
		}
	}
	if confirmed {
		n.queueUpdate(now, i, n.retransmitLimit)
	}
	m.ownProbeFailed = true
	m.pingingSince = now
	n.pingSuspect(now, i) // buddy system (Lifeguard section IV-C): the ping notifies the suspect
}

// suspectReportedDead suspects a member that another member reports dead, and pings it before it declares it dead
// (deviation). Otherwise, after a partition healed, an update from the other side would declare a member dead at those
// that were in contact with it all the time. Further reports of the same death only update the incarnation.
func (n *Node) suspectReportedDead(now time.Duration, i int, incarnation uint64, reporter int) {
	m := &n.members[i]
	latest := max(incarnation, m.incarnation)
	if m.state != Alive {
		m.incarnation = latest
		return
	}
	n.setState(now, i, Suspect, latest, reporter)
	m.reportedDead = true
}

// suspicionTimeout returns the times from the start of a suspicion until the suspect may be declared dead, and until
// pinging it starts. By Lifeguard's formula (section IV-B), the timeout falls from the longest to the shortest value as
// confirmations arrive. Deviation: the local health score also scales this timeout; in Lifeguard it scales only probes.
func (n *Node) suspicionTimeout(m *member) (timeout, pingDelay time.Duration) {
	if m.reportedDead {
		return n.cfg.intervals(minVerificationIntervals), 0
	}
	shortest := float64(n.cfg.SuspicionTimeout)
	longest := shortest * maxSuspicionTimeoutFactor
	scaled := longest - (longest-shortest)*math.Log(float64(max(1, m.suspectedByCount)))/math.Log(maxConfirmations+1)
	scaled *= 1 + float64(n.healthScore)/2
	if m.ownProbeFailed {
		return time.Duration(scaled), 0
	}
	// Deviation: a member whose own probe failed pings the suspect until the timeout, and so receives a refutation
	// directly. A member that learned of the suspicion by gossip first waits for the result of those members, and then
	// pings the suspect itself, because gossip occasionally fails to reach a member with a refutation.
	return time.Duration(scaled + gossipedSuspicionDelayIntervals*float64(n.cfg.Interval)), time.Duration(scaled)
}

// suspicionDeadline returns when the suspect is declared dead: at the suspicion timeout, but not before it was pinged for
// the minimum time. The timeout changes with confirmations and the local health score. Without the minimum, a shrinking
// timeout once expired before any ping, and a suspect was declared dead whose refutation had not reached this member.
func (n *Node) suspicionDeadline(m *member) time.Duration {
	timeout, _ := n.suspicionTimeout(m)
	pingTime := n.cfg.intervals(minVerificationIntervals)
	if !m.ownProbeFailed && !m.reportedDead {
		pingTime = n.cfg.intervals(gossipedSuspicionDelayIntervals)
	}
	return max(m.startedAt+timeout, m.pingingSince+pingTime)
}

// pingAllowedAt returns the earliest time of the next ping of a suspect. The total rate of pings to suspects is limited:
// without the limit, after a partition of hundreds of members healed, every member pinged a hundred others each round,
// and the answers were lost in the congestion.
func (n *Node) pingAllowedAt(m *member) time.Duration {
	return max(m.lastPingAt+n.cfg.intervals(suspectPingPeriodIntervals), n.nextSuspectPingAt)
}

// nextSuspicionTimer returns the time of the next timer of the suspicion of member i.
func (n *Node) nextSuspicionTimer(i int) time.Duration {
	m := &n.members[i]
	switch {
	case m.pingingSince == 0:
		_, pingDelay := n.suspicionTimeout(m)
		return m.startedAt + pingDelay
	case m.pings < minSuspectPings: // too few pings to declare it dead
		return n.pingAllowedAt(m)
	}
	return min(n.suspicionDeadline(m), n.pingAllowedAt(m))
}

// tickSuspicions declares dead the suspects whose suspicion timed out, and pings one of the others.
func (n *Node) tickSuspicions(now time.Duration) {
	for k := 0; k < len(n.suspects); {
		i := n.suspects[k]
		n.startPinging(now, &n.members[i])
		if !n.declareDeadIfDue(now, i) {
			k++
		} // else endSuspicion moved the last suspect to index k
	}
	if now < n.nextSuspectPingAt {
		return
	}
	if i := n.nextSuspectToPing(now); i != noMember {
		n.pingSuspect(now, i)
	}
}

// startPinging lets a suspect be pinged once the ping delay of its suspicion has passed.
func (n *Node) startPinging(now time.Duration, m *member) {
	if m.pingingSince > 0 {
		return
	}
	if _, pingDelay := n.suspicionTimeout(m); now >= m.startedAt+pingDelay {
		m.pingingSince = now
	}
}

// declareDeadIfDue declares a suspect dead and returns true if its suspicion timed out. This removes it from suspects.
func (n *Node) declareDeadIfDue(now time.Duration, i int) bool {
	m := &n.members[i]
	if m.pingingSince == 0 || m.pings < minSuspectPings || now < n.suspicionDeadline(m) {
		return false
	}
	if n.healthScore > 0 && now-m.lastContactAt < n.cfg.Interval {
		// Deviation: datagrams of the suspect still arrive and the local health is bad, so perhaps only this member's
		// outgoing datagrams are lost.
		m.startedAt += n.cfg.Interval
		return false
	}
	n.broadcastState(now, i, Dead, m.incarnation, n.cfg.Self)
	return true
}

// pingSuspect pings a suspect. The ping contains the suspicion, so that the suspect can refute it.
func (n *Node) pingSuspect(now time.Duration, i int) {
	m := &n.members[i]
	m.lastPingAt = now
	m.pings = min(m.pings+1, minSuspectPings)
	delay := n.cfg.intervals(suspectPingPeriodIntervals) / suspectPingsPerRound
	if !m.ownProbeFailed && !n.budget.allowsUpdates(now) {
		delay *= lowBudgetPingSlowdown
	}
	n.nextSuspectPingAt = now + delay
	n.ping(now, i)
}

// nextSuspectToPing returns the suspect to ping next, or noMember if there is none. The search starts at a different
// index at each member, so that the members together soon ping every suspect.
func (n *Node) nextSuspectToPing(now time.Duration) int {
	best := noMember
	for k := range n.suspects {
		i := n.suspects[(k+n.cfg.Self)%len(n.suspects)]
		m := &n.members[i]
		if m.pingingSince == 0 || now < n.pingAllowedAt(m) {
			continue
		}
		if best == noMember || m.hasPingPriorityOver(&n.members[best].suspicion) {
			best = i
		}
	}
	return best
}

// hasPingPriorityOver reports whether s is pinged before other. Suspects that failed a probe by this member come first,
// then those that were reported dead; among equals, the one whose last ping is oldest.
func (s *suspicion) hasPingPriorityOver(other *suspicion) bool {
	if s.ownProbeFailed != other.ownProbeFailed {
		return s.ownProbeFailed
	}
	if s.reportedDead != other.reportedDead {
		return s.reportedDead
	}
	return s.lastPingAt < other.lastPingAt
}
