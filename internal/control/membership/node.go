package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// State is what is held of a member.
type State uint8

// The states, in the order in which one overrides another of the same incarnation.
const (
	None    State = iota // no state
	Alive                // in service; at incarnation 0 presumed from the configuration, not heard of yet
	Suspect              // gave no answer; in service until the suspicion ends
	Dead                 // declared dead
	Left                 // said itself that it leaves
)

// String names a state as the log does.
func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "dead", "left", "", "", ""}[s&7]
}

// Serves reports whether a member in this state counts as in service.
func (s State) Serves() bool { return s == Alive || s == Suspect }

// EventKind says what an Event tells.
type EventKind uint8

// The kinds of events.
const (
	Changed           EventKind = iota // a member's state changed
	Refuted                            // this member told others that rumours about it are wrong
	ExtensionReceived                  // an Extension's message arrived
)

// Event is something that the host may want to know.
type Event struct {
	Kind          EventKind
	Member        int    // the member it is about; the sender of an extension message
	Was, Is       State  // of Changed
	Incarnation   uint64 // of Changed and Refuted
	By            int    // the member who found it out, -1 where unknown
	ExtensionKind uint32 // of ExtensionReceived: the kind of the Extension ...
	Body          []byte // ... and its message, valid until the next call
}

// Datagram is one that is to be sent.
type Datagram struct {
	To    int    // the member's number
	Bytes []byte // valid until the next call
}

// Counts are totals since the start. What was dropped was not believed in any part.
type Counts struct {
	Sent, Received           uint64 // datagrams
	SentBytes, ReceivedBytes uint64
	Probes, ProbesFailed     uint64
	Suspected, Refuted       uint64 // members by this one; rumours about this one
	Late                     uint64 // times that this member itself was found to have paused
	Syncs                    uint64 // times that the whole state was asked for
	Postponed                uint64 // rounds of gossip, and datagrams for extensions, that the budget of bytes put off
	Strangers                uint64 // dropped: from an address of no peer, or numbered as another
	Oversize                 uint64 // dropped: too long
	Malformed                uint64 // dropped: checksum or form
	OtherFleet               uint64 // dropped: of another fleet
	TooNew                   uint64 // dropped: says that this version cannot read it
	Unknown                  uint64 // kinds, states and numbers that were skipped
}

// member is what is held of one.
type member struct {
	state       State
	incarnation uint64
	by          int32         // who found the state out
	repeats     int16         // how often its rumour is still to be passed on; it is queued while above 0
	contactedAt time.Duration // when its last datagram came
	acked       time.Duration // when it last answered
	noticed     time.Duration // when it was last sent a notice
	behind      bool          // its last datagram named an incarnation before the one that is held
	suspicion
}

// Node is one member's side of the protocol. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	fleet   uint32
	rnd     *rand.Rand
	byAddr  map[netip.AddrPort]int
	members []member
	serving int // members in service, this one included
	digest  uint32
	limit   int16 // repeats of a rumour
	health  int
	counts  Counts
	budget  byteBudget

	started      time.Duration
	leaving      bool
	begun        bool
	due          time.Duration // of the next wait, as told by the last call
	order        []int         // the other members
	distances    []int         // from the own number to the targets of a round, shuffled
	round        uint64
	phase        time.Duration // place of the own probes in an interval
	probeAt      time.Duration
	extensionsAt time.Duration // of the next datagram for the extensions; 0 = there is none
	probe        probe
	relays       []relay
	suspects     []int         // members under suspicion
	callAt       time.Duration // no ping of a suspect before this
	reach        int           // place in the members of the last try to reach one that is out of service

	updates     queue
	gossipAt    time.Duration // 0 = nothing to pass on
	gossipedAt  time.Duration // when updates were last sent in a round
	updatedAt   time.Duration // when there was last something new
	notices     []int
	askers      []asker
	pieceSentAt time.Duration // when a piece of the whole state was last sent
	askedAt     time.Duration // when the whole state was last asked for
	synced      bool

	sequence uint32
	enc, dec membershippb.Datagram
	bufs     [][]byte
	out      []Datagram
	events   []Event
}

// New makes a Node that presumes every peer alive until it learns otherwise.
func New(cfg Config) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n := &Node{cfg: cfg, fleet: cfg.fleetID(), rnd: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		byAddr: make(map[netip.AddrPort]int, len(cfg.Peers)), members: make([]member, len(cfg.Peers)),
		serving: len(cfg.Peers), limit: int16(repeats(len(cfg.Peers))), budget: newByteBudget(cfg)}
	n.updates.init(len(cfg.Peers))
	for i, p := range cfg.Peers {
		n.byAddr[p] = i
		n.members[i] = member{state: Alive, by: -1}
		if i != cfg.Self {
			n.order = append(n.order, i)
		}
	}
	n.distances = make([]int, len(n.order))
	n.reach = n.rnd.IntN(len(cfg.Peers))
	return n, nil
}

