package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// Node is one member of the protocol. It is not safe for concurrent use.
type Node struct {
	cfg             Config
	fleet           uint32 // Config.fleetID
	rnd             *rand.Rand
	numbers         map[netip.AddrPort]int // member numbers by address
	members         []member
	others          []int // all member numbers but the own
	serving         int   // members in service, this one included
	digest          uint32
	retransmitLimit int16 // retransmits of an update
	healthScore     int   // Lifeguard's local health multiplier, less 1
	counts          Counts
	budget          byteBudget

	started    bool
	startedAt  time.Duration
	left       bool
	nextTickAt time.Duration // as returned by Next; 0 before Start

	// Probes. See probe.go.
	probe                  probe
	probeOffsets           []int // from the own number to the targets of a round, shuffled
	probeRound             uint64
	probePhase             time.Duration // time of the own probes within an interval
	nextProbeAt            time.Duration
	lastOutOfServiceProbed int
	relayedProbes          []relayedProbe

	// Suspicions. See suspicion.go.
	suspects          []int
	nextSuspectPingAt time.Duration // no suspect is pinged before

	// Gossip. See broadcast.go, gossip.go and extension.go.
	broadcasts         broadcastQueue
	nextGossipAt       time.Duration // 0 = nothing to send
	lastUpdatesSentAt  time.Duration // in a round of gossip
	lastUpdateQueuedAt time.Duration
	notices            []int         // members to be notified of their own state
	nextExtensionsAt   time.Duration // of the next datagram that carries extensions alone; 0 = none

	// Exchange of the full state. See sync.go.
	syncRequests      []syncRequest
	lastSyncChunkAt   time.Duration
	lastSyncRequestAt time.Duration
	synced            bool // a chunk of another member's state has arrived

	// Memory that is reused by each call.
	sequence           uint32
	outgoing, incoming membershippb.Datagram
	buffers            [][]byte
	datagrams          []Datagram
	events             []Event
}

// New returns a Node that presumes every peer alive until it learns otherwise. It returns an error that wraps a
// *ConfigError if the Config is invalid.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n := &Node{
		cfg:             cfg,
		fleet:           cfg.fleetID(),
		rnd:             rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		numbers:         make(map[netip.AddrPort]int, len(cfg.Peers)),
		members:         make([]member, len(cfg.Peers)),
		serving:         len(cfg.Peers),
		retransmitLimit: int16(retransmitLimit(len(cfg.Peers))),
		budget:          newByteBudget(cfg),
	}
	n.broadcasts.init(len(cfg.Peers))
	for i, peer := range cfg.Peers {
		n.numbers[peer] = i
		n.members[i] = member{state: Alive, reportedBy: noMember}
		if i != cfg.Self {
			n.others = append(n.others, i)
		}
	}
	n.probeOffsets = make([]int, len(n.others))
	n.lastOutOfServiceProbed = n.rnd.IntN(len(cfg.Peers))
	return n, nil
}

// Start begins the protocol. Until then Tick, Receive and Leave do nothing.
//
// In this and all other calls now is the time since the Unix epoch, and never decreases. The incarnation is the time in
// seconds, so that a member that restarts without stored state overrides the updates on its former incarnation at once;
// where its clock was set back it is notified of the former incarnation and goes beyond it.
func (n *Node) Start(now time.Duration) {
	n.reset()
	n.started, n.startedAt = true, now
	n.members[n.cfg.Self].incarnation = max(1, uint64(now/time.Second))
	n.queueUpdate(now, n.cfg.Self, startRetransmits)
	n.shuffleProbeOrder(n.probeRound)
	for range min(startPings, len(n.others)) {
		n.ping(now, n.randomMember(noMember))
	}
	n.probePhase = time.Duration(n.rnd.Int64N(int64(n.cfg.Interval)))
	n.nextProbeAt = n.nextProbeTime(now)
	if n.cfg.ExtensionInterval > 0 && len(n.cfg.Extensions) > 0 {
		n.nextExtensionsAt = now + time.Duration(n.rnd.Int64N(int64(n.cfg.ExtensionInterval))) + 1
	}
	n.scheduleNextTick(now)
}

// Tick does what is due. It is to be called at the time that Next returns; an earlier call does no harm.
func (n *Node) Tick(now time.Duration) {
	if !n.started {
		return
	}
	n.reset()
	n.compensatePause(now)
	n.tickProbe(now)
	n.tickRelayedProbes(now)
	n.tickSuspicions(now)
	n.tickGossip(now)
	n.tickExtensions(now)
	n.scheduleNextTick(now)
}

// Receive handles a datagram that came from an address. An invalid one is counted and dropped.
func (n *Node) Receive(now time.Duration, from netip.AddrPort, b []byte) {
	n.reset()
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

// SetTimeouts sets Config.Timeout and Config.Suspect while the protocol runs; 0 means the default. If one is invalid it
// returns an error that wraps a *ConfigError, and changes nothing.
func (n *Node) SetTimeouts(timeout, suspect time.Duration) error {
	next := n.cfg
	next.ProbeTimeout, next.SuspicionTimeout = timeout, suspect
	if err := next.validate(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.cfg = next
	return nil
}

// Leave announces that this member goes out of service. It still answers probes until the process ends.
func (n *Node) Leave(now time.Duration) {
	if n.left || !n.started {
		return
	}
	n.reset()
	n.left = true
	n.probe.pending = false // a leaving member suspects nobody
	n.broadcastState(now, n.cfg.Self, Left, n.members[n.cfg.Self].incarnation, n.cfg.Self)
	for range min(leavePings, len(n.others)) {
		n.sendGossip(now, n.randomMember(noMember))
	}
	n.scheduleNextTick(now)
}

// Datagrams returns those that the last call wants sent, valid until the next call.
func (n *Node) Datagrams() []Datagram { return n.datagrams }

// Events returns those of the last call, valid until the next call.
func (n *Node) Events() []Event { return n.events }

// NextTick returns the time at which Tick must be called; 0 before Start.
func (n *Node) NextTick() time.Duration { return n.nextTickAt }

// NumInService returns the number of members in service, this one included unless it leaves.
func (n *Node) NumInService() int { return n.serving }

// Member returns the state of a member and its incarnation, which is 0 if it was never heard of.
func (n *Node) Member(i int) (State, uint64) { return n.members[i].state, n.members[i].incarnation }

// HealthScore returns the local health score of Lifeguard: 0 is healthy, 4 the worst. Probes slow down with it.
func (n *Node) HealthScore() int { return n.healthScore }

// Counts returns the totals since New.
func (n *Node) Counts() Counts { return n.counts }

// reset drops the datagrams and events of the last call.
func (n *Node) reset() { n.datagrams, n.events = n.datagrams[:0], n.events[:0] }

// randomMember returns a random member in service other than this one and exclude, preferably not a suspect; noMember if
// there is none.
func (n *Node) randomMember(exclude int) int {
	if len(n.others) == 0 {
		return noMember
	}
	eligible := func(i int) bool { return i != exclude && n.members[i].state.InService() }
	const attempts = 4 // draws before all members are searched
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
