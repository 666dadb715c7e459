package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// probe is this member's probe of a target, direct and indirect (SWIM section 3.1). The zero value is not pending.
type probe struct {
	pending        bool
	target         int
	sequence       uint32
	indirectAt     time.Duration // time of the next round of PING_REQs; 0 = no further round
	indirectRounds int           // rounds of PING_REQs sent
	failAt         time.Duration // when the target is suspected if no ACK has arrived
	relays         []int         // members that were sent a PING_REQ
	nackedBy       []int         // relays that answered with a NACK
}

// postpone delays the timers of the probe.
func (p *probe) postpone(delay time.Duration) {
	if p.indirectAt > 0 {
		p.indirectAt += delay
	}
	p.failAt += delay
}

// nextTickAt returns the time of the probe's earliest timer, or 0 if the probe is not pending.
func (p *probe) nextTickAt() time.Duration {
	switch {
	case !p.pending:
		return 0
	case p.indirectAt > 0:
		return p.indirectAt
	}
	return p.failAt
}

// tickProbe advances the pending probe, and starts a new one in each protocol period.
func (n *Node) tickProbe(now time.Duration) {
	if n.probe.pending {
		n.advanceProbe(now)
	}
	if n.left {
		n.nextProbeAt = now + n.cfg.Interval
		return
	}
	if now < n.nextProbeAt {
		return
	}
	if n.probe.pending { // scaled by the health score, the probe takes longer than the protocol period
		n.probeFailed(now)
	}
	n.nextProbeAt = n.nextProbeTime(now)
	if target := n.nextProbeTarget(now); target != noMember {
		n.startProbe(now, target)
	}
	n.pingOutOfService(now)
}

// startProbe starts a probe of a target with a direct ping.
func (n *Node) startProbe(now time.Duration, target int) {
	n.counts.Probes++
	n.probe = probe{
		pending:    true,
		target:     target,
		indirectAt: now + n.scaleByHealth(n.cfg.ProbeTimeout),
		failAt:     now + n.scaleByHealth(n.cfg.intervals(probeDeadlineIntervals)),
		relays:     n.probe.relays[:0],
		nackedBy:   n.probe.nackedBy[:0],
	}
	n.probe.sequence = n.ping(now, target)
}

// advanceProbe requests indirect probes, or fails the probe, if the timer for it has expired.
func (n *Node) advanceProbe(now time.Duration) {
	p := &n.probe
	if p.indirectAt > 0 && now >= p.indirectAt {
		p.indirectAt = 0
		p.indirectRounds++
		if p.indirectRounds < indirectProbeRounds {
			p.indirectAt = now + n.scaleByHealth(n.cfg.intervals(probeDeadlineIntervals)-n.cfg.ProbeTimeout)/indirectProbeRounds
		}
		n.requestIndirectProbes(now)
	}
	if now >= p.failAt {
		n.probeFailed(now)
	}
}

// requestIndirectProbes sends a PING_REQ to random members, and pings the target again.
func (n *Node) requestIndirectProbes(now time.Duration) {
	p := &n.probe
	for range indirectProbeFanout {
		relay := n.randomMember(p.target)
		if relay != noMember && !slices.Contains(p.relays, relay) {
			p.relays = append(p.relays, relay)
			n.send(now, membershippb.Kind_KIND_PING_REQ, relay, p.sequence, p.target, 0)
		}
	}
	n.send(now, membershippb.Kind_KIND_PING, p.target, p.sequence, noMember, 0) // the first ping was most likely lost
}

// probeSucceeded ends the probe after an ACK.
func (n *Node) probeSucceeded() {
	n.probe.pending = false
	n.adjustHealth(-1)
}

// probeFailed ends the probe without an ACK, and suspects the target. If no relay sent a NACK either, this member itself
// may be slow or disconnected, so the local health score rises (Lifeguard section IV-A). Deviation: Lifeguard raises the
// score for each missing NACK; when most members died at once, that slowed the survivors down so much that they reported
// nothing for minutes.
func (n *Node) probeFailed(now time.Duration) {
	p := &n.probe
	p.pending = false
	n.counts.ProbesFailed++
	if len(p.nackedBy) == 0 {
		n.adjustHealth(2)
	}
	if n.members[p.target].state.InService() {
		n.suspectAfterProbe(now, p.target, p.nackedBy)
	}
}

