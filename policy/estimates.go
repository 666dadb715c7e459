package policy

import "math"

// Estimates before the first answers of a class. Each prior counts as much as priorAnswerCount answers.
const (
	// priorWorkShare is the duration of a query on one thread, as a share of its latency objective.
	priorWorkShare = 0.25

	// priorSlowdown is the duration of a query over its work per thread.
	priorSlowdown = 1.3

	// priorTailRatio is the 99th percentile of the duration over the expected duration.
	priorTailRatio = 4.0

	// priorMemoryLogRatio and priorMemoryLogVariance are mean and variance of the logarithm of used over estimated
	// memory. With memoryGrantDeviations they make a first grant of about 1.6 times the estimate.
	priorMemoryLogRatio    = 0.1
	priorMemoryLogVariance = 0.1

	priorAnswerCount = 2.0
)

// Learning from answers.
const (
	// learningRate is the weight of one answer in the running means once there are many: about the last twenty count.
	learningRate = 0.05

	// maxSlowdown bounds the learned slowdown. Without a bound an overload would make every request look hopeless, and
	// no answer would ever correct that.
	maxSlowdown = 2.0

	// maxExpectedShare bounds the expected duration of a query without an estimate, as a share of its latency objective,
	// for the same reason.
	maxExpectedShare = 0.6

	// tailRatioRaise and tailRatioDecay multiply the tail ratio after an answer above and below it. They balance where
	// one answer in about a hundred is above: at the 99th percentile.
	tailRatioRaise = 1.2
	tailRatioDecay = 0.998

	// outlierDurationRatio, outlierWorkRatio and outlierSlowdownRatio bound the influence of one answer on a running
	// mean, in multiples of that mean.
	outlierDurationRatio = 5
	outlierWorkRatio     = 5
	outlierSlowdownRatio = 3

	// maxCorrectionStep bounds the logarithm of actual over expected work that one answer contributes.
	maxCorrectionStep = 1.5

	// maxDurationWeight bounds the weight, in mean durations, of one answer in the mean grant per thread.
	maxDurationWeight = 4

	// minWorkSeconds and minMeanSeconds keep divisions and logarithms finite.
	minWorkSeconds = 1e-3
	minMeanSeconds = 0.01
)

// class is the state that this gateway keeps of a class of queries.
type class struct {
	Class
	threads           float64
	answers           int     // successful answers so far
	meanSeconds       float64 // duration of an answer
	meanWork          float64 // work of a query, in seconds on one thread
	workCorrection    float64 // actual over estimated work; over the prior where there is no estimate
	slowdown          float64 // duration over work per thread
	tailRatio         float64 // 99th percentile of the duration over the expected duration
	memoryLogRatio    float64 // logarithm of used over estimated memory
	memoryLogVariance float64 // its variance
}

// newClass creates the state of a class with the prior estimates.
func newClass(c Class) *class {
	threads := max(1, float64(c.Threads))
	seconds := priorWorkShare * c.LatencyObjective.Seconds()
	return &class{
		Class:             c,
		threads:           threads,
		meanSeconds:       seconds,
		meanWork:          seconds * threads,
		workCorrection:    1,
		slowdown:          priorSlowdown,
		tailRatio:         priorTailRatio,
		memoryLogRatio:    priorMemoryLogRatio,
		memoryLogVariance: priorMemoryLogVariance,
	}
}

// expectedWork is the expected work of a request in seconds on one thread: its estimate, or the prior of its class if
// it has none, corrected by the actual work that answers of the class reported.
func (g *Gateway) expectedWork(r *request) float64 {
	base := r.EstimatedWork.Seconds()
	if base <= 0 {
		base = priorWorkShare * r.class.LatencyObjective.Seconds() * r.class.threads
	}
	return base * r.class.workCorrection
}

// expectedSeconds is the expected duration of an attempt. Without an estimate of work, durations are all there is to
// learn from, and those measured in an overload would end admission for good; maxExpectedShare prevents that.
func (g *Gateway) expectedSeconds(r *request) float64 {
	seconds := g.expectedWork(r) / r.class.threads * r.class.slowdown
	if r.EstimatedWork <= 0 {
		seconds = min(seconds, maxExpectedShare*r.class.LatencyObjective.Seconds())
	}
	return seconds
}

