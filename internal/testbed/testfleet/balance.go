package testfleet

import (
	"math"
	"slices"
	"time"

	"frostpier/internal/testbed/emulator"
)

const (
	sampleInterval   = 100 * time.Millisecond
	samplesPerBurst  = 5
	samplesPerWindow = 10

	// minMeanLoad is the mean load, in threads per core, above which a window is evaluated. At lower loads, such as after the
	// last request, the differences between engines are random.
	minMeanLoad = 0.2

	// minBurstArrivals is the mean number of arrivals per engine above which bursts are evaluated. With fewer arrivals the
	// differences between engines are random.
	minBurstArrivals = 4

	peakPercentile  = 0.95
	burstPercentile = 0.999
)

// Balance describes how evenly load was distributed over the engines. A window lasts one second.
type Balance struct {
	Windows        int     // number of evaluated windows
	PeakToMean     float64 // ratio of the busiest engine's threads to the mean of all engines, averaged over the windows
	PeakToMeanP95  float64 // 95th percentile of that ratio over the windows
	LongestLowLoad float64 // longest time in seconds for which an engine had less than half of the mean load
	BurstP999      float64 // 99.9th percentile of the ratio of an engine's arrivals in half a second to the mean of all engines
	MaxConns       int     // maximum number of open connections, summed over all engines
	ThreadsPerCore float64 // mean number of busy threads per core
	Arrivals       int     // number of queries that reached engines
	Rejected       int     // number of these that engines rejected because they were full
}

// SampleBalance samples the engines until stop is closed and returns how evenly load was distributed over them. It assumes
// that all engines have the same Spec.
func (p *Pool) SampleBalance(stop <-chan struct{}) Balance {
	s := balanceSampler{cores: p.spec.Cores, engines: map[*emulator.Engine]*engineSample{}}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return s.result()
		case <-tick.C:
			s.sample(p.Engines())
		}
	}
}

// balanceSampler collects samples of the engines of a pool.
type balanceSampler struct {
	cores      float64 // cores per engine
	engines    map[*emulator.Engine]*engineSample
	samples    int
	peakToMean []float64 // one value per window
	bursts     []float64 // one value per engine and half second
	balance    Balance
}

// engineSample holds the samples of one engine.
type engineSample struct {
	threads  float64 // sum over the samples of the current window
	arrived  int     // total at the last sample
	arrivals []int   // increments over the last samplesPerBurst samples
	rejected int     // total at the last sample
	lowLoad  float64 // number of consecutive windows with less than half of the mean load
}

// sample samples all given engines and evaluates completed bursts and windows.
func (s *balanceSampler) sample(engines []*emulator.Engine) {
	s.samples++
	conns := 0
	for _, e := range engines {
		conns += s.sampleEngine(e)
	}
	s.balance.MaxConns = max(s.balance.MaxConns, conns)
	if s.samples%samplesPerBurst == 0 {
		s.recordBursts(engines)
	}
	if s.samples%samplesPerWindow == 0 {
		s.closeWindow(engines)
	}
}

// sampleEngine samples one engine and returns its number of connections.
func (s *balanceSampler) sampleEngine(e *emulator.Engine) (conns int) {
	load, totals, _ := e.Load()
	engine := s.engines[e]
	if engine == nil {
		engine = &engineSample{}
		s.engines[e] = engine
	}
	engine.threads += load.Threads
	engine.arrivals = append(engine.arrivals, totals.Arrived-engine.arrived)
	if len(engine.arrivals) > samplesPerBurst {
		engine.arrivals = engine.arrivals[1:]
	}
	engine.arrived, engine.rejected = totals.Arrived, totals.Rejected
	return totals.Conns
}

// recordBursts compares the numbers of arrivals at the engines in the last half second.
func (s *balanceSampler) recordBursts(engines []*emulator.Engine) {
	total := 0
	for _, e := range engines {
		total += sum(s.engines[e].arrivals)
	}
	if total <= minBurstArrivals*len(engines) {
		return
	}
	for _, e := range engines {
		s.bursts = append(s.bursts, float64(sum(s.engines[e].arrivals))*float64(len(engines))/float64(total))
	}
}

// closeWindow compares the mean threads of the engines in the current window and starts the next one.
func (s *balanceSampler) closeWindow(engines []*emulator.Engine) {
	mean, peak := 0.0, 0.0
	for _, e := range engines {
		mean += s.engines[e].threads / samplesPerWindow / float64(len(engines))
		peak = max(peak, s.engines[e].threads/samplesPerWindow)
	}
	loaded := mean > minMeanLoad*s.cores
	if loaded {
		s.peakToMean = append(s.peakToMean, peak/mean)
		s.balance.ThreadsPerCore += mean / s.cores
	}
	for _, e := range engines {
		engine := s.engines[e]
		if loaded && engine.threads/samplesPerWindow < mean/2 {
			engine.lowLoad++
		} else {
			engine.lowLoad = 0
		}
		s.balance.LongestLowLoad = max(s.balance.LongestLowLoad, engine.lowLoad)
		engine.threads = 0
	}
}

// result computes the Balance of all samples.
func (s *balanceSampler) result() Balance {
	b := s.balance
	for _, engine := range s.engines {
		b.Arrivals += engine.arrived
		b.Rejected += engine.rejected
	}
	slices.Sort(s.peakToMean)
	slices.Sort(s.bursts)
	b.Windows = len(s.peakToMean)
	for _, ratio := range s.peakToMean {
		b.PeakToMean += ratio / float64(b.Windows)
	}
	b.PeakToMeanP95 = quantile(s.peakToMean, peakPercentile)
	b.BurstP999 = quantile(s.bursts, burstPercentile)
	b.ThreadsPerCore /= math.Max(1, float64(b.Windows))
	return b
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
