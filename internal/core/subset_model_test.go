package core

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/control/subset"
	"frostpier/policy"
)

// subsetModelRun is a modelRun whose events also change the subset and the fleet.
type subsetModelRun struct {
	*modelRun
	newChooser func(subset.Config) *subset.Chooser
}

// The invariants must hold for any order of changes to the engine list, the subset, the fleet and the attempts. After the
// subset is disabled, the module must have the state of each engine.
func TestInvariantsHoldForRandomEventsWithSubset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, recorded, invariants := newRecordedCore(t)
		m := subsetModelRun{newModelRun(rt, c, invariants), func(config subset.Config) *subset.Chooser { return newChooser(t, config) }}
		m.updateEngines(true, fullList())
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			m.advance(1200)
			m.step()
		}
		m.finish()
		m.execute(c.UseSubset(m.now, nil))
		for id, e := range c.engines {
			info, known := recorded.lastSent(id)
			if !known && e.Health != policy.Gone {
				rt.Fatalf("after the subset is disabled, the module does not know %s, which is %v", e.Name, e.Health)
			}
			if known && info.Health != e.Health {
				rt.Fatalf("after the subset is disabled, the module has %s as %+v, the engine list as %v", e.Name, info, e.Health)
			}
		}
	})
}

// step handles one random event.
func (m subsetModelRun) step() {
	c := m.core
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0, 1, 2:
		m.submit(testQuery)
	case 3:
		m.execute(c.TimerFired(m.now, 1<<63))
	case 4:
		entries := m.drawEntries()
		m.updateEngines(rapid.IntRange(0, 9).Draw(m.t, "full list if 0") == 0, entries)
	case 5:
		m.changeGateways()
	case 6:
		m.execute(c.TickSubset(m.now))
		if n := c.sharingGateways(); n < 1 || n > subsetGateways {
			m.t.Fatalf("%d gateways share the engines, want 1 to %d", n, subsetGateways)
		}
	case 7:
		m.configure()
	case 8, 9:
		m.endSomeAttempts()
	}
}

// drawEntries returns random entries of an engine list.
func (m subsetModelRun) drawEntries() (entries []ListedEngine) {
	engines := rapid.SliceOfNDistinct(rapid.IntRange(0, subsetEngines-1), 0, 12, rapid.ID).Draw(m.t, "engines")
	for _, i := range engines {
		entry := listedEngine(engineNameAt(i), policy.Health(rapid.IntRange(0, 2).Draw(m.t, "health")))
		if rapid.Bool().Draw(m.t, "warming up") {
			entry.Started = m.now
		}
		entries = append(entries, entry)
	}
	return entries
}

// changeGateways changes which gateways are in service and sets the zone of one of them to unknown.
func (m subsetModelRun) changeGateways() {
	gateways := allGateways(rapid.IntRange(1, subsetGateways).Draw(m.t, "in service"))
	gateways[rapid.IntRange(0, subsetGateways-1).Draw(m.t, "unknown zone")].Zone = -1
	m.execute(m.core.SetGatewaysInService(m.now, rapid.IntRange(1, subsetGateways).Draw(m.t, "count")))
	m.execute(m.core.SetGateways(m.now, gateways))
}

// configure changes the settings of the subset, replaces it or disables it.
func (m subsetModelRun) configure() {
	config := subsetConfig()
	config.MinEngines = rapid.IntRange(1, subsetEngines).Draw(m.t, "MinEngines")
	switch rapid.IntRange(0, 3).Draw(m.t, "change") {
	case 0:
		m.execute(m.core.UseSubset(m.now, nil))
	case 1:
		actions, err := m.core.ConfigureSubset(m.now, config)
		if err != nil {
			m.t.Fatal(err)
		}
		m.execute(actions)
	default:
		m.execute(m.core.UseSubset(m.now, m.newChooser(config)))
		m.execute(m.core.SetGateways(m.now, allGateways(subsetGateways)))
	}
}

// endSomeAttempts ends some of the attempts in flight.
func (m subsetModelRun) endSomeAttempts() {
	for _, id := range m.ids {
		if s, inFlight := m.inFlight[id]; inFlight && rapid.Bool().Draw(m.t, "attempt ends") {
			m.endAttempt(s)
		}
	}
}

