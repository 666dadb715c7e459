package testfleet

import (
	"math"
	"slices"
	"time"

	"frostpier/internal/testbed/emulator"
)

const (
	sampleInterval   = 100 * time.Millisecond // between two samples of every engine
	samplesPerBurst  = 5
	samplesPerWindow = 10

	// minMeanLoad is the mean load, in threads a core, from which the engines of a window are compared: with less, as when
	// all requests have been sent, the differences are chance.
	minMeanLoad = 0.2

	// minBurstArrivals is the mean number of arrivals at an engine from which bursts are compared: with fewer they are
	// chance.
	minBurstArrivals = 4

	peakQuantile  = 0.95
	burstQuantile = 0.999
)

// Balance describes how evenly load was spread over the engines. A window lasts one second.
type Balance struct {
	Windows        int
	PeakToMean     float64 // peak to mean: the busiest engine's threads over the mean of a window, averaged over the windows
	PeakToMeanP95  float64 // the same, 95th percentile of the windows
	LongestIdle    float64 // seconds for which an engine had less than half of the mean load, at most
	BurstP999      float64 // arrivals at an engine in half a second over its equal share, 99.9th percentile
	MaxConns       int     // connections open at all engines, at most
	ThreadsPerCore float64 // mean threads a core
	Arrivals       int     // queries that reached engines
	Rejected       int     // of them, since the engine was full
}

// SampleBalance samples the engines until stop is closed and returns how even their load was. It assumes that all engines have the
// same Spec.
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
	cores      float64 // of an engine
	engines    map[*emulator.Engine]*engineSample
	samples    int
	peakToMean []float64 // of each window
	bursts     []float64 // of each engine in each half second
	balance    Balance
}

// engineSample is what the sampler keeps of one engine.
type engineSample struct {
	threads  float64 // summed over the samples of the present window
	arrived  int     // up to the last sample
	arrivals []int   // between the latest samples
	rejected int
	idle     float64 // windows with less than half of the mean load, without a break
}

// sample reads all engines that run.
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

// sampleEngine reads one engine and returns how many connections it has.
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

// recordBursts compares the engines' arrivals in the last half second.
func (s *balanceSampler) recordBursts(engines []*emulator.Engine) {
	all := 0
	for _, e := range engines {
		all += sum(s.engines[e].arrivals)
	}
	if all <= minBurstArrivals*len(engines) {
		return
	}
	for _, e := range engines {
		s.bursts = append(s.bursts, float64(sum(s.engines[e].arrivals))*float64(len(engines))/float64(all))
	}
}

// closeWindow compares the engines' mean threads in the window that ends, and begins the next.
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
			engine.idle++
		} else {
			engine.idle = 0
		}
		s.balance.LongestIdle = max(s.balance.LongestIdle, engine.idle)
		engine.threads = 0
	}
}

// result works the figures out.
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
	b.PeakToMeanP95 = quantile(s.peakToMean, peakQuantile)
	b.BurstP999 = quantile(s.bursts, burstQuantile)
	b.ThreadsPerCore /= math.Max(1, float64(b.Windows))
	return b
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}

// quantile is the value that the share q of the sorted values does not exceed; 0 where there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
