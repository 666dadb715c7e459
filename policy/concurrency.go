package policy

import "time"

// Concurrency limits per engine. All gateways together should have a target number of threads at an engine; the target
// follows the engine's reports, and each gateway has its share of it.
const (
	// targetThreadsPerCore is the target before any report. Above 1, because queries that read leave cores idle.
	targetThreadsPerCore = 1.5

	// targetAdjustInterval is the least time between two adjustments of a target: about the age of a report.
	targetAdjustInterval = 300 * time.Millisecond

	// targetFactorStep is the relative size of one adjustment; the factor stays between the two bounds, as engines
	// saturate between one and two threads per core.
	targetFactorStep = 0.04
	minTargetFactor  = 0.7
	maxTargetFactor  = 1.4

	// highUtilization is the utilization of cores or disks above which the target decreases; below lowUtilization it
	// may increase.
	highUtilization = 0.97
	lowUtilization  = 0.88

	// limitBindingShare is the share of its limit in use from which the limit is what holds this gateway's work back.
	limitBindingShare = 0.8

	// uncertaintyOvercommit raises the limit of a gateway that is one of many, in multiples of the target: its estimate
	// of peer load is only a guess, and a strict limit would leave engines idle.
	uncertaintyOvercommit = 2.5
)

// concurrencyTarget is how many threads all gateways together should have at an engine.
func (g *Gateway) concurrencyTarget(e *engine) float64 {
	return targetThreadsPerCore * e.cores * e.targetFactor * g.warmupFactor(e)
}

// concurrencyLimit is how many threads this gateway may have at an engine. Without load reports it is an even share of
// the target, times multiple. With them it is the larger of that and of what peers leave of the target.
func (g *Gateway) concurrencyLimit(e *engine, multiple float64) float64 {
	target := multiple * g.concurrencyTarget(e)
	if !g.loadReported {
		return target / g.gatewaysInService
	}
	overcommit := 1 + uncertaintyOvercommit*max(0, 2*g.unseenPeerShare-1)
	return max(target/g.gatewaysInService, target*overcommit-g.peerThreads(e))
}

// adjustTarget adjusts an engine's target by a report: down while cores or disks are saturated; up while neither is and
// this gateway's limit is what holds work back. Without the metric of cores the target does not increase.
func (g *Gateway) adjustTarget(e *engine, report LoadReport) {
	cores, coresKnown := metricValue(report, CPUUtilization)
	disks, disksKnown := metricValue(report, DiskUtilization)
	if !coresKnown && !disksKnown || g.now < e.nextAdjustAt {
		return
	}
	e.nextAdjustAt = g.now + targetAdjustInterval
	utilization := max(cores, disks)
	switch {
	case utilization > highUtilization:
		e.targetFactor = max(minTargetFactor, e.targetFactor*(1-targetFactorStep))
	case coresKnown && utilization < lowUtilization && e.ownThreads > limitBindingShare*g.concurrencyLimit(e, 1):
		e.targetFactor = min(maxTargetFactor, e.targetFactor*(1+targetFactorStep))
	}
}

// fitsInMemory reports whether the request's grant fits into the engine's memory, beside own grants and those of peers.
// Each peer thread is assumed to have the mean grant of an own thread: a gateway with one query at an engine sees
// nothing else of what fills its memory. Until the first load report an engine without own grants always fits.
func (g *Gateway) fitsInMemory(r *request, e *engine) bool {
	grantMB := g.memoryGrant(r, e)
	if grantMB == 0 || e.memoryMB == 0 {
		return true
	}
	ownShareMB := max(e.memoryMB/g.gatewaysInService, e.memoryMB-g.peerThreads(e)*g.grantPerThread)
	return e.grantedMB+grantMB <= ownShareMB || e.grantedMB == 0 && !g.loadReported
}
