package subsetdriver

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
	"frostpier/internal/control/subset"
	"frostpier/internal/control/zonetable"
)

// modelStep is the time between two steps, in which the model's gateways update their subsets and record loads of engines.
const modelStep = 100 * time.Millisecond

// modelSetup is a fleet of gateways with subsets, membership, zones and load reports on a virtual clock.
type modelSetup struct {
	gateways, engines, zones, minEngines int
	reports                              float64 // of engines' load that a gateway records per second
	loss                                 float64
	started                              time.Duration // within which all gateways start
	seed                                 uint64
}

// model is such a fleet.
type model struct {
	*simulation.Fleet
	setup    modelSetup
	gateways []*modelGateway // of the present incarnations
	engines  []subset.Engine
	random   *rand.Rand
}

// modelGateway is one gateway: the program's own state machines, with the model's list of engines.
type modelGateway struct {
	model   *model
	number  int
	updater *Updater
	digest  *loadreport.Digest
	chooser *subset.Chooser
	used    []uint64
	tickAt  time.Duration
}

func newModel(t testing.TB, setup modelSetup) *model {
	t.Helper()
	m := &model{setup: setup, gateways: make([]*modelGateway, setup.gateways), random: rand.New(rand.NewPCG(setup.seed, 41))}
	for i := range setup.engines {
		id := (uint64(i) + 1) * 0x9e3779b97f4a7c15
		m.engines = append(m.engines, subset.Engine{ID: id, Zone: i % setup.zones, Ready: true})
	}
	fleet, err := simulation.New(simulation.Setup{Members: setup.gateways, Seed: setup.seed, Loss: setup.loss, StartSpread: setup.started,
		StepsPerCheck: 1 << 30, NewDetector: m.startGateway})
	if err != nil {
		t.Fatal(err)
	}
	m.Fleet = fleet
	fleet.OnEvent = m.handleEvent
	fleet.After(0, m.step)
	return m
}

// placeOf returns the place of a gateway. Numbers are given to the zones in turn.
func (m *model) placeOf(number int) Location {
	zones := []string{"a", "b", "c", "d", "e", "f", "g"}[:m.setup.zones]
	return Location{Number: number, Gateways: m.setup.gateways, Zones: zones, Zone: number % len(zones)}
}

func (m *model) config() *subset.Config {
	config := subset.DefaultConfig()
	config.MinEngines, config.Coverage = m.setup.minEngines, 1
	return &config
}

// startGateway starts a gateway as internal/program does.
func (m *model) startGateway(config membership.Config) (simulation.Detector, error) {
	g := &modelGateway{model: m, number: config.Self, digest: loadreport.New()}
	m.gateways[config.Self] = g
	g.updater = New(m.placeOf(config.Self), g, slog.New(slog.DiscardHandler))
	config.Extensions = []membership.Extension{g.updater.Extension(), g.digest}
	config.ExtensionInterval, config.ExtensionWeights = loadreport.Interval, g.updater.ReceiverWeights
	node, err := membership.New(config)
	if err != nil {
		return nil, err
	}
	g.digest.SetEngines(nil)
	g.updater.Start(m.Now, modelMembers{node}, m.config())
	g.tickAt = m.Now + time.Duration(m.random.Int64N(int64(Interval)))
	return node, nil
}

// handleEvent passes on what a gateway received with a datagram.
func (m *model) handleEvent(at int, event membership.Event) error {
	g := m.gateways[at]
	switch {
	case event.Kind != membership.ExtensionReceived:
	case event.ExtensionKind == loadreport.ExtensionKind:
		g.digest.Receive(m.Now, event.Body)
	case event.ExtensionKind == zonetable.ExtensionKind:
		g.updater.ReceiveZones(event.Member, event.Body)
	}
	return nil
}

// step has the gateways that are up update their subsets, each at its own times, and record loads of engines.
func (m *model) step() {
	for i, g := range m.gateways {
		if g == nil || !m.Members[i].Up {
			continue
		}
		if m.Now >= g.tickAt {
			g.tickAt += Interval
			g.updater.Tick(m.Now)
		}
		if len(g.used) > 0 && m.random.Float64() < m.setup.reports*modelStep.Seconds() {
			g.digest.Record(m.Now, g.used[m.random.IntN(len(g.used))], 1+m.random.IntN(20))
		}
	}
	m.After(modelStep, m.step)
}

// snapshot is the state of all gateways: the mean and the largest number of engines used, and the mean share of these whose load is known.
type snapshot struct {
	used    float64
	largest int
	known   float64
}

func (m *model) snapshot() (out snapshot) {
	up := 0
	for i, g := range m.gateways {
		if g == nil || !m.Members[i].Up {
			continue
		}
		up++
		known := 0
		for _, engine := range g.used {
			if _, ok := g.digest.Latest(m.Now, engine); ok {
				known++
			}
		}
		out.used += float64(len(g.used))
		out.largest = max(out.largest, len(g.used))
		out.known += float64(known) / float64(max(1, len(g.used)))
	}
	out.used /= float64(max(1, up))
	out.known /= float64(max(1, up))
	return out
}

