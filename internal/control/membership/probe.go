package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// probe is this member's own probe of a target, direct and indirect (SWIM section 3.1). The zero value is none.
type probe struct {
	pending        bool
	target         int
	sequence       uint32
	indirectAt     time.Duration // when indirect probes are requested next; 0 = no more
	indirectRounds int           // rounds of requests for indirect probes so far
	failAt         time.Duration
	helpers        []int // members asked for an indirect probe ...
	nackedBy       []int // ... and those of them that answered with a NACK
}

// postpone moves the timers of the probe.
func (p *probe) postpone(delay time.Duration) {
	if p.indirectAt > 0 {
		p.indirectAt += delay
	}
	p.failAt += delay
}

// nextTickAt returns the earliest timer of the probe; 0 if it is not pending.
func (p *probe) nextTickAt() time.Duration {
	switch {
	case !p.pending:
		return 0
	case p.indirectAt > 0:
		return p.indirectAt
	}
	return p.failAt
}

// tickProbe advances the pending probe, and starts the next one in each protocol period.
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
	if n.probe.pending { // the health score slowed it down so much that the next one is due
		n.probeFailed(now)
	}
	n.nextProbeAt = n.nextProbeTime(now)
	if target := n.nextProbeTarget(now); target != noMember {
		n.startProbe(now, target)
	}
	n.pingOutOfService(now)
}

// startProbe sends a direct probe to a target.
func (n *Node) startProbe(now time.Duration, target int) {
	n.counts.Probes++
	n.probe = probe{
		pending:    true,
		target:     target,
		indirectAt: now + n.scaleByHealth(n.cfg.ProbeTimeout),
		failAt:     now + n.scaleByHealth(n.cfg.intervals(probeShare)),
		helpers:    n.probe.helpers[:0],
		nackedBy:   n.probe.nackedBy[:0],
	}
	n.probe.sequence = n.ping(now, target)
}

// advanceProbe requests indirect probes, or ends the probe as failed, when that is due.
func (n *Node) advanceProbe(now time.Duration) {
	p := &n.probe
	if p.indirectAt > 0 && now >= p.indirectAt {
		p.indirectAt = 0
		p.indirectRounds++
		if p.indirectRounds < indirectProbeRounds {
			p.indirectAt = now + n.scaleByHealth(n.cfg.intervals(probeShare)-n.cfg.ProbeTimeout)/indirectProbeRounds
		}
		n.requestIndirectProbes(now)
	}
	if now >= p.failAt {
		n.probeFailed(now)
	}
}

// requestIndirectProbes sends a PING_REQ to random members.
func (n *Node) requestIndirectProbes(now time.Duration) {
	p := &n.probe
	for range indirectProbeFanout {
		helper := n.randomMember(p.target)
		if helper != noMember && !slices.Contains(p.helpers, helper) {
			p.helpers = append(p.helpers, helper)
			n.send(now, membershippb.Kind_KIND_PING_REQ, helper, p.sequence, p.target, 0)
		}
	}
	n.send(now, membershippb.Kind_KIND_PING, p.target, p.sequence, noMember, 0) // again: loss of the first is the likeliest cause
}

// probeSucceeded ends the probe with an ACK.
func (n *Node) probeSucceeded() {
	n.probe.pending = false
	n.adjustHealth(-1)
}

// probeFailed ends the probe without an ACK, and suspects the target. If no helper sent even a NACK, the fault may be this
// member's own, and the local health score rises (Lifeguard section IV-A). Deviation: Lifeguard raises it for each missing
// NACK; where most members died at once, that slowed the others down until they reported nothing for minutes.
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

// nextProbeTarget returns the next target in a shuffled round-robin order (SWIM section 4.3); noMember if there is none.
//
// Deviation: the order is one of offsets between member numbers, shuffled anew for each round with the fleet's name as
// the seed, and the clock gives the position in it. So each member is probed by exactly one other in every interval,
// whereas independent orders leave a member unprobed for 4.6 intervals once in a hundred. Clock skew weakens this
// property and nothing else. Where the target is out of service a random member is probed instead, because its own
// prober may be among the dead.
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

// shuffleProbeOrder sets the order of probe targets in a round, which depends on the fleet and the round alone.
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

// nextProbeTime returns the time of the own phase in the next interval: members do not probe in step, and a member that
// was late returns to its phase. A bad health score skips intervals.
func (n *Node) nextProbeTime(now time.Duration) time.Duration {
	interval := n.cfg.Interval
	at := now/interval*interval + n.probePhase
	if at <= now {
		at += interval
	}
	return at + interval*time.Duration(n.healthScore)
}

// pingOutOfService pings one member per interval that is out of service, in turn, so that the end of a partition is
// noticed, and a member that returned while nobody received its datagrams.
func (n *Node) pingOutOfService(now time.Duration) {
	if n.serving == len(n.members) {
		return
	}
	for range n.members {
		n.lastOutOfServiceProbed = (n.lastOutOfServiceProbed + 1) % len(n.members)
		i := n.lastOutOfServiceProbed
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

// handleAck handles an ACK: of the sender itself if subject is noMember, else relayed by the sender for the subject.
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

// handleNack records the NACK of a helper of the pending probe.
func (n *Node) handleNack(from int, sequence uint32) {
	p := &n.probe
	if !p.pending || p.sequence != sequence {
		return
	}
	if slices.Contains(p.helpers, from) && !slices.Contains(p.nackedBy, from) {
		p.nackedBy = append(p.nackedBy, from)
	}
}
