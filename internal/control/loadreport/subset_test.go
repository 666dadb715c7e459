package loadreport

import (
	"math/rand/v2"
	"testing"
	"time"

	"frostpier/internal/control/subset"
)

// Parameters of the simulated fleet.
const (
	modelGatewayCount  = 800
	modelEngineCount   = 1100
	modelZoneCount     = 7
	reportsPerSecond   = 6   // of engines to each gateway
	datagramsPerSecond = 3   // of each gateway
	modelRoom          = 200 // bytes
	modelStep          = 10 * time.Millisecond
	modelDuration      = 8 * time.Second
	modelLoss          = 0.02 // share of the datagrams
)

// modelGateway is a gateway of the simulated fleet.
type modelGateway struct {
	digest            *Digest
	engines           []uint64  // that it sends queries to
	cumulativeWeights []float64 // of the gateways as receivers of its datagrams
}

// hashedEngineNumber returns the number of an engine, scattered as hashes of names are.
func hashedEngineNumber(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// fullMeshGateways returns gateways that use every engine and send datagrams to all others with equal probability.
func fullMeshGateways() (out []*modelGateway) {
	var engines []uint64
	for i := range modelEngineCount {
		engines = append(engines, hashedEngineNumber(i))
	}
	for range modelGatewayCount {
		g := &modelGateway{digest: New(), engines: engines}
		g.digest.SetEngines(engines)
		for i := range modelGatewayCount {
			g.cumulativeWeights = append(g.cumulativeWeights, float64(i+1))
		}
		out = append(out, g)
	}
	return out
}

// subsetGateways returns the gateways with these numbers, of a fleet in which each uses a subset of the engines.
func subsetGateways(t testing.TB, numbers []int) (out []*modelGateway) {
	t.Helper()
	var engines []subset.Engine
	for i := range modelEngineCount {
		engines = append(engines, subset.Engine{ID: hashedEngineNumber(i), Zone: i % modelZoneCount, Ready: true})
	}
	var gateways []subset.Gateway
	for i := range modelGatewayCount {
		gateways = append(gateways, subset.Gateway{Zone: i % modelZoneCount, InService: true})
	}
	for _, number := range numbers {
		chooser, err := subset.New(subset.DefaultConfig(), number, number%modelZoneCount, modelGatewayCount)
		if err != nil {
			t.Fatal(err)
		}
		chooser.SetGateways(epoch, gateways)
		chooser.SetEngines(epoch, engines)
		g := &modelGateway{digest: New(), engines: append([]uint64(nil), chooser.IDs()...)}
		g.digest.SetEngines(g.engines)
		sum := 0.0
		for _, other := range numbers {
			if other != number {
				sum += chooser.Overlap(other)
			}
			g.cumulativeWeights = append(g.cumulativeWeights, sum)
		}
		out = append(out, g)
	}
	return out
}

// randomReceiver draws the receiver of a datagram by weight.
func (g *modelGateway) randomReceiver(rnd *rand.Rand) int {
	point := rnd.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for i, sum := range g.cumulativeWeights {
		if sum > point {
			return i
		}
	}
	return len(g.cumulativeWeights) - 1
}

// simulate runs the gateways and returns the share of its engines on which a gateway has a report at the end, and the mean age
// of the reports.
func simulate(gateways []*modelGateway, seed uint64) (known float64, age time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	now := epoch
	for ; now < epoch+modelDuration; now += modelStep {
		for _, g := range gateways {
			if rnd.Float64() < reportsPerSecond*modelStep.Seconds() {
				g.digest.Record(now, g.engines[rnd.IntN(len(g.engines))], 5)
			}
			if rnd.Float64() < datagramsPerSecond*modelStep.Seconds() {
				body := g.digest.Append(now, 0, modelRoom, nil)
				if to := gateways[g.randomReceiver(rnd)]; rnd.Float64() >= modelLoss {
					to.digest.Receive(now, body)
				}
			}
		}
	}
	engines, reports := 0, 0
	for _, g := range gateways {
		for _, engine := range g.engines {
			engines++
			if report, ok := g.digest.Latest(now, engine); ok {
				reports++
				age += now - report.ReportedAt
			}
		}
	}
	return float64(reports) / float64(engines), age / time.Duration(max(1, reports))
}

// gatewaysOfOneZone returns the numbers of the gateways of zone 0. With this number of engines they share none with gateways
// of other zones.
func gatewaysOfOneZone() (numbers []int) {
	for number := 0; number < modelGatewayCount; number += modelZoneCount {
		numbers = append(numbers, number)
	}
	return numbers
}

// A gateway of 800 with 1,100 engines has reports on nearly all engines of its subset. One zone is simulated: gateways of other
// zones receive none of its datagrams, which the test checks.
func TestReportsCoverSubset(t *testing.T) {
	gateways := subsetGateways(t, gatewaysOfOneZone())
	if pair := subsetGateways(t, []int{0, 1}); pair[0].cumulativeWeights[1] != 0 {
		t.Fatalf("a gateway of another zone has the weight %g", pair[0].cumulativeWeights[1])
	}
	known, age := simulate(gateways, 1)
	t.Logf("%.3f of the subset's engines with a report, %v old", known, age)
	if known < 0.95 {
		t.Errorf("%.3f of the subset's engines with a report", known)
	}
}

// BenchmarkKnowledge simulates the whole fleet without and with subsets.
func BenchmarkKnowledge(b *testing.B) {
	everyone := make([]int, modelGatewayCount)
	for i := range everyone {
		everyone[i] = i
	}
	for name, gateways := range map[string]func() []*modelGateway{"subset=false": fullMeshGateways,
		"subset=true": func() []*modelGateway { return subsetGateways(b, everyone) }} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				fleet, engines := gateways(), 0
				for _, g := range fleet {
					engines += len(g.engines)
				}
				known, age := simulate(fleet, 1)
				b.ReportMetric(float64(engines)/modelGatewayCount, "engines/gateway")
				b.ReportMetric(known, "known")
				b.ReportMetric(age.Seconds(), "s-old")
			}
		})
	}
}
