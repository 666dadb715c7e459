package measure

import (
	"time"

	"frostpier/internal/testbed/capacity"
)

// Conditions of the fault runs. The gateways are spread evenly over rackCount racks and zoneCount zones.
const (
	rackCount      = 40
	zoneCount      = 7
	startupTime    = 30 * time.Second
	sampleInterval = time.Second
	peakWindow     = 10 * time.Second // averaging window to which the budget applies
	burstWindow    = 5 * time.Second  // averaging window of the first measurements, see package capacity

	// FaultLoss is the probability that a datagram is lost, in all phases.
	FaultLoss = 0.05
)

// PhaseCost is the cost of a phase at one running gateway. Unless a comment says otherwise, a figure is the mean over all
// running gateways, in the window of the phase in which this mean is highest.
type PhaseCost struct {
	Phase              capacity.Phase
	PeakBytes          float64 // bytes sent per second, over 10 s
	PeakBurst          float64 // bytes sent per second, over 5 s
	PeakTopSender      float64 // bytes sent per second, over 10 s, by the gateway that sends most
	SecondsOverBudget  float64 // how long the 10 s average of bytes exceeded the budget
	SettledBytes       float64 // bytes sent per second in the last 10 s of the phase
	PeakDatagrams      float64 // datagrams sent per second, over 10 s
	PeakProcessor      float64 // CPU seconds per second, over 10 s, including the simulator
	ConvergenceSeconds float64 // from the start of the phase until all membership views agreed; -1 = never
}

// phasePlan defines how a phase begins and how long it lasts.
type phasePlan struct {
	phase        capacity.Phase
	begin        func(f *fleet)
	fullDuration time.Duration // duration after which the fleet has settled
	peakDuration time.Duration // duration that includes the traffic peak
	partitioned  bool          // the membership views differ by design
}

// phasePlans returns the plans of all phases in the order of capacity.Phases.
func phasePlans() []phasePlan {
	const second = time.Second
	return []phasePlan{
		{capacity.PhaseQuiet, func(*fleet) {}, 60 * second, 15 * second, false},
		{capacity.PhaseRestart, restartOne, 30 * second, 20 * second, false},
		{capacity.PhaseMachineLost, func(f *fleet) { f.Kill(0) }, 30 * second, 25 * second, false},
		{capacity.PhaseRackLost, func(f *fleet) { f.killFirst(rackCount) }, 30 * second, 25 * second, false},
		{capacity.PhaseZoneLost, func(f *fleet) { f.killFirst(zoneCount) }, 60 * second, 35 * second, false},
		{capacity.PhaseZoneRecovered, (*fleet).startStopped, 40 * second, 20 * second, false},
		{capacity.PhaseRegionsPartitioned, (*fleet).partition, 120 * second, 60 * second, true},
		{capacity.PhasePartitionHealed, func(f *fleet) { f.Drops = nil }, 60 * second, 30 * second, false},
	}
}

// restartOne stops the last gateway gracefully and starts it again 5 s later.
func restartOne(f *fleet) {
	last := f.setup.Gateways - 1
	f.Leave(last)
	f.After(5*time.Second, func() { f.Start(last, 0) })
}

// killFirst kills the first 1/divisor of the gateways.
func (f *fleet) killFirst(divisor int) {
	for i := range f.setup.Gateways / divisor {
		f.Kill(i)
	}
}

// startStopped starts all gateways that are not running.
func (f *fleet) startStopped() {
	for i := range f.Members {
		if !f.Members[i].Up {
			f.Start(i, 0)
		}
	}
}

// partition partitions the fleet into two halves.
func (f *fleet) partition() {
	half := f.setup.Gateways / 2
	f.Drops = func(from, to int) bool { return (from < half) != (to < half) }
}

// Faults runs all phases on one fleet and returns the cost of each. If full is set, a phase lasts until the fleet has
// settled, otherwise until its traffic peak has passed.
func Faults(setup FleetSetup, full bool) ([]PhaseCost, error) {
	f, err := newFleet(setup)
	if err != nil {
		return nil, err
	}
	if err := f.Run(startupTime); err != nil {
		return nil, err
	}
	var costs []PhaseCost
	for _, plan := range phasePlans() {
		duration := plan.peakDuration
		if full {
			duration = plan.fullDuration
		}
		cost, err := f.runPhase(plan, duration)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// sample holds the cumulative counters of a fleet at one time.
type sample struct {
	bytes     []int // bytes sent, by gateway
	datagrams int   // datagrams sent by all gateways together
	processor time.Duration
}

func (f *fleet) readCounters() sample {
	return sample{
		bytes:     append([]int(nil), f.SentBytes...),
		datagrams: sum(f.Sent),
		processor: processorTime(),
	}
}

// runPhase runs a phase and reads the counters every sampleInterval.
func (f *fleet) runPhase(plan phasePlan, duration time.Duration) (PhaseCost, error) {
	plan.begin(f)
	cost := PhaseCost{Phase: plan.phase, ConvergenceSeconds: -1}
	samples := []sample{f.readCounters()}
	for at := sampleInterval; at <= duration; at += sampleInterval {
		if err := f.Run(sampleInterval); err != nil {
			return cost, err
		}
		samples = append(samples, f.readCounters())
		agreed, _ := f.ViewsAgree()
		if !agreed {
			cost.ConvergenceSeconds = -1
		} else if !plan.partitioned && cost.ConvergenceSeconds < 0 {
			cost.ConvergenceSeconds = at.Seconds()
		}
	}
	f.summarize(&cost, samples)
	return cost, nil
}

// summarize computes the figures of a phase from its samples.
func (f *fleet) summarize(cost *PhaseCost, samples []sample) {
	running := float64(f.upCount())
	peakSamples := int(peakWindow / sampleInterval)
	for end := peakSamples; end < len(samples); end++ {
		cost.addPeakWindow(samples[end-peakSamples], samples[end], running)
	}
	burstSamples := int(burstWindow / sampleInterval)
	for end := burstSamples; end < len(samples); end++ {
		rate := bytesPerSecond(samples[end-burstSamples], samples[end], burstWindow) / running
		cost.PeakBurst = max(cost.PeakBurst, rate)
	}
}

// addPeakWindow adds the window of length peakWindow between two samples.
func (c *PhaseCost) addPeakWindow(from, to sample, running float64) {
	window := peakWindow.Seconds()
	rate := bytesPerSecond(from, to, peakWindow) / running
	c.PeakBytes = max(c.PeakBytes, rate)
	c.SettledBytes = rate
	if rate > capacity.ExpectedTarget().BytesPerSecond {
		c.SecondsOverBudget += sampleInterval.Seconds()
	}
	c.PeakDatagrams = max(c.PeakDatagrams, float64(to.datagrams-from.datagrams)/window/running)
	c.PeakProcessor = max(c.PeakProcessor, (to.processor-from.processor).Seconds()/window/running)
	for i := range to.bytes {
		c.PeakTopSender = max(c.PeakTopSender, float64(to.bytes[i]-from.bytes[i])/window)
	}
}

// bytesPerSecond returns the bytes per second that all gateways together sent between two samples.
func bytesPerSecond(from, to sample, window time.Duration) float64 {
	return float64(sum(to.bytes)-sum(from.bytes)) / window.Seconds()
}

// upCount returns the number of running gateways.
func (f *fleet) upCount() (count int) {
	for i := range f.Members {
		if f.Members[i].Up {
			count++
		}
	}
	return count
}

func sum(values []int) (total int) {
	for _, value := range values {
		total += value
	}
	return total
}
