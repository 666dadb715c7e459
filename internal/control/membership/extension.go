package membership

import (
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// tickExtensions sends an extension datagram to a random member, if one is due and the byte budget allows it.
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

// randomExtensionReceiver returns a random member in service other than this one, drawn with Config.ExtensionWeights if
// any of them is above 0. It returns noMember if there is none.
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

// weight returns the weight of a member, or 0 if the member is out of service or has no weight.
func (n *Node) weight(weights []float64, member int) float64 {
	if member >= len(weights) || !n.members[member].state.InService() {
		return 0
	}
	return max(0, weights[member])
}

// payloadOverhead is the encoded size in bytes of a Payload without its body: two tags, two lengths and the kind.
const payloadOverhead = 10

// appendExtensions appends messages of the extensions, in the order of Config.Extensions, to the space left in a datagram.
func (n *Node) appendExtensions(now time.Duration, w *datagramWriter, to int) {
	for _, extension := range n.cfg.Extensions {
		maxBytes := w.remaining - payloadOverhead
		if maxBytes <= 0 {
			return
		}
		body := extension.Append(now, to, maxBytes, nil)
		if len(body) == 0 || len(body) > maxBytes {
			continue
		}
		w.remaining -= len(body) + payloadOverhead
		w.datagram.Payload = append(w.datagram.Payload, &membershippb.Payload{Kind: extension.Kind(), Body: body})
	}
}

// deliverExtensions emits an event for each extension message whose kind is registered.
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
