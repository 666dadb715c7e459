package subset

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Engine is an engine in the list of engines.
type Engine struct {
	ID        uint64
	Zone      int
	Ready     bool // neither draining nor removed
	WarmingUp bool // may still be warming up
}

// isServing reports whether the engine counts towards the size of a subset.
func (e Engine) isServing() bool { return e.Ready && !e.WarmingUp }

// unknownZone is the zone of a gateway whose zone is unknown.
const unknownZone = -1

// Gateway is the known state of a configured gateway.
type Gateway struct {
	Zone      int // negative = unknown
	InService bool
}

// Chooser maintains the subset of one gateway: the engines that the gateway wants, and those that it no longer wants but has
// not removed yet. It is not safe for concurrent use. The times that are passed to it must come from a monotonic clock.
type Chooser struct {
	config       Config
	number       int   // this gateway's number
	zone         int   // this gateway's zone, or unknownZone
	order        []int // numbers of the configured gateways, sorted by position
	gateways     []Gateway
	engines      []listedEngine // sorted by hash
	fleet        *fleet
	ids          []uint64                 // the subset, ascending
	members      map[uint64]bool          // the subset; true for engines in its core
	lingering    map[uint64]time.Duration // members that are no longer wanted, with the earliest time of their removal
	nextRemoval  time.Duration            // earliest time of the next removal
	lingerFrom   time.Duration            // unwanted members are removed at once before this time, and linger after it
	joined       bool                     // SetGateways has been called
	changed      bool                     // the subset or its core has changed since the last call of Changed
	peerOverlaps *peerOverlaps            // nil = not computed since the last change
}

const (
	removalInterval = time.Second // minimum time between two removals of lingering members
	removalBatch    = 4           // members per removal
)

// New returns the Chooser of the gateway with the given number and zone, in a fleet with the given number of configured
// gateways. A negative zone is unknown. In a fleet without zones, all gateways and engines are in zone 0. New returns a
// *ConfigError if an argument is invalid.
func New(config Config, number, zone int, gateways int) (*Chooser, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if gateways < 1 || gateways > MaxGateways {
		return nil, &ConfigError{"gateways", gateways, fmt.Sprintf("must be from 1 to %d", MaxGateways)}
	}
	if number < 0 || number >= gateways {
		return nil, &ConfigError{"number", number, fmt.Sprintf("must be from 0 to %d", gateways-1)}
	}
	c := &Chooser{config: config.clone(), number: number, zone: max(zone, unknownZone), gateways: make([]Gateway, gateways),
		order: orderByPosition(gateways)}
	c.storeGateways(nil)
	c.update(0)
	return c, nil
}

// SetEngines replaces the list of engines. The list may be in any order.
func (c *Chooser) SetEngines(now time.Duration, engines []Engine) {
	c.engines = sortEngines(engines)
	c.update(now)
}

// SetGateways replaces the known states of the gateways, indexed by number. Gateways beyond the end of the slice are out of
// service. The subset consists of every engine until the first call, which should come after membership has joined the
// fleet.
func (c *Chooser) SetGateways(now time.Duration, gateways []Gateway) {
	if !c.joined {
		c.joined, c.lingerFrom = true, now+c.config.Linger
	}
	c.storeGateways(gateways)
	c.update(now)
}

// storeGateways copies the states of the gateways, except for this gateway's own, which the Chooser knows itself.
func (c *Chooser) storeGateways(gateways []Gateway) {
	known := copy(c.gateways, gateways)
	for i := known; i < len(c.gateways); i++ {
		c.gateways[i] = Gateway{Zone: unknownZone}
	}
	c.gateways[c.number] = Gateway{Zone: c.zone, InService: true}
}

// Configure replaces the settings at run time. If config is invalid, it changes nothing and returns a *ConfigError.
func (c *Chooser) Configure(now time.Duration, config Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	c.config = config.clone()
	c.update(now)
	return nil
}

