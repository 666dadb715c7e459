package rollout

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

const (
	mixtureScale         = 0.1  // difference of shares for which the sequence of intervals is tightest
	oldDeviations        = 2.0  // standard deviations of the old share that are added to the allowed one
	maxDispersion        = 25.0 // cap of the dispersion
	minDispersionSources = 3    // old gateways with enough answers, from which their dispersion is estimated
	minDispersionAnswers = 5    // answers of such a gateway
)

// metric is a proportion by which old and new gateways are compared.
type metric struct {
	name  string
	count func(Counts) proportion
}

// notInTime is the place in metrics of the one that decides whether a stage goes on.
const notInTime = 0

// metrics returns what is compared class by class. The first counts rejections, failures and late answers together; the
// others show sooner which of them it is.
func metrics() []metric {
	return []metric{
		{"not served in time", func(c Counts) proportion { return proportion{c.answers() - c.InTime, c.answers()} }},
		{"refused", func(c Counts) proportion { return proportion{c.Rejected, c.answers()} }},
		{"failed", func(c Counts) proportion { return proportion{c.Failed, c.answers()} }},
		{"slower than a quarter of the aim", func(c Counts) proportion {
			return proportion{saturatingSub(c.answers(), c.Fast), c.answers()}
		}},
		{"further attempts", func(c Counts) proportion { return proportion{min(c.Retries, c.Requests), c.Requests} }},
	}
}

// proportion is a number of events out of a total.
type proportion struct{ count, total uint64 }

func (p proportion) share() float64 { return float64(p.count) / max(1, float64(p.total)) }

// smooth returns a share that is never 0 or 1: that none of a few was an event does not mean that there are none.
func (p proportion) smooth() float64 { return (float64(p.count) + 0.5) / (float64(p.total) + 1) }

func (p *proportion) add(o proportion) {
	p.count += o.count
	p.total += o.total
}

// classRange is the classes [from, to).
type classRange struct{ from, to int }

// allClasses stands for the classes of all clients together.
const allClasses = -1

// classesOf returns the classes that a comparison counts: one class, or for allClasses those of clients.
func classesOf(class, clientClasses int) classRange {
	if class == allClasses {
		return classRange{0, clientClasses}
	}
	return classRange{class, class + 1}
}

// count returns a metric of one gateway over the classes.
func (r classRange) count(s Sample, m metric) (total proportion) {
	for class, counts := range s.Classes {
		if class >= r.from && class < r.to {
			total.add(m.count(counts))
		}
	}
	return total
}

// comparison is a metric of the new gateways and of the old ones.
type comparison struct {
	new, old   proportion
	dispersion float64 // variance of the old gateways' counts over that of chance alone, at least 1
}

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

// estimateDispersion sets the dispersion of the old gateways to Pearson's statistic over its degrees of freedom (McCullagh and
// Nelder): gateways see different traffic and engines, so that a new gateway may differ from the old ones as much as these
// differ from each other.
func (c *comparison) estimateDispersion(gateways []proportion) {
	chiSquared, sources := 0.0, 0
	p := c.old.smooth()
	for _, old := range gateways {
		if old.total >= minDispersionAnswers {
			d := float64(old.count) - p*float64(old.total)
			chiSquared += d * d / (float64(old.total) * p * (1 - p))
			sources++
		}
	}
	if sources >= minDispersionSources {
		c.dispersion = min(maxDispersion, max(1, chiSquared/float64(sources-1)))
	}
}

// exceeds reports whether the new share is above the old one by more than margin. It is a mixture sequential probability ratio
// test (Robbins; Johari et al.): the likelihood of shares spread evenly above the allowed one, over that of the allowed one.
// By Ville's inequality it ever passes 1/alpha with no more than the probability alpha where the share is allowed, however
// often it is evaluated. Counts are divided by their dispersion, and the allowed share is taken from the upper end of what
// the old share may be.
func (c comparison) exceeds(margin, alpha float64) bool {
	if c.new.total == 0 || c.old.total == 0 || c.new.share() <= c.old.share()+margin {
		return false
	}
	// Below the allowed share the likelihood falls towards each share of the mixture, so that the ratio is under 1. It is not computed
	// there: the tail would be mere rounding, whose logarithm passes for evidence.
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

// allowedShare returns the share that new gateways may have: margin above the upper end of what the old share may be.
func (c comparison) allowedShare(margin float64) float64 {
	old := c.old.smooth()
	return old + margin + oldDeviations*math.Sqrt(c.dispersion*old*(1-old)/float64(c.old.total))
}

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// variance returns that of the difference of the two shares.
func (c comparison) variance() float64 {
	p := (float64(c.new.count+c.old.count) + 0.5) / (float64(c.new.total+c.old.total) + 1)
	return c.dispersion * p * (1 - p) * (1/max(1, float64(c.new.total)) + 1/max(1, float64(c.old.total)))
}

// upperBound returns the upper bound of the difference of the shares: that of a confidence sequence, whose intervals hold
// together at all times with the probability 1-alpha.
func (c comparison) upperBound(alpha float64) float64 {
	if c.new.total == 0 || c.old.total == 0 {
		return 1
	}
	v := c.variance()
	w := v + mixtureScale*mixtureScale
	return c.new.share() - c.old.share() + math.Sqrt(2*v*w/(mixtureScale*mixtureScale)*(math.Log(1/alpha)+0.5*math.Log(w/v)))
}

func (c comparison) describe(class, metric string) string {
	return formatComparison(metric, class, c.new.share(), c.old.share(), c.new.total)
}

// formatComparison formats a metric of new and old gateways as text; total is that of the new ones.
func formatComparison(metric, class string, now, old float64, total uint64) string {
	return fmt.Sprintf("%s: %s %.3f, old gateways %.3f (%d of new ones)", class, metric, now, old, total)
}
