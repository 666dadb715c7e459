package measure

import (
	"math/rand/v2"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// reportInterval is how often the simulated engines' reports are handed to the gateways' digests.
const reportInterval = 100 * time.Millisecond

// FleetSetup is a fleet of gateways on a virtual clock.
type FleetSetup struct {
	Gateways int
	Engines  int     // that gateways share load reports of; 0 = they share none
	Reports  float64 // of engines, a second at each gateway, drawn evenly from all engines
	Loss     float64 // share of datagrams lost
	Seed     uint64
}

// fleet runs membership, and with engines the shared load reports, at every gateway.
type fleet struct {
	*simulation.Fleet
	setup   FleetSetup
	digests []*loadreport.Digest // of the gateways' present lives
	random  *rand.Rand
}

func newFleet(setup FleetSetup) (*fleet, error) {
	f := &fleet{setup: setup, digests: make([]*loadreport.Digest, setup.Gateways), random: rand.New(rand.NewPCG(setup.Seed, 23))}
	running, err := simulation.New(simulation.Setup{Members: setup.Gateways, Seed: setup.Seed, Loss: setup.Loss,
		Spread: time.Second, Every: 1 << 30, Make: f.newDetector})
	if err != nil {
		return nil, err
	}
	f.Fleet = running
	if setup.Engines > 0 {
		running.Seen = f.handleEvent
		running.At(0, f.recordReports)
	}
	return f, nil
}

// newDetector makes a gateway's membership as internal/program does: with engines, load reports are carried on its datagrams, and
// three datagrams a second go out for them alone.
func (f *fleet) newDetector(config membership.Config) (simulation.Detector, error) {
	if f.setup.Engines > 0 {
		digest := newDigest(f.setup.Engines)
		f.digests[config.Self] = digest
		config.Extensions, config.ExtensionInterval = []membership.Extension{digest}, loadreport.Interval
	}
	return membership.New(config)
}

// newDigest makes a digest that knows the names of all engines and the load of none.
func newDigest(engines int) *loadreport.Digest {
	digest, numbers := loadreport.New(), make([]uint64, engines)
	for i := range numbers {
		numbers[i] = engineNumber(i)
	}
	digest.SetEngines(numbers)
	return digest
}

// handleEvent hands a gateway what another one's digest said.
func (f *fleet) handleEvent(at int, event membership.Event) error {
	if event.Kind == membership.ExtensionReceived && event.ExtensionKind == loadreport.ExtensionKind {
		f.digests[at].Receive(f.Now, event.Body)
	}
	return nil
}

// recordReports hands each gateway that is up the reports of a step, and comes again.
func (f *fleet) recordReports() {
	perStep := f.setup.Reports * reportInterval.Seconds()
	for i, digest := range f.digests {
		if digest == nil || !f.Members[i].Up {
			continue
		}
		for range f.randomRound(perStep) {
			digest.Record(f.Now, engineNumber(f.random.IntN(f.setup.Engines)), f.random.IntN(20))
		}
	}
	f.At(reportInterval, f.recordReports)
}

// randomRound draws a whole number whose mean is the given one.
func (f *fleet) randomRound(mean float64) int {
	whole := int(mean)
	if f.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}
