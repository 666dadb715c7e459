package membership

import (
	"math"
	"time"
)

// suspicion is the state of a suspected member (SWIM section 4.2, Lifeguard section IV-B). The zero value is none.
type suspicion struct {
	startedAt        time.Duration
	pingFrom         time.Duration // since when it has been pinged for a refutation; 0 = not yet
	lastPingAt       time.Duration
	pings            int16 // sent so far, up to minSuspectPings
	firstHand        bool  // an own probe of it failed
	reportedDead     bool  // another member reported it dead before this one knew of any suspicion
	suspectedBy      [maxConfirmations + 1]int32
	suspectedByCount int8 // members in suspectedBy
}

// postpone moves the timers of the suspicion.
func (s *suspicion) postpone(delay time.Duration) {
	s.startedAt += delay
	if s.pingFrom > 0 {
		s.pingFrom += delay
	}
}

// startSuspicion starts the suspicion of a member that another, or this one, suspects.
func (n *Node) startSuspicion(now time.Duration, i, by int) {
	n.members[i].suspicion = suspicion{startedAt: now}
	n.suspects = append(n.suspects, i)
	n.confirmSuspicion(i, by)
}

// endSuspicion ends a suspicion, whether by refutation, death or leave.
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

// confirmSuspicion adds a member that suspects i, and reports whether this is a new and independent confirmation.
func (n *Node) confirmSuspicion(i, by int) bool {
	m := &n.members[i]
	if by == noMember || int(m.suspectedByCount) == len(m.suspectedBy) {
		return false
	}
	for _, known := range m.suspectedBy[:m.suspectedByCount] {
		if known == int32(by) {
			return false
		}
	}
	m.suspectedBy[m.suspectedByCount] = int32(by)
	m.suspectedByCount++
	m.reportedBy = int32(by)
	return true
}

// suspectAfterProbe suspects the target of a failed own probe, or confirms the suspicion of it.
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
	for _, helper := range nackedBy { // a NACK is an independent confirmation
		if n.confirmSuspicion(i, helper) {
			confirmed = true
		}
	}
	if confirmed {
		n.queueUpdate(now, i, n.retransmitLimit)
	}
	m.firstHand = true
	m.pingFrom = now
	n.pingSuspect(now, i) // buddy system (Lifeguard section IV-C): this ping is the first to notify it
}

// suspectReportedDead suspects a member that another one reports dead, instead of declaring it dead at once (deviation):
// it is pinged first, since an update from beyond a partition that healed must not declare a member dead among those
// that were in contact with it all the time. Further reports of the same death change nothing meanwhile.
func (n *Node) suspectReportedDead(now time.Duration, i int, incarnation uint64, by int) {
	m := &n.members[i]
	latest := max(incarnation, m.incarnation)
	if m.state != Alive {
		m.incarnation = latest
		return
	}
	n.setState(now, i, Suspect, latest, by)
	m.reportedDead = true
}

// suspicionTimeout returns the time from the start of a suspicion until the suspect may be declared dead, and until it is
// pinged: Lifeguard's formula (section IV-B), from the longest down to the shortest timeout as confirmations arrive.
// Deviation: a bad local health score makes it longer, where Lifeguard scales only the probes.
func (n *Node) suspicionTimeout(m *member) (timeout, pingDelay time.Duration) {
	if m.reportedDead {
		return n.cfg.intervals(minSuspectPingTime), 0
	}
	shortest := float64(n.cfg.SuspicionTimeout)
	longest := shortest * maxSuspicionFactor
	scaled := longest - (longest-shortest)*math.Log(float64(max(1, m.suspectedByCount)))/math.Log(maxConfirmations+1)
	scaled *= 1 + float64(n.healthScore)/2
	if m.firstHand {
		return time.Duration(scaled), 0
	}
	// Deviation: a member whose own probe failed pings the suspect until the end, and so receives a refutation from the
	// suspect itself. A member that only heard of the suspicion lets those report first, and then pings as well: gossip
	// misses a member now and then, refutations included.
	return time.Duration(scaled + gossipedSuspicionDelay*float64(n.cfg.Interval)), time.Duration(scaled)
}

