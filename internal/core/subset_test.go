package core

import (
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/control/subset"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/policy"
)

const (
	subsetGateways = 12
	subsetEngines  = 48
)

// eventRecorder keeps the events that the decision module is told.
type eventRecorder struct {
	*policy.Gateway
	events []policy.Event
}

func (r *eventRecorder) Handle(now time.Duration, event policy.Event) []policy.Action {
	r.events = append(r.events, event)
	return r.Gateway.Handle(now, event)
}

// lastSent is what the module was last told of an engine.
func (r *eventRecorder) lastSent(id policy.EngineID) (info policy.EngineInfo, known bool) {
	for _, event := range r.events {
		if list, ok := event.(policy.EngineList); ok {
			if list.Kind == policy.ListFull { // those that it lacks have gone
				info.Health = policy.Gone
			}
			for _, e := range list.Engines {
				if e.ID == id {
					info, known = e, true
				}
			}
		}
	}
	return info, known
}

// newRecordedCore makes the core of one of several gateways, and records what its module is told.
func newRecordedCore(t testing.TB) (*Core, *eventRecorder, *invariant.Keeper) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	keep := invariant.New(log)
	class := policy.Class{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1, Threads: 1}
	host := settings.Host{ComeBack: 500 * time.Millisecond, Models: []string{"m"}, Zones: []string{"z"}, MaxOpen: 1000,
		Module: policy.Settings{Classes: []policy.Class{class}, Gateways: subsetGateways, Number: 3, Tick: 5 * time.Millisecond, MayCancel: true,
			MaxAttempts: 4, Kinds: []policy.Kind{{Cores: 40}}, Rules: policy.Rules{WarmupTime: 20 * time.Second}}}
	c, err := New(host, 1, log, keep)
	if err != nil {
		t.Fatal(err)
	}
	module, ok := c.module.(*policy.Gateway)
	if !ok {
		t.Fatal("no module")
	}
	recorded := &eventRecorder{Gateway: module}
	c.module = recorded
	return c, recorded, keep
}

func subsetConfig() subset.Config {
	config := subset.DefaultConfig()
	config.Least, config.Coverage, config.Linger = 6, 1, 2*time.Second
	return config
}

func newChooser(t testing.TB, config subset.Config) *subset.Chooser {
	t.Helper()
	chooser, err := subset.New(config, 3, 0, subsetGateways)
	if err != nil {
		t.Fatal(err)
	}
	return chooser
}

// allGateways are those of the fleet: so many of them in service, all in the one zone.
func allGateways(inService int) (out []subset.Gateway) {
	for i := range subsetGateways {
		out = append(out, subset.Gateway{InService: i < inService})
	}
	return out
}

func engineNameAt(i int) string { return fmt.Sprintf("e%02d", i) }

func fullList() (lines []ListedEngine) {
	for i := range subsetEngines {
		lines = append(lines, listedEngine(engineNameAt(i), policy.Ready))
	}
	return lines
}

// starts are the attempts that actions ask for.
func starts(actions []Action) (out []Start) {
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			out = append(out, s)
		}
	}
	return out
}

// engineOutsideAndInside is an engine of the list that the subset lacks, and inside one that it has.
func engineOutsideAndInside(t testing.TB, c *Core) (out, in *Engine) {
	t.Helper()
	for i := range subsetEngines {
		e := c.engines[engineID(engineNameAt(i))]
		if c.inSubset(e) {
			in = e
		} else {
			out = e
		}
	}
	if out == nil || in == nil {
		t.Fatalf("the subset has all or none of %d engines", subsetEngines)
	}
	return out, in
}