// Start begins the protocol. The incarnation is the time in seconds, so that a member that starts again from nothing
// beats the rumours about its former self at once; where its clock stepped back it learns of them and goes beyond.
// now is the time since the Unix epoch, as in every call; it never runs backwards.
func (n *Node) Start(now time.Duration) {
	n.reset()
	n.begun, n.started = true, now
	n.members[n.cfg.Self].incarnation = max(1, uint64(now/time.Second))
	n.queueUpdate(now, n.cfg.Self, startRepeats)
	n.shuffle(n.round)
	for range min(startPings, len(n.order)) {
		n.ping(now, n.someone(-1))
	}
	n.phase = time.Duration(n.rnd.Int64N(int64(n.cfg.Interval)))
	n.probeAt = n.nextProbe(now)
	if n.cfg.ExtensionInterval > 0 && len(n.cfg.Extensions) > 0 {
		n.extensionsAt = now + time.Duration(n.rnd.Int64N(int64(n.cfg.ExtensionInterval))) + 1
	}
	n.plan(now)
}

// Tick does what is due. It is called when the time of Next has come; earlier does no harm.
func (n *Node) Tick(now time.Duration) {
	if !n.begun {
		return
	}
	n.reset()
	n.noteLate(now)
	n.tickProbe(now)
	n.tickRelays(now)
	n.tickSuspicions(now)
	n.tickGossip(now)
	n.tickExtensions(now)
	n.plan(now)
}

// Adjust sets the times that may change while the protocol runs; 0 means the default. Those that make no sense change
// nothing.
func (n *Node) Adjust(timeout, suspect time.Duration) error {
	next := n.cfg
	next.Timeout, next.Suspect = timeout, suspect
	if err := next.check(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.cfg = next
	return nil
}

// Leave tells the others that this member goes out of service. It goes on answering until the process ends.
func (n *Node) Leave(now time.Duration) {
	if n.leaving || !n.begun {
		return
	}
	n.reset()
	n.leaving, n.probe.open = true, false // who leaves accuses nobody any more
	n.set(now, n.cfg.Self, Left, n.members[n.cfg.Self].incarnation, n.cfg.Self, false)
	for range min(leavePings, len(n.order)) {
		n.send(now, membershippb.Kind_KIND_GOSSIP, n.someone(-1), 0, -1, 0)
	}
	n.plan(now)
}

// Datagrams are those that the last call wants sent; they are valid until the next call.
func (n *Node) Datagrams() []Datagram { return n.out }

// Events are those of the last call; they are valid until the next.
func (n *Node) Events() []Event { return n.events }

// Next is when Tick wants to be called.
func (n *Node) Next() time.Duration { return n.due }

// InService is how many members are held to be in service, this one included while it does not leave.
func (n *Node) InService() int { return n.serving }

// Members is how many members the configuration names.
func (n *Node) Members() int { return len(n.members) }

// Member returns what is held of a member: its state and its incarnation, 0 where it was never heard of.
func (n *Node) Member(i int) (State, uint64) { return n.members[i].state, n.members[i].incarnation }

// Health is the local health figure of Lifeguard: 0 is well, 4 the worst. Probes slow down with it.
func (n *Node) Health() int { return n.health }

// Counts are totals since the start.
func (n *Node) Counts() Counts { return n.counts }

// Digest is a figure that two members share when they hold the same members in service, dead and left.
func (n *Node) Digest() uint32 { return n.digest }

func (n *Node) reset() { n.out, n.events = n.out[:0], n.events[:0] }

// noteLate guards against conclusions from an own pause: what this member missed meanwhile still waits in its
// socket. All waits are moved on by as much as this one ended late, and a little more for what waits to be read.
func (n *Node) noteLate(now time.Duration) {
	late := now - n.due
	if n.due == 0 || late <= n.cfg.part(graceShare) {
		return
	}
	if late > n.cfg.part(lateShare) {
		n.counts.Late++
		n.worsen(1)
	}
	shift := late + n.cfg.part(graceShare)
	n.probe.shift(shift)
	for _, i := range n.suspects {
		m := &n.members[i]
		m.began += shift
		if m.callFrom > 0 {
			m.callFrom += shift
		}
	}
	for i := range n.relays {
		n.relays[i].nackAt += shift
		n.relays[i].endAt += shift
	}
}

func (n *Node) worsen(by int) { n.health = min(mostHealth, max(0, n.health+by)) }

// plan works out the next wait.
func (n *Node) plan(now time.Duration) {
	due := n.probeAt
	earlier := func(t time.Duration) {
		if t > 0 && t < due {
			due = t
		}
	}
	earlier(n.probe.next())
	earlier(n.gossipAt)
	earlier(n.extensionsAt)
	for i := range n.relays {
		earlier(n.relays[i].next())
	}
	for _, i := range n.suspects {
		earlier(n.suspicionDue(i))
	}
	n.due = max(due, now)
}

// someone is a random member in service other than this one and besides, rather not one under suspicion; -1 if there is none.
func (n *Node) someone(besides int) int {
	if len(n.order) == 0 {
		return -1
	}
	fits := func(i int) bool { return i != besides && n.members[i].state.Serves() }
	for range 4 {
		if i := n.order[n.rnd.IntN(len(n.order))]; fits(i) && n.members[i].state == Alive {
			return i
		}
	}
	from := n.rnd.IntN(len(n.order))
	for k := range n.order {
		if i := n.order[(from+k)%len(n.order)]; fits(i) {
			return i
		}
	}
	return -1
}
