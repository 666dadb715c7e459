package measure

import (
	"math/rand/v2"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// reportInterval is the interval at which the gateways record load reports of engines.
const reportInterval = 100 * time.Millisecond

// FleetSetup describes a simulated fleet of gateways on a virtual clock.
type FleetSetup struct {
	Gateways         int
	Engines          int     // whose load reports gateways share; 0 = none
	ReportsPerSecond float64 // of random engines, per second at each gateway
	Loss             float64 // share of datagrams lost
	Seed             uint64
}

// fleet runs membership at every gateway and, if there are engines, the sharing of load reports.
type fleet struct {
	*simulation.Fleet
	setup   FleetSetup
	digests []*loadreport.Digest // by gateway, of its current incarnation
	random  *rand.Rand
}

func newFleet(setup FleetSetup) (*fleet, error) {
	f := &fleet{setup: setup, digests: make([]*loadreport.Digest, setup.Gateways), random: rand.New(rand.NewPCG(setup.Seed, 23))}
	running, err := simulation.New(simulation.Setup{Members: setup.Gateways, Seed: setup.Seed, Loss: setup.Loss,
		StartSpread: time.Second, StepsPerCheck: 1 << 30, NewDetector: f.newDetector})
	if err != nil {
		return nil, err
	}
	f.Fleet = running
	if setup.Engines > 0 {
		running.OnEvent = f.handleEvent
		running.After(0, f.recordReports)
	}
	return f, nil
}

// newDetector returns a gateway's membership as internal/program configures it: load reports are piggybacked on its
// datagrams, and it sends further datagrams for them at loadreport.Interval.
func (f *fleet) newDetector(config membership.Config) (simulation.Detector, error) {
	if f.setup.Engines > 0 {
		digest := newDigest(f.setup.Engines)
		f.digests[config.Self] = digest
		config.Extensions, config.ExtensionInterval = []membership.Extension{digest}, loadreport.Interval
	}
	return membership.New(config)
}

// newDigest returns a digest that knows all engines and the load of none.
func newDigest(engines int) *loadreport.Digest {
	digest, numbers := loadreport.New(), make([]uint64, engines)
	for i := range numbers {
		numbers[i] = engineNumber(i)
	}
	digest.SetEngines(numbers)
	return digest
}

// handleEvent passes load reports that a gateway received to its digest.
func (f *fleet) handleEvent(at int, event membership.Event) error {
	if event.Kind == membership.ExtensionReceived && event.ExtensionKind == loadreport.ExtensionKind {
		f.digests[at].Receive(f.Now, event.Body)
	}
	return nil
}

// recordReports records the load reports of one interval at each running gateway, and schedules itself for the next.
func (f *fleet) recordReports() {
	perInterval := f.setup.ReportsPerSecond * reportInterval.Seconds()
	for i, digest := range f.digests {
		if digest == nil || !f.Members[i].Up {
			continue
		}
		for range f.randomRound(perInterval) {
			digest.Record(f.Now, engineNumber(f.random.IntN(f.setup.Engines)), f.random.IntN(20))
		}
	}
	f.After(reportInterval, f.recordReports)
}

// randomRound rounds up or down at random such that the mean of its results is the given value.
func (f *fleet) randomRound(mean float64) int {
	rounded := int(mean)
	if f.random.Float64() < mean-float64(rounded) {
		rounded++
	}
	return rounded
}
