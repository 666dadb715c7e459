// Package membership keeps, at each gateway, a view of which gateways of the fleet are in service: a SWIM failure
// detector with gossip, and the Lifeguard extensions.
//
// A Node is a deterministic state machine. It is given the time and the datagrams received, and returns the datagrams
// to send, the events and the time of the next Tick. It opens no socket, reads no clock and starts no goroutine; every
// random draw comes from Config.Seed. It is not safe for concurrent use: one goroutine (the event loop of package
// datagram, or a simulation) makes all calls.
//
// Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002): sections 3.1 (probe, indirect probe), 4.1 (dissemination by piggybacking), 4.2 (suspicion) and
// 4.3 (round-robin probe targets). A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection" (2017): sections IV-A (local health multiplier, nack), IV-B (suspicion timeout shortened
// by confirmations) and IV-C (buddy system: a suspect is notified first). Deviations from the papers are marked
// "deviation" with their reason; docs/design/membership.md discusses them.
//
// Files: node.go (API, state), probe.go (direct and indirect probes), suspicion.go, table.go (state of the members,
// refutation), broadcast.go (queue of updates), gossip.go (rounds of gossip), extension.go (messages of other
// subsystems), sync.go (exchange of full state), encode.go and decode.go (datagrams), budget.go (bytes sent),
// invariants.go.
package membership

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"time"
)

// MaxDatagramSize is the upper bound in bytes of a datagram, extension messages included.
const MaxDatagramSize = 256

// MaxMembers is the upper bound of len(Config.Peers), and with it of every table.
const MaxMembers = 4096

// DefaultInterval is the default of Config.Interval, the protocol period T' of SWIM. A pause of 2 s must not look like a
// death, and the shortest suspicion lasts suspicionShare times the interval.
const DefaultInterval = 2 * time.Second

// Lower bounds of the intervals that a Config may set.
const (
	minInterval          = 100 * time.Millisecond
	minExtensionInterval = 50 * time.Millisecond
)

// Durations of a probe, as multiples of the interval.
const (
	directProbeShare    = 0.2  // until indirect probes are requested
	probeShare          = 0.5  // until the target is suspected
	pauseGraceShare     = 0.02 // by which a Tick may be late before all timers are postponed (deviation)
	unhealthyPauseShare = 0.25 // by which a Tick must be late to raise the local health score
)

// Durations of a suspicion, as multiples of the interval unless stated otherwise.
const (
	suspicionShare         = 1.75 // shortest suspicion timeout, so that the median detection takes three intervals
	maxSuspicionFactor     = 2.0  // longest suspicion timeout, without confirmations, as a multiple of the shortest
	gossipedSuspicionDelay = 1.6  // added by a member that only heard of the suspicion (deviation)
	suspectPingShare       = 0.15 // between two pings of a suspect before it is declared dead (deviation)
	minSuspectPingTime     = 1.0  // for which a suspect is pinged at least before it is declared dead (deviation)
)

// Counts of probes and suspicions.
const (
	indirectProbeFanout  = 3 // members asked for an indirect probe: k of SWIM section 3.1
	indirectProbeRounds  = 2 // requests for indirect probes, to other members each time (deviation): loss alone must not raise a suspicion
	maxConfirmations     = 2 // members that suspect beside the first at which the suspicion timeout is shortest: K of Lifeguard
	suspectPingsPerRound = 8 // pings of all suspects together per suspectPingShare (deviation)
	minSuspectPings      = 8 // unanswered pings before a member is declared dead (deviation): loss alone must not do it
	maxHealthScore       = 4 // of the local health score; 0 is healthy (S = 8 of Lifeguard keeps a lone survivor silent for minutes)
	maxRelayedProbes     = 32
)

// Gossip and exchange of state.
const (
	gossipShare          = 0.1 // of the interval between two rounds of gossip, while updates are queued
	startupIntervals     = 5   // after Start in which the state of others is adopted unverified
	gossipFanout         = 2   // members to which a round of gossip goes
	retransmitMultiplier = 4   // times log10(N+1), rounded up: retransmits of an update (lambda log n of SWIM section 4.1) ...
	minRetransmits       = 8   // ... and the lower bound: in a small fleet a few losses would keep a member from learning it (deviation)
	startRetransmits     = 4   // of a member's own start: members that know no former incarnation need no more
	startPings           = 3   // sent by Start
	leavePings           = 6   // gossip datagrams sent by Leave
	noticesPerRound      = 4   // pings per round to members that must learn of their own state
	syncChunksPerRound   = 4
	maxSyncRequests      = 8 // queued
	maxNotices           = 256
)

