package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// report returns the account as Markdown.
func (a *account) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d gateways, %d attempts.\n\n", a.gateways, len(a.attempts))
	writeShares(&b, "answers", a.answered)
	writeShares(&b, "refused or failed with no attempt: the guard that last held it", a.rejectedBy)
	writeShares(&b, "seconds in line, by guard", a.queuedByGuard)
	writeShares(&b, "seconds in line, by class", a.queuedByClass)
	writeShares(&b, "ends of attempts, by outcome", a.outcomes)
	slices.Sort(a.firstQueueTimes)
	if n := len(a.firstQueueTimes); n > 0 {
		fmt.Fprintf(&b, "First attempts left after %.0f ms (median), %.0f (90th), %.0f (99th percentile).\n\n",
			a.firstQueueTimes[n/2], a.firstQueueTimes[n*9/10], a.firstQueueTimes[n*99/100])
	}
	b.WriteString(a.estimateTable().markdown())
	b.WriteString("\n")
	b.WriteString(a.spanTable().markdown())
	return b.String()
}

// writeShares writes a table of counts with their shares of the total, the largest first.
func writeShares[N int | float64](b *strings.Builder, title string, counts map[string]N) {
	var keys []string
	total := 0.0
	for key, count := range counts {
		keys = append(keys, key)
		total += float64(count)
	}
	slices.SortFunc(keys, func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
	t := table{header: []string{title, "number", "share"}}
	for _, key := range keys {
		count := float64(counts[key])
		t.rows = append(t.rows, []string{key, fmt.Sprintf("%.0f", count), fmt.Sprintf("%.3f", count/total)})
	}
	b.WriteString(t.markdown() + "\n")
}

// inFlightChange is a change of the number of attempts in flight at an engine.
type inFlightChange struct {
	at      float64
	delta   int
	attempt *attempt // that begins, or nil
}

// inFlightChanges returns the changes at each engine, in order of time; of those at the same time, ends come first.
func (a *account) inFlightChanges() map[string][]inFlightChange {
	byEngine := map[string][]inFlightChange{}
	for _, t := range a.attempts {
		byEngine[t.engine] = append(byEngine[t.engine], inFlightChange{t.sentAt, 1, t})
		if t.endedAt > 0 {
			byEngine[t.engine] = append(byEngine[t.engine], inFlightChange{t.endedAt, -1, nil})
		}
	}
	for _, changes := range byEngine {
		slices.SortStableFunc(changes, func(x, y inFlightChange) int {
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.delta, y.delta))
		})
	}
	return byEngine
}

// estimateBucket sums up the gateways' estimates of the load of engines, for one range of ages of the load reports.
type estimateBucket struct {
	attempts         int
	actual           float64 // attempts that were in flight
	estimated        float64 // threads that the gateways estimated
	absoluteMistakes float64
}

// reportAges are the upper bounds of the buckets, in milliseconds. The first bucket is for attempts without a load report.
var reportAges = []float64{0, 250, 500, 1000, 2000, 4000, math.Inf(1)}

// bucketOf returns the bucket of a load report's age.
func bucketOf(age float64) int {
	if !(age >= 0) {
		return 0
	}
	k := 1
	for age > reportAges[k] {
		k++
	}
	return k
}

// estimateBuckets compares, at each attempt, the gateway's estimate of the engine's load with the attempts of all gateways
// that were in flight there.
func (a *account) estimateBuckets() []estimateBucket {
	buckets := make([]estimateBucket, len(reportAges))
	for _, changes := range a.inFlightChanges() {
		inFlight := 0
		for _, change := range changes {
			if t := change.attempt; t != nil && t.target > 0 {
				bucket := &buckets[bucketOf(t.reportAge)]
				estimate := t.otherThreads + t.ownThreads
				bucket.attempts++
				bucket.actual += float64(inFlight)
				bucket.estimated += estimate
				bucket.absoluteMistakes += math.Abs(estimate - float64(inFlight))
			}
			inFlight += change.delta
		}
	}
	return buckets
}