// estimateThreadsPerQuery is the mean number of threads of a running query. Classes are weighted by how many of their
// queries run at a time: answers times duration. The prior gives every class a weight from the start, so that a gateway
// with few answers does not take all queries for queries of one thread.
func (g *Gateway) estimateThreadsPerQuery() float64 {
	return g.totalThreadSeconds() / sumOf(g.classes, func(c *class) float64 { return c.requests() * c.meanSeconds })
}

// requests is how many requests of a class there have been, for means over all requests. One is added, so that a class
// without answers counts too.
func (c *class) requests() float64 { return float64(c.answers + 1) }

// totalWeight is the sum of the weights of all requests so far.
func (g *Gateway) totalWeight() float64 {
	return sumOf(g.classes, func(c *class) float64 { return c.requests() * c.Weight })
}

// totalThreadSeconds is the sum of duration times threads over all requests so far.
func (g *Gateway) totalThreadSeconds() float64 {
	return sumOf(g.classes, func(c *class) float64 { return c.requests() * c.meanSeconds * c.threads })
}

// updateEstimates learns from an answer. The first answers have the highest weight, so that a gateway with little
// traffic corrects wrong estimates soon.
func (g *Gateway) updateEstimates(a *attempt, event AttemptEnded) {
	c, r := a.request.class, a.request
	seconds, work, expectedWork := event.Duration.Seconds(), event.Work.Seconds(), g.expectedWork(r)
	c.answers++
	weight := max(learningRate, 1/float64(c.answers+priorAnswerCount))
	c.updateDuration(seconds, a.expectedSeconds, weight)
	g.threadsPerQuery = g.estimateThreadsPerQuery()
	durationWeight := learningRate * min(maxDurationWeight, seconds/max(c.meanSeconds, minMeanSeconds)) / maxDurationWeight
	g.grantPerThread += durationWeight * (a.grantMB/a.threads - g.grantPerThread)
	c.updateWork(seconds, work, expectedWork, weight)
	c.updateMemory(event.UsedMB, r.EstimatedMemoryMB, weight)
}

// updateDuration learns tail ratio and mean duration.
func (c *class) updateDuration(seconds, expectedSeconds, weight float64) {
	c.tailRatio = max(1, c.tailRatio*tailRatioDecay)
	if seconds > c.tailRatio*expectedSeconds {
		c.tailRatio *= tailRatioRaise
	}
	c.meanSeconds += weight * (min(seconds, outlierDurationRatio*c.meanSeconds) - c.meanSeconds)
}

// updateWork learns slowdown, mean work and work correction. If the answer does not report its work (0), the work is
// derived from the duration, and the slowdown stays as it is.
func (c *class) updateWork(seconds, work, expectedWork, weight float64) {
	if work <= 0 {
		work = seconds * c.threads / c.slowdown
	} else {
		slowdown := seconds / max(minWorkSeconds, work/c.threads)
		slowdown = min(slowdown, outlierSlowdownRatio*c.slowdown)
		c.slowdown = min(maxSlowdown, c.slowdown+weight*(slowdown-c.slowdown))
	}
	c.meanWork += weight * (min(work, outlierWorkRatio*c.meanWork) - c.meanWork)
	logRatio := math.Log(max(minWorkSeconds, work) / expectedWork)
	c.workCorrection *= math.Exp(weight * max(-maxCorrectionStep, min(maxCorrectionStep, logRatio)))
}

// updateMemory learns mean and variance of the logarithm of used over estimated memory, if both are known.
func (c *class) updateMemory(usedMB, estimatedMB, weight float64) {
	if usedMB <= 0 || estimatedMB <= 0 {
		return
	}
	deviation := math.Log(usedMB/estimatedMB) - c.memoryLogRatio
	c.memoryLogRatio += weight * deviation
	c.memoryLogVariance += weight * (deviation*deviation - c.memoryLogVariance)
}
