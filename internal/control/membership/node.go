package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// Node runs the membership protocol of one member. It is not safe for concurrent use.
type Node struct {
	cfg             Config
	fleet           uint32 // result of Config.fleetID
	rnd             *rand.Rand
	memberByAddr    map[netip.AddrPort]int // member numbers by address
	members         []member
	others          []int // all member numbers except Config.Self
	inService       int   // number of members in service, including this one unless it left
	digest          uint32
	retransmitLimit int16 // transmissions of an update
	healthScore     int   // Lifeguard's local health multiplier minus 1
	counts          Counts
	budget          byteBudget

	started    bool
	startedAt  time.Duration
	left       bool
	nextTickAt time.Duration // as returned by NextTick; 0 before Start

	// Probes. See probe.go.
	probe                  probe
	probeOffsets           []int // offsets from Config.Self to the targets of the round, shuffled
	probeRound             uint64
	probePhase             time.Duration // time within each interval at which this member probes
	nextProbeAt            time.Duration
	lastOutOfServicePinged int // member that pingOutOfService pinged last; random at first
	relayedProbes          []relayedProbe

	// Suspicions. See suspicion.go.
	suspects          []int
	nextSuspectPingAt time.Duration // earliest time of the next ping of any suspect

	// Gossip. See broadcast.go, gossip.go and extension.go.
	broadcasts         broadcastQueue
	nextGossipAt       time.Duration // time of the next round of gossip; 0 = none is scheduled
	lastUpdatesSentAt  time.Duration // when updates were last sent in a round of gossip
	lastUpdateQueuedAt time.Duration
	notices            []int         // members to be notified of their own state
	nextExtensionsAt   time.Duration // time of the next extension datagram; 0 = none is sent

	// Synchronization of the full state. See sync.go.
	syncRequests      []syncRequest
	lastSyncChunkAt   time.Duration
	lastSyncRequestAt time.Duration
	synced            bool // at least one chunk of another member's full state has arrived

	// Buffers that each call reuses, and the last sequence number.
	sequence           uint32
	outgoing, incoming membershippb.Datagram
	buffers            [][]byte
	datagrams          []Datagram
	events             []Event
}

// New returns a Node that presumes every peer alive until it learns otherwise. If the Config is invalid, the error wraps
// a *ConfigError.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n := &Node{
		cfg:             cfg,
		fleet:           cfg.fleetID(),
		rnd:             rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		memberByAddr:    make(map[netip.AddrPort]int, len(cfg.Peers)),
		members:         make([]member, len(cfg.Peers)),
		inService:       len(cfg.Peers),
		retransmitLimit: int16(retransmitLimit(len(cfg.Peers))),
		budget:          newByteBudget(cfg),
	}
	n.broadcasts.init(len(cfg.Peers))
	for i, peer := range cfg.Peers {
		n.memberByAddr[peer] = i
		n.members[i] = member{state: Alive, reportedBy: noMember}
		if i != cfg.Self {
			n.others = append(n.others, i)
		}
	}
	n.probeOffsets = make([]int, len(n.others))
	n.lastOutOfServicePinged = n.rnd.IntN(len(cfg.Peers))
	return n, nil
}

// Start begins the protocol. Until then Tick, Receive and Leave do nothing.
//
// In this and all other calls now is the time since the Unix epoch, and must not decrease. The incarnation is the start
// time in seconds, so that a member that restarts without stored state at once overrides updates about its former
// incarnation. If its clock was set back, the others notify it of the former incarnation, and it adopts a higher one.
func (n *Node) Start(now time.Duration) {
	n.clearOutput()
	n.started, n.startedAt = true, now
	n.members[n.cfg.Self].incarnation = max(1, uint64(now/time.Second))
	n.queueUpdate(now, n.cfg.Self, startupRetransmits)
	n.shuffleProbeOrder(n.probeRound)
	for range min(startupPings, len(n.others)) {
		n.ping(now, n.randomMember(noMember))
	}
	n.probePhase = time.Duration(n.rnd.Int64N(int64(n.cfg.Interval)))
	n.nextProbeAt = n.nextProbeTime(now)
	if n.cfg.ExtensionInterval > 0 && len(n.cfg.Extensions) > 0 {
		n.nextExtensionsAt = now + time.Duration(n.rnd.Int64N(int64(n.cfg.ExtensionInterval))) + 1
	}
	n.scheduleNextTick(now)
}

