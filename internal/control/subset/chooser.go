// Package subset chooses, for one gateway, the engines that it works with: a part of the fleet's engines that every
// gateway derives by itself from the list of engines, its own number and which gateways are in service, without a
// coordinator. It is a state machine: it is handed the time and what is known, and hands back a set. It knows no socket,
// clock or goroutine.
//
// The engines of each zone form a ring in the order of a hash, which falls into equal parts. A gateway takes the part that
// its rank in the zone points to, the engines between its own position and that of the next gateway in service, and as
// many more as it lacks: of its zone, then of its region, then of other regions. More engines are taken at once; fewer
// only after a while, a few at a time.
//
// Sources: the deterministic aperture of Twitter's Finagle (2019) for rings and windows; Envoy's zone-aware routing for
// what leaves a zone that is short of engines. docs/design-subset.md weighs them against others.
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
	ID    uint64
	Zone  int
	Ready bool // listed, and neither draining nor gone
	Cold  bool // may still be warming up
}

// serves reports whether the engine counts towards the size of a subset.
func (e Engine) serves() bool { return e.Ready && !e.Cold }

// unknownZone stands for a gateway's zone that is not known.
const unknownZone = -1

// Gateway is what is known of a configured gateway.
type Gateway struct {
	Zone      int // below 0 = not known
	InService bool
}

// Chooser holds the subset of one gateway: the engines that it wants, and those that it wanted until lately.
type Chooser struct {
	config    Config
	number    int
	zone      int
	order     []int // the configured gateways' numbers by their position
	gateways  []Gateway
	engines   []listed // in the order of their hash
	fleet     *fleet
	ids       []uint64
	held      map[uint64]bool          // the subset; true for its core
	leaving   map[uint64]time.Duration // held but no longer wanted: when each may leave
	nextLeave time.Duration            // when the next of these may leave
	settled   time.Duration            // up to which engines leave at once
	joined    bool                     // whether SetGateways has been called
	changed   bool
	peers     *peers // nil = to be worked out
}

const (
	leaveInterval = time.Second // between two steps of narrowing
	leaveBatch    = 4           // engines that leave in a step
)

// New returns the Chooser of the gateway with this number, of so many configured ones, in this zone; a zone below 0 is
// not known. A fleet without zones has all its gateways and engines in zone 0.
func New(c Config, number, zone int, gateways int) (*Chooser, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if gateways < 1 || gateways > MaxGateways {
		return nil, &ConfigError{"gateways", gateways, fmt.Sprintf("not from 1 to %d", MaxGateways)}
	}
	if number < 0 || number >= gateways {
		return nil, &ConfigError{"number", number, fmt.Sprintf("not from 0 to %d", gateways-1)}
	}
	s := &Chooser{config: c.clone(), number: number, zone: max(zone, unknownZone), gateways: make([]Gateway, gateways),
		order: orderByPosition(gateways)}
	s.takeGateways(nil)
	s.update(0)
	return s, nil
}

// SetEngines takes over the list of engines, in any order.
func (s *Chooser) SetEngines(now time.Duration, engines []Engine) {
	s.engines = sortEngines(engines)
	s.update(now)
}

// SetGateways takes over what is known of the gateways, by configured number. Those that the slice lacks are out of
// service. Until the first call, which is best made once membership has joined the fleet, the subset is every engine.
func (s *Chooser) SetGateways(now time.Duration, gateways []Gateway) {
	if !s.joined {
		s.joined, s.settled = true, now+s.config.Linger
	}
	s.takeGateways(gateways)
	s.update(now)
}

// takeGateways keeps what is known of the gateways; of itself this gateway knows better.
func (s *Chooser) takeGateways(gateways []Gateway) {
	known := copy(s.gateways, gateways)
	for i := known; i < len(s.gateways); i++ {
		s.gateways[i] = Gateway{Zone: unknownZone}
	}
	s.gateways[s.number] = Gateway{Zone: s.zone, InService: true}
}