// While the subset is the whole list the module is told the very same events, in the same order, as without one.
func TestWholeSubsetChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain, plainTold, _ := newRecordedCore(t)
		with, withTold, _ := newRecordedCore(t)
		large := subsetConfig()
		large.Least = subsetEngines
		now, open := start, map[ID]int{}
		both := func(what string, do func(c *Core) any) any {
			a, b := do(plain), do(with)
			if !reflect.DeepEqual(a, b) {
				rt.Fatalf("%s: %+v without a subset, %+v with it", what, a, b)
			}
			return a
		}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(rt, "event") {
			case 0:
				whole := rapid.Bool().Draw(rt, "whole")
				var lines []ListedEngine
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID).Draw(rt, "engines") {
					lines = append(lines, listedEngine(engineNameAt(i), policy.Health(rapid.IntRange(0, 2).Draw(rt, "health"))))
				}
				both("list", func(c *Core) any {
					_, actions := c.UpdateEngines(now, whole, lines)
					return actions
				})
			case 1, 2:
				both("take", func(c *Core) any {
					id, actions := c.Submit(now, testQuery)
					open[id] = 0
					return actions
				})
			case 3:
				both("due", func(c *Core) any { return c.TimerFired(now, 1<<63) })
			case 4:
				gateways := rapid.IntRange(1, subsetGateways).Draw(rt, "gateways")
				both("in service", func(c *Core) any { return c.InService(now, gateways) })
			case 5:
				for id := range open {
					ends := rapid.Bool().Draw(rt, "ends")
					both("end", func(c *Core) any {
						r := c.requests[id]
						if r == nil || r.inFlight == 0 || !ends {
							return nil
						}
						return c.AttemptEnded(now, id, len(r.attempts)-1, policy.NoConnection, nil)
					})
				}
			case 6:
				with.UseSubset(now, newChooser(t, large))
			case 7:
				with.SetGateways(now, allGateways(rapid.IntRange(1, subsetGateways).Draw(rt, "known")))
				with.TickSubset(now)
			case 8:
				with.UseSubset(now, nil)
			}
		}
		if !reflect.DeepEqual(plainTold.events, withTold.events) {
			rt.Fatalf("without a subset the module is told\n%+v\nwith it\n%+v", plainTold.events, withTold.events)
		}
	})
}

// An engine that leaves the subset gets nothing new; what is out there ends as it would have, and is answered once; then the
// module may forget the engine, and connections to it end.
func TestEngineLeavesWhileAttemptsAreOut(t *testing.T) {
	c, told, keep := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	var out []Start
	for range 40 {
		_, actions := c.Submit(start, testQuery)
		for _, s := range starts(actions) {
			if _, ok := c.MaySend(start, s.ID, s.Attempt, false); !ok {
				t.Fatal("not sent")
			}
			out = append(out, s)
		}
	}
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	if n := c.SubsetCounts(); n.Subset >= subsetEngines || n.Subset < 6 {
		t.Fatalf("%+v", n)
	}
	left := 0
	for _, s := range out {
		info, _ := told.lastSent(s.Engine.ID)
		inside := c.inSubset(c.engines[s.Engine.ID])
		if !inside && info.Health != policy.Draining || inside && info.Health != policy.Ready {
			t.Fatalf("inside the subset: %t, told as %v while an attempt is out", inside, info.Health)
		}
		replies, disconnects := 0, 0
		for _, a := range c.AttemptEnded(start+time.Second, s.ID, s.Attempt, policy.OK, nil) {
			switch a := a.(type) {
			case Reply:
				replies++
			case Disconnect:
				disconnects++
			case Stop:
				t.Errorf("attempt %+v was called off", a)
			}
		}
		if replies != 1 {
			t.Fatalf("%d answers", replies)
		}
		if info, _ = told.lastSent(s.Engine.ID); !inside && c.inFlightByEngine[s.Engine.ID] == 0 {
			left++
			if info.Health != policy.Gone || disconnects != 1 {
				t.Errorf("after the last attempt told as %v, %d disconnects", info.Health, disconnects)
			}
		}
	}
	if left == 0 {
		t.Fatal("no engine with an attempt out has left")
	}
	for range 300 {
		_, actions := c.Submit(start+time.Second, testQuery)
		for _, s := range starts(actions) {
			if !c.inSubset(c.engines[s.Engine.ID]) {
				t.Fatalf("a new attempt to %s, which has left", s.Engine.Name)
			}
			c.AttemptEnded(start+time.Second, s.ID, s.Attempt, policy.NotSent, nil)
		}
	}
	if keep.Broken() > 0 {
		t.Error("a rule was broken")
	}
}

