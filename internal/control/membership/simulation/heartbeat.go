package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// HeartbeatDetector is a heartbeat failure detector, the baseline with which the membership protocol is compared. Each
// member sends heartbeats to all others in a shuffled round-robin order, at a constant rate (for a fair comparison, the
// datagram rate of the protocol), and declares a member dead after a timeout of several rounds. It has no indirect probes,
// no suspicion and no gossip.
type HeartbeatDetector struct {
	cfg           membership.Config
	interval      time.Duration // between two heartbeats
	timeout       time.Duration // time without a heartbeat after which a member is declared dead
	rnd           *rand.Rand
	others        []int // all member numbers except the detector's, in the order of the current round
	nextReceiver  int   // index in others
	lastContactAt []time.Duration
	dead          []bool
	memberByAddr  map[netip.AddrPort]int // member numbers by address
	nextSendAt    time.Duration
	sequence      uint64
	inService     int
	datagrams     []membership.Datagram
	events        []membership.Event
}

// NewHeartbeatDetector returns a detector that sends perSecond heartbeats a second, and declares a member dead after the
// given number of rounds without a heartbeat.
func NewHeartbeatDetector(cfg membership.Config, perSecond, rounds float64) *HeartbeatDetector {
	h := &HeartbeatDetector{
		cfg:           cfg,
		interval:      time.Duration(float64(time.Second) / perSecond),
		rnd:           rand.New(rand.NewPCG(cfg.Seed, 3)),
		lastContactAt: make([]time.Duration, len(cfg.Peers)),
		dead:          make([]bool, len(cfg.Peers)),
		memberByAddr:  map[netip.AddrPort]int{},
		inService:     len(cfg.Peers),
	}
	h.timeout = time.Duration(rounds * float64(h.interval) * float64(len(cfg.Peers)-1))
	for i, peer := range cfg.Peers {
		h.memberByAddr[peer] = i
		if i != cfg.Self {
			h.others = append(h.others, i)
		}
	}
	return h
}

// Start begins the heartbeats.
func (h *HeartbeatDetector) Start(now time.Duration) {
	for i := range h.lastContactAt {
		h.lastContactAt[i] = now
	}
	h.nextSendAt = now + time.Duration(h.rnd.Int64N(int64(h.interval)))
}

// Tick sends a heartbeat if one is due, and then declares members dead whose timeout has expired.
func (h *HeartbeatDetector) Tick(now time.Duration) {
	h.clearOutput()
	if now < h.nextSendAt {
		return
	}
	h.nextSendAt = now + h.interval
	h.sendNext()
	for _, i := range h.others {
		if !h.dead[i] && now-h.lastContactAt[i] > h.timeout {
			h.setDead(i, true)
		}
	}
}

// clearOutput discards the datagrams and events of the last call.
func (h *HeartbeatDetector) clearOutput() { h.datagrams, h.events = h.datagrams[:0], h.events[:0] }

// sendNext sends a heartbeat to the next member in the round.
func (h *HeartbeatDetector) sendNext() {
	if h.nextReceiver == 0 {
		h.rnd.Shuffle(len(h.others), func(a, b int) { h.others[a], h.others[b] = h.others[b], h.others[a] })
	}
	h.sequence++
	h.datagrams = append(h.datagrams, membership.Datagram{To: h.others[h.nextReceiver], Bytes: binary.AppendUvarint(nil, h.sequence)})
	h.nextReceiver = (h.nextReceiver + 1) % len(h.others)
}

// setDead marks a member dead or alive, and emits an event.
func (h *HeartbeatDetector) setDead(i int, dead bool) {
	was, is := membership.Alive, membership.Dead
	if dead {
		h.inService--
	} else {
		was, is = is, was
		h.inService++
	}
	h.dead[i] = dead
	h.events = append(h.events, membership.Event{Kind: membership.StateChanged, Member: i, OldState: was, NewState: is, ReportedBy: h.cfg.Self})
}

// Receive handles a heartbeat. The sender becomes alive if it was dead.
func (h *HeartbeatDetector) Receive(now time.Duration, from netip.AddrPort, _ []byte) {
	h.clearOutput()
	i := h.memberByAddr[from]
	h.lastContactAt[i] = now
	if h.dead[i] {
		h.setDead(i, false)
	}
}

// Leave does nothing: the baseline has no graceful leave.
func (h *HeartbeatDetector) Leave(time.Duration) { h.clearOutput() }

// NextTick returns the time of the next heartbeat.
func (h *HeartbeatDetector) NextTick() time.Duration { return h.nextSendAt }

// Datagrams returns the datagrams to send after the last call.
func (h *HeartbeatDetector) Datagrams() []membership.Datagram { return h.datagrams }

// Events returns the events of the last call.
func (h *HeartbeatDetector) Events() []membership.Event { return h.events }

// Member returns the state of a member. The incarnation is always 1.
func (h *HeartbeatDetector) Member(i int) (membership.State, uint64) {
	if h.dead[i] {
		return membership.Dead, 1
	}
	return membership.Alive, 1
}

// NumInService returns the number of members in service.
func (h *HeartbeatDetector) NumInService() int { return h.inService }

// CheckInvariants returns nil: the detector has no invariants.
func (h *HeartbeatDetector) CheckInvariants() error { return nil }
