package hollow

import (
	"frostpier/internal/control/subset"
)

// subsetEngines restricts the load reports that a hollow gateway keeps to the engines of its subset.
type subsetEngines struct {
	gateway *gateway
	chooser *subset.Chooser // nil = every engine is used
}

// UseSubset restricts the load reports to the engines that the chooser selects; nil lifts the restriction.
func (s *subsetEngines) UseSubset(chooser *subset.Chooser) {
	s.chooser = chooser
	s.updateEngines()
}

// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
func (s *subsetEngines) ConfigureSubset(config subset.Config) error {
	err := s.chooser.Configure(s.gateway.loop.Now(), config)
	s.apply()
	return err
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (s *subsetEngines) SetGateways(gateways []subset.Gateway) {
	s.chooser.SetGateways(s.gateway.loop.Now(), gateways)
	s.apply()
}

// TickSubset removes engines whose linger time has ended.
func (s *subsetEngines) TickSubset() {
	s.chooser.Tick(s.gateway.loop.Now())
	s.apply()
}

// SubsetSize is how many engines are listed, and how many of them are used.
func (s *subsetEngines) SubsetSize() (listed, used int) {
	listed = len(s.gateway.engines)
	if s.chooser == nil {
		return listed, listed
	}
	return listed, len(s.chooser.IDs())
}

// SubsetActive reports whether fewer than all engines are used.
func (s *subsetEngines) SubsetActive() bool { return s.chooser != nil && !s.chooser.UsesAll() }

// SubsetOverlap is the share of another gateway's subset that lies in the own one.
func (s *subsetEngines) SubsetOverlap(gateway int) float64 {
	if s.chooser == nil {
		return 1
	}
	return s.chooser.Overlap(gateway)
}

// updateEngines passes the list of engines to the chooser. To a hollow gateway no engine is warming up.
func (s *subsetEngines) updateEngines() {
	if s.chooser == nil {
		s.gateway.updateReported()
		return
	}
	engines := make([]subset.Engine, 0, len(s.gateway.engines))
	for _, engine := range s.gateway.engines {
		engines = append(engines, engine)
	}
	s.chooser.SetEngines(s.gateway.loop.Now(), engines)
	s.chooser.Changed() // ignored: the engines' readiness may have changed though the subset has not
	s.gateway.updateReported()
}

// apply updates the engines whose load reports are kept, if the subset has changed.
func (s *subsetEngines) apply() {
	if s.chooser.Changed() {
		s.gateway.updateReported()
	}
}

// uses reports whether an engine is used.
func (s *subsetEngines) uses(engine uint64) bool {
	return s.chooser == nil || s.chooser.Contains(engine)
}
