package scale

import "time"

// PeakSpan is the span over which the highest rate is taken.
const PeakSpan = 10 * time.Second

// Sample is a total at a time.
type Sample struct {
	At    time.Duration
	Total float64
}

// Rate is a total's growth a second over all samples; 0 where there are fewer than two.
func Rate(samples []Sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	return rateBetween(samples[0], samples[len(samples)-1])
}

// PeakRate is the highest growth a second over any span of at least PeakSpan; where the samples cover less, it is the
// rate over all of them.
func PeakRate(samples []Sample) float64 {
	peak, first, found := 0.0, 0, false
	for last := range samples {
		for first+1 < last && samples[last].At-samples[first+1].At >= PeakSpan {
			first++
		}
		if samples[last].At-samples[first].At < PeakSpan {
			continue
		}
		peak, found = max(peak, rateBetween(samples[first], samples[last])), true
	}
	if !found {
		return Rate(samples)
	}
	return peak
}

func rateBetween(a, b Sample) float64 {
	if b.At <= a.At {
		return 0
	}
	return (b.Total - a.Total) / (b.At - a.At).Seconds()
}
