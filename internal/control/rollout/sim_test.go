package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// world is a fleet on a virtual clock: processes that start, serve, report and end, with what is wrong with the new
// version, and a controller that may be killed before or after any action.
type world struct {
	t        *testing.T
	rnd      *rand.Rand
	now      time.Duration
	plan     Plan
	machine  *Machine
	saved    string // the state as it was last written down
	gateways []gatewaySim
	bug      string
	outage   func(at time.Duration) float64 // share of answers that all gateways miss because of the engines
	cut      func(gateway int, at time.Duration) bool
	killAt   int // the controller is killed at this action; -1 = never
	before   bool
	done     int // actions so far
	notes    []string
	mostDown int
	harmed   float64 // answers that the new version spoilt
	answers  float64
	paused   time.Duration // until when the controller stands still
	nextPID  int
}

type gatewaySim struct {
	pid     int
	version string
	began   time.Duration
	stopAt  time.Duration // 0 = it was not told to stop
	rate    float64
	skill   float64 // its own offset of the share missed
	counts  []Counts
	starts  map[string]int
	dieAt   time.Duration // by chance
}

var simIDs = map[string]ID{OldVersion: {1 << 40, 5 << 40}, NewVersion: {2 << 40, 6 << 40}}

const (
	simEpoch = 1_800_000_000 * time.Second
	simTick  = 200 * time.Millisecond
	startsIn = time.Second
	stopsIn  = 800 * time.Millisecond
)

func simPlan(t *testing.T, gateways int, more string) Plan {
	t.Helper()
	p, err := ParsePlan([]byte(`name = "sim"
fleet = "f"
listen = "127.0.0.1:1"
stages = ["1", "34%", "100%"]
`+more+`
[old]
program = "a"
[new]
program = "b"
[watch]
least_s = 20
most_s = 120
[[check]]
class = "lookup"
statement = "SELECT 1"
expect = "1"
`), gateways)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func newWorld(t *testing.T, gateways int, seed uint64, bug string) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), now: simEpoch, plan: simPlan(t, gateways, ""), bug: bug, killAt: -1,
		outage: func(time.Duration) float64 { return 0 }, cut: func(int, time.Duration) bool { return false }, nextPID: 100}
	w.plan.Name += fmt.Sprint(seed)
	for range gateways {
		w.nextPID++
		w.gateways = append(w.gateways, gatewaySim{pid: w.nextPID, version: OldVersion, began: w.now - time.Minute,
			rate: 6 * math.Exp(0.7*w.rnd.NormFloat64()), skill: 0.015 * w.rnd.NormFloat64(), counts: make([]Counts, 3), starts: map[string]int{}})
	}
	w.machine = New(w.now, w.plan, simIDs[OldVersion], simIDs[NewVersion], simClasses, gateways)
	w.save()
	return w
}

var simClasses = []string{"lookup", "report", "form-load"}

func (w *world) save() {
	text, err := json.Marshal(w.machine.State())
	if err != nil {
		w.t.Fatal(err)
	}
	w.saved = string(text)
}

// resume has another controller take the change up from what was written down.
func (w *world) resume() {
	var s State
	if err := json.Unmarshal([]byte(w.saved), &s); err != nil {
		w.t.Fatal(err)
	}
	w.machine = Resume(w.now, w.plan, simIDs[OldVersion], simIDs[NewVersion], simClasses, s)
}

func (w *world) serves(g *gatewaySim) bool {
	return g.pid > 0 && w.now-g.began > startsIn && !(g.version == NewVersion && w.bug == "hang at start")
}

// live plays a tick of the fleet.
func (w *world) live() {
	for i := range w.gateways {
		g := &w.gateways[i]
		bad := g.version == NewVersion
		age := w.now - g.began
		switch {
		case g.pid == 0:
			continue
		case bad && w.bug == "crash at start" && age > 100*time.Millisecond,
			bad && w.bug == "crash after 5 s" && age > 5*time.Second,
			g.stopAt > 0 && w.now >= g.stopAt,
			g.dieAt > 0 && w.now >= g.dieAt:
			g.pid, g.dieAt = 0, 0
			continue
		}
		if !w.serves(g) {
			continue
		}
		for range poisson(w.rnd, g.rate*simTick.Seconds()) {
			w.answer(g, bad)
		}
		if w.machine.State().Phase == Watching && w.now >= w.paused {
			for range 4 {
				g.counts[0].Taken++
				g.counts[0].InTime++
				g.counts[0].Fast++
				if bad && w.bug == "spoils" && w.rnd.IntN(50) == 0 {
					w.machine.Checked(i, 0, Checked{Wrong: 1, InTime: 1, Fast: 1})
				} else {
					w.machine.Checked(i, 0, Checked{Right: 1, InTime: 1, Fast: 1})
				}
			}
		}
	}
}