// What the list says of an engine of the subset reaches the module and the last look before the first byte at once; of another
// engine the module never hears.
func TestDrainsPassThrough(t *testing.T) {
	c, told, _ := newRecordedCore(t)
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	c.UpdateEngines(start, true, fullList())
	other, own := engineOutsideAndInside(t, c)
	drains := []ListedEngine{listedEngine(other.Name, policy.Draining), listedEngine(own.Name, policy.Draining)}
	c.UpdateEngines(start+time.Second, false, drains)
	if info, known := told.lastSent(own.ID); !known || info.Health != policy.Draining {
		t.Errorf("the module holds an engine that drains as %+v", info)
	}
	if info, known := told.lastSent(other.ID); known {
		t.Errorf("the module was told of an engine outside the subset: %+v", info)
	}
	_, actions := c.Submit(start+time.Second, testQuery)
	s := first[Start](t, actions)
	c.UpdateEngines(start+time.Second, false, []ListedEngine{listedEngine(s.Engine.Name, policy.Draining)})
	if _, ok := c.MaySend(start+time.Second, s.ID, s.Attempt, false); ok {
		t.Error("a draining engine gets new work")
	}
	c.UpdateEngines(start+2*time.Second, true, []ListedEngine{listedEngine(other.Name, policy.Ready)})
	if info, _ := told.lastSent(own.ID); info.Health != policy.Gone {
		t.Errorf("the module holds an engine that a whole list lacks as %+v", info)
	}
}

// An engine that enters while it warms up is told as what it is, so that the cold budget holds there.
func TestEngineEntersCold(t *testing.T) {
	c, told, _ := newRecordedCore(t)
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	c.UpdateEngines(start, true, fullList())
	other, _ := engineOutsideAndInside(t, c)
	line := listedEngine(other.Name, policy.Ready)
	line.Started = start + time.Second
	c.UpdateEngines(start+2*time.Second, false, []ListedEngine{line})
	if _, known := told.lastSent(other.ID); known {
		t.Fatal("it has entered already")
	}
	c.SetGateways(start+3*time.Second, allGateways(0)) // alone, this gateway works with every engine
	info, known := told.lastSent(other.ID)
	if !known || info.Health != policy.Ready || info.Started != line.Started {
		t.Errorf("told as %+v", info)
	}
	cold, warm := told.Estimate(start+3*time.Second, other.ID), told.Estimate(start+3*time.Second, engineID(engineNameAt(0)))
	if cold.Target >= warm.Target {
		t.Errorf("a target of %g threads at the cold engine, %g at a warm one", cold.Target, warm.Target)
	}
}

// Targets are divided by the number of gateways that share the subset's engines; those whose subset is not known count as using
// every engine.
func TestSharersFollowHolders(t *testing.T) {
	c, told, _ := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	sharers := func() (count int) {
		for _, event := range told.events {
			if e, ok := event.(policy.InService); ok {
				count = e.Count
			}
		}
		return count
	}
	known := sharers()
	if holders := c.subset.chooser.Holders(); known != int(holders+0.5) || known >= subsetGateways {
		t.Fatalf("%d sharers, %.2f holders", known, holders)
	}
	gateways := allGateways(subsetGateways)
	gateways[0].Zone, gateways[1].Zone = -1, -1
	c.SetGateways(start, gateways)
	c.TickSubset(start + sharersInterval)
	if n := sharers(); n <= known {
		t.Errorf("%d sharers while two gateways may use every engine, %d while none does", n, known)
	}
	c.InService(start+sharersInterval, 9)
	c.UseSubset(start+sharersInterval, nil)
	if n := sharers(); n != 9 {
		t.Errorf("%d sharers of 9 gateways in service without a subset", n)
	}
}