// nextProbeTarget returns the next target in a shuffled round-robin order (SWIM section 4.3), or noMember if there is
// none.
//
// Deviation: all members use the same order of offsets between member numbers, shuffled again for each round with the
// fleet's name and the round as the seed, and the clock determines the position in it. Each member is therefore probed
// by exactly one other member in every interval. With an independent order at each member, the probability that a member
// is not probed for 4.6 intervals would be 1%. Clock skew between members weakens only this property. If the target is
// out of service, a random member is probed instead, since the member that should probe that one may be dead.
func (n *Node) nextProbeTarget(now time.Duration) int {
	if len(n.others) == 0 {
		return noMember
	}
	slot := uint64(now / n.cfg.Interval)
	round := slot / uint64(len(n.others))
	if round != n.probeRound {
		n.shuffleProbeOrder(round)
	}
	offset := n.probeOffsets[slot%uint64(len(n.others))]
	target := (n.cfg.Self + offset) % len(n.members)
	if n.members[target].state.InService() {
		return target
	}
	return n.randomMember(noMember)
}

// shuffleProbeOrder sets the order of probe targets in a round, which depends only on the fleet and the round.
func (n *Node) shuffleProbeOrder(round uint64) {
	n.probeRound = round
	for k := range n.probeOffsets {
		n.probeOffsets[k] = k + 1
	}
	rnd := rand.New(rand.NewPCG(uint64(n.fleet), round))
	rnd.Shuffle(len(n.probeOffsets), func(a, b int) {
		n.probeOffsets[a], n.probeOffsets[b] = n.probeOffsets[b], n.probeOffsets[a]
	})
}

// nextProbeTime returns the time of this member's next probe: its phase within the next interval, so that the probes of
// different members are spread over the interval and a late probe does not shift the following ones. It skips one
// interval for each point of the health score.
func (n *Node) nextProbeTime(now time.Duration) time.Duration {
	interval := n.cfg.Interval
	at := now/interval*interval + n.probePhase
	if at <= now {
		at += interval
	}
	return at + interval*time.Duration(n.healthScore)
}

// pingOutOfService pings one of the members out of service per interval, in turn. This detects the end of a partition,
// and members that restarted while their datagrams were lost.
func (n *Node) pingOutOfService(now time.Duration) {
	if n.inService == len(n.members) {
		return
	}
	for range n.members {
		n.lastOutOfServicePinged = (n.lastOutOfServicePinged + 1) % len(n.members)
		i := n.lastOutOfServicePinged
		if i != n.cfg.Self && !n.members[i].state.InService() {
			n.ping(now, i)
			return
		}
	}
}

// ping sends a PING and returns its sequence number.
func (n *Node) ping(now time.Duration, to int) uint32 {
	n.sequence++
	n.send(now, membershippb.Kind_KIND_PING, to, n.sequence, noMember, 0)
	return n.sequence
}

// handleAck handles an ACK. If subject is noMember, the ACK is the sender's own; otherwise the sender relayed the ACK of
// subject.
func (n *Node) handleAck(now time.Duration, from int, sequence uint32, subject int, incarnation uint64) {
	target := subject
	switch subject {
	case n.cfg.Self:
		return
	case noMember:
		target = from
		n.relayAck(now, from, sequence)
	default:
		if incarnation > n.members[subject].incarnation {
			n.setAlive(now, subject, incarnation, from)
		}
	}
	if n.probe.pending && n.probe.sequence == sequence && n.probe.target == target {
		n.probeSucceeded()
	}
}

// handleNack records a NACK sent by a relay of the pending probe.
func (n *Node) handleNack(from int, sequence uint32) {
	p := &n.probe
	if !p.pending || p.sequence != sequence {
		return
	}
	if slices.Contains(p.relays, from) && !slices.Contains(p.nackedBy, from) {
		p.nackedBy = append(p.nackedBy, from)
	}
}
