package measure

import (
	"runtime"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Shares of the gateways that a fault takes, and the times of the phases.
const (
	rackCount      = 40 // one gateway in so many stands in a rack
	zoneCount      = 7  // zones
	startupTime    = 30 * time.Second
	quietTime      = time.Minute
	sampleInterval = time.Second
	peakWindow     = 10 * time.Second // windows of the budget's peaks
	burstWindow    = 5 * time.Second  // windows of the first measurements
	FaultLoss      = 0.05             // share of datagrams lost in all phases
)

// PhaseCost is what a phase cost a gateway that was up.
type PhaseCost struct {
	Phase              capacity.Phase
	PeakBytes          float64 // sent a second, mean over gateways, in the worst 10 s
	Burst              float64 // likewise in the worst 5 s
	TopSender          float64 // sent a second by the gateway that sent most, in its worst 10 s
	SecondsOverBudget  float64 // seconds at whose ends the mean over the last 10 s was over the budget
	Settled            float64 // bytes sent a second, mean over gateways, in the phase's last 10 s
	Datagrams          float64 // sent a second, mean over gateways, in the worst 10 s
	Processor          float64 // processor seconds a second, mean over gateways, in the worst 10 s; the simulator's part included
	ConvergenceSeconds float64 // seconds from the phase's begin until all views were right; -1 = not in the phase
}

// phasePlan is how a phase begins and how long it lasts: until all is settled, or until the peak has passed.
type phasePlan struct {
	phase        capacity.Phase
	begin        func(f *fleet)
	fullDuration time.Duration
	peakDuration time.Duration
	partitioned  bool // views differ by design
}

func phasePlans() []phasePlan {
	const second = time.Second
	return []phasePlan{
		{capacity.Quiet, func(*fleet) {}, 60 * second, 15 * second, false},
		{capacity.Restart, restartOne, 30 * second, 20 * second, false},
		{capacity.MachineLost, func(f *fleet) { f.Kill(0) }, 30 * second, 25 * second, false},
		{capacity.RackLost, func(f *fleet) { f.killFirst(rackCount) }, 30 * second, 25 * second, false},
		{capacity.ZoneLost, func(f *fleet) { f.killFirst(zoneCount) }, 60 * second, 35 * second, false},
		{capacity.ZoneRecovered, (*fleet).startStopped, 40 * second, 20 * second, false},
		{capacity.RegionsPartitioned, (*fleet).partition, 120 * second, 60 * second, true},
		{capacity.PartitionHealed, func(f *fleet) { f.Cut = nil }, 60 * second, 30 * second, false},
	}
}

// restartOne stops a gateway as planned and starts it 5 s later.
func restartOne(f *fleet) {
	last := f.setup.Gateways - 1
	f.Leave(last)
	f.At(5*time.Second, func() { f.Start(last, 0) })
}

func (f *fleet) killFirst(share int) {
	for i := range f.setup.Gateways / share {
		f.Kill(i)
	}
}

func (f *fleet) startStopped() {
	for i := range f.Members {
		if !f.Members[i].Up {
			f.Start(i, 0)
		}
	}
}

func (f *fleet) partition() {
	half := f.setup.Gateways / 2
	f.Cut = func(from, to int) bool { return (from < half) != (to < half) }
}

// Faults plays all phases on one fleet and returns what each cost: in full, or each only until its peak has passed.
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
		lasts := plan.peakDuration
		if full {
			lasts = plan.fullDuration
		}
		cost, err := f.runPhase(plan, lasts)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// sample is what gateways had sent, and what the process had used, at one moment.
type sample struct {
	bytes     []int
	datagrams int
	processor time.Duration
}

func (f *fleet) sample() sample {
	return sample{append([]int(nil), f.SentBytes...), sum(f.Sent), processorTime()}
}

// runPhase runs a phase, looking at it every second.
func (f *fleet) runPhase(plan phasePlan, lasts time.Duration) (PhaseCost, error) {
	plan.begin(f)
	cost := PhaseCost{Phase: plan.phase, ConvergenceSeconds: -1}
	samples := []sample{f.sample()}
	for at := sampleInterval; at <= lasts; at += sampleInterval {
		if err := f.Run(sampleInterval); err != nil {
			return cost, err
		}
		samples = append(samples, f.sample())
		if agreed, _ := f.Agreed(); agreed && !plan.partitioned && cost.ConvergenceSeconds < 0 {
			cost.ConvergenceSeconds = at.Seconds()
		} else if !agreed {
			cost.ConvergenceSeconds = -1
		}
	}
	f.summarize(&cost, samples)
	return cost, nil
}

// summarize finds the worst windows of a phase.
func (f *fleet) summarize(cost *PhaseCost, samples []sample) {
	up := float64(f.upCount())
	wide, narrow := int(peakWindow/sampleInterval), int(burstWindow/sampleInterval)
	for end := wide; end < len(samples); end++ {
		from, to := samples[end-wide], samples[end]
		mean := float64(sum(to.bytes)-sum(from.bytes)) / peakWindow.Seconds() / up
		cost.PeakBytes = max(cost.PeakBytes, mean)
		cost.Settled = mean
		if mean > capacity.Expected().BytesPerSecond {
			cost.SecondsOverBudget += sampleInterval.Seconds()
		}
		cost.Datagrams = max(cost.Datagrams, float64(to.datagrams-from.datagrams)/peakWindow.Seconds()/up)
		cost.Processor = max(cost.Processor, (to.processor-from.processor).Seconds()/peakWindow.Seconds()/up)
		for i := range to.bytes {
			cost.TopSender = max(cost.TopSender, float64(to.bytes[i]-from.bytes[i])/peakWindow.Seconds())
		}
	}
	for end := narrow; end < len(samples); end++ {
		mean := float64(sum(samples[end].bytes)-sum(samples[end-narrow].bytes)) / burstWindow.Seconds() / up
		cost.Burst = max(cost.Burst, mean)
	}
}

// upCount is how many gateways run.
func (f *fleet) upCount() (count int) {
	for i := range f.Members {
		if f.Members[i].Up {
			count++
		}
	}
	return count
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

// QuietCost is what membership costs a gateway while nothing happens.
type QuietCost struct {
	Bytes     float64 // sent a second
	Processor float64 // processor seconds a second, the simulator's part included
	Memory    float64 // bytes of one node
}

// QuietMembership measures membership without losses or faults.
func QuietMembership(gateways int, seed uint64) (QuietCost, error) {
	before := liveMemory()
	f, err := newFleet(FleetSetup{Gateways: gateways, Seed: seed})
	if err != nil {
		return QuietCost{}, err
	}
	if err := f.Run(startupTime); err != nil {
		return QuietCost{}, err
	}
	out := QuietCost{Memory: (liveMemory() - before) / float64(gateways)}
	sent, began := sum(f.SentBytes), processorTime()
	if err := f.Run(quietTime); err != nil {
		return QuietCost{}, err
	}
	per := float64(gateways) * quietTime.Seconds()
	out.Processor = (processorTime() - began).Seconds() / per
	out.Bytes = float64(sum(f.SentBytes)-sent) / per
	runtime.KeepAlive(f)
	return out, nil
}
