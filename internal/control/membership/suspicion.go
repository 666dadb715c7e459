package membership

import (
	"math"
	"time"
)

// suspicion is what is kept of a member under suspicion.
type suspicion struct {
	began        time.Duration
	callFrom     time.Duration // from when on it has been pinged for an answer; 0 = not yet
	calledAt     time.Duration // when it last was
	calls        int16         // how often it was
	firstHand    bool          // this member probed it in vain
	reportedDead bool          // it was said to be dead while nothing was known of a suspicion
	accusers     [confirmations + 1]int32
	accused      int8 // how many of them there are
}

// begin starts a suspicion.
func (n *Node) begin(now time.Duration, i, by int) {
	n.members[i].suspicion = suspicion{began: now}
	n.suspects = append(n.suspects, i)
	n.accuse(i, by)
}

// acquit ends a suspicion, whatever came of it.
func (n *Node) acquit(i int) {
	for k, s := range n.suspects {
		if s == i {
			n.suspects[k] = n.suspects[len(n.suspects)-1]
			n.suspects = n.suspects[:len(n.suspects)-1]
			break
		}
	}
	n.members[i].suspicion = suspicion{}
}

// accuse adds one who found no answer; it reports whether that is news.
func (n *Node) accuse(i, by int) bool {
	m := &n.members[i]
	if by < 0 || int(m.accused) == len(m.accusers) {
		return false
	}
	for _, a := range m.accusers[:m.accused] {
		if a == int32(by) {
			return false
		}
	}
	m.accusers[m.accused] = int32(by)
	m.accused++
	m.by = int32(by)
	return true
}

// suspectFirstHand is what a probe in vain leads to.
func (n *Node) suspectFirstHand(now time.Duration, i int, nacked []int) {
	m := &n.members[i]
	if m.state == Alive {
		n.counts.Suspected++
		n.set(now, i, Suspect, m.incarnation, n.cfg.Self, false)
	}
	if m.state != Suspect {
		return
	}
	news := n.accuse(i, n.cfg.Self)
	for _, h := range nacked { // a helper's negative answer is a confirmation of its own
		news = n.accuse(i, h) || news
	}
	if news {
		n.queueUpdate(now, i, n.limit)
	}
	m.firstHand = true
	m.callFrom = now
	n.call(now, i) // it hears of the suspicion from this first
}

// doubt is a suspicion that a death declared at second hand leads to: the member itself is asked before that is believed.
// A rumour from beyond a cut that healed must not kill a member among those who have been in touch with it all the
// while. Further reports of the same death change nothing meanwhile.
func (n *Node) doubt(now time.Duration, i int, incarnation uint64, by int) {
	m := &n.members[i]
	if m.state == Alive {
		n.set(now, i, Suspect, max(incarnation, m.incarnation), by, true)
		m.reportedDead = true
		return
	}
	m.incarnation = max(incarnation, m.incarnation)
}

// call pings a suspect for an answer.
func (n *Node) call(now time.Duration, i int) {
	m := &n.members[i]
	m.calledAt = now
	m.calls = min(m.calls+1, callsLeast)
	wait := n.cfg.part(callShare) / callsRound
	if !m.firstHand && !n.budget.allowsUpdates(now) {
		wait *= scarceCalls
	}
	n.callAt = now + wait
	n.ping(now, i)
}

// lasts is how long a suspicion goes on, and from when on the suspect is pinged for an answer: Lifeguard's figure,
// from the longest down to the shortest as accusers come. The worse the own health, the longer (ours: the paper
// scales only the probes).
func (n *Node) lasts(m *member) (all, calls time.Duration) {
	if m.reportedDead {
		return n.cfg.part(callLeast), 0
	}
	shortest := float64(n.cfg.Suspect)
	most := shortest * longest
	d := most - (most-shortest)*math.Log(float64(max(1, m.accused)))/math.Log(confirmations+1)
	d *= 1 + float64(n.health)/2
	if m.firstHand {
		return time.Duration(d), 0
	}
	// Ours: who probed it in vain goes on asking it until the end, and so hears of a refutation from the suspect
	// itself. Who only heard of the suspicion lets them report first, and then asks for itself: rumours miss a
	// member now and then, refutations as well.
	return time.Duration(d + secondHand*float64(n.cfg.Interval)), time.Duration(d)
}

// deadAt is when the suspect is declared dead: at the suspicion's end, and never before it was pinged for long enough. The
// end moves to and fro with accusers and the own health; it once jumped past all pings to a member that had long
// refuted what this one missed.
func (n *Node) deadAt(m *member) time.Duration {
	all, _ := n.lasts(m)
	least := n.cfg.part(callLeast)
	if !m.firstHand && !m.reportedDead {
		least = n.cfg.part(secondHand)
	}
	return max(m.began+all, m.callFrom+least)
}

// mayCall is when a suspect may be pinged next. All suspects together have so many pings a round: after a cut
// between hundreds healed every member pinged a hundred others each round, and the flood itself lost the answers.
func (n *Node) mayCall(m *member) time.Duration {
	return max(m.calledAt+n.cfg.part(callShare), n.callAt)
}

// suspicionDue is when a suspicion wants attention.
func (n *Node) suspicionDue(i int) time.Duration {
	m := &n.members[i]
	switch {
	case m.callFrom == 0:
		_, calls := n.lasts(m)
		return m.began + calls
	case m.calls < callsLeast: // nothing else ends it
		return n.mayCall(m)
	}
	return min(n.deadAt(m), n.mayCall(m))
}

func (n *Node) tickSuspicions(now time.Duration) {
	for k := 0; k < len(n.suspects); {
		i := n.suspects[k]
		m := &n.members[i]
		if m.callFrom == 0 {
			if _, calls := n.lasts(m); now >= m.began+calls {
				m.callFrom = now
			}
		}
		if m.callFrom > 0 && m.calls >= callsLeast && now >= n.deadAt(m) {
			if n.health == 0 || now-m.contactedAt >= n.cfg.Interval {
				n.set(now, i, Dead, m.incarnation, n.cfg.Self, false) // takes it off the list
				continue
			}
			// Ours: it is still heard, and the own health is bad: perhaps only the way out of here is cut.
			m.began += n.cfg.Interval
		}
		k++
	}
	if now >= n.callAt {
		if i := n.nextCall(now); i >= 0 {
			n.call(now, i)
		}
	}
}

// nextCall is the suspect that is to be pinged: who was probed in vain first, then who was said to be dead, then who
// was not pinged for longest. Members begin at different places, so that each suspect soon hears from some.
func (n *Node) nextCall(now time.Duration) int {
	best := -1
	for k := range n.suspects {
		i := n.suspects[(k+n.cfg.Self)%len(n.suspects)]
		m := &n.members[i]
		if m.callFrom > 0 && now >= n.mayCall(m) && (best < 0 || m.callsBefore(&n.members[best].suspicion)) {
			best = i
		}
	}
	return best
}

func (s *suspicion) callsBefore(o *suspicion) bool {
	if s.firstHand != o.firstHand {
		return s.firstHand
	}
	if s.reportedDead != o.reportedDead {
		return s.reportedDead
	}
	return s.calledAt < o.calledAt
}