// Guards against tables that grow by every engine that ever was in the subset.
func TestModuleForgetsEnginesThatLeft(t *testing.T) {
	c, told, _ := newRecordedCore(t)
	c.UpdateEngines(start, true, fullList())
	c.UseSubset(start, newChooser(t, subsetConfig()))
	c.SetGateways(start, allGateways(subsetGateways))
	for now := start; now < start+2*forgetDelay; now += time.Second {
		c.TickSubset(now)
	}
	other, own := engineOutsideAndInside(t, c)
	if look := told.Estimate(start+2*forgetDelay, other.ID); look.Limit != 0 {
		t.Errorf("still known: %+v", look)
	}
	if look := told.Estimate(start+2*forgetDelay, own.ID); look.Limit == 0 {
		t.Errorf("forgotten: %+v", look)
	}
}

// Whatever changes in the list, the subset, the fleet and the attempts: one answer a request, one attempt out, none to an
// engine that is not ready or outside the subset, and nothing left behind.
func TestAnyOrderOfEventsWithSubsets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, told, keep := newRecordedCore(t)
		p := &subsetModelRun{t: rt, core: c, now: start, answered: map[ID]int{}, inFlight: map[ID]Start{}}
		p.updateEngines(true, fullList())
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			p.now += time.Duration(rapid.IntRange(0, 1200).Draw(rt, "ms")) * time.Millisecond
			p.step(t)
		}
		p.execute(c.Close(p.now))
		for _, id := range p.ids {
			if p.answered[id] != 1 {
				rt.Fatalf("request %d has %d answers", id, p.answered[id])
			}
			if s, isOut := p.inFlight[id]; isOut {
				c.AttemptEnded(p.now, id, s.Attempt, policy.Cancelled, nil)
			}
		}
		if c.PendingRequests() != 0 || c.AttemptsInFlight() != 0 || len(c.requests) != 0 || len(c.inFlightByEngine) != 0 || keep.Broken() != 0 {
			rt.Fatalf("left: %d open, %d out, %d known, %v; %d broken", c.PendingRequests(), c.AttemptsInFlight(), len(c.requests), c.inFlightByEngine, keep.Broken())
		}
		p.execute(c.UseSubset(p.now, nil))
		for id, e := range c.engines {
			if info, known := told.lastSent(id); !known && e.Health != policy.Gone || known && info.Health != e.Health {
				rt.Fatalf("without a subset the module holds %s as %+v (%t), the list as %v", e.Name, info, known, e.Health)
			}
		}
	})
}

// subsetModelRun is one play of TestAnyOrderOfEventsWithSubsets.
type subsetModelRun struct {
	t        *rapid.T
	core     *Core
	now      time.Duration
	ids      []ID
	answered map[ID]int
	inFlight map[ID]Start
}

func (p *subsetModelRun) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			if _, isOut := p.inFlight[a.ID]; isOut {
				p.t.Fatalf("request %d has two attempts out", a.ID)
			}
			e := p.core.engines[a.Engine.ID]
			if e.Health != policy.Ready || !p.core.inSubset(e) {
				p.t.Fatalf("an attempt to %+v, in the subset: %t", e, p.core.inSubset(e))
			}
			p.inFlight[a.ID] = a
		case Reply:
			if p.answered[a.ID]++; p.answered[a.ID] > 1 {
				p.t.Fatalf("request %d is answered twice", a.ID)
			}
		case Disconnect:
			for _, s := range p.inFlight {
				if s.Engine.ID == a.Engine {
					p.t.Fatalf("disconnected from %s while an attempt is out there", s.Engine.Name)
				}
			}
		}
	}
}

func (p *subsetModelRun) updateEngines(whole bool, lines []ListedEngine) {
	_, actions := p.core.UpdateEngines(p.now, whole, lines)
	p.execute(actions)
}

