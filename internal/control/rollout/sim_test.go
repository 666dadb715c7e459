package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSimulation simulates a fleet on a virtual clock: processes that start, serve, report and exit, optionally with a bug in the new
// version, and a controller that may be killed before or after any action.
type fleetSimulation struct {
	t               *testing.T
	rand            *rand.Rand
	now             time.Duration
	plan            Plan
	machine         *Machine
	stored          string // last stored state, as JSON
	gateways        []simulatedGateway
	bug             string                                   // bug of the new version; empty = none
	engineOutage    func(at time.Duration) float64           // share of requests that fail at every gateway because of the engines
	partitioned     func(gateway int, at time.Duration) bool // reports whether the gateway's report is lost
	killAt          int                                      // index of the action at which the controller is killed; -1 = never
	killBefore      bool                                     // true = the controller is killed before that action is executed; false = after it
	executedActions int                                      // number of actions executed so far
	notes           []string
	maxUnavailable  int
	affectedAnswers float64       // answers affected by the bug
	answers         float64       // all answers
	pausedUntil     time.Duration // the controller is suspended until then
	nextPID         int
}

type simulatedGateway struct {
	pid        int // 0 = no process
	version    string
	startedAt  time.Duration
	stopAt     time.Duration // when the process exits after SIGTERM; 0 = not signaled
	rate       float64       // client requests per second
	missOffset float64       // added to the share of requests that are not served in time
	counts     []Counts
	starts     map[string]int // number of starts by version
	crashAt    time.Duration  // 0 = never
}

var simIDs = map[string]VersionID{OldVersion: {1 << 40, 5 << 40}, NewVersion: {2 << 40, 6 << 40}}

const (
	simEpoch     = 1_800_000_000 * time.Second
	simTick      = 200 * time.Millisecond
	startupTime  = time.Second
	shutdownTime = 800 * time.Millisecond
)

