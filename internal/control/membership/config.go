// Package membership maintains each gateway's view of which gateways of the fleet are in service. It implements the SWIM
// failure detector and gossip protocol with the Lifeguard extensions.
//
// A Node is a deterministic state machine. Its inputs are the current time and received datagrams; its outputs are
// datagrams to send, events, and the time of the next Tick. It opens no socket, reads no clock and starts no goroutine;
// every random draw comes from Config.Seed. It is not safe for concurrent use: one goroutine (the event loop of package
// datagram, or a simulation) makes all calls.
//
// Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002): sections 3.1 (probe, indirect probe), 4.1 (dissemination by piggybacking), 4.2 (suspicion) and
// 4.3 (round-robin probe targets). A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection" (2017): sections IV-A (local health multiplier, nack), IV-B (suspicion timeout shortened
// by confirmations) and IV-C (buddy system: a suspect is notified first). Deviations from the papers are marked
// "deviation" with their reason; docs/design/membership.md discusses them.
//
// Files: node.go (API, state), timer.go (timers, local health), probe.go (direct and indirect probes), relay.go
// (indirect probes on behalf of others), suspicion.go, table.go (state of the members, refutation), broadcast.go (queue
// of updates), gossip.go (rounds of gossip), extension.go (messages of other subsystems), sync.go (exchange of full
// state), encode.go and decode.go (datagrams), budget.go (bytes sent), invariants.go.
package membership

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"time"
)

// MaxDatagramSize is the maximum size of a datagram in bytes, including extension messages.
const MaxDatagramSize = 256

// MaxMembers is the maximum length of Config.Peers, which bounds the size of every table.
const MaxMembers = 4096

// DefaultInterval is the default of Config.Interval, the protocol period T' of SWIM. With it, the shortest suspicion
// timeout (suspicionTimeoutIntervals) is long enough that a member which pauses for 2 s is not declared dead.
const DefaultInterval = 2 * time.Second

// Lower bounds of Config.Interval and Config.ExtensionInterval.
const (
	minInterval          = 100 * time.Millisecond
	minExtensionInterval = 50 * time.Millisecond
)

// Timing of probes, in protocol intervals.
const (
	probeTimeoutIntervals   = 0.2  // from the direct probe until indirect probes are requested
	probeDeadlineIntervals  = 0.5  // from the direct probe until the target is suspected
	pauseGraceIntervals     = 0.02 // delay of a call above which all timers are postponed (deviation)
	unhealthyPauseIntervals = 0.25 // delay of a call above which the local health score rises
)

// Timing of suspicions, in protocol intervals unless stated otherwise.
const (
	suspicionTimeoutIntervals       = 1.75 // shortest suspicion timeout; the median detection time is then three intervals
	maxSuspicionTimeoutFactor       = 2.0  // longest suspicion timeout (no confirmations) as a multiple of the shortest
	gossipedSuspicionDelayIntervals = 1.6  // additional timeout at members that learned of the suspicion by gossip (deviation)
	suspectPingPeriodIntervals      = 0.15 // minimum time between two pings of the same suspect (deviation)
	minVerificationIntervals        = 1.0  // minimum time for which a suspect is pinged before it is declared dead (deviation)
)

// Limits of probes and suspicions.
const (
	indirectProbeFanout  = 3 // members that receive a PING_REQ per round: k of SWIM section 3.1
	indirectProbeRounds  = 2 // rounds of PING_REQs, each to other members, so that packet loss alone raises no suspicion (deviation)
	maxConfirmations     = 2 // confirmations at which the suspicion timeout is shortest: K of Lifeguard
	suspectPingsPerRound = 8 // maximum pings of all suspects together per suspectPingPeriodIntervals (deviation)
	minSuspectPings      = 8 // unanswered pings before a member is declared dead, so that packet loss alone is not enough (deviation)
	maxHealthScore       = 4 // 0 is healthy; with Lifeguard's S = 8 a lone survivor stayed silent for minutes
	maxRelayedProbes     = 32
)

// Parameters of gossip and of the exchange of the full state.
const (
	gossipPeriodIntervals = 0.1 // protocol intervals between two rounds of gossip, while updates are queued
	startupIntervals      = 5   // protocol intervals after Start in which the states in a sync are adopted without verification
	gossipFanout          = 2   // members that receive each round of gossip
	retransmitMultiplier  = 4   // an update is sent this times log10(N+1) times, rounded up (lambda log n of SWIM section 4.1)
	minRetransmits        = 8   // lower bound of that number: in a small fleet a few lost datagrams could hide the update from a member (deviation)
	startupRetransmits    = 4   // transmissions of the update about this member's own start: enough if the others know no former incarnation
	startupPings          = 3   // pings sent by Start
	leaveGossips          = 6   // gossip datagrams sent by Leave
	noticesPerRound       = 4   // pings per round of gossip that notify members of their own state
	syncChunksPerRound    = 4   // chunks of the full state sent per round of gossip
	maxSyncRequests       = 8   // queued requests for the full state
	maxNotices            = 256 // queued notices
)

