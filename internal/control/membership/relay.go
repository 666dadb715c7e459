package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// relayedProbe is an indirect probe: this member pings the subject on behalf of the origin (SWIM section 3.1).
type relayedProbe struct {
	origin, subject             int
	originSequence, ownSequence uint32
	nackAt                      time.Duration // when a NACK is due; 0 = already sent
	expiresAt                   time.Duration
}

// nextTickAt returns the time of the earliest timer.
func (r *relayedProbe) nextTickAt() time.Duration {
	if r.nackAt > 0 {
		return r.nackAt
	}
	return r.expiresAt
}

// postpone delays the timers. It must not change nackAt after the NACK was sent, or the NACK would be sent again.
func (r *relayedProbe) postpone(delay time.Duration) {
	if r.nackAt > 0 {
		r.nackAt += delay
	}
	r.expiresAt += delay
}

// relayProbe handles a PING_REQ by pinging the subject on behalf of the origin.
func (n *Node) relayProbe(now time.Duration, origin int, sequence uint32, subject int) {
	if len(n.relayedProbes) == maxRelayedProbes {
		n.removeRelayedProbe(0) // the oldest, which expires first
	}
	nackDelay := n.cfg.ProbeTimeout / 2 // so that the NACK arrives before the probe of the origin fails
	n.relayedProbes = append(n.relayedProbes, relayedProbe{
		origin:         origin,
		subject:        subject,
		originSequence: sequence,
		ownSequence:    n.ping(now, subject),
		nackAt:         now + nackDelay,
		expiresAt:      now + n.cfg.Interval,
	})
}

// relayAck forwards an ACK that answers an indirect probe to the origin of the probe. It ignores other ACKs.
func (n *Node) relayAck(now time.Duration, from int, sequence uint32) {
	for k := range n.relayedProbes {
		r := n.relayedProbes[k]
		if r.ownSequence == sequence && r.subject == from {
			n.removeRelayedProbe(k)
			n.send(now, membershippb.Kind_KIND_ACK, r.origin, r.originSequence, from, n.members[from].incarnation)
			return
		}
	}
}

// tickRelayedProbes sends the NACKs that are due, and removes expired indirect probes.
func (n *Node) tickRelayedProbes(now time.Duration) {
	for k := 0; k < len(n.relayedProbes); {
		r := &n.relayedProbes[k]
		if r.nackAt > 0 && now >= r.nackAt {
			r.nackAt = 0
			n.send(now, membershippb.Kind_KIND_NACK, r.origin, r.originSequence, r.subject, 0)
		}
		if now >= r.expiresAt {
			n.removeRelayedProbe(k)
			continue
		}
		k++
	}
}

func (n *Node) removeRelayedProbe(k int) {
	n.relayedProbes = append(n.relayedProbes[:k], n.relayedProbes[k+1:]...)
}