// update recomputes the wanted engines. Members that are no longer wanted start to linger.
func (c *Chooser) update(now time.Duration) {
	c.fleet = newFleet(c.config, c.engines, c.gateways, c.order)
	wanted := c.fleet.newWantedSet()
	wanted.collect(c.fleet, c.fleet.demands(c.zone), c.number)
	members, lingering := map[uint64]bool{}, map[uint64]time.Duration{}
	for i, e := range c.engines {
		switch {
		case wanted.marked[i]:
			members[e.ID] = wanted.core[i]
		case c.Contains(e.ID) && now >= c.lingerFrom:
			members[e.ID] = false
			lingering[e.ID] = c.removalTime(e.ID, now)
		}
	}
	c.lingering = lingering
	c.setMembers(members)
}

// removalTime returns the earliest time at which an unwanted member may be removed.
func (c *Chooser) removalTime(id uint64, now time.Duration) time.Duration {
	latest := now + c.config.Linger
	if at, known := c.lingering[id]; known {
		return min(at, latest)
	}
	return latest
}

// setMembers replaces the subset.
func (c *Chooser) setMembers(members map[uint64]bool) {
	c.peerOverlaps = nil
	if maps.Equal(members, c.members) {
		return
	}
	c.members = members
	c.ids = slices.Sorted(maps.Keys(members))
	c.changed = true
}

// Tick removes up to removalBatch of the members that have been unwanted for Config.Linger.
func (c *Chooser) Tick(now time.Duration) {
	if now < c.nextRemoval {
		return
	}
	var due []uint64
	for id, at := range c.lingering {
		if at <= now {
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(c.lingering[a], c.lingering[b]), cmp.Compare(mix64(a), mix64(b)))
	})
	members := maps.Clone(c.members)
	for _, id := range due[:min(len(due), removalBatch)] {
		delete(c.lingering, id)
		delete(members, id)
	}
	c.nextRemoval = now + removalInterval
	c.setMembers(members)
}

// NextTick returns the time at which Tick has to be called next. due is false if there is nothing to remove.
func (c *Chooser) NextTick() (at time.Duration, due bool) {
	for _, removal := range c.lingering {
		if !due || removal < at {
			at, due = removal, true
		}
	}
	return max(at, c.nextRemoval), due
}

// UsesAll reports whether the subset contains every engine in the list.
func (c *Chooser) UsesAll() bool { return len(c.ids) == len(c.engines) }

// Contains reports whether an engine is in the subset.
func (c *Chooser) Contains(id uint64) bool {
	_, found := c.members[id]
	return found
}

// InCore reports whether an engine is in the core of the subset, which the gateway shares with many others of its zone:
// table groups should be kept warm on these engines. An engine outside the core replaces a core engine that is not serving,
// is needed so that every engine is in at least one subset, or is about to be removed.
func (c *Chooser) InCore(id uint64) bool { return c.members[id] }

// IDs returns the subset in ascending order. The caller must not modify the slice, which is valid until the next method
// call.
func (c *Chooser) IDs() []uint64 { return c.ids }

// Changed reports whether the subset or its core has changed since the last call.
func (c *Chooser) Changed() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// MeanGatewaysPerEngine returns the mean number of gateways in service that use an engine of this subset, including this
// gateway, as far as this gateway knows. A gateway whose zone is unknown is counted in proportion to the share of all
// engines that it wants.
func (c *Chooser) MeanGatewaysPerEngine() float64 { return c.overlapsOfPeers().meanGateways }

// Overlap returns the share of another gateway's subset that is also in this gateway's subset, as far as this gateway knows.
// It returns 0 if the number is out of range. If the other gateway's zone is unknown, it returns 1 if this gateway uses
// every engine, and 0 otherwise.
func (c *Chooser) Overlap(number int) float64 {
	if number < 0 || number >= len(c.gateways) {
		return 0
	}
	return c.overlapsOfPeers().overlaps[number]
}

// overlapsOfPeers returns the overlaps with the subsets of the other gateways, which it computes once after each change.
func (c *Chooser) overlapsOfPeers() *peerOverlaps {
	if c.peerOverlaps == nil {
		c.peerOverlaps = c.comparePeers()
	}
	return c.peerOverlaps
}