func (w *world) answer(g *gatewaySim, bad bool) {
	class, miss, fast := 0, 0.03, 0.9
	switch x := w.rnd.Float64(); {
	case x > 0.95:
		class, miss, fast = 2, 0.1, 0.5
	case x > 0.8:
		class, miss, fast = 1, 0.07, 0.6
	}
	miss = min(1, max(0, miss+g.skill)+w.outage(w.now))
	c := &g.counts[class]
	c.Taken++
	w.answers++
	refuse := false
	if bad {
		switch w.bug {
		case "slow":
			fast, miss = fast*0.5, miss+0.08
		case "refuses a class":
			refuse = class == 1
		}
		if w.bug == "spoils" && w.rnd.IntN(50) == 0 || refuse || w.bug == "slow" && w.rnd.Float64() < 0.08 {
			w.harmed++
		}
	}
	switch x := w.rnd.Float64(); {
	case refuse || x < miss/2:
		c.Refused++
	case x < miss:
		c.Late++
	default:
		c.InTime++
		if w.rnd.Float64() < fast {
			c.Fast++
		}
	}
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for limit, p := math.Exp(-mean), rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}

// tell has gateways report and the controller look and act.
func (w *world) tell() {
	if w.now < w.paused {
		return
	}
	for i := range w.gateways {
		g := &w.gateways[i]
		w.machine.Looked(i, g.pid, false)
		if (int(w.now/simTick)+i)%5 > 0 || !w.serves(g) || w.cut(i, w.now) {
			continue
		}
		id := simIDs[g.version]
		memory := 20.0
		if g.version == NewVersion && w.bug == "leaks" {
			memory += 3 * (w.now - g.began).Seconds()
		}
		w.machine.ReceiveReport(w.now, Report{Gateway: i, PID: g.pid, Started: g.began, Program: id.Program, Settings: id.Settings,
			Serving: g.stopAt == 0, MemoryMB: memory, Classes: append([]Counts(nil), g.counts...)})
	}
	w.machine.Tick(w.now)
	if w.machine.Dirty() {
		w.save()
	}
	for _, a := range w.machine.Actions() {
		if n, is := a.(Note); is {
			w.notes = append(w.notes, n.Text)
			continue
		}
		w.done++
		if w.done-1 == w.killAt && w.before {
			w.resume()
			return
		}
		w.act(a)
		if w.done-1 == w.killAt {
			w.resume()
			return
		}
	}
}

func (w *world) act(a Action) {
	switch a := a.(type) {
	case Stop:
		if g := &w.gateways[a.Gateway]; g.pid == a.PID && g.stopAt == 0 && !(g.version == NewVersion && w.bug == "hang at start") {
			g.stopAt = w.now + stopsIn
		}
	case Kill:
		if g := &w.gateways[a.Gateway]; g.pid == a.PID {
			g.pid = 0
		}
	case Start:
		g := &w.gateways[a.Gateway]
		if g.pid > 0 {
			w.t.Errorf("gateway %d is started while process %d runs", a.Gateway, g.pid)
		}
		w.nextPID++
		g.pid, g.version, g.began, g.stopAt, g.counts = w.nextPID, a.Version, w.now, 0, make([]Counts, 3)
		g.starts[a.Version]++
	}
}

// run plays until the change is over, or for so long.
func (w *world) run(most time.Duration) Phase {
	for end := w.now + most; w.now < end; w.now += simTick {
		w.live()
		w.tell()
		down := 0
		for i := range w.gateways {
			if !w.serves(&w.gateways[i]) || w.gateways[i].stopAt > 0 {
				down++
			}
		}
		w.mostDown = max(w.mostDown, down)
		if w.machine.State().Phase.Over() {
			break
		}
	}
	return w.machine.State().Phase
}

func (w *world) all(version string) bool {
	for i := range w.gateways {
		if w.gateways[i].version != version || !w.serves(&w.gateways[i]) {
			return false
		}
	}
	return true
}

