package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// probe is the one under way.
type probe struct {
	open     bool
	target   int
	sequence uint32
	helpAt   time.Duration // when others are asked; 0 = they were, twice
	rounds   int           // how often they were asked
	failAt   time.Duration
	asked    []int // helpers
	nacked   []int // and those of them that said that they have no answer either
}

func (p *probe) shift(d time.Duration) {
	if p.helpAt > 0 {
		p.helpAt += d
	}
	p.failAt += d
}

func (p *probe) next() time.Duration {
	switch {
	case !p.open:
		return 0
	case p.helpAt > 0:
		return p.helpAt
	}
	return p.failAt
}

// relay is a probe on behalf of another member.
type relay struct {
	origin, subject        int
	originSeq, ownSequence uint32
	nackAt, endAt          time.Duration // nackAt 0 = it was sent
}

func (r *relay) next() time.Duration {
	if r.nackAt > 0 {
		return r.nackAt
	}
	return r.endAt
}

// slowed is a time scaled by the own health, as Lifeguard has it.
func (n *Node) slowed(d time.Duration) time.Duration { return d * time.Duration(1+n.health) }

func (n *Node) tickProbe(now time.Duration) {
	if p := &n.probe; p.open {
		if p.helpAt > 0 && now >= p.helpAt {
			p.helpAt = 0
			if p.rounds++; p.rounds < askRounds {
				p.helpAt = now + n.slowed(n.cfg.part(failShare)-n.cfg.Timeout)/askRounds
			}
			n.askHelpers(now)
		}
		if now >= p.failAt {
			n.failed(now)
		}
	}
	if now < n.probeAt || n.leaving {
		if n.leaving {
			n.probeAt = now + n.cfg.Interval
		}
		return
	}
	if n.probe.open { // slowed down so much that the next one is due
		n.failed(now)
	}
	n.probeAt = n.nextProbe(now)
	if i := n.nextTarget(now); i >= 0 {
		n.counts.Probes++
		n.probe = probe{open: true, target: i, helpAt: now + n.slowed(n.cfg.Timeout),
			failAt: now + n.slowed(n.cfg.part(failShare)), asked: n.probe.asked[:0],
			nacked: n.probe.nacked[:0]}
		n.probe.sequence = n.ping(now, i)
	}
	n.tryLost(now)
}

// nextTarget goes round the others in a shuffled order, as SWIM has it. Ours: the order is of distances between
// numbers, shuffled anew for each round by the fleet's name, and clocks tell the place in it. So in each interval
// every member is probed by one other, where orders of their own leave a member unprobed for 4.6 intervals once in a
// hundred. Clocks that differ take that away and nothing else. Where the target is out of service, any other is
// probed: its own prober may be among the dead.
func (n *Node) nextTarget(now time.Duration) int {
	if len(n.order) == 0 {
		return -1
	}
	slot := uint64(now / n.cfg.Interval)
	if round := slot / uint64(len(n.order)); round != n.round {
		n.shuffle(round)
	}
	i := (n.cfg.Self + n.distances[slot%uint64(len(n.order))]) % len(n.members)
	if n.members[i].state.Serves() {
		return i
	}
	return n.someone(-1)
}

func (n *Node) shuffle(round uint64) {
	n.round = round
	for k := range n.distances {
		n.distances[k] = k + 1
	}
	rnd := rand.New(rand.NewPCG(uint64(n.fleet), round))
	rnd.Shuffle(len(n.distances), func(a, b int) {
		n.distances[a], n.distances[b] = n.distances[b], n.distances[a]
	})
}

// nextProbe is the next own moment of an interval: members do not probe in step, and one that was late is back in
// its slot.
func (n *Node) nextProbe(now time.Duration) time.Duration {
	interval := n.cfg.Interval
	at := now/interval*interval + n.phase
	if at <= now {
		at += interval
	}
	return at + interval*time.Duration(n.health)
}

// tryLost pings one member a round that is out of service: so a cut that healed is noticed, and one that came back
// while nobody heard it.
func (n *Node) tryLost(now time.Duration) {
	if n.serving == len(n.members) {
		return
	}
	for range n.members {
		n.reach = (n.reach + 1) % len(n.members)
		if n.reach != n.cfg.Self && !n.members[n.reach].state.Serves() {
			n.ping(now, n.reach)
			return
		}
	}
}

