package policy

import "math"

// Prior estimates, used before the first answers of a class. A prior has the weight of priorAnswerCount answers.
const (
	// priorWorkShare is the work of a query per thread, as a share of its latency objective.
	priorWorkShare = 0.25

	// priorSlowdown is the ratio of a query's duration to its work per thread.
	priorSlowdown = 1.3

	// priorTailRatio is the ratio of the 99th percentile of the duration to the expected duration.
	priorTailRatio = 4.0

	// priorMemoryLogRatio and priorMemoryLogVariance are the mean and the variance of log(used memory / estimated
	// memory). Together with memoryGrantDeviations they make the first grant about 1.6 times the estimate.
	priorMemoryLogRatio    = 0.1
	priorMemoryLogVariance = 0.1

	priorAnswerCount = 2.0
)

// Parameters of the running estimates.
const (
	// learningRate is the weight of one answer in a running mean once there are many answers. The mean then reflects
	// about the last twenty.
	learningRate = 0.05

	// maxSlowdown bounds the learned slowdown. Without a bound, an overload could raise the expected durations so far
	// that every request is shed, and no answer would correct the estimate.
	maxSlowdown = 2.0

	// maxExpectedShare bounds the expected duration of a query without a work estimate, as a share of its latency
	// objective. Like maxSlowdown, it keeps an overload from causing all later requests to be shed.
	maxExpectedShare = 0.6

	// tailRatioDecay multiplies the tail ratio after each answer, and tailRatioRaise after an answer that exceeds it.
	// The two balance when about one answer in a hundred exceeds the ratio, which is the 99th percentile.
	tailRatioRaise = 1.2
	tailRatioDecay = 0.998

	// outlierDurationRatio, outlierWorkRatio and outlierSlowdownRatio limit the value that one answer contributes to a
	// running mean, in multiples of that mean.
	outlierDurationRatio = 5
	outlierWorkRatio     = 5
	outlierSlowdownRatio = 3

	// maxCorrectionStep bounds the value of log(actual work / expected work) that one answer contributes.
	maxCorrectionStep = 1.5

	// maxDurationWeight bounds the weight of one answer in the mean grant per thread. The weight of an answer is its
	// duration in multiples of the mean.
	maxDurationWeight = 4

	// minWorkSeconds and minMeanSeconds avoid division by zero and the logarithm of zero.
	minWorkSeconds = 1e-3
	minMeanSeconds = 0.01
)

// class is the state that this gateway keeps for a class of queries.
type class struct {
	Class
	index             int // index in Settings.Classes
	threads           float64
	answers           int          // successful answers so far
	meanSeconds       float64      // mean duration of an attempt
	meanWork          float64      // mean work of a query, in thread-seconds
	workCorrection    float64      // actual work / estimated work (or the prior without an estimate)
	slowdown          float64      // duration / work per thread
	tailRatio         float64      // 99th percentile of the duration / expected duration
	memoryLogRatio    float64      // mean of log(used memory / estimated memory)
	memoryLogVariance float64      // variance of log(used memory / estimated memory)
	unsafeAnswers     answerCounts // answers of all engines, counted only if the class is not idempotent
}

// newClass creates the state of a class, with the prior estimates.
func newClass(index int, c Class) *class {
	threads := max(1, float64(c.Threads))
	seconds := priorWorkShare * c.LatencyObjective.Seconds()
	return &class{
		Class:             c,
		index:             index,
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

// expectedWork returns the expected work of a request in thread-seconds: its estimate, or the prior of its class if it
// has none, multiplied by the learned correction of the class.
func (g *Gateway) expectedWork(r *request) float64 {
	base := r.EstimatedWork.Seconds()
	if base <= 0 {
		base = priorWorkShare * r.class.LatencyObjective.Seconds() * r.class.threads
	}
	return base * r.class.workCorrection
}

// expectedSeconds returns the expected duration of an attempt. Without work estimates it depends only on measured
// durations. If those were measured during an overload, no request would be admitted again; maxExpectedShare prevents
// that.
func (g *Gateway) expectedSeconds(r *request) float64 {
	seconds := g.expectedWork(r) / r.class.threads * r.class.slowdown
	if r.EstimatedWork <= 0 {
		seconds = min(seconds, maxExpectedShare*r.class.LatencyObjective.Seconds())
	}
	return seconds
}

// estimateThreadsPerQuery returns the mean number of threads of a running query. A class is weighted by how many of its
// queries run at a time, which is proportional to requests times duration. The priors give every class a weight before
// its first answer; otherwise a gateway with few answers would assume one thread per query.
func (g *Gateway) estimateThreadsPerQuery() float64 {
	return g.totalThreadSeconds() / sumOf(g.classes, func(c *class) float64 { return c.requests() * c.meanSeconds })
}

// requests returns the weight of a class in means over all requests: the number of its answers plus one, so that a
// class without answers counts as well.
func (c *class) requests() float64 { return float64(c.answers + 1) }

// totalWeight returns the sum of Weight over all requests so far, as counted by class.requests.
func (g *Gateway) totalWeight() float64 {
	return sumOf(g.classes, func(c *class) float64 { return c.requests() * c.Weight })
}

// totalThreadSeconds returns the sum of duration times threads over all requests so far, as counted by class.requests.
func (g *Gateway) totalThreadSeconds() float64 {
	return sumOf(g.classes, func(c *class) float64 { return c.requests() * c.meanSeconds * c.threads })
}

// updateEstimates updates the estimates of a class with a successful answer. The first answers have the highest weight,
// so that a gateway with little traffic corrects wrong priors quickly.
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

// updateDuration updates the tail ratio and the mean duration.
func (c *class) updateDuration(seconds, expectedSeconds, weight float64) {
	c.tailRatio = max(1, c.tailRatio*tailRatioDecay)
	if seconds > c.tailRatio*expectedSeconds {
		c.tailRatio *= tailRatioRaise
	}
	c.meanSeconds += weight * (min(seconds, outlierDurationRatio*c.meanSeconds) - c.meanSeconds)
}

// updateWork updates the slowdown, the mean work and the work correction. If the answer does not report its work (0),
// the work is derived from the duration and the slowdown does not change.
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

// updateMemory updates the mean and the variance of log(used memory / estimated memory), if both are known.
func (c *class) updateMemory(usedMB, estimatedMB, weight float64) {
	if usedMB <= 0 || estimatedMB <= 0 {
		return
	}
	deviation := math.Log(usedMB/estimatedMB) - c.memoryLogRatio
	c.memoryLogRatio += weight * deviation
	c.memoryLogVariance += weight * (deviation*deviation - c.memoryLogVariance)
}
