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

// simStep is the interval at which the simulated gateways update their subsets and record load reports.
const simStep = 100 * time.Millisecond

// simSetup describes a simulated fleet of gateways with subsets, membership, zones and load reports on a virtual clock.
type simSetup struct {
	gateways, engines, zones, minEngines int
	reportsPerSecond                     float64       // load reports from engines that a gateway records
	loss                                 float64       // share of the datagrams that are lost
	startSpread                          time.Duration // time over which the starts of the gateways are spread
	seed                                 uint64
}

// simFleet is a simulated fleet.
type simFleet struct {
	*simulation.Fleet
	setup    simSetup
	gateways []*simGateway // current incarnations
	engines  []subset.Engine
	random   *rand.Rand
}

// simGateway is a simulated gateway. It consists of the program's state machines, and uses the simulation's list of engines.
type simGateway struct {
	fleet   *simFleet
	index   int
	updater *Updater
	digest  *loadreport.Digest
	chooser *subset.Chooser
	used    []uint64
	tickAt  time.Duration
}

func newSimFleet(t testing.TB, setup simSetup) *simFleet {
	t.Helper()
	f := &simFleet{setup: setup, gateways: make([]*simGateway, setup.gateways), random: rand.New(rand.NewPCG(setup.seed, 41))}
	for i := range setup.engines {
		id := (uint64(i) + 1) * 0x9e3779b97f4a7c15
		f.engines = append(f.engines, subset.Engine{ID: id, Zone: i % setup.zones, Ready: true})
	}
	fleet, err := simulation.New(simulation.Setup{Members: setup.gateways, Seed: setup.seed, Loss: setup.loss, StartSpread: setup.startSpread,
		StepsPerCheck: 1 << 30, NewDetector: f.startGateway})
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet = fleet
	fleet.OnEvent = f.handleEvent
	fleet.After(0, f.step)
	return f
}

// locationOf returns the location of a gateway. Gateways are assigned to the zones in turn by their indexes.
func (f *simFleet) locationOf(number int) Location {
	zones := []string{"a", "b", "c", "d", "e", "f", "g"}[:f.setup.zones]
	return Location{GatewayIndex: number, Gateways: f.setup.gateways, Zones: zones, Zone: number % len(zones)}
}

func (f *simFleet) config() *subset.Config {
	config := subset.DefaultConfig()
	config.MinEngines, config.Coverage = f.setup.minEngines, 1
	return &config
}

// startGateway starts a gateway in the same way as internal/program does.
func (f *simFleet) startGateway(config membership.Config) (simulation.Detector, error) {
	g := &simGateway{fleet: f, index: config.Self, digest: loadreport.New()}
	f.gateways[config.Self] = g
	g.updater = New(f.locationOf(config.Self), g, slog.New(slog.DiscardHandler))
	config.Extensions = []membership.Extension{g.updater.Extension(), g.digest}
	config.ExtensionInterval, config.ExtensionWeights = loadreport.Interval, g.updater.ReceiverWeights
	node, err := membership.New(config)
	if err != nil {
		return nil, err
	}
	g.digest.SetEngines(nil)
	g.updater.Start(f.Now, simMembership{node}, f.config())
	g.tickAt = f.Now + time.Duration(f.random.Int64N(int64(Interval)))
	return node, nil
}

// handleEvent passes the load reports and zones that a gateway received to its state machines.
func (f *simFleet) handleEvent(at int, event membership.Event) error {
	g := f.gateways[at]
	switch {
	case event.Kind != membership.ExtensionReceived:
	case event.ExtensionKind == loadreport.ExtensionKind:
		g.digest.Receive(f.Now, event.Body)
	case event.ExtensionKind == zonetable.ExtensionKind:
		g.updater.ReceiveZones(event.Member, event.Body)
	}
	return nil
}

// step lets the running gateways update their subsets, each at its own interval, and record load reports from engines.
func (f *simFleet) step() {
	for i, g := range f.gateways {
		if g == nil || !f.Members[i].Up {
			continue
		}
		if f.Now >= g.tickAt {
			g.tickAt += Interval
			g.updater.Tick(f.Now)
		}
		if len(g.used) > 0 && f.random.Float64() < f.setup.reportsPerSecond*simStep.Seconds() {
			g.digest.Record(f.Now, g.used[f.random.IntN(len(g.used))], 1+f.random.IntN(20))
		}
	}
	f.After(simStep, f.step)
}

// snapshot summarizes the state of all running gateways.
type snapshot struct {
	meanUsed   float64 // mean number of engines that a gateway uses
	maxUsed    int     // maximum number of engines that a gateway uses
	knownShare float64 // mean share of the used engines on which a gateway has a load report
}

func (f *simFleet) snapshot() (out snapshot) {
	up := 0
	for i, g := range f.gateways {
		if g == nil || !f.Members[i].Up {
			continue
		}
		up++
		known := 0
		for _, engine := range g.used {
			if _, ok := g.digest.Latest(f.Now, engine); ok {
				known++
			}
		}
		out.meanUsed += float64(len(g.used))
		out.maxUsed = max(out.maxUsed, len(g.used))
		out.knownShare += float64(known) / float64(max(1, len(g.used)))
	}
	out.meanUsed /= float64(max(1, up))
	out.knownShare /= float64(max(1, up))
	return out
}

// meanBytes returns the mean number of bytes that a gateway has sent since the start of the simulation.
func (f *simFleet) meanBytes() (mean float64) {
	for _, sent := range f.SentBytes {
		mean += float64(sent) / float64(len(f.SentBytes))
	}
	return mean
}

