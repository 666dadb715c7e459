package subset

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Engine is an engine of the list.
type Engine struct {
	ID        uint64
	Zone      int
	Ready     bool // listed, and neither draining nor gone
	WarmingUp bool // may still be warming up
}

// serves reports whether the engine counts towards the size of a subset.
func (e Engine) serves() bool { return e.Ready && !e.WarmingUp }

// unknownZone stands for a zone of a gateway that is not known.
const unknownZone = -1

// Gateway is what is known of a configured gateway.
type Gateway struct {
	Zone      int // below 0 = not known
	InService bool
}

// Chooser holds the subset of one gateway: the engines that it wants, and those that it no longer wants but still keeps. It
// is not safe for concurrent use. Times are those of a clock that never runs backwards.
type Chooser struct {
	config      Config
	number      int // of the gateway
	zone        int
	order       []int // the configured gateways' numbers by their position
	gateways    []Gateway
	engines     []listedEngine // in the order of their hash
	fleet       *fleet
	ids         []uint64                 // the subset, ascending
	members     map[uint64]bool          // the subset; true for its core
	lingering   map[uint64]time.Duration // members that are no longer wanted: when each may be removed
	nextRemoval time.Duration            // when the next of these may be removed
	lingerFrom  time.Duration            // before it, members that are not wanted are removed at once
	joined      bool                     // SetGateways has been called
	changed     bool                     // since the last call of Changed
	peers       *peers                   // nil = not computed since the last change
}

const (
	removalInterval = time.Second // between two removals of members that are no longer wanted
	removalBatch    = 4           // members that are removed at a time
)

// New returns the Chooser of the gateway with this number, of so many configured ones, in this zone; a zone below 0 is
// not known. A fleet without zones has all its gateways and engines in zone 0. Errors are *ConfigError.
func New(config Config, number, zone int, gateways int) (*Chooser, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if gateways < 1 || gateways > MaxGateways {
		return nil, &ConfigError{"gateways", gateways, fmt.Sprintf("not from 1 to %d", MaxGateways)}
	}
	if number < 0 || number >= gateways {
		return nil, &ConfigError{"number", number, fmt.Sprintf("not from 0 to %d", gateways-1)}
	}
	c := &Chooser{config: config.clone(), number: number, zone: max(zone, unknownZone), gateways: make([]Gateway, gateways),
		order: orderByPosition(gateways)}
	c.storeGateways(nil)
	c.update(0)
	return c, nil
}

// SetEngines replaces the list of engines, which may be in any order.
func (c *Chooser) SetEngines(now time.Duration, engines []Engine) {
	c.engines = sortEngines(engines)
	c.update(now)
}

// SetGateways replaces what is known of the gateways, by their numbers. Those that the slice lacks are out of service. Until
// the first call, which is best made once membership has joined the fleet, the subset is every engine.
func (c *Chooser) SetGateways(now time.Duration, gateways []Gateway) {
	if !c.joined {
		c.joined, c.lingerFrom = true, now+c.config.Linger
	}
	c.storeGateways(gateways)
	c.update(now)
}

// storeGateways copies what is known of the other gateways. Of itself the gateway knows better.
func (c *Chooser) storeGateways(gateways []Gateway) {
	known := copy(c.gateways, gateways)
	for i := known; i < len(c.gateways); i++ {
		c.gateways[i] = Gateway{Zone: unknownZone}
	}
	c.gateways[c.number] = Gateway{Zone: c.zone, InService: true}
}

// Configure changes the settings while running. An invalid Config is a *ConfigError and changes nothing.
func (c *Chooser) Configure(now time.Duration, config Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	c.config = config.clone()
	c.update(now)
	return nil
}

// update recomputes which engines are wanted. Members that no longer are linger for a while.
func (c *Chooser) update(now time.Duration) {
	c.fleet = newFleet(c.config, c.engines, c.gateways, c.order)
	wanted := c.fleet.newWantedSet()
	wanted.collect(c.fleet, c.fleet.spans(c.zone), c.number)
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

// removalTime returns when a member that is not wanted may be removed, at the earliest.
func (c *Chooser) removalTime(id uint64, now time.Duration) time.Duration {
	latest := now + c.config.Linger
	if at, known := c.lingering[id]; known {
		return min(at, latest)
	}
	return latest
}

// setMembers makes these engines the subset.
func (c *Chooser) setMembers(members map[uint64]bool) {
	c.peers = nil
	if maps.Equal(members, c.members) {
		return
	}
	c.members = members
	c.ids = slices.Sorted(maps.Keys(members))
	c.changed = true
}

// Tick removes a few of the members that have not been wanted for Config.Linger.
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

// NextTick returns when Tick has to be called, at the earliest; due is false while there is nothing to remove.
func (c *Chooser) NextTick() (at time.Duration, due bool) {
	for _, removal := range c.lingering {
		if !due || removal < at {
			at, due = removal, true
		}
	}
	return max(at, c.nextRemoval), due
}

// UsesAll reports whether the subset is every engine of the list.
func (c *Chooser) UsesAll() bool { return len(c.ids) == len(c.engines) }

// Contains reports whether an engine is in the subset.
func (c *Chooser) Contains(id uint64) bool {
	_, found := c.members[id]
	return found
}

// InCore reports whether an engine is in the part of the subset that the gateway shares with many others of its zone: the
// engines on which to keep table groups warm. Engines outside the core replace those of it that do not serve, are there so
// that every engine is in a subset, or are about to be removed.
func (c *Chooser) InCore(id uint64) bool { return c.members[id] }

// IDs returns the subset in ascending order. The slice is the Chooser'c own: it must not be modified, and is valid until the
// next call.
func (c *Chooser) IDs() []uint64 { return c.ids }

// Changed reports whether the subset or its core has changed since the last call.
func (c *Chooser) Changed() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// MeanGatewaysPerEngine returns the mean number of gateways in service that use an engine of this subset, this one included, by what this
// gateway knows. A gateway whose zone is not known counts with the share of all engines that it wants.
func (c *Chooser) MeanGatewaysPerEngine() float64 { return c.view().holders }

// Overlap returns the share of another gateway'c subset that lies in the own one, by what this gateway knows. It is 0 if the
// number is out of range or the gateway'c zone is not known, and 1 for an unknown zone if the own subset is every engine.
func (c *Chooser) Overlap(number int) float64 {
	if number < 0 || number >= len(c.gateways) {
		return 0
	}
	return c.view().overlaps[number]
}

// view returns the others' subsets, which it computes once after each change.
func (c *Chooser) view() *peers {
	if c.peers == nil {
		c.peers = c.computePeers()
	}
	return c.peers
}
