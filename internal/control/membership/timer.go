package membership

import "time"

// scheduleNextTick sets nextTickAt to the time of the earliest timer.
func (n *Node) scheduleNextTick(now time.Duration) {
	earliest := n.nextProbeAt
	consider := func(timer time.Duration) {
		if timer > 0 && timer < earliest {
			earliest = timer
		}
	}
	consider(n.probe.nextTickAt())
	consider(n.nextGossipAt)
	consider(n.nextExtensionsAt)
	for i := range n.relayedProbes {
		consider(n.relayedProbes[i].nextTickAt())
	}
	for _, i := range n.suspects {
		consider(n.nextSuspicionTimer(i))
	}
	n.nextTickAt = max(earliest, now)
}

// compensatePause prevents suspicions caused by a pause of this process: answers that arrived during the pause may still
// be in the socket buffer. It postpones all timers by the delay of this call plus a grace period for reading the socket.
func (n *Node) compensatePause(now time.Duration) {
	late := now - n.nextTickAt
	grace := n.cfg.intervals(pauseGraceIntervals)
	if n.nextTickAt == 0 || late <= grace {
		return
	}
	if late > n.cfg.intervals(unhealthyPauseIntervals) {
		n.counts.Late++
		n.adjustHealth(1)
	}
	delay := late + grace
	n.probe.postpone(delay)
	for _, i := range n.suspects {
		n.members[i].suspicion.postpone(delay)
	}
	for i := range n.relayedProbes {
		n.relayedProbes[i].postpone(delay)
	}
}

// adjustHealth adds delta to the local health score, within its bounds (Lifeguard section IV-A).
func (n *Node) adjustHealth(delta int) {
	n.healthScore = min(maxHealthScore, max(0, n.healthScore+delta))
}

// scaleByHealth multiplies a duration by the local health multiplier (Lifeguard section IV-A).
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.healthScore)
}
