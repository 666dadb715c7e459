package testfleet

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"frostpier/internal/testbed/emulator"
)

// Pool is a number of stand-in engines and their engine list.
type Pool struct {
	mu        sync.Mutex
	engines   []*emulator.Engine // those that run
	list      []Engine
	spec      emulator.Spec
	clock     func() time.Duration
	named     int
	discovery *DiscoveryServer // told of changes once it is set
	fallen    int              // of engines that have ended
}

// Report times of a stand-in engine, about the site's.
const (
	reportEvery = 400 * time.Millisecond
	reportDelay = 100 * time.Millisecond
)

// NewPool starts so many warm engines.
func NewPool(n int, spec emulator.Spec, clock func() time.Duration) (*Pool, error) {
	p := &Pool{spec: spec, clock: clock}
	for range n {
		if err := p.add(false); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

// add starts an engine.
func (p *Pool) add(cold bool) error {
	p.named++
	name := fmt.Sprintf("s-%08x", 0x5eed0000+p.named*7919)
	e, err := emulator.Start(emulator.Options{Name: name, Spec: p.spec, WarmingUp: cold, ReportInterval: reportEvery,
		ReportDelay: reportDelay}, p.clock)
	if err != nil {
		return err
	}
	p.engines = append(p.engines, e)
	line := Engine{Name: name, Addr: e.Addr(), Zone: "z", Kind: "m", State: "in_service"}
	if cold {
		line.Began = time.Now().UnixMilli()
	}
	p.list = append(p.list, line)
	return nil
}

// EngineList returns the engine list to be published.
func (p *Pool) EngineList() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// PublishTo sets the discovery server on which Publish announces changes.
func (p *Pool) PublishTo(b *DiscoveryServer) { p.discovery = b }

// Engines are those that run.
func (p *Pool) Engines() []*emulator.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

// Kill ends an engine as a process dies; nothing is announced until Publish.
func (p *Pool) Kill(e *emulator.Engine) {
	p.mu.Lock()
	p.engines = slices.DeleteFunc(p.engines, func(o *emulator.Engine) bool { return o == e })
	for i := range p.list {
		if p.list[i].Name == e.Name() {
			p.list[i].State = "terminated"
		}
	}
	if _, _, fallen := e.Load(); fallen {
		p.fallen++
	}
	p.mu.Unlock()
	e.Close()
}

// Replace ends an engine and starts a cold one; nothing is announced until Publish.
func (p *Pool) Replace(e *emulator.Engine) error {
	p.Kill(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(true)
}

// Publish announces the present engine list on the discovery server.
func (p *Pool) Publish() {
	if p.discovery != nil {
		p.discovery.Publish(p.EngineList())
	}
}

// Fallen is how many engines were pushed over while cold.
func (p *Pool) Fallen() int {
	n := p.fallen
	for _, e := range p.Engines() {
		if _, _, fallen := e.Load(); fallen {
			n++
		}
	}
	return n
}

// Close ends all engines.
func (p *Pool) Close() {
	for _, e := range p.Engines() {
		e.Close()
	}
}

// sampleEvery is the time between two looks at every engine.
const sampleEvery = 100 * time.Millisecond

// Balance is how evenly work lay over the engines.
type Balance struct {
	Windows   int
	MostMean  float64 // the busiest engine's threads over the mean, by windows of a second: the mean over windows
	Most95    float64 // and the 95th percentile
	IdleFor   float64 // the longest time in seconds that an engine was under half of the mean
	Burst     float64 // the most arrivals at an engine in half a second over its part, 99.9th percentile of all
	Conns     int     // connections held at all engines, at the most
	Threads   float64 // a core, the mean
	Arrivals  int     // queries that reached engines
	TurnedOff int     // of them turned away as full
}

// leastLoad is the mean load in threads a core from which engines are compared.
const leastLoad = 0.2

// Watch samples the engines until stop is closed, and then works the figures out. Engines of one spec are compared.
func (p *Pool) Watch(stop <-chan struct{}) Balance {
	var b Balance
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	type seen struct {
		threads float64 // summed over a window
		arrived int     // at the last look
		burst   []int   // arrivals in each of the last looks
		idle    float64 // for how long it has been under half of the mean
		full    int
	}
	engines := map[*emulator.Engine]*seen{}
	var ratios, bursts []float64
	looks := 0
	for {
		select {
		case <-stop:
			for _, s := range engines {
				b.Arrivals += s.arrived
				b.TurnedOff += s.full
			}
			slices.Sort(ratios)
			slices.Sort(bursts)
			b.Windows = len(ratios)
			for _, r := range ratios {
				b.MostMean += r / float64(len(ratios))
			}
			b.Most95, b.Burst = quantile(ratios, 0.95), quantile(bursts, 0.999)
			b.Threads /= math.Max(1, float64(len(ratios)))
			return b
		case <-tick.C:
		}
		looks++
		conns, arrivedNow := 0, 0
		list := p.Engines()
		for _, e := range list {
			l, f, _ := e.Load()
			s := engines[e]
			if s == nil {
				s = &seen{}
				engines[e] = s
			}
			s.threads += l.Threads
			s.burst = append(s.burst, f.Arrived-s.arrived)
			if len(s.burst) > 5 {
				s.burst = s.burst[1:]
			}
			arrivedNow += f.Arrived - s.arrived
			s.arrived, s.full = f.Arrived, f.Rejected
			conns += f.Conns
		}
		b.Conns = max(b.Conns, conns)
		if looks%5 == 0 {
			sum := 0
			for _, e := range list {
				sum += total(engines[e].burst)
			}
			if sum > 4*len(list) { // with fewer it is chance alone
				for _, e := range list {
					bursts = append(bursts, float64(total(engines[e].burst))*float64(len(list))/float64(sum))
				}
			}
		}
		if looks%10 > 0 {
			continue
		}
		mean, most := 0.0, 0.0
		for _, e := range list {
			mean += engines[e].threads / 10 / float64(len(list))
			most = max(most, engines[e].threads/10)
		}
		if mean > leastLoad*p.spec.Cores { // with less, as when all that was sent is over, it is chance alone
			ratios = append(ratios, most/mean)
			b.Threads += mean / p.spec.Cores
		}
		for _, e := range list {
			s := engines[e]
			if mean > leastLoad*p.spec.Cores && s.threads/10 < mean/2 {
				s.idle++
			} else {
				s.idle = 0
			}
			b.IdleFor = max(b.IdleFor, s.idle)
			s.threads = 0
		}
	}
}

func total(list []int) (sum int) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// quantile reads a share of a sorted list.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
