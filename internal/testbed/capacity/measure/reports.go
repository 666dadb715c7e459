package measure

import (
	"runtime"
	"time"
)

// Times of the measurement of load reports.
const (
	reportWarmUp  = 8050 * time.Millisecond // virtual time: longer than a report is valid, and between two report intervals
	reportSamples = 3                       // seconds that are measured
)

// ReportCoverage is what gateways know of engines by shared load reports, and what that costs.
type ReportCoverage struct {
	KnownShare     float64 // share of engines of which a gateway holds an unexpired report, mean over gateways
	AgeSeconds     float64 // seconds, mean over the reports held
	Processor      float64 // processor seconds per second and gateway, for membership, reports and their simulation
	BytesPerSecond float64 // sent per second and gateway, for membership and reports
}

// SharedReports measures the sharing of load reports in a fleet without faults.
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

// coverage returns the share of engines whose load is known, and the mean age of the reports in seconds, over all
// gateways.
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

// DigestMemory returns the memory of one digest that holds a report of that many engines, in bytes.
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
