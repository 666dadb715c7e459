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
	Engines          int     // engines whose load reports gateways share; 0 disables load reports
	ReportsPerSecond float64 // load reports of random engines that each gateway records
	Loss             float64 // probability that a datagram is lost
	Seed             uint64
}

// fleet simulates membership at every gateway and, if there are engines, the sharing of load reports.
type fleet struct {
	*simulation.Fleet
	setup   FleetSetup
	digests []*loadreport.Digest // load reports held by each gateway since its latest start
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

// newDetector returns the membership of a gateway, configured as in internal/program: load reports are piggybacked on its
// datagrams, and it sends additional datagrams for them at loadreport.Interval.
func (f *fleet) newDetector(config membership.Config) (simulation.Detector, error) {
	if f.setup.Engines > 0 {
		digest := newDigest(f.setup.Engines)
		f.digests[config.Self] = digest
		config.Extensions, config.ExtensionInterval = []membership.Extension{digest}, loadreport.Interval
	}
	return membership.New(config)
}

// newDigest returns a digest that contains the IDs of all engines but no load reports.
func newDigest(engines int) *loadreport.Digest {
	digest, numbers := loadreport.New(), make([]uint64, engines)
	for i := range numbers {
		numbers[i] = engineNumber(i)
	}
	digest.SetEngines(numbers)
	return digest
}

// handleEvent passes the load reports that a gateway receives to its digest.
func (f *fleet) handleEvent(at int, event membership.Event) error {
	if event.Kind == membership.ExtensionReceived && event.ExtensionKind == loadreport.ExtensionKind {
		f.digests[at].Receive(f.Now, event.Body)
	}
	return nil
}

// recordReports records the load reports of one interval at each running gateway, and schedules itself for the next one.
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

// randomRound rounds a value up or down at random, such that the expected result is the given value.
func (f *fleet) randomRound(mean float64) int {
	rounded := int(mean)
	if f.random.Float64() < mean-float64(rounded) {
		rounded++
	}
	return rounded
}
