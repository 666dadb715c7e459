package rollout

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

const (
	mixtureScale          = 0.1  // difference of shares at which the confidence sequence is tightest
	oldShareDeviations    = 2.0  // standard errors of the old share that are added to the allowed share
	maxDispersion         = 25.0 // upper limit of the estimated dispersion
	minDispersionGateways = 3    // old gateways with minDispersionAnswers that are needed to estimate the dispersion
	minDispersionAnswers  = 5    // answers that an old gateway needs to be included in the estimate
)

// metric is a proportion on which new gateways are compared with old ones.
type metric struct {
	name  string
	count func(Counts) proportion
}

// notInTimeMetric is the index in metrics of the metric that decides whether a stage may complete.
const notInTimeMetric = 0

// metrics returns the metrics that are compared for each class. The first combines rejections, failures and late answers; the
// others detect a regression in one of them sooner, or before answers are late.
func metrics() []metric {
	return []metric{
		{"not served in time", func(c Counts) proportion { return proportion{c.answers() - c.InTime, c.answers()} }},
		{"rejected", func(c Counts) proportion { return proportion{c.Rejected, c.answers()} }},
		{"failed", func(c Counts) proportion { return proportion{c.Failed, c.answers()} }},
		{"slower than a quarter of the latency objective", func(c Counts) proportion {
			return proportion{saturatingSub(c.answers(), c.Fast), c.answers()}
		}},
		{"retries", func(c Counts) proportion { return proportion{min(c.Retries, c.Requests), c.Requests} }},
	}
}

// proportion is a count of events out of a total.
type proportion struct{ count, total uint64 }

func (p proportion) share() float64 { return float64(p.count) / max(1, float64(p.total)) }

// smoothedShare returns the share with a correction for small samples, so that it is never exactly 0 or 1.
func (p proportion) smoothedShare() float64 { return (float64(p.count) + 0.5) / (float64(p.total) + 1) }

func (p *proportion) add(o proportion) {
	p.count += o.count
	p.total += o.total
}

// classRange is the half-open range [from, to) of class indices.
type classRange struct{ from, to int }

// allClasses stands for the sum of all classes of clients' queries.
const allClasses = -1

// classesOf returns the range of classes to compare: the given class, or all classes of clients for allClasses.
func classesOf(class, clientClasses int) classRange {
	if class == allClasses {
		return classRange{0, clientClasses}
	}
	return classRange{class, class + 1}
}

// count returns the metric of one gateway, summed over the classes in the range.
func (r classRange) count(s Sample, m metric) (total proportion) {
	for class, counts := range s.Classes {
		if class >= r.from && class < r.to {
			total.add(m.count(counts))
		}
	}
	return total
}

// comparison holds one metric of the new and the old gateways.
type comparison struct {
	new, old   proportion
	dispersion float64 // variance between old gateways relative to the binomial variance; at least 1
}

// compare sums a metric over the new and over the old gateways, and estimates the dispersion of the old ones.
func compare(newSamples, oldSamples []Sample, classes classRange, m metric) comparison {
	c := comparison{dispersion: 1}
	for _, s := range newSamples {
		c.new.add(classes.count(s, m))
	}
	counts := make([]proportion, len(oldSamples))
	for i, s := range oldSamples {
		counts[i] = classes.count(s, m)
		c.old.add(counts[i])
	}
	c.estimateDispersion(counts)
	return c
}

// estimateDispersion sets the dispersion to the old gateways' Pearson chi-squared statistic divided by its degrees of freedom
// (McCullagh and Nelder). Gateways see different traffic and engines, so a new gateway may differ from the old ones as much as
// the old ones differ from each other.
func (c *comparison) estimateDispersion(gateways []proportion) {
	chiSquared, included := 0.0, 0
	p := c.old.smoothedShare()
	for _, old := range gateways {
		if old.total >= minDispersionAnswers {
			d := float64(old.count) - p*float64(old.total)
			chiSquared += d * d / (float64(old.total) * p * (1 - p))
			included++
		}
	}
	if included >= minDispersionGateways {
		c.dispersion = min(maxDispersion, max(1, chiSquared/float64(included-1)))
	}
}

// exceeds reports whether the new share is above the old one by more than margin, at significance level alpha. It is a mixture
// sequential probability ratio test (Robbins; Johari et al.) of the allowed share against a uniform mixture of all shares above
// it. By Ville's inequality the probability of a false positive is at most alpha, however often the test is evaluated. Counts
// are divided by their dispersion, and the allowed share includes the uncertainty of the old share.
func (c comparison) exceeds(margin, alpha float64) bool {
	if c.new.total == 0 || c.old.total == 0 || c.new.share() <= c.old.share()+margin {
		return false
	}
	// At or below the allowed share the likelihood ratio is always under 1. It is not computed there: the tail probability would
	// consist of rounding error, and its logarithm could look like significant evidence.
	allowed := c.allowedShare(margin)
	if allowed >= 1 || c.new.share() <= allowed {
		return false
	}
	events := float64(c.new.count) / c.dispersion
	others := float64(c.new.total-c.new.count) / c.dispersion
	tail := 1 - mathext.RegIncBeta(events+1, others+1, allowed)
	if !(tail > 0) {
		return false
	}
	ratio := logBeta(events+1, others+1) + math.Log(tail) - math.Log(1-allowed) - events*math.Log(allowed) - others*math.Log(1-allowed)
	return ratio > -math.Log(alpha)
}

// allowedShare returns the share that new gateways may have: the upper confidence limit of the old share, plus margin.
func (c comparison) allowedShare(margin float64) float64 {
	old := c.old.smoothedShare()
	return old + margin + oldShareDeviations*math.Sqrt(c.dispersion*old*(1-old)/float64(c.old.total))
}

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// variance returns the variance of the difference between the two shares.
func (c comparison) variance() float64 {
	p := (float64(c.new.count+c.old.count) + 0.5) / (float64(c.new.total+c.old.total) + 1)
	return c.dispersion * p * (1 - p) * (1/max(1, float64(c.new.total)) + 1/max(1, float64(c.old.total)))
}

// upperBound returns the upper bound of the difference between the shares from a confidence sequence: all its intervals contain
// the true difference at once with probability 1-alpha, however often it is evaluated.
func (c comparison) upperBound(alpha float64) float64 {
	if c.new.total == 0 || c.old.total == 0 {
		return 1
	}
	v := c.variance()
	w := v + mixtureScale*mixtureScale
	return c.new.share() - c.old.share() + math.Sqrt(2*v*w/(mixtureScale*mixtureScale)*(math.Log(1/alpha)+0.5*math.Log(w/v)))
}

// describe formats the comparison for a verdict's reason.
func (c comparison) describe(class, metric string) string {
	return formatComparison(metric, class, c.new.share(), c.old.share(), c.new.total)
}

// formatComparison formats the values of a metric for new and old gateways; newTotal is the sample size of the new ones.
func formatComparison(metric, class string, newValue, oldValue float64, newTotal uint64) string {
	return fmt.Sprintf("%s: %s: new gateways %.3f (sample size %d), old gateways %.3f", class, metric, newValue, newTotal, oldValue)
}
