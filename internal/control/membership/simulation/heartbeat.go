package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Heartbeat is the baseline that the protocol is compared with: a plain heartbeat detector with the same budget of
// datagrams. Each member goes round all others in a shuffled order, so many a second, and holds one dead that it has
// not heard for some rounds. It has no helpers, no suspicion and no rumours.
type Heartbeat struct {
	cfg         membership.Config
	every       time.Duration // between two heartbeats
	silent      time.Duration // after which a member is held dead
	rnd         *rand.Rand
	order       []int
	at          int
	contactedAt []time.Duration
	dead        []bool
	byAddr      map[netip.AddrPort]int
	due         time.Duration
	serial      uint64
	out         []membership.Datagram
	events      []membership.Event
	alive       int
}

// NewHeartbeat makes one that sends so many datagrams a second and holds a member dead after so many silent rounds.
func NewHeartbeat(cfg membership.Config, perSecond, rounds float64) *Heartbeat {
	h := &Heartbeat{cfg: cfg, every: time.Duration(float64(time.Second) / perSecond),
		rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), contactedAt: make([]time.Duration, len(cfg.Peers)),
		dead: make([]bool, len(cfg.Peers)), byAddr: map[netip.AddrPort]int{}, alive: len(cfg.Peers)}
	h.silent = time.Duration(rounds * float64(h.every) * float64(len(cfg.Peers)-1))
	for i, p := range cfg.Peers {
		h.byAddr[p] = i
		if i != cfg.Self {
			h.order = append(h.order, i)
		}
	}
	return h
}

// Start begins the heartbeats.
func (h *Heartbeat) Start(now time.Duration) {
	for i := range h.contactedAt {
		h.contactedAt[i] = now
	}
	h.due = now + time.Duration(h.rnd.Int64N(int64(h.every)))
}

// Tick sends the next heartbeat and looks for who is silent.
func (h *Heartbeat) Tick(now time.Duration) {
	h.out, h.events = h.out[:0], h.events[:0]
	if now < h.due {
		return
	}
	h.due = now + h.every
	if h.at == 0 {
		h.rnd.Shuffle(len(h.order), func(a, b int) { h.order[a], h.order[b] = h.order[b], h.order[a] })
	}
	h.serial++
	h.out = append(h.out, membership.Datagram{To: h.order[h.at], Bytes: binary.AppendUvarint(nil, h.serial)})
	h.at = (h.at + 1) % len(h.order)
	for _, i := range h.order {
		if !h.dead[i] && now-h.contactedAt[i] > h.silent {
			h.change(i, true)
		}
	}
}

func (h *Heartbeat) change(i int, dead bool) {
	was, is := membership.Alive, membership.Dead
	if h.dead[i] = dead; !dead {
		was, is = is, was
		h.alive++
	} else {
		h.alive--
	}
	h.events = append(h.events, membership.Event{Kind: membership.Changed, Member: i, Was: was, Is: is, By: h.cfg.Self})
}

// Receive takes a heartbeat.
func (h *Heartbeat) Receive(now time.Duration, from netip.AddrPort, _ []byte) {
	h.out, h.events = h.out[:0], h.events[:0]
	i := h.byAddr[from]
	h.contactedAt[i] = now
	if h.dead[i] {
		h.change(i, false)
	}
}

// Leave does nothing: the baseline knows no leaving.
func (h *Heartbeat) Leave(time.Duration) { h.out, h.events = h.out[:0], h.events[:0] }

// Next is when the next heartbeat goes out.
func (h *Heartbeat) Next() time.Duration { return h.due }

// Datagrams are those of the last call.
func (h *Heartbeat) Datagrams() []membership.Datagram { return h.out }

// Events are those of the last call.
func (h *Heartbeat) Events() []membership.Event { return h.events }

// Member returns what is held of a member.
func (h *Heartbeat) Member(i int) (membership.State, uint64) {
	if h.dead[i] {
		return membership.Dead, 1
	}
	return membership.Alive, 1
}

// InService is how many members are held to be in service.
func (h *Heartbeat) InService() int { return h.alive }

// Check finds nothing to check.
func (h *Heartbeat) Check() error { return nil }
