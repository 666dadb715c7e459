package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// report returns the tables as Markdown.
func (a *logAnalysis) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d gateways, %d attempts.\n\n", a.gateways, len(a.attempts))
	writeShares(&b, "requests by verdict", a.answered)
	writeShares(&b, "requests rejected or failed without an attempt, by last queueing guard", a.rejectedBy)
	writeShares(&b, "queueing time in s, by guard", a.queuedByGuard)
	writeShares(&b, "queueing time in s, by class", a.queuedByClass)
	writeShares(&b, "attempts by outcome", a.outcomes)
	slices.Sort(a.firstQueueTimes)
	if n := len(a.firstQueueTimes); n > 0 {
		fmt.Fprintf(&b, "Queueing time before the first attempt: median %.0f ms, 90th percentile %.0f ms, 99th percentile %.0f ms.\n\n",
			a.firstQueueTimes[n/2], a.firstQueueTimes[n*9/10], a.firstQueueTimes[n*99/100])
	}
	b.WriteString(a.estimateTable().markdown())
	b.WriteString("\n")
	b.WriteString(a.intervalTable().markdown())
	return b.String()
}

// writeShares writes a table of counts with their shares of the total, sorted by count in descending order.
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

// inFlightChange is a change in the number of attempts in flight at an engine.
type inFlightChange struct {
	at      float64
	delta   int
	attempt *attempt // the attempt that starts; nil if one ends
}

// inFlightChanges returns the changes at each engine, sorted by time. At equal times ends precede starts.
func (a *logAnalysis) inFlightChanges() map[string][]inFlightChange {
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

// estimateBucket sums up the gateways' estimates of the load of engines whose load reports have an age in one range.
type estimateBucket struct {
	attempts       int     // number of estimates, one for each attempt
	actual         float64 // sum of the attempts in flight
	estimated      float64 // sum of the estimated threads in flight
	absoluteErrors float64 // sum of the absolute differences of these two
}

// reportAgeBounds are the upper bounds of the buckets, in milliseconds. The first bucket has the attempts without a load report.
var reportAgeBounds = []float64{0, 250, 500, 1000, 2000, 4000, math.Inf(1)}

// bucketOf returns the index of the bucket for a load report's age.
func bucketOf(age float64) int {
	if !(age >= 0) {
		return 0
	}
	k := 1
	for age > reportAgeBounds[k] {
		k++
	}
	return k
}

// estimateBuckets compares, at the start of each attempt, the gateway's estimate of the engine's load with the number of
// attempts of all gateways that are in flight there.
func (a *logAnalysis) estimateBuckets() []estimateBucket {
	buckets := make([]estimateBucket, len(reportAgeBounds))
	for _, changes := range a.inFlightChanges() {
		inFlight := 0
		for _, change := range changes {
			if t := change.attempt; t != nil && t.target > 0 {
				bucket := &buckets[bucketOf(t.reportAgeMS)]
				estimate := t.peerThreads + t.localThreads
				bucket.attempts++
				bucket.actual += float64(inFlight)
				bucket.estimated += estimate
				bucket.absoluteErrors += math.Abs(estimate - float64(inFlight))
			}
			inFlight += change.delta
		}
	}
	return buckets
}

// estimateTable shows the accuracy of the gateways' estimates, by the age of their load reports.
func (a *logAnalysis) estimateTable() table {
	t := table{header: []string{"age of the latest load report, ms", "attempts", "share", "threads estimated", "attempts in flight",
		"mean absolute error"}}
	for k, bucket := range a.estimateBuckets() {
		if bucket.attempts == 0 {
			continue
		}
		name := "no report yet"
		if k > 0 {
			name = fmt.Sprintf("%.0f to %.0f", reportAgeBounds[k-1], reportAgeBounds[k])
		}
		n := float64(bucket.attempts)
		t.rows = append(t.rows, []string{
			name,
			fmt.Sprint(bucket.attempts),
			fmt.Sprintf("%.3f", n/float64(len(a.attempts))),
			fmt.Sprintf("%.1f", bucket.estimated/n),
			fmt.Sprintf("%.1f", bucket.actual/n),
			fmt.Sprintf("%.1f", bucket.absoluteErrors/n),
		})
	}
	return t
}

const (
	intervalMS = 5000 // length of an interval

	queueRecordsPerSecond = 10 // records that a gateway logs per second for a queued request

	outcomeCancelled = "6" // outcome of a cancelled attempt in the logs
)

// interval has the counts of one interval of the logs.
type interval struct {
	sends, served, rejected, cancelled, queued int
	window, overloadRatio                      float64            // sums over the attempts
	threads                                    map[string]float64 // mean number of threads in flight, by engine
}

// intervalList is a list of consecutive intervals that is extended on demand.
type intervalList struct {
	start     float64
	intervals []interval
}

// at returns the interval that contains a time.
func (l *intervalList) at(atMS float64) *interval {
	k := max(0, int((atMS-l.start)/intervalMS))
	for len(l.intervals) <= k {
		l.intervals = append(l.intervals, interval{threads: map[string]float64{}})
	}
	return &l.intervals[k]
}

// intervals returns the counts of all intervals from the first log record on.
func (a *logAnalysis) intervals() []interval {
	l := &intervalList{start: a.start}
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
	for _, atMS := range a.queuedAt {
		l.at(atMS).queued++
	}
	return l.intervals
}

// addAttempt adds an attempt to the interval in which it started, and its threads to all intervals in which it was in flight.
func (l *intervalList) addAttempt(t *attempt) {
	s := l.at(t.sentAt)
	s.sends++
	s.window += t.window
	s.overloadRatio += t.overloadRatio
	if t.endedAt == 0 {
		return
	}
	if t.outcome == outcomeCancelled {
		l.at(t.endedAt).cancelled++
	}
	first := l.start + math.Floor((t.sentAt-l.start)/intervalMS)*intervalMS
	for begin := first; begin < t.endedAt; begin += intervalMS {
		inFlight := min(t.endedAt, begin+intervalMS) - max(t.sentAt, begin)
		l.at(begin).threads[t.engine] += t.threads * inFlight / intervalMS
	}
}

// intervalTable shows, for each interval, the results of requests and the distribution of their threads over the engines.
func (a *logAnalysis) intervalTable() table {
	t := table{header: []string{"start, s", "attempts", "served", "not served", "attempts cancelled", "mean queue length", "mean window",
		"mean overload ratio", "threads per engine: mean", "max", "min", "max / mean"}}
	for k, s := range a.intervals() {
		lowest, highest, total := math.Inf(1), 0.0, 0.0
		for _, threads := range s.threads {
			lowest, highest, total = min(lowest, threads), max(highest, threads), total+threads
		}
		sends := max(1, float64(s.sends))
		mean := total / max(1, float64(len(s.threads)))
		t.rows = append(t.rows, []string{
			fmt.Sprint(k * intervalMS / 1000),
			fmt.Sprint(s.sends),
			fmt.Sprint(s.served),
			fmt.Sprint(s.rejected),
			fmt.Sprint(s.cancelled),
			fmt.Sprintf("%.0f", float64(s.queued)*1000/queueRecordsPerSecond/intervalMS),
			fmt.Sprintf("%.1f", s.window/sends),
			fmt.Sprintf("%.2f", s.overloadRatio/sends),
			fmt.Sprintf("%.1f", mean),
			fmt.Sprintf("%.1f", highest),
			fmt.Sprintf("%.1f", lowest),
			fmt.Sprintf("%.2f", highest/max(1e-9, mean)),
		})
	}
	return t
}
