package policy

import (
	"math"
	"time"
)

const (
	// reportDecay is the time constant (decay to 1/e) of the weight of an engine's latest report.
	reportDecay = 3 * time.Second

	// maxReportAge is the age up to which a report is included in the mean load over the engines.
	maxReportAge = 2 * reportDecay

	// meanLoadDecay is the time constant (decay to 1/e) of the weight of earlier reports in the fleet's mean load.
	meanLoadDecay = time.Second

	// inFlightSmoothing is the weight of the current number of own attempts in its smoothed value. Reports are delayed,
	// so they must be compared with the number of own attempts at about the time to which they refer.
	inFlightSmoothing = 0.2

	// targetUtilization is the core utilization of an engine that runs its target number of threads.
	targetUtilization = 0.9
)

// metricValue returns the value of a metric and whether the report contains a valid value for it.
func metricValue(report LoadReport, metric Metric) (float64, bool) {
	value, ok := report.Values[metric]
	return value, ok && report.Present && value >= 0 && !math.IsInf(value, 0)
}

// applyReport updates the estimated peer load and the target of an engine with a load report. The peer load is the
// number of running queries minus those of this gateway. If the report lacks that number, the peer load is derived from
// the core utilization, which is inaccurate when all cores are busy.
func (g *Gateway) applyReport(e *engine, report LoadReport) {
	e.smoothedInFlight += inFlightSmoothing * (float64(len(e.inFlight)) - e.smoothedInFlight)
	queries, queriesKnown := metricValue(report, RunningQueries)
	utilization, utilizationKnown := metricValue(report, CPUUtilization)
	switch {
	case queriesKnown:
		g.recordPeerThreads(e, max(0, queries-e.smoothedInFlight)*g.threadsPerQuery)
	case utilizationKnown && g.settings.Gateways > 1:
		threads := g.concurrencyTarget(e) * utilization / targetUtilization
		g.recordPeerThreads(e, max(0, threads-e.smoothedInFlight*g.threadsPerQuery))
	}
	g.adjustTarget(e, report)
}

// handlePeerReports applies load reports that peers forwarded and dispatches the queue. It ignores reports about
// unknown engines, reports older than the latest known one, and reports with a time in the future.
func (g *Gateway) handlePeerReports(event PeerReports) {
	for _, report := range event.Reports {
		e := g.engineByID[report.Engine]
		if e == nil || report.ReportedAt <= e.reportedAt || report.ReportedAt > g.now {
			continue
		}
		g.recordPeerThreads(e, max(0, report.RunningQueries-e.smoothedInFlight)*g.threadsPerQuery)
		e.reportedAt = report.ReportedAt
	}
	g.updateMeanOverEngines()
	g.dispatch()
}

// updateMeanOverEngines recomputes the mean peer load as a mean over engines, if most engines have a recent report. A
// mean over reports is biased, because engines report with their answers and overloaded engines answer less often.
func (g *Gateway) updateMeanOverEngines() {
	recent := filter(g.readyEngines, func(e *engine) bool {
		return e.reportedAt > 0 && g.now-e.reportedAt < maxReportAge
	})
	if 2*len(recent) <= len(g.readyEngines) {
		return
	}
	threads := sumOf(recent, func(e *engine) float64 { return e.reportedPeerThreads / g.warmupFactor(e) })
	g.meanPeerLoad = threads / sumOf(recent, engineCores)
}

// recordPeerThreads records a new estimate of the peer threads at an engine and updates the mean over the fleet.
func (g *Gateway) recordPeerThreads(e *engine, threads float64) {
	weight := 1 - math.Exp(-float64(g.now-g.meanPeerLoadAt)/float64(meanLoadDecay))
	g.meanPeerLoad += weight * (threads/e.cores/g.warmupFactor(e) - g.meanPeerLoad)
	g.loadReported, g.meanPeerLoadAt = true, g.now
	g.setPeerThreads(e, threads)
}

// setPeerThreads records a new estimate of the peer threads at an engine and invalidates the cached value.
func (g *Gateway) setPeerThreads(e *engine, threads float64) {
	e.reportedPeerThreads, e.peerThreadsCachedAt, e.reportedAt = threads, -1, g.now
}

// peerThreads returns the estimated number of threads of other gateways at an engine. It combines the engine's latest
// report with the mean load of the fleet; the older the report, the lower its weight.
func (g *Gateway) peerThreads(e *engine) float64 {
	if e.peerThreadsCachedAt != g.now {
		weight := 0.0
		if e.reportedAt > 0 {
			weight = math.Exp(-float64(g.now-e.reportedAt) / float64(reportDecay))
		}
		fleetThreads := (1 - weight) * g.meanPeerLoad * e.cores * g.warmupFactor(e)
		e.cachedPeerThreads = weight*e.reportedPeerThreads + fleetThreads
		e.peerThreadsCachedAt = g.now
	}
	return e.cachedPeerThreads
}

// totalLoadPerCore returns the load of an engine from all gateways in threads per core (the shared count of the design
// notes).
func (g *Gateway) totalLoadPerCore(e *engine) float64 {
	return (g.peerThreads(e) + e.ownThreads) / e.cores
}