// estimateTable shows how good the gateways' estimates were, by the age of their load reports.
func (a *account) estimateTable() table {
	t := table{header: []string{"age of the latest report, ms", "sends", "share", "threads believed", "attempts really out", "mean difference"}}
	for k, bucket := range a.estimateBuckets() {
		if bucket.attempts == 0 {
			continue
		}
		name := "no report yet"
		if k > 0 {
			name = fmt.Sprintf("%.0f to %.0f", reportAges[k-1], reportAges[k])
		}
		n := float64(bucket.attempts)
		t.rows = append(t.rows, []string{
			name,
			fmt.Sprint(bucket.attempts),
			fmt.Sprintf("%.3f", n/float64(len(a.attempts))),
			fmt.Sprintf("%.1f", bucket.estimated/n),
			fmt.Sprintf("%.1f", bucket.actual/n),
			fmt.Sprintf("%.1f", bucket.absoluteMistakes/n),
		})
	}
	return t
}

const (
	spanMillis = 5000 // length of a span

	queueRecordsPerSecond = 10 // of a queued request

	outcomeCancelled = "6" // of an attempt, as the logs have it
)

// span is what happened in spanMillis.
type span struct {
	sends, served, rejected, cancelled, queued int
	window, utilization                        float64            // summed over the attempts
	threads                                    map[string]float64 // in flight at each engine, on average
}

// spanList is a growing list of the spans of an account.
type spanList struct {
	start float64
	spans []span
}

// at returns the span of a time.
func (l *spanList) at(millis float64) *span {
	k := max(0, int((millis-l.start)/spanMillis))
	for len(l.spans) <= k {
		l.spans = append(l.spans, span{threads: map[string]float64{}})
	}
	return &l.spans[k]
}

// spans divides the time of the logs into spans.
func (a *account) spans() []span {
	l := &spanList{start: a.start}
	for _, t := range a.attempts {
		l.addAttempt(t)
	}
	for _, answer := range a.answers {
		if s := l.at(answer.at); answer.verdict == "served" {
			s.served++
		} else {
			s.rejected++
		}
	}
	for _, millis := range a.queuedAt {
		l.at(millis).queued++
	}
	return l.spans
}

// addAttempt adds an attempt to the span of its start, and its threads to all spans in which it was in flight.
func (l *spanList) addAttempt(t *attempt) {
	s := l.at(t.sentAt)
	s.sends++
	s.window += t.window
	s.utilization += t.utilization
	if t.endedAt == 0 {
		return
	}
	if t.outcome == outcomeCancelled {
		l.at(t.endedAt).cancelled++
	}
	first := l.start + math.Floor((t.sentAt-l.start)/spanMillis)*spanMillis
	for begin := first; begin < t.endedAt; begin += spanMillis {
		inFlight := min(t.endedAt, begin+spanMillis) - max(t.sentAt, begin)
		l.at(begin).threads[t.engine] += t.threads * inFlight / spanMillis
	}
}

// spanTable shows, for each span, the results of requests and how evenly their threads were spread over the engines.
func (a *account) spanTable() table {
	t := table{header: []string{"span, s", "sends", "served", "refused", "called off", "in line at once", "window", "strain believed",
		"threads out at an engine", "most", "least", "most over mean"}}
	for k, s := range a.spans() {
		lowest, highest, total := math.Inf(1), 0.0, 0.0
		for _, threads := range s.threads {
			lowest, highest, total = min(lowest, threads), max(highest, threads), total+threads
		}
		sends := max(1, float64(s.sends))
		mean := total / max(1, float64(len(s.threads)))
		t.rows = append(t.rows, []string{
			fmt.Sprint(k * spanMillis / 1000),
			fmt.Sprint(s.sends),
			fmt.Sprint(s.served),
			fmt.Sprint(s.rejected),
			fmt.Sprint(s.cancelled),
			fmt.Sprintf("%.0f", float64(s.queued)*1000/queueRecordsPerSecond/spanMillis),
			fmt.Sprintf("%.1f", s.window/sends),
			fmt.Sprintf("%.2f", s.utilization/sends),
			fmt.Sprintf("%.1f", mean),
			fmt.Sprintf("%.1f", highest),
			fmt.Sprintf("%.1f", lowest),
			fmt.Sprintf("%.2f", highest/max(1e-9, mean)),
		})
	}
	return t
}