// simPlan returns the plan of a simulation; extraTOML is added to its top-level keys.
func simPlan(t *testing.T, gateways int, extraTOML string) Plan {
	t.Helper()
	p, err := ParsePlan([]byte(`name = "sim"
fleet = "f"
listen = "127.0.0.1:1"
stages = ["1", "34%", "100%"]
`+extraTOML+`
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

func newSimulation(t *testing.T, gateways int, seed uint64, bug string) *fleetSimulation {
	sim := &fleetSimulation{
		t:            t,
		rand:         rand.New(rand.NewPCG(seed, 3)),
		now:          simEpoch,
		plan:         simPlan(t, gateways, ""),
		bug:          bug,
		engineOutage: func(time.Duration) float64 { return 0 },
		partitioned:  func(int, time.Duration) bool { return false },
		killAt:       -1,
		nextPID:      100,
	}
	sim.plan.Name += fmt.Sprint(seed)
	for range gateways {
		sim.nextPID++
		sim.gateways = append(sim.gateways, simulatedGateway{
			pid:        sim.nextPID,
			version:    OldVersion,
			startedAt:  sim.now - time.Minute,
			rate:       6 * math.Exp(0.7*sim.rand.NormFloat64()),
			missOffset: 0.015 * sim.rand.NormFloat64(),
			counts:     make([]Counts, 3),
			starts:     map[string]int{},
		})
	}
	sim.machine = New(sim.now, sim.plan, simIDs[OldVersion], simIDs[NewVersion], simClasses, gateways)
	sim.store()
	return sim
}

var simClasses = []string{"lookup", "report", "form-load"}

// store stores the state of the controller.
func (sim *fleetSimulation) store() {
	text, err := json.Marshal(sim.machine.State())
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.stored = string(text)
}

// resume replaces the controller by one that resumes the change from the stored state.
func (sim *fleetSimulation) resume() {
	var s State
	if err := json.Unmarshal([]byte(sim.stored), &s); err != nil {
		sim.t.Fatal(err)
	}
	sim.machine = Resume(sim.now, sim.plan, simIDs[OldVersion], simIDs[NewVersion], simClasses, s)
}

// serves reports whether a gateway accepts requests.
func (sim *fleetSimulation) serves(g *simulatedGateway) bool {
	return g.pid > 0 && sim.now-g.startedAt > startupTime && !(g.version == NewVersion && sim.bug == "hang at start")
}

// stepFleet simulates all gateways for one tick.
func (sim *fleetSimulation) stepFleet() {
	for i := range sim.gateways {
		g := &sim.gateways[i]
		if g.pid == 0 {
			continue
		}
		if sim.processEnds(g) {
			g.pid, g.crashAt = 0, 0
			continue
		}
		if !sim.serves(g) {
			continue
		}
		for range poisson(sim.rand, g.rate*simTick.Seconds()) {
			sim.serveRequest(g, g.version == NewVersion)
		}
		if sim.machine.State().Phase == Watching && sim.now >= sim.pausedUntil {
			sim.runChecks(i)
		}
	}
}

// processEnds reports whether a gateway's process exits in this tick.
func (sim *fleetSimulation) processEnds(g *simulatedGateway) bool {
	isNew := g.version == NewVersion
	age := sim.now - g.startedAt
	switch {
	case isNew && sim.bug == "crash at start" && age > 100*time.Millisecond,
		isNew && sim.bug == "crash after 5 s" && age > 5*time.Second,
		g.stopAt > 0 && sim.now >= g.stopAt,
		g.crashAt > 0 && sim.now >= g.crashAt:
		return true
	}
	return false
}

// runChecks simulates the controller's checks at one gateway in one tick.
func (sim *fleetSimulation) runChecks(gateway int) {
	g := &sim.gateways[gateway]
	for range 4 {
		g.counts[0].Requests++
		g.counts[0].InTime++
		g.counts[0].Fast++
		if g.version == NewVersion && sim.bug == "corrupts results" && sim.rand.IntN(50) == 0 {
			sim.machine.RecordChecks(gateway, 0, CheckResults{Incorrect: 1, InTime: 1, Fast: 1})
		} else {
			sim.machine.RecordChecks(gateway, 0, CheckResults{Correct: 1, InTime: 1, Fast: 1})
		}
	}
}

// serveRequest simulates one client request at a gateway.
func (sim *fleetSimulation) serveRequest(g *simulatedGateway, isNew bool) {
	class, miss, fast := sim.drawClass()
	miss = min(1, max(0, miss+g.missOffset)+sim.engineOutage(sim.now))
	c := &g.counts[class]
	c.Requests++
	sim.answers++
	rejected := false
	if isNew {
		switch sim.bug {
		case "slow":
			fast, miss = fast*0.5, miss+0.08
		case "rejects a class":
			rejected = class == 1
		}
		if sim.bug == "corrupts results" && sim.rand.IntN(50) == 0 || rejected || sim.bug == "slow" && sim.rand.Float64() < 0.08 {
			sim.affectedAnswers++
		}
	}
	switch x := sim.rand.Float64(); {
	case rejected || x < miss/2:
		c.Rejected++
	case x < miss:
		c.Late++
	default:
		c.InTime++
		if sim.rand.Float64() < fast {
			c.Fast++
		}
	}
}

// drawClass draws the class of a request, and returns the shares of the class's requests that are not served in time and served fast.
func (sim *fleetSimulation) drawClass() (class int, miss, fast float64) {
	switch x := sim.rand.Float64(); {
	case x > 0.95:
		return 2, 0.1, 0.5
	case x > 0.8:
		return 1, 0.07, 0.6
	}
	return 0, 0.03, 0.9
}

// poisson draws from a Poisson distribution.
func poisson(rnd *rand.Rand, mean float64) (n int) {
	for limit, p := math.Exp(-mean), rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}

// stepController delivers the due reports, calls Tick and carries out the resulting actions.
func (sim *fleetSimulation) stepController() {
	if sim.now < sim.pausedUntil {
		return
	}
	for i := range sim.gateways {
		sim.machine.ObserveProcess(i, sim.gateways[i].pid, false)
		sim.report(i)
	}
	sim.machine.Tick(sim.now)
	if sim.machine.Dirty() {
		sim.store()
	}
	for _, a := range sim.machine.Actions() {
		if n, ok := a.(Note); ok {
			sim.notes = append(sim.notes, n.Text)
			continue
		}
		killed := sim.executedActions == sim.killAt
		sim.executedActions++
		if !killed || !sim.killBefore {
			sim.execute(a)
		}
		if killed {
			sim.resume()
			return
		}
	}
}

// report delivers the gateway's report if one is due, once a second.
func (sim *fleetSimulation) report(gateway int) {
	g := &sim.gateways[gateway]
	if (int(sim.now/simTick)+gateway)%5 > 0 || !sim.serves(g) || sim.partitioned(gateway, sim.now) {
		return
	}
	id := simIDs[g.version]
	memory := 20.0
	if g.version == NewVersion && sim.bug == "leaks" {
		memory += 3 * (sim.now - g.startedAt).Seconds()
	}
	sim.machine.ReceiveReport(sim.now, Report{
		Gateway:   gateway,
		PID:       g.pid,
		StartedAt: g.startedAt,
		Program:   id.Program,
		Settings:  id.Settings,
		Serving:   g.stopAt == 0,
		MemoryMB:  memory,
		Classes:   append([]Counts(nil), g.counts...),
	})
}

func (sim *fleetSimulation) execute(a Action) {
	switch a := a.(type) {
	case Stop:
		g := &sim.gateways[a.Gateway]
		hangs := g.version == NewVersion && sim.bug == "hang at start"
		if g.pid == a.PID && g.stopAt == 0 && !hangs {
			g.stopAt = sim.now + shutdownTime
		}
	case Kill:
		if g := &sim.gateways[a.Gateway]; g.pid == a.PID {
			g.pid = 0
		}
	case Start:
		g := &sim.gateways[a.Gateway]
		if g.pid > 0 {
			sim.t.Errorf("gateway %d is started while its process %d is running", a.Gateway, g.pid)
		}
		sim.nextPID++
		g.pid, g.version, g.startedAt, g.stopAt, g.counts = sim.nextPID, a.Version, sim.now, 0, make([]Counts, 3)
		g.starts[a.Version]++
	}
}

// setRate sets the requests per second of every gateway.
func (sim *fleetSimulation) setRate(rate float64) {
	for i := range sim.gateways {
		sim.gateways[i].rate = rate
	}
}

// run simulates until the change has finished, at most for the duration, and returns the phase.
func (sim *fleetSimulation) run(duration time.Duration) Phase {
	for end := sim.now + duration; sim.now < end; sim.now += simTick {
		sim.stepFleet()
		sim.stepController()
		sim.maxUnavailable = max(sim.maxUnavailable, sim.unavailable())
		if sim.machine.State().Phase.Finished() {
			break
		}
	}
	return sim.machine.State().Phase
}

// unavailable returns the number of gateways that accept no requests.
func (sim *fleetSimulation) unavailable() (count int) {
	for i := range sim.gateways {
		if !sim.serves(&sim.gateways[i]) || sim.gateways[i].stopAt > 0 {
			count++
		}
	}
	return count
}

// allOn reports whether all gateways serve on the version.
func (sim *fleetSimulation) allOn(version string) bool {
	for i := range sim.gateways {
		if sim.gateways[i].version != version || !sim.serves(&sim.gateways[i]) {
			return false
		}
	}
	return true
}