// Configure changes the settings while running. A Config that makes no sense changes nothing.
func (s *Chooser) Configure(now time.Duration, c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	s.config = c.clone()
	s.update(now)
	return nil
}

// update works out which engines are wanted. Those that no longer are stay for a while.
func (s *Chooser) update(now time.Duration) {
	s.fleet = newFleet(s.config, s.engines, s.gateways, s.order)
	wanted := s.fleet.newWantedSet()
	wanted.collect(s.fleet, s.fleet.spans(s.zone), s.number)
	held, leaving := map[uint64]bool{}, map[uint64]time.Duration{}
	for i, e := range s.engines {
		switch {
		case wanted.marked[i]:
			held[e.ID] = wanted.core[i]
		case s.Contains(e.ID) && now >= s.settled:
			held[e.ID], leaving[e.ID] = false, s.leavesAt(e.ID, now)
		}
	}
	s.leaving = leaving
	s.hold(held)
}

// leavesAt is when an engine that is not wanted may leave, at the earliest.
func (s *Chooser) leavesAt(id uint64, now time.Duration) time.Duration {
	latest := now + s.config.Linger
	if at, known := s.leaving[id]; known {
		return min(at, latest)
	}
	return latest
}

// hold makes these engines the subset.
func (s *Chooser) hold(held map[uint64]bool) {
	s.peers = nil
	if maps.Equal(held, s.held) {
		return
	}
	s.held, s.ids, s.changed = held, slices.Sorted(maps.Keys(held)), true
}

// Tick lets a few engines go that have not been wanted for a while.
func (s *Chooser) Tick(now time.Duration) {
	if now < s.nextLeave {
		return
	}
	var due []uint64
	for id, at := range s.leaving {
		if at <= now {
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(s.leaving[a], s.leaving[b]), cmp.Compare(mix64(a), mix64(b)))
	})
	held := maps.Clone(s.held)
	for _, id := range due[:min(len(due), leaveBatch)] {
		delete(s.leaving, id)
		delete(held, id)
	}
	s.nextLeave = now + leaveInterval
	s.hold(held)
}

// Next returns when Tick wants to be called, at the earliest; due is false while there is nothing to let go of.
func (s *Chooser) Next() (at time.Duration, due bool) {
	for _, leaves := range s.leaving {
		if !due || leaves < at {
			at, due = leaves, true
		}
	}
	return max(at, s.nextLeave), due
}

// All reports whether the subset is every engine of the list.
func (s *Chooser) All() bool { return len(s.ids) == len(s.engines) }

// Contains reports whether an engine is in the subset.
func (s *Chooser) Contains(id uint64) bool {
	_, held := s.held[id]
	return held
}

// Core reports whether an engine is in the part of the subset that the gateway shares with many others of its zone: the
// place to keep table groups warm. Engines outside the core make up for those of it that do not serve, see to it that none
// is left out by all, or are about to leave.
func (s *Chooser) Core(id uint64) bool { return s.held[id] }

// IDs returns the subset in ascending order. It is the Chooser's own: not to be changed, and good until the next call.
func (s *Chooser) IDs() []uint64 { return s.ids }

// Changed reports whether the subset or its core has changed since the last call.
func (s *Chooser) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Holders returns the mean number of gateways in service that hold an engine of this subset, this one included, as far
// as this gateway's view goes. A gateway whose zone is not known counts by the share of the engines that it wants.
func (s *Chooser) Holders() float64 { return s.view().holders }

// Overlaps returns the share of the set that the gateway wants, by this gateway's view, which lies in the own subset; 0
// where the number makes no sense or the gateway's zone is not known, unless the own subset is every engine.
func (s *Chooser) Overlaps(number int) float64 {
	if number < 0 || number >= len(s.gateways) {
		return 0
	}
	return s.view().overlaps[number]
}

// view works the others' subsets out once after each change.
func (s *Chooser) view() *peers {
	if s.peers == nil {
		s.peers = s.countPeers()
	}
	return s.peers
}