// run simulates the fleet for a duration and logs a snapshot at each interval. It returns the last snapshot.
func (f *simFleet) run(t testing.TB, duration, interval time.Duration) (last snapshot) {
	t.Helper()
	for end := f.Now + duration; f.Now < end; {
		before := f.meanBytes()
		if err := f.Run(interval); err != nil {
			t.Fatal(err)
		}
		last = f.snapshot()
		t.Logf("%v: engines used: mean %.1f, maximum %d; share with a load report %.3f; %.0f B/s", f.Now-simulation.Epoch,
			last.meanUsed, last.maxUsed, last.knownShare, (f.meanBytes()-before)/interval.Seconds())
	}
	return last
}

// simMembership implements Membership in the same way as datagram.MembershipDriver.
type simMembership struct{ node *membership.Node }

func (m simMembership) IsInService(member int) bool {
	state, _ := m.node.Member(member)
	return state.InService()
}

func (m simMembership) StartTime(member int) time.Duration {
	_, incarnation := m.node.Member(member)
	return time.Duration(incarnation) * time.Second
}

func (g *simGateway) UseSubset(chooser *subset.Chooser) {
	g.chooser = chooser
	chooser.SetEngines(g.fleet.Now, g.fleet.engines)
	g.apply()
}

func (g *simGateway) ConfigureSubset(config subset.Config) error {
	err := g.chooser.Configure(g.fleet.Now, config)
	g.apply()
	return err
}

func (g *simGateway) SetGateways(gateways []subset.Gateway) {
	g.chooser.SetGateways(g.fleet.Now, gateways)
	g.apply()
}

func (g *simGateway) TickSubset() {
	g.chooser.Tick(g.fleet.Now)
	g.apply()
}

func (g *simGateway) apply() {
	if g.chooser.Changed() {
		g.used = append(g.used[:0], g.chooser.IDs()...)
		g.digest.SetEngines(g.used)
	}
}

func (g *simGateway) SubsetSize() (listed, used int)    { return len(g.fleet.engines), len(g.used) }
func (g *simGateway) UsesSubset() bool                  { return !g.chooser.UsesAll() }
func (g *simGateway) SubsetOverlap(gateway int) float64 { return g.chooser.Overlap(gateway) }

// Simulated fleets: a small one for CI, and one of the size that is expected in production. Both have more gateways than a zone
// message has entries.
var (
	ciSetup = simSetup{gateways: 300, engines: 420, zones: 7, minEngines: 30, reportsPerSecond: 6, loss: 0.02,
		startSpread: 5 * time.Second, seed: 1}
	productionSetup = simSetup{gateways: 800, engines: 1100, zones: 7, minEngines: 80, reportsPerSecond: 6, loss: 0.02,
		startSpread: 5 * time.Second, seed: 1}
)

// checkConverged checks that gateways use about the minimum number of engines, and have load reports on nearly all of these.
func (f *simFleet) checkConverged(t *testing.T, when string, s snapshot) {
	t.Helper()
	if minEngines := float64(f.setup.minEngines); s.meanUsed > 1.1*minEngines || float64(s.maxUsed) > 1.5*minEngines {
		t.Errorf("%s: gateways use %.1f engines on average and %d at most, want about %.0f", when, s.meanUsed, s.maxUsed, minEngines)
	}
	if s.knownShare < 0.95 {
		t.Errorf("%s: gateways have load reports on a share of %.3f of their engines, want at least 0.95", when, s.knownShare)
	}
}

// Checks that gateways that all start at about the same time converge on subsets of about the minimum size and have load
// reports on nearly all of their engines, and that they converge again after the gateways of a zone have failed and restarted.
func TestGatewaysConvergeOnSubsets(t *testing.T) {
	t.Parallel()
	setup := ciSetup
	if raceEnabled {
		setup.gateways = 260
	}
	f := newSimFleet(t, setup)
	f.checkConverged(t, "after the start", f.run(t, 40*time.Second, 10*time.Second))
	if raceEnabled {
		return
	}
	const lostZone = 3
	f.forEachGatewayOfZone(lostZone, f.Kill)
	f.run(t, 20*time.Second, 10*time.Second)
	f.forEachGatewayOfZone(lostZone, func(gateway int) { f.Start(gateway, 0) })
	f.checkConverged(t, "after the loss and restart of a zone", f.run(t, 90*time.Second, 10*time.Second))
}

// forEachGatewayOfZone calls a function for each gateway of a zone.
func (f *simFleet) forEachGatewayOfZone(zone int, call func(gateway int)) {
	for gateway := zone; gateway < f.setup.gateways; gateway += f.setup.zones {
		call(gateway)
	}
}

// BenchmarkSimulatedFleet simulates a fleet of production size for 90 seconds. It reports the number of engines per gateway and
// the share of these with a load report at the end, and the bytes per second that a gateway sends in the last 30 seconds.
func BenchmarkSimulatedFleet(b *testing.B) {
	for range b.N {
		f := newSimFleet(b, productionSetup)
		f.run(b, 60*time.Second, 10*time.Second)
		before := f.meanBytes()
		last := f.run(b, 30*time.Second, 10*time.Second)
		b.ReportMetric(last.meanUsed, "engines/gateway")
		b.ReportMetric(last.knownShare, "known")
		b.ReportMetric((f.meanBytes()-before)/30, "bytes/s")
	}
}
