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

// Any order of changes of the list, the subset, the fleet and the attempts keeps the invariants. Without a subset the
// module has the state of every engine again.
func TestInvariantsHoldWithSubsetsInAnyOrderOfEvents(t *testing.T) {
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
				rt.Fatalf("without a subset the module does not know %s, which is %v", e.Name, e.Health)
			}
			if known && info.Health != e.Health {
				rt.Fatalf("without a subset the module was sent %s as %+v, the list as %v", e.Name, info, e.Health)
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
		m.updateEngines(rapid.IntRange(0, 9).Draw(m.t, "whole") == 0, entries)
	case 5:
		m.changeGateways()
	case 6:
		m.execute(c.TickSubset(m.now))
		if n := c.sharers(); n < 1 || n > subsetGateways {
			m.t.Fatalf("%d sharers", n)
		}
	case 7:
		m.configure()
	case 8, 9:
		m.endSome()
	}
}

// drawEntries draws entries of an engine list.
func (m subsetModelRun) drawEntries() (entries []ListedEngine) {
	engines := rapid.SliceOfNDistinct(rapid.IntRange(0, subsetEngines-1), 0, 12, rapid.ID).Draw(m.t, "engines")
	for _, i := range engines {
		entry := listedEngine(engineNameAt(i), policy.Health(rapid.IntRange(0, 2).Draw(m.t, "health")))
		if rapid.Bool().Draw(m.t, "cold") {
			entry.Started = m.now
		}
		entries = append(entries, entry)
	}
	return entries
}

// changeGateways changes which gateways are in service, and makes the zone of one unknown.
func (m subsetModelRun) changeGateways() {
	gateways := allGateways(rapid.IntRange(1, subsetGateways).Draw(m.t, "in service"))
	gateways[rapid.IntRange(0, subsetGateways-1).Draw(m.t, "unknown")].Zone = -1
	m.execute(m.core.SetGatewaysInService(m.now, rapid.IntRange(1, subsetGateways).Draw(m.t, "count")))
	m.execute(m.core.SetGateways(m.now, gateways))
}

// configure changes the subset, or lifts it.
func (m subsetModelRun) configure() {
	config := subsetConfig()
	config.MinEngines = rapid.IntRange(1, subsetEngines).Draw(m.t, "least")
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

// endSome ends some of the attempts in flight.
func (m subsetModelRun) endSome() {
	for _, id := range m.ids {
		if s, inFlight := m.inFlight[id]; inFlight && rapid.Bool().Draw(m.t, "ends") {
			m.endAttempt(s)
		}
	}
}

// differentialRun gives the same events to a core without a subset and to one whose subset is the full list, and compares
// their actions.
type differentialRun struct {
	t                     *rapid.T
	plain, subsetted      *Core
	plainSent, subsetSent *eventRecorder
	now                   time.Duration
	ids                   []ID
	newChooser            func() *subset.Chooser
}

// While the subset is the full list, the module is sent the very same events, in the same order, as without a subset.
func TestFullSubsetChangesNothing(t *testing.T) {
	full := subsetConfig()
	full.MinEngines = subsetEngines
	rapid.Check(t, func(rt *rapid.T) {
		d := &differentialRun{t: rt, now: start, newChooser: func() *subset.Chooser { return newChooser(t, full) }}
		d.plain, d.plainSent, _ = newRecordedCore(t)
		d.subsetted, d.subsetSent, _ = newRecordedCore(t)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			d.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			d.step()
		}
		if !reflect.DeepEqual(d.plainSent.events, d.subsetSent.events) {
			rt.Fatalf("without a subset the module is sent\n%+v\nwith it\n%+v", d.plainSent.events, d.subsetSent.events)
		}
	})
}

// both has both cores handle an event, and compares their actions.
func (d *differentialRun) both(event string, handle func(c *Core) []Action) {
	plain, subsetted := handle(d.plain), handle(d.subsetted)
	if !reflect.DeepEqual(plain, subsetted) {
		d.t.Fatalf("%s: %+v without a subset, %+v with it", event, plain, subsetted)
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
		d.both("timer", func(c *Core) []Action { return c.TimerFired(d.now, 1<<63) })
	case 4:
		gateways := rapid.IntRange(1, subsetGateways).Draw(d.t, "gateways")
		d.both("in service", func(c *Core) []Action { return c.SetGatewaysInService(d.now, gateways) })
	case 5:
		d.endSome()
	case 6:
		d.subsetted.UseSubset(d.now, d.newChooser())
	case 7:
		d.subsetted.SetGateways(d.now, allGateways(rapid.IntRange(1, subsetGateways).Draw(d.t, "known")))
		d.subsetted.TickSubset(d.now)
	case 8:
		d.subsetted.UseSubset(d.now, nil)
	}
}

func (d *differentialRun) updateEngines() {
	full := rapid.Bool().Draw(d.t, "whole")
	var entries []ListedEngine
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID).Draw(d.t, "engines") {
		health := policy.Health(rapid.IntRange(0, 2).Draw(d.t, "health"))
		entries = append(entries, listedEngine(engineNameAt(i), health))
	}
	d.both("list", func(c *Core) []Action {
		_, actions := c.UpdateEngines(d.now, full, entries)
		return actions
	})
}

func (d *differentialRun) submit() {
	ids := map[*Core]ID{}
	d.both("submit", func(c *Core) (actions []Action) {
		ids[c], actions = c.Submit(d.now, testQuery)
		return actions
	})
	if ids[d.plain] != ids[d.subsetted] {
		d.t.Fatalf("request %d without a subset, %d with it", ids[d.plain], ids[d.subsetted])
	}
	d.ids = append(d.ids, ids[d.plain])
}

// endSome ends some of the attempts in flight.
func (d *differentialRun) endSome() {
	for _, id := range d.ids {
		ends := rapid.Bool().Draw(d.t, "ends")
		d.both("end", func(c *Core) []Action {
			r := c.requests[id]
			if r == nil || r.inFlight == 0 || !ends {
				return nil
			}
			return c.AttemptEnded(d.now, id, len(r.attempts)-1, policy.NoConnection, nil)
		})
	}
}