// ping sends one and returns its sequence number.
func (n *Node) ping(now time.Duration, to int) uint32 {
	n.sequence++
	if to >= 0 {
		n.send(now, membershippb.Kind_KIND_PING, to, n.sequence, -1, 0)
	}
	return n.sequence
}

func (n *Node) askHelpers(now time.Duration) {
	p := &n.probe
	for range helpers {
		if h := n.someone(p.target); h >= 0 && !slices.Contains(p.asked, h) {
			p.asked = append(p.asked, h)
			n.send(now, membershippb.Kind_KIND_PING_REQ, h, p.sequence, p.target, 0)
		}
	}
	n.send(now, membershippb.Kind_KIND_PING, p.target, p.sequence, -1, 0) // once more: the first may just have been lost
}

// answered ends the probe well.
func (n *Node) answered() {
	n.probe.open = false
	n.worsen(-1)
}

// failed ends it in vain. Where no helper said anything at all, the fault may well be here, and that speaks against the
// own health. Ours: Lifeguard counts each helper that is silent; where most members die at once that slowed down the
// others until they reported nothing for minutes.
func (n *Node) failed(now time.Duration) {
	p := &n.probe
	p.open = false
	n.counts.ProbesFailed++
	if len(p.nacked) == 0 {
		n.worsen(2)
	}
	if n.members[p.target].state.Serves() {
		n.suspectFirstHand(now, p.target, p.nacked)
	}
}

// took takes an ACK, direct (subject < 0) or relayed.
func (n *Node) took(now time.Duration, from int, sequence uint32, subject int, incarnation uint64) {
	if subject >= 0 {
		if subject == n.cfg.Self {
			return
		}
		if m := &n.members[subject]; incarnation > m.incarnation {
			n.set(now, subject, Alive, incarnation, from, m.incarnation == 0 && m.state == Alive)
		}
	} else {
		subject = from
		n.members[from].acked = now
		n.relayed(now, from, sequence)
	}
	if n.probe.open && n.probe.sequence == sequence && n.probe.target == subject {
		n.members[subject].acked = now
		n.answered()
	}
}

// nack takes a helper's negative answer.
func (n *Node) nack(from int, sequence uint32) {
	p := &n.probe
	if !p.open || p.sequence != sequence || !slices.Contains(p.asked, from) || slices.Contains(p.nacked, from) {
		return
	}
	p.nacked = append(p.nacked, from)
}

// help probes a member on behalf of another.
func (n *Node) help(now time.Duration, origin int, sequence uint32, subject int) {
	if len(n.relays) == mostRelays {
		n.relays = append(n.relays[:0], n.relays[1:]...) // the oldest is nearest its end
	}
	wait := n.cfg.Timeout / 2 // so that the negative answer is there before the probe fails
	n.relays = append(n.relays, relay{origin: origin, subject: subject, originSeq: sequence,
		ownSequence: n.ping(now, subject), nackAt: now + wait, endAt: now + n.cfg.Interval})
}

// relayed passes an answer on to the member who asked for it.
func (n *Node) relayed(now time.Duration, from int, sequence uint32) {
	for k := range n.relays {
		if r := n.relays[k]; r.ownSequence == sequence && r.subject == from {
			n.relays = append(n.relays[:k], n.relays[k+1:]...)
			n.send(now, membershippb.Kind_KIND_ACK, r.origin, r.originSeq, from, n.members[from].incarnation)
			return
		}
	}
}

func (n *Node) tickRelays(now time.Duration) {
	for k := 0; k < len(n.relays); {
		r := &n.relays[k]
		if r.nackAt > 0 && now >= r.nackAt {
			r.nackAt = 0
			n.send(now, membershippb.Kind_KIND_NACK, r.origin, r.originSeq, r.subject, 0)
		}
		if now >= r.endAt {
			n.relays = append(n.relays[:k], n.relays[k+1:]...)
			continue
		}
		k++
	}
}
