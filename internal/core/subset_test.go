package core

import (
	"testing"
	"time"

	"frostpier/policy"
)

// An engine that is removed from the subset must get no new attempts. Each request with an attempt in flight there must
// get one reply. After the last of these attempts, the module must be sent the engine as gone, and its connections must be
// closed.
func TestRemovedEngineFinishesAttemptsInFlight(t *testing.T) {
	c, recorded, invariants := newRecordedCore(t)
	c.UpdateEngines(startTime, true, fullList())
	attempts := startAttempts(t, c, 40)
	c.UseSubset(startTime, newChooser(t, subsetConfig()))
	c.SetGateways(startTime, allGateways(subsetGateways))
	if n := c.SubsetCounts(); n.Subset >= subsetEngines || n.Subset < 6 {
		t.Fatalf("%+v, want a subset of at least 6 engines and fewer than all", n)
	}
	removed := 0
	for _, s := range attempts {
		inside := c.inSubset(c.engines[s.Engine.ID])
		info, _ := recorded.lastSent(s.Engine.ID)
		if inside && info.Health != policy.Ready {
			t.Fatalf("an engine of the subset was sent to the module as %v", info.Health)
		}
		if !inside && info.Health != policy.Draining {
			t.Fatalf("a removed engine was sent to the module as %v while an attempt is in flight", info.Health)
		}
		disconnects := endServed(t, c, s)
		if inside || c.inFlightByEngine[s.Engine.ID] > 0 {
			continue
		}
		removed++
		if info, _ = recorded.lastSent(s.Engine.ID); info.Health != policy.Gone || disconnects != 1 {
			t.Errorf("after the last attempt the engine was sent as %v, with %d disconnects", info.Health, disconnects)
		}
	}
	if removed == 0 {
		t.Fatal("no engine with attempts in flight was removed")
	}
	checkNewAttemptsInSubset(t, c)
	if invariants.Violations() > 0 {
		t.Error("an invariant was violated")
	}
}

// startAttempts submits the given number of requests and sends their attempts.
func startAttempts(t *testing.T, c *Core, requests int) (attempts []StartAttempt) {
	t.Helper()
	for range requests {
		_, actions := c.Submit(startTime, testQuery)
		for _, s := range startedAttempts(actions) {
			if _, ok := c.MaySend(startTime, s.ID, s.Attempt, false); !ok {
				t.Fatal("MaySend denied an attempt")
			}
			attempts = append(attempts, s)
		}
	}
	return attempts
}

// endServed ends an attempt with a response and checks that its request gets one reply. It returns the number of
// Disconnect actions.
func endServed(t *testing.T, c *Core, s StartAttempt) (disconnects int) {
	t.Helper()
	replies := 0
	for _, a := range c.AttemptEnded(startTime+time.Second, s.ID, s.Attempt, policy.OK, nil) {
		switch a := a.(type) {
		case Reply:
			replies++
		case Disconnect:
			disconnects++
		case CancelAttempt:
			t.Errorf("attempt cancelled: %+v", a)
		}
	}
	if replies != 1 {
		t.Fatalf("%d replies, want 1", replies)
	}
	return disconnects
}

// checkNewAttemptsInSubset submits requests and checks that their attempts are sent to engines of the subset.
func checkNewAttemptsInSubset(t *testing.T, c *Core) {
	t.Helper()
	for range 300 {
		_, actions := c.Submit(startTime+time.Second, testQuery)
		for _, s := range startedAttempts(actions) {
			if !c.inSubset(c.engines[s.Engine.ID]) {
				t.Fatalf("new attempt at %s, which is not in the subset", s.Engine.Name)
			}
			c.AttemptEnded(startTime+time.Second, s.ID, s.Attempt, policy.NotSent, nil)
		}
	}
}

// A change of the engine list must take effect at once for an engine of the subset, in the module and in MaySend. Engines
// outside the subset must not be sent to the module.
func TestEngineListChangesReachModule(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UseSubset(startTime, newChooser(t, subsetConfig()))
	c.SetGateways(startTime, allGateways(subsetGateways))
	c.UpdateEngines(startTime, true, fullList())
	other, own := engineOutsideAndInside(t, c)
	drains := []ListedEngine{listedEngine(other.Name, policy.Draining), listedEngine(own.Name, policy.Draining)}
	c.UpdateEngines(startTime+time.Second, false, drains)
	if info, known := recorded.lastSent(own.ID); !known || info.Health != policy.Draining {
		t.Errorf("a draining engine was sent to the module as %+v", info)
	}
	if info, known := recorded.lastSent(other.ID); known {
		t.Errorf("an engine outside the subset was sent to the module: %+v", info)
	}
	_, actions := c.Submit(startTime+time.Second, testQuery)
	s := firstAction[StartAttempt](t, actions)
	c.UpdateEngines(startTime+time.Second, false, []ListedEngine{listedEngine(s.Engine.Name, policy.Draining)})
	if _, ok := c.MaySend(startTime+time.Second, s.ID, s.Attempt, false); ok {
		t.Error("MaySend allowed an attempt at a draining engine")
	}
	c.UpdateEngines(startTime+2*time.Second, true, []ListedEngine{listedEngine(other.Name, policy.Ready)})
	if info, _ := recorded.lastSent(own.ID); info.Health != policy.Gone {
		t.Errorf("an engine that is not in a full list was sent to the module as %+v", info)
	}
}

