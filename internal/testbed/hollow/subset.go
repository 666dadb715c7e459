package hollow

import (
	"frostpier/internal/control/subset"
)

// subsetDispatcher implements subsetdriver.Dispatcher: it restricts the load reports that a hollow gateway keeps to the
// engines in its subset.
type subsetDispatcher struct {
	gateway *gateway
	chooser *subset.Chooser // nil = all engines are used
}

// UseSubset restricts the load reports to the engines that the chooser selects; nil lifts the restriction.
func (s *subsetDispatcher) UseSubset(chooser *subset.Chooser) {
	s.chooser = chooser
	s.updateEngines()
}

// ConfigureSubset changes the settings of the subset. Invalid settings are an error and change nothing.
func (s *subsetDispatcher) ConfigureSubset(config subset.Config) error {
	err := s.chooser.Configure(s.gateway.loop.Now(), config)
	s.applyChange()
	return err
}

// SetGateways sets the zones of the gateways, and which of them are in service.
func (s *subsetDispatcher) SetGateways(gateways []subset.Gateway) {
	s.chooser.SetGateways(s.gateway.loop.Now(), gateways)
	s.applyChange()
}

// TickSubset removes engines whose linger time has ended.
func (s *subsetDispatcher) TickSubset() {
	s.chooser.Tick(s.gateway.loop.Now())
	s.applyChange()
}

// SubsetSize returns how many engines are listed, and how many of them are used.
func (s *subsetDispatcher) SubsetSize() (listed, used int) {
	listed = len(s.gateway.engines)
	if s.chooser == nil {
		return listed, listed
	}
	return listed, len(s.chooser.IDs())
}

// UsesSubset reports whether fewer than all engines are used.
func (s *subsetDispatcher) UsesSubset() bool { return s.chooser != nil && !s.chooser.UsesAll() }

// SubsetOverlap returns the share of another gateway's subset that is also in this gateway's subset.
func (s *subsetDispatcher) SubsetOverlap(gateway int) float64 {
	if s.chooser == nil {
		return 1
	}
	return s.chooser.Overlap(gateway)
}

// updateEngines passes the listed engines to the chooser. A hollow gateway does not track warm-up of engines.
func (s *subsetDispatcher) updateEngines() {
	if s.chooser == nil {
		s.gateway.updateTrackedEngines()
		return
	}
	engines := make([]subset.Engine, 0, len(s.gateway.engines))
	for _, engine := range s.gateway.engines {
		engines = append(engines, engine)
	}
	s.chooser.SetEngines(s.gateway.loop.Now(), engines)
	s.chooser.Changed() // the result is ignored: readiness of engines may have changed even if the subset has not
	s.gateway.updateTrackedEngines()
}

// applyChange updates the tracked engines if the subset has changed since the last call of Chooser.Changed.
func (s *subsetDispatcher) applyChange() {
	if s.chooser.Changed() {
		s.gateway.updateTrackedEngines()
	}
}

// uses reports whether the gateway uses an engine.
func (s *subsetDispatcher) uses(engine uint64) bool {
	return s.chooser == nil || s.chooser.Contains(engine)
}
