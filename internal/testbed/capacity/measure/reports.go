package measure

import (
	"runtime"
	"time"
)

const (
	reportWarmUp  = 8050 * time.Millisecond // virtual time: more than the life of a report, and between two steps
	reportSamples = 3                       // looks at what is known, a second apart
)

// Knowledge is what gateways know of engines by shared load reports.
type Knowledge struct {
	KnownShare float64 // of the engines, of which a gateway holds a report that has not ended
	Age        float64 // seconds, mean of the reports held
	Processor  float64 // processor seconds a second and gateway: membership and reports, the simulator's part included
	Bytes      float64 // sent a second and gateway: membership and reports
}

// SharedReports measures the shared load reports in a quiet fleet.
func SharedReports(setup FleetSetup) (Knowledge, error) {
	f, err := newFleet(setup)
	if err != nil {
		return Knowledge{}, err
	}
	if err := f.Run(reportWarmUp); err != nil {
		return Knowledge{}, err
	}
	var out Knowledge
	sent, began := sum(f.SentBytes), processorTime()
	for range reportSamples {
		if err := f.Run(time.Second); err != nil {
			return Knowledge{}, err
		}
	}
	per := float64(setup.Gateways) * reportSamples
	out.Processor = (processorTime() - began).Seconds() / per
	out.Bytes = float64(sum(f.SentBytes)-sent) / per
	out.KnownShare, out.Age = f.knowledge()
	return out, nil
}

// knowledge looks at every gateway's digest: the share of engines known and the mean age in seconds.
func (f *fleet) knowledge() (share, age float64) {
	held := 0
	for _, digest := range f.digests {
		for i := range f.setup.Engines {
			if report, ok := digest.Latest(f.Now, engineNumber(i)); ok {
				held++
				age += (f.Now - report.At).Seconds()
			}
		}
	}
	return float64(held) / float64(f.setup.Engines*f.setup.Gateways), age / float64(max(1, held))
}

// DigestMemory is the memory of one digest that knows so many engines, in bytes.
func DigestMemory(engines int) float64 {
	const copies = 20
	before := liveMemory()
	digests := make([]any, copies)
	for i := range digests {
		digest := newDigest(engines)
		for engine := range engines {
			digest.Record(virtualEpoch, engineNumber(engine), 1)
		}
		digest.Append(virtualEpoch, 0, 200, nil)
		digests[i] = digest
	}
	after := liveMemory()
	runtime.KeepAlive(digests)
	return (after - before) / copies
}
