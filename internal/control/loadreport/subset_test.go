package loadreport

import (
	"math/rand/v2"
	"testing"
	"time"

	"frostpier/internal/control/subset"
)

// The fleet of the model, and what each of its gateways sends and hears.
const (
	modelGateways  = 800
	modelEngines   = 1100
	modelZones     = 7
	modelReports   = 6 // a second and gateway
	modelDatagrams = 3 // likewise
	modelRoom      = 200
	modelStep      = 10 * time.Millisecond
	modelFor       = 8 * time.Second
	modelLoss      = 0.02
)

// knower is a gateway of the model.
type knower struct {
	digest  *Digest
	engines []uint64  // that it sends to
	sums    []float64 // of the others' weights as receivers, up to each
}

// engineNumber scatters numbers as hashes of names do.
func engineNumber(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// withAll makes gateways that work with every engine and tell all others alike.
func withAll() (out []*knower) {
	var engines []uint64
	for i := range modelEngines {
		engines = append(engines, engineNumber(i))
	}
	for range modelGateways {
		k := &knower{digest: New(), engines: engines}
		k.digest.SetEngines(engines)
		for i := range modelGateways {
			k.sums = append(k.sums, float64(i+1))
		}
		out = append(out, k)
	}
	return out
}

// withSubsets makes the gateways with these numbers, of a whole fleet that works with subsets.
func withSubsets(t testing.TB, numbers []int) (out []*knower) {
	t.Helper()
	var engines []subset.Engine
	for i := range modelEngines {
		engines = append(engines, subset.Engine{ID: engineNumber(i), Zone: i % modelZones, Ready: true})
	}
	var gateways []subset.Gateway
	for i := range modelGateways {
		gateways = append(gateways, subset.Gateway{Zone: i % modelZones, InService: true})
	}
	for _, number := range numbers {
		chooser, err := subset.New(subset.DefaultConfig(), number, number%modelZones, modelGateways)
		if err != nil {
			t.Fatal(err)
		}
		chooser.SetGateways(epoch, gateways)
		chooser.SetEngines(epoch, engines)
		k := &knower{digest: New(), engines: append([]uint64(nil), chooser.IDs()...)}
		k.digest.SetEngines(k.engines)
		sum := 0.0
		for _, other := range numbers {
			if other != number {
				sum += chooser.Overlaps(other)
			}
			k.sums = append(k.sums, sum)
		}
		out = append(out, k)
	}
	return out
}

// receiver draws one of the gateways by weight.
func (k *knower) receiver(rnd *rand.Rand) int {
	left := rnd.Float64() * k.sums[len(k.sums)-1]
	for i, sum := range k.sums {
		if sum > left {
			return i
		}
	}
	return len(k.sums) - 1
}

// play has the gateways hear of engines and tell each other, and measures what share of its engines one knows at the end, and
// how old that is.
func play(gateways []*knower, seed uint64) (known float64, age time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	now := epoch
	for ; now < epoch+modelFor; now += modelStep {
		for _, k := range gateways {
			if rnd.Float64() < modelReports*modelStep.Seconds() {
				k.digest.Record(now, k.engines[rnd.IntN(len(k.engines))], 5)
			}
			if rnd.Float64() < modelDatagrams*modelStep.Seconds() {
				body := k.digest.Append(now, 0, modelRoom, nil)
				if to := gateways[k.receiver(rnd)]; rnd.Float64() >= modelLoss {
					to.digest.Receive(now, body)
				}
			}
		}
	}
	all, heard := 0, 0
	for _, k := range gateways {
		for _, engine := range k.engines {
			all++
			if report, ok := k.digest.Latest(now, engine); ok {
				heard++
				age += now - report.At
			}
		}
	}
	return float64(heard) / float64(all), age / time.Duration(max(1, heard))
}

// zoneMates are the numbers of one zone's gateways: with an engine's list of this size they share no engine with others.
func zoneMates() (numbers []int) {
	for number := 0; number < modelGateways; number += modelZones {
		numbers = append(numbers, number)
	}
	return numbers
}

// A gateway of a fleet of 800 before 1,100 engines knows nearly all engines of its subset by load reports. Only one zone is
// played: gateways of others get none of its datagrams, which the test checks.
func TestSubsetsAreKnown(t *testing.T) {
	mates := withSubsets(t, zoneMates())
	if pair := withSubsets(t, []int{0, 1}); pair[0].sums[1] != 0 {
		t.Fatalf("a gateway of another zone has the weight %g", pair[0].sums[1])
	}
	known, age := play(mates, 1)
	t.Logf("%.3f of the subset's engines known, %v old", known, age)
	if known < 0.95 {
		t.Errorf("%.3f known", known)
	}
}

// BenchmarkKnowledge plays the whole fleet without subsets and with them.
func BenchmarkKnowledge(b *testing.B) {
	everyone := make([]int, modelGateways)
	for i := range everyone {
		everyone[i] = i
	}
	for name, gateways := range map[string]func() []*knower{"subset=false": withAll,
		"subset=true": func() []*knower { return withSubsets(b, everyone) }} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				fleet, engines := gateways(), 0
				for _, k := range fleet {
					engines += len(k.engines)
				}
				known, age := play(fleet, 1)
				b.ReportMetric(float64(engines)/modelGateways, "engines/gateway")
				b.ReportMetric(known, "known")
				b.ReportMetric(age.Seconds(), "s-old")
			}
		})
	}
}
