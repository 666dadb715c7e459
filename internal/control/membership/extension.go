package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// tickExtensions sends a datagram that carries extensions alone to a random member, if one is due.
func (n *Node) tickExtensions(now time.Duration) {
	if n.nextExtensionsAt == 0 || now < n.nextExtensionsAt {
		return
	}
	n.nextExtensionsAt = now + n.cfg.ExtensionInterval
	if !n.budget.allowsExtensions(now) {
		n.counts.Postponed++
		return
	}
	if to := n.randomExtensionReceiver(); to != noMember && !n.left {
		n.sendGossip(now, to)
	}
}

// randomExtensionReceiver returns a random member in service other than this one, drawn by Config.Weights if any is above
// 0; noMember if there is none.
func (n *Node) randomExtensionReceiver() int {
	var weights []float64
	if n.cfg.ExtensionWeights != nil {
		weights = n.cfg.ExtensionWeights()
	}
	if weights == nil {
		return n.randomMember(noMember)
	}
	sum := n.sumWeights(weights)
	if !(sum > 0) { // also for NaN
		return n.randomMember(noMember)
	}
	remaining := n.rnd.Float64() * sum
	last := noMember
	for _, i := range n.others {
		w := n.weight(weights, i)
		if w <= 0 {
			continue
		}
		last = i
		remaining -= w
		if remaining < 0 {
			break
		}
	}
	return last
}

// sumWeights returns the sum of the weights of the members in service.
func (n *Node) sumWeights(weights []float64) (sum float64) {
	for _, i := range n.others {
		sum += n.weight(weights, i)
	}
	return sum
}

// weight returns the weight of a member; 0 if it is out of service or has none.
func (n *Node) weight(weights []float64, member int) float64 {
	if member >= len(weights) || !n.members[member].state.InService() {
		return 0
	}
	return max(0, weights[member])
}

// payloadOverhead is the size in bytes of a payload beside its body: two tags, two lengths and the kind.
const payloadOverhead = 10

// appendExtensions offers the room left in a datagram to the extensions, in the order of Config.Extensions.
func (n *Node) appendExtensions(now time.Duration, w *datagramWriter, to int) {
	for _, extension := range n.cfg.Extensions {
		room := w.remaining - payloadOverhead
		if room <= 0 {
			return
		}
		body := extension.Append(now, to, room, nil)
		if len(body) == 0 || len(body) > room {
			continue
		}
		w.remaining -= len(body) + payloadOverhead
		w.datagram.Payload = append(w.datagram.Payload, &membershippb.Payload{Kind: extension.Kind(), Body: body})
	}
}

// deliverExtensions emits an event for each extension message of a registered kind.
func (n *Node) deliverExtensions(from int, d *membershippb.Datagram) {
	for _, payload := range d.Payload {
		for _, extension := range n.cfg.Extensions {
			if extension.Kind() == payload.GetKind() {
				n.events = append(n.events, Event{Kind: ExtensionReceived, Member: from, ReportedBy: from,
					ExtensionKind: payload.GetKind(), Body: payload.GetBody()})
			}
		}
	}
}
