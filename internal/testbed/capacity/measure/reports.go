package measure

import (
	"runtime"
	"time"
)

// Durations of the measurement of load reports.
const (
	reportWarmUp  = 8050 * time.Millisecond // virtual time: longer than the validity of a report, and not a multiple of the report interval
	reportSamples = 3                       // measured seconds
)

// ReportCoverage says how many load reports of engines the gateways hold, how old these are, and what sharing them costs.
type ReportCoverage struct {
	KnownShare     float64 // share of engines for which a gateway holds an unexpired report, mean over gateways
	AgeSeconds     float64 // mean over the unexpired reports of all gateways
	Processor      float64 // CPU seconds per second and gateway, for membership, reports and the simulator
	BytesPerSecond float64 // bytes sent per second and gateway, for membership and reports
}

// SharedReports measures the coverage and the cost of shared load reports in a fleet without faults.
func SharedReports(setup FleetSetup) (ReportCoverage, error) {
	f, err := newFleet(setup)
	if err != nil {
		return ReportCoverage{}, err
	}
	if err := f.Run(reportWarmUp); err != nil {
		return ReportCoverage{}, err
	}
	var measured ReportCoverage
	sentBefore, started := sum(f.SentBytes), processorTime()
	for range reportSamples {
		if err := f.Run(time.Second); err != nil {
			return ReportCoverage{}, err
		}
	}
	gatewaySeconds := float64(setup.Gateways) * reportSamples
	measured.Processor = (processorTime() - started).Seconds() / gatewaySeconds
	measured.BytesPerSecond = float64(sum(f.SentBytes)-sentBefore) / gatewaySeconds
	measured.KnownShare, measured.AgeSeconds = f.coverage()
	return measured, nil
}

// coverage returns the share of engines for which gateways hold an unexpired load report, and the mean age of these reports
// in seconds, over all gateways.
func (f *fleet) coverage() (share, age float64) {
	held := 0
	for _, digest := range f.digests {
		for i := range f.setup.Engines {
			if report, ok := digest.Latest(f.Now, engineNumber(i)); ok {
				held++
				age += (f.Now - report.ReportedAt).Seconds()
			}
		}
	}
	return float64(held) / float64(f.setup.Engines*f.setup.Gateways), age / float64(max(1, held))
}

// DigestMemory returns the memory use in bytes of a digest that holds one report of each of the given number of engines.
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