func (p *subsetModelRun) step(t *testing.T) {
	c := p.core
	switch rapid.IntRange(0, 9).Draw(p.t, "event") {
	case 0, 1, 2:
		id, actions := c.Submit(p.now, testQuery)
		p.ids = append(p.ids, id)
		p.execute(actions)
	case 3:
		p.execute(c.TimerFired(p.now, 1<<63))
	case 4:
		var lines []ListedEngine
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, subsetEngines-1), 0, 12, rapid.ID).Draw(p.t, "engines") {
			line := listedEngine(engineNameAt(i), policy.Health(rapid.IntRange(0, 2).Draw(p.t, "health")))
			if rapid.Bool().Draw(p.t, "cold") {
				line.Started = p.now
			}
			lines = append(lines, line)
		}
		p.updateEngines(rapid.IntRange(0, 9).Draw(p.t, "whole") == 0, lines)
	case 5:
		gateways := allGateways(rapid.IntRange(1, subsetGateways).Draw(p.t, "in service"))
		gateways[rapid.IntRange(0, subsetGateways-1).Draw(p.t, "unknown")].Zone = -1
		p.execute(c.InService(p.now, rapid.IntRange(1, subsetGateways).Draw(p.t, "count")))
		p.execute(c.SetGateways(p.now, gateways))
	case 6:
		p.execute(c.TickSubset(p.now))
		if n := c.sharers(); n < 1 || n > subsetGateways {
			p.t.Fatalf("%d sharers", n)
		}
	case 7:
		p.configure(t)
	case 8, 9:
		for _, id := range p.ids {
			if s, isOut := p.inFlight[id]; isOut && rapid.Bool().Draw(p.t, "ends") {
				p.end(s)
			}
		}
	}
}

// configure has another part of the engines worked with, or all.
func (p *subsetModelRun) configure(t *testing.T) {
	config := subsetConfig()
	config.Least = rapid.IntRange(1, subsetEngines).Draw(p.t, "least")
	switch rapid.IntRange(0, 3).Draw(p.t, "change") {
	case 0:
		p.execute(p.core.UseSubset(p.now, nil))
	case 1:
		actions, err := p.core.ConfigureSubset(p.now, config)
		if err != nil {
			p.t.Fatal(err)
		}
		p.execute(actions)
	default:
		p.execute(p.core.UseSubset(p.now, newChooser(t, config)))
		p.execute(p.core.SetGateways(p.now, allGateways(subsetGateways)))
	}
}

// end ends an attempt in some way.
func (p *subsetModelRun) end(s Start) {
	outcome := rapid.SampledFrom([]policy.Outcome{policy.OK, policy.Error, policy.Rejected, policy.Reset}).Draw(p.t, "outcome")
	if _, ok := p.core.MaySend(p.now, s.ID, s.Attempt, false); !ok {
		outcome = policy.NotSent
	}
	delete(p.inFlight, s.ID)
	p.execute(p.core.AttemptEnded(p.now, s.ID, s.Attempt, outcome, nil))
}

// The module is told which engines lie beyond the core of the subset and that it works with a part of the fleet's engines;
// neither holds any more once the subset is lifted.
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
	c.UpdateEngines(start, false, draining) // others make up for them beyond the core
	c.TickSubset(start + sharersInterval)
	overflow := 0
	for id := range c.engines {
		info, known := recorded.lastSent(id)
		if !known || info.Health != policy.Ready {
			continue
		}
		if info.Overflow == chooser.Core(uint64(id)) {
			t.Errorf("engine %x: overflow %v, in the core %v", id, info.Overflow, chooser.Core(uint64(id)))
		}
		if info.Overflow {
			overflow++
		}
	}
	if overflow == 0 || !c.sentInService.Subset {
		t.Fatalf("%d overflow engines, part of the fleet's: %v", overflow, c.sentInService.Subset)
	}
	c.UseSubset(start+2*sharersInterval, nil)
	for id := range c.engines {
		if info, known := recorded.lastSent(id); !known || info.Overflow {
			t.Errorf("engine %x after the subset is lifted: %+v", id, info)
		}
	}
	if c.sentInService.Subset {
		t.Error("part of the fleet's engines after the subset is lifted")
	}
}
