package simulation

import (
	"time"

	"frostpier/internal/control/membership"
)

// socketBuffer is the number of datagrams that the socket of a paused member buffers; further ones are dropped.
const socketBuffer = 1000

// bufferedDatagram is a datagram that arrived at a paused member.
type bufferedDatagram struct {
	from int
	b    []byte
}

// transmit sends a datagram over the simulated network, which may drop, duplicate, delay and reorder it.
func (f *Fleet) transmit(from int, d membership.Datagram) {
	f.Sent[from]++
	f.SentBytes[from] += len(d.Bytes)
	if f.Drops != nil && f.Drops(from, d.To) {
		return
	}
	copies := 1
	if f.Duplication > 0 && f.rnd.Float64() < f.Duplication {
		copies = 2
	}
	for range copies {
		if f.Loss > 0 && f.rnd.Float64() < f.Loss {
			continue
		}
		delay := f.DelayMin + time.Duration(f.rnd.Int64N(int64(f.DelayMax-f.DelayMin)+1))
		f.push(event{at: f.Now + delay, kind: eventArrival, to: d.To, from: from, b: append(f.buffer(), d.Bytes...)})
	}
}

// buffer returns an empty buffer for a datagram.
func (f *Fleet) buffer() []byte {
	k := len(f.freeBuffers) - 1
	if k < 0 {
		return make([]byte, 0, membership.MaxDatagramSize)
	}
	b := f.freeBuffers[k]
	f.freeBuffers = f.freeBuffers[:k]
	return b[:0]
}

// receive handles the arrival of a datagram, and makes its buffer available for reuse.
func (f *Fleet) receive(e event) {
	m := &f.Members[e.to]
	switch {
	case !m.Up:
	case !m.paused:
		f.deliver(e.to, e.from, e.b)
	case len(m.buffered) < socketBuffer:
		m.buffered = append(m.buffered, bufferedDatagram{e.from, append([]byte(nil), e.b...)})
	}
	f.freeBuffers = append(f.freeBuffers, e.b)
}

// deliver passes a datagram to a member's node.
func (f *Fleet) deliver(to, from int, b []byte) {
	f.step(to, func(now time.Duration) { f.Members[to].Node.Receive(now, f.addrs[from], b) })
}