// An engine that is added to the subset while it warms up must be sent to the module with its start time, so that slow
// start applies.
func TestAddedEngineKeepsStartTime(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UseSubset(startTime, newChooser(t, subsetConfig()))
	c.SetGateways(startTime, allGateways(subsetGateways))
	c.UpdateEngines(startTime, true, fullList())
	other, _ := engineOutsideAndInside(t, c)
	entry := listedEngine(other.Name, policy.Ready)
	entry.Started = startTime + time.Second
	c.UpdateEngines(startTime+2*time.Second, false, []ListedEngine{entry})
	if _, known := recorded.lastSent(other.ID); known {
		t.Fatal("the engine is already in the subset")
	}
	c.SetGateways(startTime+3*time.Second, allGateways(0)) // the only gateway in service uses all engines
	info, known := recorded.lastSent(other.ID)
	if !known || info.Health != policy.Ready || info.Started != entry.Started {
		t.Errorf("the engine was sent to the module as %+v, want it ready and with its start time", info)
	}
	warmingUp := recorded.Estimate(startTime+3*time.Second, other.ID)
	warm := recorded.Estimate(startTime+3*time.Second, engineID(engineNameAt(0)))
	if warmingUp.Target >= warm.Target {
		t.Errorf("target of %g threads for the engine that warms up, want less than the %g of a warm one", warmingUp.Target, warm.Target)
	}
}

// The module must be sent the number of gateways that share the subset's engines, by which it divides concurrency targets.
// Gateways whose subset is unknown must count as using all engines.
func TestSharingGatewaysAreCounted(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UpdateEngines(startTime, true, fullList())
	c.UseSubset(startTime, newChooser(t, subsetConfig()))
	c.SetGateways(startTime, allGateways(subsetGateways))
	lastCount := func() (count int) {
		for _, event := range recorded.events {
			if e, ok := event.(policy.GatewaysInService); ok {
				count = e.Count
			}
		}
		return count
	}
	known := lastCount()
	if mean := c.subset.chooser.MeanGatewaysPerEngine(); known != int(mean+0.5) || known >= subsetGateways {
		t.Fatalf("%d sharing gateways, want the rounded mean per engine, %.2f, and fewer than all", known, mean)
	}
	gateways := allGateways(subsetGateways)
	gateways[0].Zone, gateways[1].Zone = -1, -1
	c.SetGateways(startTime, gateways)
	c.TickSubset(startTime + sharingCountInterval)
	if n := lastCount(); n <= known {
		t.Errorf("%d sharing gateways with two unknown zones, want more than the %d without", n, known)
	}
	c.SetGatewaysInService(startTime+sharingCountInterval, 9)
	c.UseSubset(startTime+sharingCountInterval, nil)
	if n := lastCount(); n != 9 {
		t.Errorf("%d sharing gateways without a subset, want the 9 in service", n)
	}
}

// The module must delete the state of engines that were removed from the subset. Otherwise its state would grow with each
// removed engine.
func TestModuleDeletesRemovedEngines(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UpdateEngines(startTime, true, fullList())
	c.UseSubset(startTime, newChooser(t, subsetConfig()))
	c.SetGateways(startTime, allGateways(subsetGateways))
	for now := startTime; now < startTime+2*moduleCleanupDelay; now += time.Second {
		c.TickSubset(now)
	}
	other, own := engineOutsideAndInside(t, c)
	if estimate := recorded.Estimate(startTime+2*moduleCleanupDelay, other.ID); estimate.Limit != 0 {
		t.Errorf("the module still knows a removed engine: %+v", estimate)
	}
	if estimate := recorded.Estimate(startTime+2*moduleCleanupDelay, own.ID); estimate.Limit == 0 {
		t.Errorf("the module does not know an engine of the subset: %+v", estimate)
	}
}

// The module must be sent which engines of the subset are overflow engines, outside the core of the subset, and that a
// subset is in use. After the subset is disabled, neither must hold.
func TestModuleIsSentOverflowEngines(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	chooser := newChooser(t, subsetConfig())
	c.UseSubset(startTime, chooser)
	c.UpdateEngines(startTime, true, fullList())
	c.SetGateways(startTime, allGateways(subsetGateways))
	var draining []ListedEngine
	for i := range subsetEngines {
		if chooser.InCore(uint64(engineID(engineNameAt(i)))) && len(draining) < 3 {
			draining = append(draining, listedEngine(engineNameAt(i), policy.Draining))
		}
	}
	c.UpdateEngines(startTime, false, draining) // overflow engines replace them
	c.TickSubset(startTime + sharingCountInterval)
	overflow := 0
	for id := range c.engines {
		info, known := recorded.lastSent(id)
		if !known || info.Health != policy.Ready {
			continue
		}
		if info.Overflow == chooser.InCore(uint64(id)) {
			t.Errorf("engine %x: overflow is %v, in the core of the subset is %v", id, info.Overflow, chooser.InCore(uint64(id)))
		}
		if info.Overflow {
			overflow++
		}
	}
	if overflow == 0 || !c.lastInService.UsesSubset {
		t.Fatalf("%d overflow engines, want at least one; subset in use: %v, want true", overflow, c.lastInService.UsesSubset)
	}
	c.UseSubset(startTime+2*sharingCountInterval, nil)
	for id := range c.engines {
		if info, known := recorded.lastSent(id); !known || info.Overflow {
			t.Errorf("engine %x was sent as %+v after the subset was disabled, want no overflow engine", id, info)
		}
	}
	if c.lastInService.UsesSubset {
		t.Error("after the subset was disabled, the module was not sent a count without a subset")
	}
}
