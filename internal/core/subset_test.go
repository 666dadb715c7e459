package core

import (
	"testing"
	"time"

	"frostpier/policy"
)

// An engine that is removed from the subset gets no new attempts. The attempts in flight there end with one reply each;
// after the last one the module is sent the engine as gone, and its connections are closed.
func TestEngineRemovedWithAttemptsInFlight(t *testing.T) {
	c, recorded, invariants := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	attempts := startAttempts(t, c, 40)
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	if n := c.SubsetCounts(); n.Subset >= subsetEngines || n.Subset < 6 {
		t.Fatalf("%+v", n)
	}
	removed := 0
	for _, s := range attempts {
		inside := c.inSubset(c.engines[s.Engine.ID])
		info, _ := recorded.lastSent(s.Engine.ID)
		if inside && info.Health != policy.Ready {
			t.Fatalf("an engine of the subset was sent as %v", info.Health)
		}
		if !inside && info.Health != policy.Draining {
			t.Fatalf("a removed engine was sent as %v while an attempt is in flight", info.Health)
		}
		disconnects := endServed(t, c, s)
		if inside || c.inFlightByEngine[s.Engine.ID] > 0 {
			continue
		}
		removed++
		if info, _ = recorded.lastSent(s.Engine.ID); info.Health != policy.Gone || disconnects != 1 {
			t.Errorf("after the last attempt sent as %v, %d disconnects", info.Health, disconnects)
		}
	}
	if removed == 0 {
		t.Fatal("no engine with an attempt in flight was removed")
	}
	checkNewAttemptsInSubset(t, c)
	if invariants.Violations() > 0 {
		t.Error("an invariant was broken")
	}
}

// startAttempts submits so many requests and sends their attempts.
func startAttempts(t *testing.T, c *Core, requests int) (attempts []StartAttempt) {
	t.Helper()
	for range requests {
		_, actions := c.Submit(start, testQuery)
		for _, s := range starts(actions) {
			if _, ok := c.MaySend(start, s.ID, s.Attempt, false); !ok {
				t.Fatal("not sent")
			}
			attempts = append(attempts, s)
		}
	}
	return attempts
}

// endServed ends an attempt with a response and checks that its request gets one reply. It returns how many engines are
// to be disconnected.
func endServed(t *testing.T, c *Core, s StartAttempt) (disconnects int) {
	t.Helper()
	replies := 0
	for _, a := range c.AttemptEnded(start+time.Second, s.ID, s.Attempt, policy.OK, nil) {
		switch a := a.(type) {
		case Reply:
			replies++
		case Disconnect:
			disconnects++
		case CancelAttempt:
			t.Errorf("attempt %+v was stopped", a)
		}
	}
	if replies != 1 {
		t.Fatalf("%d replies", replies)
	}
	return disconnects
}

// checkNewAttemptsInSubset submits requests and checks that their attempts go to engines of the subset.
func checkNewAttemptsInSubset(t *testing.T, c *Core) {
	t.Helper()
	for range 300 {
		_, actions := c.Submit(start+time.Second, testQuery)
		for _, s := range starts(actions) {
			if !c.inSubset(c.engines[s.Engine.ID]) {
				t.Fatalf("a new attempt to %s, which was removed", s.Engine.Name)
			}
			c.AttemptEnded(start+time.Second, s.ID, s.Attempt, policy.NotSent, nil)
		}
	}
}

// What the list says of an engine of the subset takes effect at once, in the module and in MaySend. The module never hears
// of an engine outside the subset.
func TestListChangesReachModule(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	c.UpdateEngines(start, true, fullList())
	other, own := engineOutsideAndInside(t, c)
	drains := []ListedEngine{listedEngine(other.Name, policy.Draining), listedEngine(own.Name, policy.Draining)}
	c.UpdateEngines(start+time.Second, false, drains)
	if info, known := recorded.lastSent(own.ID); !known || info.Health != policy.Draining {
		t.Errorf("the module was sent a draining engine as %+v", info)
	}
	if info, known := recorded.lastSent(other.ID); known {
		t.Errorf("the module was sent an engine outside the subset: %+v", info)
	}
	_, actions := c.Submit(start+time.Second, testQuery)
	s := first[StartAttempt](t, actions)
	c.UpdateEngines(start+time.Second, false, []ListedEngine{listedEngine(s.Engine.Name, policy.Draining)})
	if _, ok := c.MaySend(start+time.Second, s.ID, s.Attempt, false); ok {
		t.Error("a draining engine gets new work")
	}
	c.UpdateEngines(start+2*time.Second, true, []ListedEngine{listedEngine(other.Name, policy.Ready)})
	if info, _ := recorded.lastSent(own.ID); info.Health != policy.Gone {
		t.Errorf("the module was sent an engine that a full list lacks as %+v", info)
	}
}

