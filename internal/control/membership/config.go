// Package membership keeps, at each gateway, a view of which gateways of the fleet are in service. It is a state
// machine: it is handed the time and datagrams, and hands back datagrams, events and the time of its next wait. It
// knows no socket, clock or goroutine, and all its chance comes from one seed.
//
// Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002) for probes, indirect probes, suspicion and dissemination; A. Dadgar, J. Phillips, J. Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2017) for the local health figure, negative
// answers of helpers, suspicion shortened by confirmations, and telling a suspect of its suspicion first. What departs
// from them is marked "ours" where it stands; docs/design-membership.md weighs it.
package membership

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"time"
)

// MaxDatagram is the length in bytes that no datagram exceeds, extension messages included.
const MaxDatagram = 256

// MostMembers bounds the list of peers, and with it every table.
const MostMembers = 4096

// Defaults of Config, with their reasons.
const (
	DefaultInterval      = 2 * time.Second // a pause of 2 s must not look like a death: suspicion lasts 1.75 of these
	minInterval          = 100 * time.Millisecond
	minExtensionInterval = 50 * time.Millisecond

	timeoutShare   = 0.2  // of the interval: time for a direct answer before others are asked
	failShare      = 0.5  // of the interval: time for any answer before the target is suspected
	suspicionShare = 1.75 // of the interval: shortest suspicion, so that the median detection takes three intervals
	longest        = 2.0  // times that: the suspicion that nobody else confirms
	secondHand     = 1.6  // intervals that a member waits longer who only heard of a suspicion (ours)
	callShare      = 0.15 // of the interval between two pings of a suspect before it is declared dead (ours)
	callLeast      = 1.0  // intervals that a suspect is pinged before it is declared dead, at the least (ours)
	callsRound     = 8    // pings of suspects, all together, in that time (ours)
	callsLeast     = 8    // pings without an answer before any is declared dead: loss alone must not do it (ours)
	gossipShare    = 0.1  // of the interval between two rounds of gossip, while there is news
	graceShare     = 0.02 // of the interval by which a wait may end late before all others are moved on (ours)
	lateShare      = 0.25 // of the interval by which it must be late to speak against the own health

	young         = 5  // intervals after the start in which what others hold is taken over as it stands
	helpers       = 3  // members asked to probe a target that gave no answer: SWIM's k
	askRounds     = 2  // times that helpers are asked, others each time (ours): loss alone must not bring suspicion
	confirmations = 2  // accusers beside the first from which a suspicion is as short as it gets
	fanout        = 2  // members that a round of gossip goes to
	repeatTimes   = 4  // times log10(N+1), rounded up: how often a member passes a rumour on ...
	repeatLeast   = 8  // ... and no less: in a small fleet a few losses would keep a member from hearing it (ours)
	mostHealth    = 4  // of the local health figure; 0 is well (the paper's 8 keeps a lone survivor silent for minutes)
	startRepeats  = 4  // of a member's own start: those who know nothing of its former self need no more
	startPings    = 3  // members pinged at once by one that starts
	leavePings    = 6  // members told at once by one that leaves
	noticesRound  = 4  // notices to members whose state is in doubt, sent in a round
	piecesRound   = 4  // pieces of the whole state sent in a round
	mostAskers    = 8  // members whose requests for the whole state wait
	mostRelays    = 32 // probes under way on behalf of others
	mostNotices   = 256
)

// Config holds the parameters of a Node.
type Config struct {
	Self              int              // own number: the place in Peers
	Peers             []netip.AddrPort // an address for each gateway of the fleet, its own included, the same order everywhere
	Fleet             string           // the fleet's name: datagrams of another are dropped
	Seed              uint64           // of all chance
	Interval          time.Duration    // between two probes; 0 = DefaultInterval. The same at every gateway
	Timeout           time.Duration    // until a probe is passed to helpers; 0 = a fifth of the interval
	Suspect           time.Duration    // shortest suspicion; 0 = 1.75 intervals
	Extensions        []Extension      // subsystems that piggyback messages on the datagrams
	ExtensionInterval time.Duration    // between two datagrams for the Extensions alone, each to one member; 0 = none
	// Weights returns, by member, how much each is wanted as the receiver of a datagram for the Extensions alone. Where it is
	// nil, or returns nil, all are wanted alike. Members without a weight above 0 get none.
	Weights func() []float64
}

// Extension is a subsystem that piggybacks small messages on the datagrams. The message of another gateway's Extension
// arrives as an event of kind ExtensionReceived. A kind without a registered Extension is skipped.
type Extension interface {
	// Kind identifies the subsystem on the wire; above 0.
	Kind() uint32
	// Append appends at most room bytes for the member to dst; appending nothing takes no room.
	Append(now time.Duration, to, room int, dst []byte) []byte
}

var (
	errSelf              = errors.New("the own number is none of the peers'")
	errMany              = fmt.Errorf("more than %d peers", MostMembers)
	errInterval          = fmt.Errorf("interval under %v", minInterval)
	errTimeout           = errors.New("timeout not between 0 and half of the interval")
	errExtensionInterval = fmt.Errorf("datagrams for extensions more often than each %v", minExtensionInterval)
	errSuspect           = errors.New("suspicion shorter than half of the interval")
)

// check reports a configuration that makes no sense, and sets the defaults.
func (c *Config) check() error {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = c.part(timeoutShare)
	}
	if c.Suspect == 0 {
		c.Suspect = c.part(suspicionShare)
	}
	seen := map[netip.AddrPort]bool{}
	for _, p := range c.Peers {
		if !p.IsValid() || p.Port() == 0 || seen[p] {
			return fmt.Errorf("peer %q is no address of its own", p)
		}
		seen[p] = true
	}
	switch {
	case c.Self < 0 || c.Self >= len(c.Peers):
		return errSelf
	case len(c.Peers) > MostMembers:
		return errMany
	case c.Interval < minInterval:
		return errInterval
	case c.Timeout <= 0 || c.Timeout >= c.Interval/2:
		return errTimeout
	case c.ExtensionInterval != 0 && c.ExtensionInterval < minExtensionInterval:
		return errExtensionInterval
	case c.Suspect < c.Interval/2:
		return errSuspect
	}
	return nil
}

func (c *Config) part(share float64) time.Duration {
	return time.Duration(share * float64(c.Interval))
}

// fleetID is the fleet's name on the wire.
func (c *Config) fleetID() uint32 {
	h := fnv.New32a()
	h.Write([]byte(c.Fleet))
	return h.Sum32()
}

// repeats is how often a member passes a rumour on: enough that with this many members nearly all hear of it.
func repeats(members int) int {
	return max(repeatLeast, int(math.Ceil(repeatTimes*math.Log10(float64(members+1)))))
}
