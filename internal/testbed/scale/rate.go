package scale

import "time"

// PeakWindow is the minimum length of the window over which a peak rate is measured.
const PeakWindow = 10 * time.Second

// Sample is the value of a counter at a point in time.
type Sample struct {
	At    time.Duration
	Value float64
}

// Rate returns the rate of a counter per second, over all samples. It returns 0 for fewer than two samples.
func Rate(samples []Sample) float64 {
	if len(samples) < 2 {
		return 0
	}
	return rateBetween(samples[0], samples[len(samples)-1])
}

// PeakRate returns the highest rate of a counter per second, over any window of at least PeakWindow. If the samples cover a
// shorter time, it returns the rate over all of them.
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