// Tick handles all expired timers. It must be called at the time that NextTick returns; calling it earlier is harmless.
func (n *Node) Tick(now time.Duration) {
	if !n.started {
		return
	}
	n.clearOutput()
	n.compensatePause(now)
	n.tickProbe(now)
	n.tickRelayedProbes(now)
	n.tickSuspicions(now)
	n.tickGossip(now)
	n.tickExtensions(now)
	n.scheduleNextTick(now)
}

// Receive handles a datagram that was received from an address. An invalid one is counted and dropped.
func (n *Node) Receive(now time.Duration, from netip.AddrPort, b []byte) {
	n.clearOutput()
	if !n.started {
		return
	}
	n.compensatePause(now)
	if sender, ok := n.decode(from, b); ok {
		n.counts.Received++
		n.counts.ReceivedBytes += uint64(len(b))
		n.handleDatagram(now, sender, &n.incoming)
	}
	n.scheduleNextTick(now)
}

// SetTimeouts sets Config.ProbeTimeout and Config.SuspicionTimeout while the protocol runs; 0 means the default. If one
// is invalid, it changes nothing and returns an error that wraps a *ConfigError.
func (n *Node) SetTimeouts(probeTimeout, suspicionTimeout time.Duration) error {
	next := n.cfg
	next.ProbeTimeout, next.SuspicionTimeout = probeTimeout, suspicionTimeout
	if err := next.validate(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.cfg = next
	return nil
}

// Leave announces that this member goes out of service. The member still answers probes until its process exits.
func (n *Node) Leave(now time.Duration) {
	if n.left || !n.started {
		return
	}
	n.clearOutput()
	n.left = true
	n.probe.pending = false // a leaving member suspects nobody
	n.broadcastState(now, n.cfg.Self, Left, n.members[n.cfg.Self].incarnation, n.cfg.Self)
	for range min(leaveGossips, len(n.others)) {
		n.sendGossip(now, n.randomMember(noMember))
	}
	n.scheduleNextTick(now)
}

// Datagrams returns the datagrams to send after the last call. The slice is valid until the next call.
func (n *Node) Datagrams() []Datagram { return n.datagrams }

// Events returns the events of the last call. The slice is valid until the next call.
func (n *Node) Events() []Event { return n.events }

// NextTick returns the time at which Tick must be called next, or 0 before Start.
func (n *Node) NextTick() time.Duration { return n.nextTickAt }

// NumInService returns the number of members in service, including this one unless it left.
func (n *Node) NumInService() int { return n.inService }

// Member returns the state and the incarnation of a member. The incarnation is 0 if nothing was heard of the member yet.
func (n *Node) Member(i int) (State, uint64) { return n.members[i].state, n.members[i].incarnation }

// HealthScore returns Lifeguard's local health score, from 0 (healthy) to 4. Probes slow down as it rises.
func (n *Node) HealthScore() int { return n.healthScore }

// Counts returns the counters since New.
func (n *Node) Counts() Counts { return n.counts }

// clearOutput discards the datagrams and events of the last call.
func (n *Node) clearOutput() { n.datagrams, n.events = n.datagrams[:0], n.events[:0] }

// randomMember returns a random member in service other than this one and exclude, preferably one that is not suspected,
// or noMember if there is none.
func (n *Node) randomMember(exclude int) int {
	if len(n.others) == 0 {
		return noMember
	}
	eligible := func(i int) bool { return i != exclude && n.members[i].state.InService() }
	const attempts = 4 // random draws before a linear search
	for range attempts {
		i := n.others[n.rnd.IntN(len(n.others))]
		if eligible(i) && n.members[i].state == Alive {
			return i
		}
	}
	offset := n.rnd.IntN(len(n.others))
	for k := range n.others {
		if i := n.others[(offset+k)%len(n.others)]; eligible(i) {
			return i
		}
	}
	return noMember
}
