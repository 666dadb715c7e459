package loadreport

import (
	"math/rand/v2"
	"testing"
	"time"

	"frostpier/internal/control/subset"
)

// Parameters of the simulated fleet.
const (
	gatewayCount       = 800
	engineCount        = 1100
	zoneCount          = 7
	reportsPerSecond   = 6 // load reports that each gateway receives from engines
	datagramsPerSecond = 3 // datagrams that each gateway sends
	maxMessageBytes    = 200
	simStep            = 10 * time.Millisecond
	simDuration        = 8 * time.Second
	datagramLoss       = 0.02 // probability that a datagram is lost
)

// simGateway is a gateway of the simulated fleet.
type simGateway struct {
	digest            *Digest
	engines           []uint64  // engines to which it sends queries
	cumulativeWeights []float64 // prefix sums of the weights with which it chooses the receivers of its datagrams
}

// hashedEngineID returns the ID of the i-th engine. The IDs are scattered like hashes of names.
func hashedEngineID(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// fullMeshGateways returns gateways that use every engine and send datagrams to all gateways with equal probability.
func fullMeshGateways() (out []*simGateway) {
	var engines []uint64
	for i := range engineCount {
		engines = append(engines, hashedEngineID(i))
	}
	for range gatewayCount {
		g := &simGateway{digest: New(), engines: engines}
		g.digest.SetEngines(engines)
		for i := range gatewayCount {
			g.cumulativeWeights = append(g.cumulativeWeights, float64(i+1))
		}
		out = append(out, g)
	}
	return out
}

// subsetGateways returns the gateways with the given numbers from a fleet in which each gateway uses a subset of the engines.
func subsetGateways(t testing.TB, numbers []int) (out []*simGateway) {
	t.Helper()
	var engines []subset.Engine
	for i := range engineCount {
		engines = append(engines, subset.Engine{ID: hashedEngineID(i), Zone: i % zoneCount, Ready: true})
	}
	var gateways []subset.Gateway
	for i := range gatewayCount {
		gateways = append(gateways, subset.Gateway{Zone: i % zoneCount, InService: true})
	}
	for _, number := range numbers {
		chooser, err := subset.New(subset.DefaultConfig(), number, number%zoneCount, gatewayCount)
		if err != nil {
			t.Fatal(err)
		}
		chooser.SetGateways(epoch, gateways)
		chooser.SetEngines(epoch, engines)
		g := &simGateway{digest: New(), engines: append([]uint64(nil), chooser.IDs()...)}
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

// randomReceiver returns the index of a random gateway, drawn by weight.
func (g *simGateway) randomReceiver(rnd *rand.Rand) int {
	point := rnd.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for i, sum := range g.cumulativeWeights {
		if sum > point {
			return i
		}
	}
	return len(g.cumulativeWeights) - 1
}

// simulate runs the gateways for simDuration. It returns the share of a gateway's engines on which it has a report at the end,
// and the mean age of these reports.
func simulate(gateways []*simGateway, seed uint64) (known float64, age time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	now := epoch
	for ; now < epoch+simDuration; now += simStep {
		for _, g := range gateways {
			if rnd.Float64() < reportsPerSecond*simStep.Seconds() {
				g.digest.Record(now, g.engines[rnd.IntN(len(g.engines))], 5)
			}
			if rnd.Float64() < datagramsPerSecond*simStep.Seconds() {
				body := g.digest.Append(now, 0, maxMessageBytes, nil)
				if to := gateways[g.randomReceiver(rnd)]; rnd.Float64() >= datagramLoss {
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

// gatewaysOfOneZone returns the numbers of the gateways in zone 0. With engineCount engines, their subsets contain no engine
// that gateways of other zones use.
func gatewaysOfOneZone() (numbers []int) {
	for number := 0; number < gatewayCount; number += zoneCount {
		numbers = append(numbers, number)
	}
	return numbers
}

// Checks that each gateway has reports on nearly all engines of its subset in a fleet of 800 gateways and 1,100 engines. The
// test simulates only one zone, and checks that gateways of other zones receive none of its datagrams.
func TestReportsCoverSubset(t *testing.T) {
	gateways := subsetGateways(t, gatewaysOfOneZone())
	if pair := subsetGateways(t, []int{0, 1}); pair[0].cumulativeWeights[1] != 0 {
		t.Fatalf("a gateway of another zone has weight %g, want 0", pair[0].cumulativeWeights[1])
	}
	known, age := simulate(gateways, 1)
	t.Logf("share of the subset's engines with a report: %.3f, mean age of the reports: %v", known, age)
	if known < 0.95 {
		t.Errorf("share of the subset's engines with a report is %.3f, want at least 0.95", known)
	}
}

// BenchmarkReportCoverage simulates the whole fleet without and with subsets. It reports the share of a gateway's engines on
// which it has a report, and the mean age of the reports.
func BenchmarkReportCoverage(b *testing.B) {
	allNumbers := make([]int, gatewayCount)
	for i := range allNumbers {
		allNumbers[i] = i
	}
	for name, gateways := range map[string]func() []*simGateway{"subset=false": fullMeshGateways,
		"subset=true": func() []*simGateway { return subsetGateways(b, allNumbers) }} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				fleet, engines := gateways(), 0
				for _, g := range fleet {
					engines += len(g.engines)
				}
				known, age := simulate(fleet, 1)
				b.ReportMetric(float64(engines)/gatewayCount, "engines/gateway")
				b.ReportMetric(known, "known")
				b.ReportMetric(age.Seconds(), "s-old")
			}
		})
	}
}
