package policy

import "time"

// Concurrency limits per engine. Each engine has a target: the number of threads that all gateways together should use
// there. It is adjusted by the engine's load reports, and each gateway limits itself to its share of it.
const (
	// targetThreadsPerCore is the target before the first report. It is above 1 because queries that wait for reads
	// leave cores idle.
	targetThreadsPerCore = 1.5

	// targetAdjustInterval is the minimum time between two adjustments of a target. It is about the typical age of a load
	// report.
	targetAdjustInterval = 300 * time.Millisecond

	// targetFactorStep is the relative size of one adjustment. The two bounds limit the factor because engines saturate
	// between one and two threads per core.
	targetFactorStep = 0.04
	minTargetFactor  = 0.7
	maxTargetFactor  = 1.4

	// highUtilization is the utilization of cores or disks above which the target decreases. Below lowUtilization it
	// may increase.
	highUtilization = 0.97
	lowUtilization  = 0.88

	// limitBindingShare is the share of the limit in use above which the limit is assumed to hold queries back.
	limitBindingShare = 0.8

	// uncertaintyOvercommit raises the limit of one gateway among many, in multiples of the target. Such a gateway
	// knows the load of its peers only roughly, and a strict limit would leave engines idle.
	uncertaintyOvercommit = 2.5
)

// concurrencyTarget returns the number of threads that all gateways together should use at an engine.
func (g *Gateway) concurrencyTarget(e *engine) float64 {
	return targetThreadsPerCore * e.cores * e.targetFactor * g.warmupFactor(e)
}

// concurrencyLimit returns the number of threads that this gateway may use at an engine, with the target scaled by
// multiple. Without load reports it is an even share of the target. With load reports it is the larger of that share
// and the part of the target that peers do not use.
func (g *Gateway) concurrencyLimit(e *engine, multiple float64) float64 {
	target := multiple * g.concurrencyTarget(e)
	if !g.loadReported {
		return target / g.gatewaysInService
	}
	overcommit := 1 + uncertaintyOvercommit*max(0, 2*g.loadUncertainty-1)
	return max(target/g.gatewaysInService, target*overcommit-g.peerThreads(e))
}

// adjustTarget adjusts an engine's target after a load report. The target decreases while cores or disks are saturated.
// It increases while neither is and this gateway uses most of its limit; without a report of core utilization it never
// increases.
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

// fitsInMemory reports whether the request's grant fits into the engine's memory together with the grants of this
// gateway and of its peers. Peer grants are not reported, so each peer thread is assumed to have the mean grant of this
// gateway's threads. Before the first load report, a grant always fits at an engine where this gateway has no other.
func (g *Gateway) fitsInMemory(r *request, e *engine) bool {
	grantMB := g.memoryGrant(r, e)
	if grantMB == 0 || e.memoryMB == 0 {
		return true
	}
	ownShareMB := max(e.memoryMB/g.gatewaysInService, e.memoryMB-g.peerThreads(e)*g.grantPerThread)
	return e.grantedMB+grantMB <= ownShareMB || e.grantedMB == 0 && !g.loadReported
}