// declareDeadAt returns when the suspect is declared dead: at the suspicion's timeout, and not before it was pinged for
// long enough. The timeout moves with confirmations and the local health score; without this bound it once passed over
// all pings of a member that had long refuted an update which this one missed.
func (n *Node) declareDeadAt(m *member) time.Duration {
	timeout, _ := n.suspicionTimeout(m)
	pingTime := n.cfg.intervals(minSuspectPingTime)
	if !m.firstHand && !m.reportedDead {
		pingTime = n.cfg.intervals(gossipedSuspicionDelay)
	}
	return max(m.startedAt+timeout, m.pingFrom+pingTime)
}

// pingAllowedAt returns when a suspect may be pinged next. The rate of all pings of suspects together is bounded: after a
// partition between hundreds healed, every member pinged a hundred others each round, and the flood lost the answers.
func (n *Node) pingAllowedAt(m *member) time.Duration {
	return max(m.lastPingAt+n.cfg.intervals(suspectPingShare), n.nextSuspectPingAt)
}

// suspicionDue returns the next timer of a suspicion.
func (n *Node) suspicionDue(i int) time.Duration {
	m := &n.members[i]
	switch {
	case m.pingFrom == 0:
		_, pingDelay := n.suspicionTimeout(m)
		return m.startedAt + pingDelay
	case m.pings < minSuspectPings: // not declared dead before
		return n.pingAllowedAt(m)
	}
	return min(n.declareDeadAt(m), n.pingAllowedAt(m))
}

// tickSuspicions declares suspects dead whose suspicion timed out, and pings one suspect.
func (n *Node) tickSuspicions(now time.Duration) {
	for k := 0; k < len(n.suspects); {
		i := n.suspects[k]
		n.startPinging(now, &n.members[i])
		if !n.declareDeadIfDue(now, i) {
			k++
		} // else the last suspect took its place
	}
	if now < n.nextSuspectPingAt {
		return
	}
	if i := n.nextSuspectToPing(now); i != noMember {
		n.pingSuspect(now, i)
	}
}

// startPinging marks a suspect as one to ping, once its suspicion has lasted for the delay.
func (n *Node) startPinging(now time.Duration, m *member) {
	if m.pingFrom > 0 {
		return
	}
	if _, pingDelay := n.suspicionTimeout(m); now >= m.startedAt+pingDelay {
		m.pingFrom = now
	}
}

// declareDeadIfDue declares a suspect dead if its suspicion timed out, which removes it from the list of suspects.
func (n *Node) declareDeadIfDue(now time.Duration, i int) bool {
	m := &n.members[i]
	if m.pingFrom == 0 || m.pings < minSuspectPings || now < n.declareDeadAt(m) {
		return false
	}
	if n.healthScore > 0 && now-m.lastContactAt < n.cfg.Interval {
		// Deviation: its datagrams still arrive and the local health is bad: perhaps only the own datagrams are lost.
		m.startedAt += n.cfg.Interval
		return false
	}
	n.broadcastState(now, i, Dead, m.incarnation, n.cfg.Self)
	return true
}

// pingSuspect pings a suspect, so that it can refute.
func (n *Node) pingSuspect(now time.Duration, i int) {
	m := &n.members[i]
	m.lastPingAt = now
	m.pings = min(m.pings+1, minSuspectPings)
	delay := n.cfg.intervals(suspectPingShare) / suspectPingsPerRound
	if !m.firstHand && !n.budget.allowsUpdates(now) {
		delay *= lowBudgetPingFactor
	}
	n.nextSuspectPingAt = now + delay
	n.ping(now, i)
}

// nextSuspectToPing returns the suspect to ping next; noMember if there is none. The search starts at a different place at
// each member, so that every suspect is soon pinged by some.
func (n *Node) nextSuspectToPing(now time.Duration) int {
	best := noMember
	for k := range n.suspects {
		i := n.suspects[(k+n.cfg.Self)%len(n.suspects)]
		m := &n.members[i]
		if m.pingFrom == 0 || now < n.pingAllowedAt(m) {
			continue
		}
		if best == noMember || m.pingedBefore(&n.members[best].suspicion) {
			best = i
		}
	}
	return best
}

// pingedBefore reports whether s is pinged before other: first those whose own probe failed, then those that were
// reported dead, then the one that was not pinged for longest.
func (s *suspicion) pingedBefore(other *suspicion) bool {
	if s.firstHand != other.firstHand {
		return s.firstHand
	}
	if s.reportedDead != other.reportedDead {
		return s.reportedDead
	}
	return s.lastPingAt < other.lastPingAt
}