// Each kind of bad change is stopped in its first stage, and good ones go through but for a false alarm in many.
func TestBadChangesStopInTheirFirstStage(t *testing.T) {
	t.Parallel()
	for _, bug := range []string{"crash at start", "hang at start", "crash after 5 s", "slow", "refuses a class", "spoils", "leaks"} {
		stopped, longest, harmed := 0, time.Duration(0), 0.0
		const seeds = 20
		for seed := range uint64(seeds) {
			w := newWorld(t, 30, seed, bug)
			phase := w.run(20 * time.Minute)
			if phase == Returned && w.machine.State().Stage == 0 && w.all(OldVersion) {
				stopped++
				longest = max(longest, w.now-simEpoch)
			}
			harmed += w.harmed / w.answers / seeds
		}
		t.Logf("%s: %d of %d stopped in the first stage, the last after %v, %.4f of all answers harmed", bug, stopped, seeds, longest, harmed)
		if stopped < seeds {
			t.Errorf("%s: %d of %d stopped in the first stage", bug, stopped, seeds)
		}
	}
}

func TestGoodChangesGoThrough(t *testing.T) {
	t.Parallel()
	alarms := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		w := newWorld(t, 30, seed, "")
		if w.run(40*time.Minute) != Done || !w.all(NewVersion) {
			t.Logf("seed %d: %s: %s", seed, w.machine.State().Phase, w.machine.State().Reason)
			alarms++
		}
		if w.mostDown > 1 {
			t.Errorf("seed %d: %d gateways down at once", seed, w.mostDown)
		}
	}
	if alarms > seeds/20 {
		t.Errorf("%d of %d good changes did not go through", alarms, seeds)
	}
}

// An outage of engines in mid-stage hits both sides alike, and is not blamed on the change.
func TestOutageIsNotBlamedOnTheChange(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(t, 30, seed, "")
		w.outage = func(at time.Duration) float64 {
			if s := at - simEpoch; s > 10*time.Second && s < 25*time.Second {
				return 0.5
			}
			return 0
		}
		if phase := w.run(40 * time.Minute); phase != Done {
			t.Errorf("seed %d: %s: %s", seed, phase, w.machine.State().Reason)
		}
	}
}

// A gateway that dies by chance in the stage is started again, and the change goes on.
func TestChanceDeathIsNotBlamed(t *testing.T) {
	for _, new := range []bool{true, false} {
		w := newWorld(t, 30, 4, "")
		victim := w.machine.order[0]
		if !new {
			victim = w.machine.order[20]
		}
		w.gateways[victim].dieAt = simEpoch + 12*time.Second
		if phase := w.run(40 * time.Minute); phase != Done {
			t.Errorf("new %v: %s: %s\n%s", new, phase, w.machine.State().Reason, strings.Join(w.notes, "\n"))
		}
	}
}

// A controller that stands still for a while, and one that is cut from a third of the gateways, draw no wrong
// conclusions; the latter goes on once the cut heals.
func TestControllersOwnTroubles(t *testing.T) {
	w := newWorld(t, 30, 6, "")
	w.paused = simEpoch + 40*time.Second
	w.run(5 * time.Second)
	if phase := w.run(40 * time.Minute); phase != Done {
		t.Errorf("a pause: %s: %s", phase, w.machine.State().Reason)
	}
	w = newWorld(t, 30, 6, "")
	first := w.machine.order[0]
	w.cut = func(i int, at time.Duration) bool { // the new one among the third that is cut off
		s := at - simEpoch
		return s > 10*time.Second && s < 40*time.Second && (i == first || i%3 == 0)
	}
	if phase := w.run(40 * time.Minute); phase != Done {
		t.Errorf("a cut: %s: %s", phase, w.machine.State().Reason)
	}
	w = newWorld(t, 30, 6, "")
	w.cut = func(i int, at time.Duration) bool {
		return at-simEpoch > 10*time.Second && at-simEpoch < 100*time.Second && i == first
	}
	if phase := w.run(40 * time.Minute); phase != Returned || w.gateways[first].starts[OldVersion] != 1 {
		t.Errorf("one that reports nothing while all others do: %s, started %v", phase, w.gateways[first].starts)
	}
}