// differentialRun sends the same events to a Core without a subset and to one whose subset contains all engines, and
// compares their actions.
type differentialRun struct {
	t                         *rapid.T
	plain, withSubset         *Core
	plainEvents, subsetEvents *eventRecorder
	now                       time.Duration
	ids                       []RequestID
	newChooser                func() *subset.Chooser
}

// While the subset contains all engines, the module must be sent the same events in the same order as without a subset.
func TestFullSubsetMatchesNoSubset(t *testing.T) {
	full := subsetConfig()
	full.MinEngines = subsetEngines
	rapid.Check(t, func(rt *rapid.T) {
		d := &differentialRun{t: rt, now: startTime, newChooser: func() *subset.Chooser { return newChooser(t, full) }}
		d.plain, d.plainEvents, _ = newRecordedCore(t)
		d.withSubset, d.subsetEvents, _ = newRecordedCore(t)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			d.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			d.step()
		}
		if !reflect.DeepEqual(d.plainEvents.events, d.subsetEvents.events) {
			rt.Fatalf("events without a subset:\n%+v\nevents with a full subset:\n%+v", d.plainEvents.events, d.subsetEvents.events)
		}
	})
}

// handleInBoth sends an event to both Cores and compares their actions.
func (d *differentialRun) handleInBoth(event string, handle func(c *Core) []Action) {
	plain, withSubset := handle(d.plain), handle(d.withSubset)
	if !reflect.DeepEqual(plain, withSubset) {
		d.t.Fatalf("%s: actions %+v without a subset, %+v with a full subset", event, plain, withSubset)
	}
}

// step handles one random event.
func (d *differentialRun) step() {
	switch rapid.IntRange(0, 8).Draw(d.t, "event") {
	case 0:
		d.updateEngines()
	case 1, 2:
		d.submit()
	case 3:
		d.handleInBoth("timer", func(c *Core) []Action { return c.TimerFired(d.now, 1<<63) })
	case 4:
		gateways := rapid.IntRange(1, subsetGateways).Draw(d.t, "gateways")
		d.handleInBoth("in service", func(c *Core) []Action { return c.SetGatewaysInService(d.now, gateways) })
	case 5:
		d.endSomeAttempts()
	case 6:
		d.withSubset.UseSubset(d.now, d.newChooser())
	case 7:
		d.withSubset.SetGateways(d.now, allGateways(rapid.IntRange(1, subsetGateways).Draw(d.t, "known")))
		d.withSubset.TickSubset(d.now)
	case 8:
		d.withSubset.UseSubset(d.now, nil)
	}
}

func (d *differentialRun) updateEngines() {
	full := rapid.Bool().Draw(d.t, "full list")
	var entries []ListedEngine
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID).Draw(d.t, "engines") {
		health := policy.Health(rapid.IntRange(0, 2).Draw(d.t, "health"))
		entries = append(entries, listedEngine(engineNameAt(i), health))
	}
	d.handleInBoth("list", func(c *Core) []Action {
		_, actions := c.UpdateEngines(d.now, full, entries)
		return actions
	})
}

func (d *differentialRun) submit() {
	ids := map[*Core]RequestID{}
	d.handleInBoth("submit", func(c *Core) (actions []Action) {
		ids[c], actions = c.Submit(d.now, testQuery)
		return actions
	})
	if ids[d.plain] != ids[d.withSubset] {
		d.t.Fatalf("request ID %d without a subset, %d with a full subset", ids[d.plain], ids[d.withSubset])
	}
	d.ids = append(d.ids, ids[d.plain])
}

// endSomeAttempts ends some of the attempts in flight.
func (d *differentialRun) endSomeAttempts() {
	for _, id := range d.ids {
		ends := rapid.Bool().Draw(d.t, "attempt ends")
		d.handleInBoth("end", func(c *Core) []Action {
			r := c.requests[id]
			if r == nil || r.inFlight == 0 || !ends {
				return nil
			}
			return c.AttemptEnded(d.now, id, len(r.attempts)-1, policy.NoConnection, nil)
		})
	}
}