// Config holds the parameters of a Node.
type Config struct {
	Self              int              // member number of this gateway: its index in Peers
	Peers             []netip.AddrPort // addresses of all gateways of the fleet, in the same order at each gateway
	Fleet             string           // name of the fleet; datagrams of other fleets are dropped
	Seed              uint64           // seed of all random draws
	Interval          time.Duration    // protocol period: time between two probes, the same at each gateway; 0 = DefaultInterval
	ProbeTimeout      time.Duration    // time from a direct probe until indirect probes are requested; 0 = a fifth of the interval
	SuspicionTimeout  time.Duration    // shortest suspicion timeout; 0 = 1.75 intervals
	Extensions        []Extension      // subsystems that piggyback messages on the datagrams
	ExtensionInterval time.Duration    // period of extension datagrams: GOSSIP datagrams to one member, sent to carry extension messages; 0 = none
	// ExtensionWeights returns, by member number, the weights with which the receiver of an extension datagram is drawn. If the
	// function is nil, or returns nil, or no weight is above 0, all members are equally likely. Otherwise members without a
	// positive weight receive none.
	ExtensionWeights func() []float64
}

// Extension is a subsystem that piggybacks small messages on the datagrams. At the receiver such a message becomes an
// event of kind ExtensionReceived. A message whose kind has no registered Extension is skipped.
type Extension interface {
	// Kind identifies the subsystem on the wire; it is above 0.
	Kind() uint32
	// Append appends to dst a message of at most maxBytes bytes for the member with the number to, and returns the extended dst.
	// An empty message is not sent.
	Append(now time.Duration, to, maxBytes int, dst []byte) []byte
}

// ConfigError is returned by New and SetTimeouts for an invalid Config.
type ConfigError struct {
	Field string // the invalid field of Config, with an index for an element of Peers
	Value any    // the invalid value
	Bound string // the requirement that the value violates, as it follows "must be"
}

// Error returns a message with the field, its value and the violated requirement.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// validate replaces zero values with defaults and returns a *ConfigError for the first invalid field.
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
		c.ProbeTimeout = c.intervals(probeTimeoutIntervals)
	}
	if c.SuspicionTimeout == 0 {
		c.SuspicionTimeout = c.intervals(suspicionTimeoutIntervals)
	}
}

func (c *Config) validatePeers() error {
	seen := map[netip.AddrPort]bool{}
	for i, peer := range c.Peers {
		if !peer.IsValid() || peer.Port() == 0 || seen[peer] {
			return &ConfigError{fmt.Sprintf("Peers[%d]", i), peer, "a valid address with a port, used by no other peer"}
		}
		seen[peer] = true
	}
	if c.Self < 0 || c.Self >= len(c.Peers) {
		return &ConfigError{"Self", c.Self, fmt.Sprintf("an index into the %d Peers", len(c.Peers))}
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
		return &ConfigError{"Timeout", c.ProbeTimeout, fmt.Sprintf("above 0 and below half of the interval (%v)", c.Interval/2)}
	case c.ExtensionInterval != 0 && c.ExtensionInterval < minExtensionInterval:
		return &ConfigError{"ExtensionInterval", c.ExtensionInterval, fmt.Sprintf("0 or at least %v", minExtensionInterval)}
	case c.SuspicionTimeout < c.Interval/2:
		return &ConfigError{"Suspect", c.SuspicionTimeout, fmt.Sprintf("at least half of the interval (%v)", c.Interval/2)}
	}
	return nil
}

// intervals converts a number of protocol intervals to a duration.
func (c *Config) intervals(factor float64) time.Duration {
	return time.Duration(factor * float64(c.Interval))
}

// fleetID returns the FNV-1a hash of the fleet's name, which identifies the fleet on the wire.
func (c *Config) fleetID() uint32 {
	h := fnv.New32a()
	h.Write([]byte(c.Fleet))
	return h.Sum32()
}

// retransmitLimit returns how many times a member transmits an update so that nearly all members of the fleet receive it.
func retransmitLimit(members int) int {
	return max(minRetransmits, int(math.Ceil(retransmitMultiplier*math.Log10(float64(members+1)))))
}
