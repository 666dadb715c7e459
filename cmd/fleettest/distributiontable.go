package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostpier/internal/testbed/emulator"
)

// Indexes of the classes in emulator.DefaultClasses whose latencies the table shows.
const (
	lookupClass = 0
	reportClass = 1
)

// outcomeSummary has the counts of the outcomes of one version.
type outcomeSummary struct {
	queries   int
	served    int
	rejected  int
	failed    int
	lost      int                       // lost, unanswered, or no gateway accepted the connection
	corrupted int                       // answered with a wrong result, or more than once
	weight    float64                   // sum of the priority weights of all queries
	inTime    float64                   // sum of the weights of the queries served within their latency objective
	latencies []*hdrhistogram.Histogram // by class
}

// newLatencies returns a histogram of latencies from one microsecond to one minute.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// recordLatency adds a latency. It ignores latencies beyond the histogram's range, which exceed the clients' timeouts.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(latency.Microseconds())
}

// summarize returns the summary of all outcomes.
func summarize(outcomes []emulator.Outcome, classes []emulator.Class) outcomeSummary {
	s := outcomeSummary{queries: len(outcomes)}
	for range classes {
		s.latencies = append(s.latencies, newLatencies())
	}
	for _, o := range outcomes {
		s.add(o, classes[o.Class].Weight)
	}
	return s
}

// add adds an outcome of a query with the given priority weight.
func (s *outcomeSummary) add(o emulator.Outcome, weight float64) {
	s.weight += weight
	switch o.Verdict {
	case emulator.Served:
		s.served++
		recordLatency(s.latencies[o.Class], o.Latency)
		if o.InTime {
			s.inTime += weight
		}
	case emulator.Rejected:
		s.rejected++
	case emulator.Failed:
		s.failed++
	case emulator.Corrupted:
		s.corrupted++
	default:
		s.lost++
	}
	if o.DuplicateAnswers > 0 {
		s.corrupted++
	}
}

// share formats a count as a share of the queries.
func (s *outcomeSummary) share(count int) string {
	return fmt.Sprintf("%.3f", float64(count)/s.queriesOrOne())
}

func (s *outcomeSummary) queriesOrOne() float64 { return float64(max(1, s.queries)) }

// quantiles formats the median and the 99th percentile of a class's latencies, in units of microsPerUnit microseconds.
func (s *outcomeSummary) quantiles(class int, microsPerUnit float64) string {
	at := func(q float64) string {
		return fmt.Sprintf("%.3g", float64(s.latencies[class].ValueAtQuantile(q))/microsPerUnit)
	}
	return at(50) + " / " + at(99)
}

// Units in which latencies are shown.
const (
	microsPerMilli  = 1e3
	microsPerSecond = 1e6
)

func (c *distributionCommand) table(results []versionResult) table {
	t := table{header: []string{"version", "weight within objective", "served", "rejected", "failed", "lost or unanswered",
		"corrupted or duplicate", "lookup latency, ms (p50 / p99)", "report latency, s (p50 / p99)", "engine load, max / mean (mean / p95)",
		"longest time below half of the mean load, s", "arrivals in 0.5 s, max / mean (p99.9)", "threads per core", "max connections",
		"engine arrivals per query", "rejected by engines", "engines collapsed"}}
	classes := emulator.DefaultClasses()
	for _, r := range results {
		s, b := summarize(r.outcomes, classes), r.balance
		t.rows = append(t.rows, []string{
			r.name,
			fmt.Sprintf("%.3f", s.inTime/max(1, s.weight)),
			s.share(s.served),
			s.share(s.rejected),
			s.share(s.failed),
			fmt.Sprint(s.lost),
			fmt.Sprint(s.corrupted),
			s.quantiles(lookupClass, microsPerMilli),
			s.quantiles(reportClass, microsPerSecond),
			fmt.Sprintf("%.2f / %.2f", b.PeakToMean, b.PeakToMeanP95),
			fmt.Sprintf("%.0f", b.LongestLowLoad),
			fmt.Sprintf("%.1f", b.BurstP999),
			fmt.Sprintf("%.2f", b.ThreadsPerCore),
			fmt.Sprint(b.MaxConns),
			fmt.Sprintf("%.3f", float64(b.Arrivals)/s.queriesOrOne()),
			fmt.Sprint(b.Rejected),
			fmt.Sprint(r.collapsed),
		})
	}
	return t
}