// A new gateway that is cut off before its first report is waited for while old ones are silent too; one that is silent alone, or
// that stays silent when the others report again, has failed to start.
func TestCutDuringStartIsNotBlamed(t *testing.T) {
	const heals = 70 * time.Second
	cases := []struct {
		name, bug string
		alone     bool
		phase     Phase
	}{
		{"with a third of the old ones", "", false, Done},
		{"alone", "", true, Returned},
		{"with a third of the old ones, and it does not start", "hang at start", false, Returned},
	}
	for _, c := range cases {
		w := newWorld(t, 30, 6, c.bug)
		first := w.machine.order[0]
		w.cut = func(i int, at time.Duration) bool {
			begun := w.gateways[first].starts[NewVersion] > 0
			return begun && at-simEpoch < heals && (i == first || i%3 == 0 && !c.alone)
		}
		w.run(heals - 10*time.Second)
		if phase := w.machine.State().Phase; !c.alone && phase != Changing {
			t.Errorf("%s: %s before the cut heals: %s", c.name, phase, w.machine.State().Reason)
		}
		if phase := w.run(40 * time.Minute); phase != c.phase {
			t.Errorf("%s: %s: %s\n%s", c.name, phase, w.machine.State().Reason, strings.Join(w.notes, "\n"))
		}
	}
}

// Too little traffic is not taken for a good sign.
func TestTooLittleIsNotGood(t *testing.T) {
	for _, unknown := range []string{"hold", "back"} {
		w := newWorld(t, 30, 2, "")
		w.plan.Watch.Unknown = unknown
		w.machine.plan.Watch.Unknown = unknown
		for i := range w.gateways {
			w.gateways[i].rate = 0.01
		}
		phase := w.run(10 * time.Minute)
		if unknown == "hold" && phase != Holding || unknown == "back" && phase != Returned {
			t.Errorf("%s: %s", unknown, phase)
		}
		if unknown == "hold" {
			for i := range w.gateways {
				w.gateways[i].rate = 6
			}
			if err := w.machine.Resume(w.now); err != nil {
				t.Fatal(err)
			}
			if phase := w.run(40 * time.Minute); phase != Done {
				t.Errorf("resumed: %s", phase)
			}
		}
	}
}

// A controller that is killed before or after any action and started again neither skips, repeats nor forgets a step:
// each gateway is started once on the new version, and never while its process runs.
func TestKilledAtEveryStep(t *testing.T) {
	for _, before := range []bool{true, false} {
		for k := range 13 {
			w := newWorld(t, 6, 9, "")
			w.killAt, w.before = k, before
			if phase := w.run(40 * time.Minute); phase != Done || !w.all(NewVersion) {
				t.Errorf("killed at action %d, before %v: %s, %s", k, before, phase, w.machine.State().Reason)
			}
			for i, g := range w.gateways {
				if g.starts[NewVersion] != 1 || g.starts[OldVersion] > 0 {
					t.Errorf("killed at action %d, before %v: gateway %d started %v", k, before, i, g.starts)
				}
			}
			if w.mostDown > 1 {
				t.Errorf("killed at action %d, before %v: %d down at once", k, before, w.mostDown)
			}
		}
	}
	for k := range 6 { // on the way back too
		w := newWorld(t, 6, 9, "refuses a class")
		w.killAt = k
		if phase := w.run(40 * time.Minute); phase != Returned || !w.all(OldVersion) {
			t.Errorf("bad change, killed at action %d: %s", k, phase)
		}
	}
}

// An operator's commands hold.
func TestPauseResumeAbort(t *testing.T) {
	w := newWorld(t, 30, 5, "")
	w.run(10 * time.Second)
	if err := w.machine.Pause(w.now); err != nil {
		t.Fatal(err)
	}
	if phase := w.run(5 * time.Minute); phase != Holding {
		t.Fatalf("paused: %s", phase)
	}
	if w.machine.Pause(w.now) == nil {
		t.Error("paused twice")
	}
	if err := w.machine.Resume(w.now); err != nil {
		t.Fatal(err)
	}
	w.run(40 * time.Second)
	if err := w.machine.Abort(w.now); err != nil {
		t.Fatal(err)
	}
	if phase := w.run(5 * time.Minute); phase != Returned || !w.all(OldVersion) {
		t.Errorf("aborted: %s", phase)
	}
	if w.machine.Abort(w.now) == nil || w.machine.Resume(w.now) == nil {
		t.Error("commands were taken after the end")
	}
}