// meanBytes returns the mean number of bytes that a gateway has sent since the start.
func (m *model) meanBytes() (mean float64) {
	for _, sent := range m.SentBytes {
		mean += float64(sent) / float64(len(m.SentBytes))
	}
	return mean
}

// run simulates for a duration, logs the state of the gateways at intervals, and returns the last.
func (m *model) run(t testing.TB, duration, every time.Duration) (last snapshot) {
	t.Helper()
	for end := m.Now + duration; m.Now < end; {
		before := m.meanBytes()
		if err := m.Run(every); err != nil {
			t.Fatal(err)
		}
		last = m.snapshot()
		t.Logf("%v: %.1f engines used, %d at most, %.3f known, %.0f B/s", m.Now-simulation.Epoch, last.used, last.largest, last.known,
			(m.meanBytes()-before)/every.Seconds())
	}
	return last
}

// modelMembers is what membership knows, as datagram.MembershipDriver passes it on.
type modelMembers struct{ node *membership.Node }

func (m modelMembers) IsInService(member int) bool {
	state, _ := m.node.Member(member)
	return state.InService()
}

func (m modelMembers) StartTime(member int) time.Duration {
	_, incarnation := m.node.Member(member)
	return time.Duration(incarnation) * time.Second
}

func (g *modelGateway) UseSubset(chooser *subset.Chooser) {
	g.chooser = chooser
	chooser.SetEngines(g.model.Now, g.model.engines)
	g.apply()
}

func (g *modelGateway) ConfigureSubset(config subset.Config) error {
	err := g.chooser.Configure(g.model.Now, config)
	g.apply()
	return err
}

func (g *modelGateway) SetGateways(gateways []subset.Gateway) {
	g.chooser.SetGateways(g.model.Now, gateways)
	g.apply()
}

func (g *modelGateway) TickSubset() {
	g.chooser.Tick(g.model.Now)
	g.apply()
}

func (g *modelGateway) apply() {
	if g.chooser.Changed() {
		g.used = append(g.used[:0], g.chooser.IDs()...)
		g.digest.SetEngines(g.used)
	}
}

func (g *modelGateway) SubsetSize() (listed, used int)    { return len(g.model.engines), len(g.used) }
func (g *modelGateway) SubsetActive() bool                { return !g.chooser.UsesAll() }
func (g *modelGateway) SubsetOverlap(gateway int) float64 { return g.chooser.Overlap(gateway) }

// The fleet that CI simulates, and the one that operators expect. Both have more gateways than a message on zones holds.
var (
	ciSetup         = modelSetup{gateways: 300, engines: 420, zones: 7, minEngines: 30, reports: 6, loss: 0.02, started: 5 * time.Second, seed: 1}
	productionSetup = modelSetup{gateways: 800, engines: 1100, zones: 7, minEngines: 80, reports: 6, loss: 0.02, started: 5 * time.Second, seed: 1}
)

// checkConverged checks that every gateway uses about as many engines as it wants, and knows the load of nearly all of them.
func (m *model) checkConverged(t *testing.T, when string, l snapshot) {
	t.Helper()
	if least := float64(m.setup.minEngines); l.used > 1.1*least || float64(l.largest) > 1.5*least {
		t.Errorf("%s: %.1f engines used, %d at most", when, l.used, l.largest)
	}
	if l.known < 0.95 {
		t.Errorf("%s: %.3f of the engines known", when, l.known)
	}
}

// A fleet that starts at once converges on subsets of the wanted size, whose loads nearly all gateways know. It does so again after
// the gateways of a zone failed and restarted.
func TestGatewaysConvergeOnSubsets(t *testing.T) {
	t.Parallel()
	setup := ciSetup
	if raceEnabled {
		setup.gateways = 260
	}
	m := newModel(t, setup)
	m.checkConverged(t, "after the start", m.run(t, 40*time.Second, 10*time.Second))
	if raceEnabled {
		return
	}
	const lost = 3
	m.eachOfZone(lost, m.Kill)
	m.run(t, 20*time.Second, 10*time.Second)
	m.eachOfZone(lost, func(gateway int) { m.Start(gateway, 0) })
	m.checkConverged(t, "after a zone was lost", m.run(t, 90*time.Second, 10*time.Second))
}

// eachOfZone calls a function with each gateway of a zone.
func (m *model) eachOfZone(zone int, call func(gateway int)) {
	for gateway := zone; gateway < m.setup.gateways; gateway += m.setup.zones {
		call(gateway)
	}
}

// BenchmarkGatewaysOnSubsets simulates the expected fleet for a minute and a half. It reports what gateways use and know at the end,
// and what they send.
func BenchmarkGatewaysOnSubsets(b *testing.B) {
	for range b.N {
		m := newModel(b, productionSetup)
		m.run(b, 60*time.Second, 10*time.Second)
		before := m.meanBytes()
		last := m.run(b, 30*time.Second, 10*time.Second)
		b.ReportMetric(last.used, "engines/gateway")
		b.ReportMetric(last.known, "known")
		b.ReportMetric((m.meanBytes()-before)/30, "bytes/s")
	}
}
