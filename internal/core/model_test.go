package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/invariant"
	"frostpier/policy"
)

// modelRun sends random events to a Core and executes its actions. It checks the properties that hold for any order of
// events: each request gets one final reply, has at most one attempt in flight, and is only sent to ready engines that the
// gateway uses.
type modelRun struct {
	t          *rapid.T
	core       *Core
	invariants *invariant.Monitor
	now        time.Duration
	ids        []RequestID
	replies    map[RequestID]int // number of final replies; a cancellation counts as one
	inFlight   map[RequestID]StartAttempt
}

func newModelRun(t *rapid.T, c *Core, invariants *invariant.Monitor) *modelRun {
	return &modelRun{t: t, core: c, invariants: invariants, now: startTime, replies: map[RequestID]int{}, inFlight: map[RequestID]StartAttempt{}}
}

func (m *modelRun) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			m.startAttempt(a)
		case Reply:
			if m.replies[a.ID]++; m.replies[a.ID] > 1 {
				m.t.Fatalf("request %d has two replies", a.ID)
			}
		case Disconnect:
			m.checkIdle(a.Engine)
		}
	}
}

func (m *modelRun) startAttempt(s StartAttempt) {
	if _, inFlight := m.inFlight[s.ID]; inFlight {
		m.t.Fatalf("request %d has two attempts in flight", s.ID)
	}
	e := m.core.engines[s.Engine.ID]
	if e.Health != policy.Ready {
		m.t.Fatalf("attempt at an engine that is not ready: %+v", e)
	}
	if !m.core.inSubset(e) {
		m.t.Fatalf("attempt at an engine outside the subset: %+v", e)
	}
	m.inFlight[s.ID] = s
}

// checkIdle checks that no attempt is in flight at an engine.
func (m *modelRun) checkIdle(id policy.EngineID) {
	for _, s := range m.inFlight {
		if s.Engine.ID == id {
			m.t.Fatalf("Disconnect for %s while an attempt is in flight there", s.Engine.Name)
		}
	}
}

func (m *modelRun) advance(maxMS int) {
	m.now += time.Duration(rapid.IntRange(0, maxMS).Draw(m.t, "ms")) * time.Millisecond
}

func (m *modelRun) submit(q Query) {
	id, actions := m.core.Submit(m.now, q)
	m.ids = append(m.ids, id)
	m.execute(actions)
	if m.core.queryBytes > testMaxQueryBytes {
		m.t.Fatalf("%d bytes are held, want at most %d", m.core.queryBytes, testMaxQueryBytes)
	}
}

func (m *modelRun) updateEngines(full bool, entries []ListedEngine) {
	_, actions := m.core.UpdateEngines(m.now, full, entries)
	m.execute(actions)
}

// endAttempt ends an attempt with a random outcome, or as not sent if MaySend denies it.
func (m *modelRun) endAttempt(s StartAttempt) {
	outcomes := []policy.Outcome{policy.OK, policy.Error, policy.Rejected, policy.Reset}
	outcome := rapid.SampledFrom(outcomes).Draw(m.t, "outcome")
	if _, ok := m.core.MaySend(m.now, s.ID, s.Attempt, false); !ok {
		outcome = policy.NotSent
	}
	delete(m.inFlight, s.ID)
	m.execute(m.core.AttemptEnded(m.now, s.ID, s.Attempt, outcome, nil))
}

// finish shuts the Core down and checks that each request has one final reply and that no state is left.
func (m *modelRun) finish() {
	c := m.core
	m.execute(c.Shutdown(m.now))
	for _, id := range m.ids {
		if m.replies[id] != 1 {
			m.t.Fatalf("request %d has %d replies", id, m.replies[id])
		}
		if s, inFlight := m.inFlight[id]; inFlight {
			c.AttemptEnded(m.now, id, s.Attempt, policy.Cancelled, nil)
		}
	}
	for name, left := range map[string]int{
		"pending requests": c.PendingRequests(), "attempts in flight": c.AttemptsInFlight(), "known requests": len(c.requests),
		"active names": len(c.activeNames), "engines with attempts in flight": len(c.inFlightByEngine),
		"held bytes": c.queryBytes,
	} {
		if left != 0 {
			m.t.Fatalf("%d %s are left, want none", left, name)
		}
	}
	if violations := m.invariants.Violations(); violations != 0 {
		m.t.Fatalf("%d violations of invariants, want none", violations)
	}
}

// The invariants must hold for any order of events without a subset.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, invariants := newCore(t)
		m := newModelRun(rt, c, invariants)
		m.updateEngines(true, []ListedEngine{listedEngine("a", policy.Ready), listedEngine("b", policy.Ready)})
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			m.advance(700)
			m.step()
		}
		m.finish()
	})
}

// step handles one random event.
func (m *modelRun) step() {
	c := m.core
	switch rapid.IntRange(0, 5).Draw(m.t, "event") {
	case 0, 1:
		class := rapid.IntRange(0, 1).Draw(m.t, "class")
		name := rapid.SampledFrom([]string{"", "", "n1", "n2"}).Draw(m.t, "name")
		size := rapid.IntRange(0, testMaxQueryBytes/2).Draw(m.t, "bytes")
		m.submit(Query{Class: class, Remaining: 4 * time.Second, Name: name, Bytes: size})
	case 2:
		m.execute(c.TimerFired(m.now, 1<<63))
	case 3:
		health := policy.Health(rapid.IntRange(0, 2).Draw(m.t, "health"))
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "engine")
		m.updateEngines(false, []ListedEngine{listedEngine(name, health)})
	case 4:
		if len(m.ids) > 0 {
			m.cancel(rapid.SampledFrom(m.ids).Draw(m.t, "cancelled request"))
		}
	case 5:
		if len(m.ids) > 0 {
			m.endAttemptIfInFlight(rapid.SampledFrom(m.ids).Draw(m.t, "request whose attempt ends"))
		}
	}
}

func (m *modelRun) cancel(id RequestID) {
	if m.replies[id] == 0 {
		m.replies[id]++
		m.execute(m.core.Cancel(m.now, id))
	}
}

func (m *modelRun) endAttemptIfInFlight(id RequestID) {
	if s, inFlight := m.inFlight[id]; inFlight {
		m.endAttempt(s)
	}
}
