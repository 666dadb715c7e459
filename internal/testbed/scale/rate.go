package scale

import "time"

// PeakWindow is the shortest span over which a peak rate is measured.
const PeakWindow = 10 * time.Second

// Sample is the value of a counter at a time.
type Sample struct {
	At    time.Duration
	Value float64
}

// Rate returns a counter's growth a second over all samples; 0 where there are fewer than two.
func Rate(samples []Sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	return rateBetween(samples[0], samples[len(samples)-1])
}

// PeakRate returns a counter's highest growth a second over any span of at least PeakSpan. Where the samples cover less it
// is the rate over all of them.
func PeakRate(samples []Sample) float64 {
	peak, first, found := 0.0, 0, false
	for last := range samples {
		for first+1 < last && samples[last].At-samples[first+1].At >= PeakWindow {
			first++
		}
		if samples[last].At-samples[first].At < PeakWindow {
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
	return (b.Value - a.Value) / (b.At - a.At).Seconds()
}
