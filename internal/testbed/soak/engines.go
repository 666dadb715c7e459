package soak

import (
	"time"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

const (
	platformEngines = 3
	engineCores     = 8
)

// engines are the emulated engines of a run, with their trouble.
type engines struct {
	pool *testfleet.Pool
	all  []*emulator.Engine // also those that were killed
}

func newEngines(clock func() time.Duration) (*engines, error) {
	pool, err := testfleet.NewPool(platformEngines, emulator.DefaultSpec(engineCores), clock)
	if err != nil {
		return nil, err
	}
	return &engines{pool: pool, all: pool.Engines()}, nil
}

// received reports whether an engine has run a query lately.
func (e *engines) received(id string) bool {
	for _, engine := range e.all {
		if engine.Knows(id) {
			return true
		}
	}
	return false
}

// disturb brings the trouble of a scenario.
func (e *engines) disturb(d Disturbance, discovery *testfleet.DiscoveryServer) {
	first := e.all[0]
	switch d {
	case EngineHangs:
		first.SetHung(true)
	case EngineDrains:
		list := e.pool.EngineList()
		list[0].State = "terminating"
		discovery.Publish(list[:1])
	case EngineIsKilled:
		e.pool.Kill(first)
	case DiscoveryIsAway:
		discovery.Close()
	case Undisturbed:
	}
}