// Config holds the parameters of a Node.
type Config struct {
	Self              int              // own member number: the index in Peers
	Peers             []netip.AddrPort // the address of each gateway of the fleet, the own included, in the same order at each gateway
	Fleet             string           // name of the fleet: datagrams of another are dropped
	Seed              uint64           // of all random draws
	Interval          time.Duration    // protocol period between two probes; 0 = DefaultInterval. The same at each gateway
	ProbeTimeout      time.Duration    // of a direct probe, after which indirect probes are requested; 0 = a fifth of the interval
	SuspicionTimeout  time.Duration    // shortest suspicion timeout; 0 = 1.75 intervals
	Extensions        []Extension      // subsystems that piggyback messages on the datagrams
	ExtensionInterval time.Duration    // between two datagrams that carry extensions alone, each to one member; 0 = none
	// ExtensionWeights returns the weight of each member, by number, as the receiver of a datagram that carries extensions alone. Where
	// it is nil, or returns nil, or no weight is above 0, all members are equally likely; otherwise a member without a weight
	// above 0 receives none.
	ExtensionWeights func() []float64
}

// Extension is a subsystem that piggybacks small messages on the datagrams. The message of another gateway's Extension
// arrives as an event of kind ExtensionReceived. A message of a kind without a registered Extension is skipped.
type Extension interface {
	// Kind identifies the subsystem on the wire; it is above 0.
	Kind() uint32
	// Append appends a message of at most room bytes for member to, and returns the extended dst. A message of no bytes is not
	// sent.
	Append(now time.Duration, to, room int, dst []byte) []byte
}

// ConfigError is returned by New and Adjust for an invalid Config.
type ConfigError struct {
	Field string // of Config, with the index for one of Peers
	Value any
	Bound string // that the value violates
}

// Error names the field, the value and the bound.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// validate sets the defaults and returns a *ConfigError for the first invalid field.
func (c *Config) validate() error {
	c.setDefaults()
	if err := c.validatePeers(); err != nil {
		return err
	}
	return c.validateDurations()
}

func (c *Config) setDefaults() {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = c.intervals(directProbeShare)
	}
	if c.SuspicionTimeout == 0 {
		c.SuspicionTimeout = c.intervals(suspicionShare)
	}
}

func (c *Config) validatePeers() error {
	seen := map[netip.AddrPort]bool{}
	for i, peer := range c.Peers {
		if !peer.IsValid() || peer.Port() == 0 || seen[peer] {
			return &ConfigError{fmt.Sprintf("Peers[%d]", i), peer, "an address and port of its own"}
		}
		seen[peer] = true
	}
	if c.Self < 0 || c.Self >= len(c.Peers) {
		return &ConfigError{"Self", c.Self, fmt.Sprintf("the own number, an index in the %d Peers", len(c.Peers))}
	}
	if len(c.Peers) > MaxMembers {
		return &ConfigError{"len(Peers)", len(c.Peers), fmt.Sprintf("at most %d", MaxMembers)}
	}
	return nil
}

func (c *Config) validateDurations() error {
	switch {
	case c.Interval < minInterval:
		return &ConfigError{"Interval", c.Interval, fmt.Sprintf("at least %v", minInterval)}
	case c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.Interval/2:
		return &ConfigError{"Timeout", c.ProbeTimeout, fmt.Sprintf("above 0 and below half of the interval, %v", c.Interval/2)}
	case c.ExtensionInterval != 0 && c.ExtensionInterval < minExtensionInterval:
		return &ConfigError{"ExtensionInterval", c.ExtensionInterval, fmt.Sprintf("0 or at least %v", minExtensionInterval)}
	case c.SuspicionTimeout < c.Interval/2:
		return &ConfigError{"Suspect", c.SuspicionTimeout, fmt.Sprintf("at least half of the interval, %v", c.Interval/2)}
	}
	return nil
}

// intervals returns a multiple of the protocol period.
func (c *Config) intervals(factor float64) time.Duration {
	return time.Duration(factor * float64(c.Interval))
}

// fleetID returns the hash that stands for the fleet's name on the wire (FNV-1a).
func (c *Config) fleetID() uint32 {
	h := fnv.New32a()
	h.Write([]byte(c.Fleet))
	return h.Sum32()
}

// retransmitLimit returns how often a member sends an update: enough that with this many members nearly all receive it.
func retransmitLimit(members int) int {
	return max(minRetransmits, int(math.Ceil(retransmitMultiplier*math.Log10(float64(members+1)))))
}