// An engine that is added to the subset while it warms up is sent with its start time, so that slow start applies.
func TestAddedEngineIsWarmingUp(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	c.UpdateEngines(start, true, fullList())
	other, _ := engineOutsideAndInside(t, c)
	entry := listedEngine(other.Name, policy.Ready)
	entry.Started = start + time.Second
	c.UpdateEngines(start+2*time.Second, false, []ListedEngine{entry})
	if _, known := recorded.lastSent(other.ID); known {
		t.Fatal("it is in the subset already")
	}
	c.SetGateways(start+3*time.Second, allGateways(0)) // alone, this gateway uses every engine
	info, known := recorded.lastSent(other.ID)
	if !known || info.Health != policy.Ready || info.Started != entry.Started {
		t.Errorf("sent as %+v", info)
	}
	warmingUp := recorded.Estimate(start+3*time.Second, other.ID)
	warm := recorded.Estimate(start+3*time.Second, engineID(engineNameAt(0)))
	if warmingUp.Target >= warm.Target {
		t.Errorf("a target of %g threads at the engine that warms up, %g at a warm one", warmingUp.Target, warm.Target)
	}
}

// Concurrency targets are divided by the number of gateways that share the subset's engines. Gateways whose subset is
// unknown count as using every engine.
func TestSharersAreCounted(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	sharers := func() (count int) {
		for _, event := range recorded.events {
			if e, ok := event.(policy.GatewaysInService); ok {
				count = e.Count
			}
		}
		return count
	}
	known := sharers()
	if holders := c.subset.chooser.MeanGateways(); known != int(holders+0.5) || known >= subsetGateways {
		t.Fatalf("%d sharers, %.2f holders", known, holders)
	}
	gateways := allGateways(subsetGateways)
	gateways[0].Zone, gateways[1].Zone = -1, -1
	c.SetGateways(start, gateways)
	c.TickSubset(start + sharersInterval)
	if n := sharers(); n <= known {
		t.Errorf("%d sharers while two gateways may use every engine, %d while none does", n, known)
	}
	c.SetGatewaysInService(start+sharersInterval, 9)
	c.UseSubset(start+sharersInterval, nil)
	if n := sharers(); n != 9 {
		t.Errorf("%d sharers of 9 gateways in service without a subset", n)
	}
}

// The module's state must not grow with every engine that ever was in the subset.
func TestModuleForgetsRemovedEngines(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	for now := start; now < start+2*forgetDelay; now += time.Second {
		c.TickSubset(now)
	}
	other, own := engineOutsideAndInside(t, c)
	if estimate := recorded.Estimate(start+2*forgetDelay, other.ID); estimate.Limit != 0 {
		t.Errorf("still known: %+v", estimate)
	}
	if estimate := recorded.Estimate(start+2*forgetDelay, own.ID); estimate.Limit == 0 {
		t.Errorf("forgotten: %+v", estimate)
	}
}

// The module is sent which engines are overflow, beyond the core of the subset, and that a subset is in use. Neither
// holds any more once the subset is lifted.
func TestModuleKnowsOverflowEngines(t *testing.T) {
	c, recorded, _ := newRecordedCore(t)
	chooser := newChooser(t, subsetConfig())
	c.UseSubset(start, chooser)
	c.UpdateEngines(start, true, fullList())
	c.SetGateways(start, allGateways(subsetGateways))
	var draining []ListedEngine
	for i := range subsetEngines {
		if chooser.Core(uint64(engineID(engineNameAt(i)))) && len(draining) < 3 {
			draining = append(draining, listedEngine(engineNameAt(i), policy.Draining))
		}
	}
	c.UpdateEngines(start, false, draining) // overflow engines replace them
	c.TickSubset(start + sharersInterval)
	overflow := 0
	for id := range c.engines {
		info, known := recorded.lastSent(id)
		if !known || info.Health != policy.Ready {
			continue
		}
		if info.Overflow == chooser.Core(uint64(id)) {
			t.Errorf("engine %x: overflow %v, in the core of the subset %v", id, info.Overflow, chooser.Core(uint64(id)))
		}
		if info.Overflow {
			overflow++
		}
	}
	if overflow == 0 || !c.sentInService.Subset {
		t.Fatalf("%d overflow engines, subset in use: %v", overflow, c.sentInService.Subset)
	}
	c.UseSubset(start+2*sharersInterval, nil)
	for id := range c.engines {
		if info, known := recorded.lastSent(id); !known || info.Overflow {
			t.Errorf("engine %x after the subset is lifted: %+v", id, info)
		}
	}
	if c.sentInService.Subset {
		t.Error("the module still counts a subset after it is lifted")
	}
}
