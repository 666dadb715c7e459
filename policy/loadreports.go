package policy

import (
	"math"
	"time"
)

const (
	// reportDecay is the time in which the weight of an engine's latest report decays to 1/e.
	reportDecay = 3 * time.Second

	// maxReportAge is the age up to which a report counts for the mean load over the engines.
	maxReportAge = 2 * reportDecay

	// meanLoadDecay is the time in which the weight of the earlier reports in the fleet's mean load decays to 1/e.
	meanLoadDecay = time.Second

	// inFlightSmoothing is the weight of the present number of own attempts in its smoothed value. A report describes
	// the past, so it has to be compared with the own attempts of about that time.
	inFlightSmoothing = 0.2

	// fullUtilization is the utilization of cores that corresponds to an engine at its target.
	fullUtilization = 0.9
)

// metricValue returns the value of a metric, and whether the report contains it and it is plausible.
func metricValue(report LoadReport, metric Metric) (float64, bool) {
	value, ok := report.Values[metric]
	return value, ok && report.Present && value >= 0 && !math.IsInf(value, 0)
}

// applyReport updates the estimated peer load of an engine, and its target, by a load report. Peer load is the number
// of running queries less the own ones. Without that metric it is derived from the utilization of cores, which says
// least when all of them are busy.
func (g *Gateway) applyReport(e *engine, report LoadReport) {
	e.smoothedInFlight += inFlightSmoothing * (float64(len(e.inFlight)) - e.smoothedInFlight)
	queries, queriesKnown := metricValue(report, RunningQueries)
	utilization, utilizationKnown := metricValue(report, CPUUtilization)
	switch {
	case queriesKnown:
		g.recordPeerThreads(e, max(0, queries-e.smoothedInFlight)*g.threadsPerQuery)
	case utilizationKnown && g.settings.Gateways > 1:
		threads := g.concurrencyTarget(e) * utilization / fullUtilization
		g.recordPeerThreads(e, max(0, threads-e.smoothedInFlight*g.threadsPerQuery))
	}
	g.adjustTarget(e, report)
}

// handlePeerReports applies load reports that peers forwarded, where they are about known engines and newer than what
// this gateway has, and dispatches the queue.
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

// updateMeanOverEngines recomputes the mean peer load over the engines, if most have a recent report. The mean over
// reports is biased: overloaded engines answer seldom and so report seldom.
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

// recordPeerThreads records a new estimate of the peer threads at an engine, for the engine and for the fleet's mean.
func (g *Gateway) recordPeerThreads(e *engine, threads float64) {
	weight := 1 - math.Exp(-float64(g.now-g.meanPeerLoadAt)/float64(meanLoadDecay))
	g.meanPeerLoad += weight * (threads/e.cores/g.warmupFactor(e) - g.meanPeerLoad)
	g.loadReported, g.meanPeerLoadAt = true, g.now
	g.setPeerThreads(e, threads)
}

// setPeerThreads records a new estimate of the peer threads at an engine and invalidates the cached one.
func (g *Gateway) setPeerThreads(e *engine, threads float64) {
	e.reportedPeerThreads, e.peerThreadsCachedAt, e.reportedAt = threads, -1, g.now
}

// peerThreads is the estimated number of threads of other gateways at an engine: a mean of its latest report and of the
// fleet's mean load, in which the report has the less weight the older it is.
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

// totalLoadPerCore is the load of an engine by all gateways, in threads per core: the design's shared count.
func (g *Gateway) totalLoadPerCore(e *engine) float64 {
	return (g.peerThreads(e) + e.ownThreads) / e.cores
}
