package testfleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"frostpier/internal/testbed/emulator"
)

// Pool runs emulated engines and keeps their engine list. Its methods may be called by several goroutines, but for
// PublishTo and Fallen.
type Pool struct {
	mu             sync.Mutex
	engines        []*emulator.Engine // running
	list           []Engine
	spec           emulator.Spec
	clock          func() time.Duration
	started        int              // engines so far
	discovery      *DiscoveryServer // on which changes are published, once it is set
	collapsedEnded int              // engines that collapsed and have ended
}

// Times of an emulated engine's load reports, much like the platform's.
const (
	reportInterval = 400 * time.Millisecond
	reportDelay    = 100 * time.Millisecond
)

// NewPool starts n engines with their full capacity. After an error none runs; otherwise the caller ends them with Close.
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

// add starts an engine and lists it. One that is warming up is listed with its start time.
func (p *Pool) add(warmingUp bool) error {
	p.started++
	name := fmt.Sprintf("s-%08x", 0x5eed0000+p.started*7919)
	e, err := emulator.Start(emulator.Options{Name: name, Spec: p.spec, WarmingUp: warmingUp, ReportInterval: reportInterval,
		ReportDelay: reportDelay}, p.clock)
	if err != nil {
		return err
	}
	p.engines = append(p.engines, e)
	entry := Engine{Name: name, Addr: e.Addr(), Zone: "z", Kind: "m", State: "in_service"}
	if warmingUp {
		entry.StartedAtMS = time.Now().UnixMilli()
	}
	p.list = append(p.list, entry)
	return nil
}

// EngineList returns the engine list to be published.
func (p *Pool) EngineList() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// SetDiscoveryServer sets the discovery server on which Publish publishes the engine list.
func (p *Pool) SetDiscoveryServer(server *DiscoveryServer) { p.discovery = server }

// Engines returns the engines that run.
func (p *Pool) Engines() []*emulator.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

// Kill ends an engine as when its process dies. The engine list is not published.
func (p *Pool) Kill(e *emulator.Engine) {
	p.mu.Lock()
	p.engines = slices.DeleteFunc(p.engines, func(o *emulator.Engine) bool { return o == e })
	for i := range p.list {
		if p.list[i].Name == e.Name() {
			p.list[i].State = "terminated"
		}
	}
	if _, _, collapsed := e.Load(); collapsed {
		p.collapsedEnded++
	}
	p.mu.Unlock()
	e.Close()
}

// Replace ends an engine and starts one that has to warm up. The engine list is not published.
func (p *Pool) Replace(e *emulator.Engine) error {
	p.Kill(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(true)
}

// Publish publishes the engine list on the discovery server.
func (p *Pool) Publish() {
	if p.discovery != nil {
		p.discovery.Publish(p.EngineList())
	}
}

// Collapsed returns how many engines have collapsed under load while warming up.
func (p *Pool) Collapsed() int {
	n := p.collapsedEnded
	for _, e := range p.Engines() {
		if _, _, collapsed := e.Load(); collapsed {
			n++
		}
	}
	return n
}

// Close ends all engines and waits for their goroutines.
func (p *Pool) Close() {
	for _, e := range p.Engines() {
		e.Close()
	}
}
