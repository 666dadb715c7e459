package testfleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"frostpier/internal/testbed/emulator"
)

// Pool runs emulated engines and maintains their engine list. All methods but SetDiscoveryServer and Collapsed are safe for
// concurrent use.
type Pool struct {
	mu              sync.Mutex
	engines         []*emulator.Engine // running
	list            []Engine
	spec            emulator.Spec
	clock           func() time.Duration
	started         int              // number of engines started so far
	discovery       *DiscoveryServer // where Publish publishes the engine list; nil = nowhere
	collapsedKilled int              // number of killed engines that had collapsed
}

// Times of an emulated engine's load reports, similar to the platform's.
const (
	reportInterval = 400 * time.Millisecond
	reportDelay    = 100 * time.Millisecond
)

// NewPool starts n engines that have already warmed up. The caller stops them with Close. After an error no engine is running.
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

// add starts an engine and adds it to the engine list. If the engine warms up, the entry contains its start time.
func (p *Pool) add(warmingUp bool) error {
	p.started++
	name := fmt.Sprintf("s-%08x", 0x5eed0000+p.started*7919)
	e, err := emulator.StartEngine(emulator.Options{Name: name, Spec: p.spec, WarmingUp: warmingUp, ReportInterval: reportInterval,
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

// EngineList returns a copy of the engine list that Publish publishes.
func (p *Pool) EngineList() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// SetDiscoveryServer sets the discovery server on which Publish publishes the engine list.
func (p *Pool) SetDiscoveryServer(server *DiscoveryServer) { p.discovery = server }

// Engines returns the running engines.
func (p *Pool) Engines() []*emulator.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

// Kill stops an engine as if its process had crashed. It does not publish the engine list.
func (p *Pool) Kill(e *emulator.Engine) {
	p.mu.Lock()
	p.engines = slices.DeleteFunc(p.engines, func(o *emulator.Engine) bool { return o == e })
	for i := range p.list {
		if p.list[i].Name == e.Name() {
			p.list[i].State = "terminated"
		}
	}
	if _, _, collapsed := e.Load(); collapsed {
		p.collapsedKilled++
	}
	p.mu.Unlock()
	e.Close()
}

// Replace kills an engine and starts a new one that has to warm up. It does not publish the engine list.
func (p *Pool) Replace(e *emulator.Engine) error {
	p.Kill(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(true)
}

// Publish publishes the engine list on the discovery server, if one is set.
func (p *Pool) Publish() {
	if p.discovery != nil {
		p.discovery.Publish(p.EngineList())
	}
}

// Collapsed returns the number of engines that collapsed under load while warming up, including killed ones.
func (p *Pool) Collapsed() int {
	n := p.collapsedKilled
	for _, e := range p.Engines() {
		if _, _, collapsed := e.Load(); collapsed {
			n++
		}
	}
	return n
}

// Close stops all engines and waits for their goroutines.
func (p *Pool) Close() {
	for _, e := range p.Engines() {
		e.Close()
	}
}
