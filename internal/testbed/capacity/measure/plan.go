package measure

import (
	"fmt"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Options select the measurements of a run.
type Options struct {
	Seed      uint64
	Quick     bool                        // smaller sizes, one run each
	Group     capacity.Group              // the one group to measure; "" = all
	FaultRuns int                         // fault runs at each size; at least one is made
	Logf      func(text string, a ...any) // reports progress, as fmt.Printf does
}

// Conditions of the measurements.
const (
	lowReportRate  = 6 // load reports per second and gateway, as in the simulator's days
	faultEngines   = 30
	faultReports   = 2 // load reports per second and gateway: enough to fill every datagram
	timedRuns      = 3 // of measurements that read processor time or memory
	detectionKills = 10
	listRepeats    = 20
	decisionTime   = time.Second // virtual
)

// fleetSize is the size of a simulated fleet.
type fleetSize struct{ gateways, engines int }

// sizes are the sizes at which a run measures.
type sizes struct {
	decisions   []int // engines
	lists       []int // engines
	gateways    []int
	connections []int
	fleets      []fleetSize
	timed       int // runs of timed measurements
	kills       int
}

func (o Options) sizes() sizes {
	if o.Quick {
		return sizes{
			decisions:   []int{10, 20, 40, 80},
			lists:       []int{20, 40, 80, 160},
			gateways:    []int{20, 28, 40, 56},
			connections: []int{20, 40, 80, 160},
			fleets:      []fleetSize{{20, 8}, {30, 16}, {40, 40}, {60, 80}},
			timed:       1,
			kills:       2,
		}
	}
	return sizes{
		decisions:   []int{10, 80, 300, 550, 1100},
		lists:       []int{100, 300, 550, 1100},
		gateways:    []int{100, 200, 400, 800},
		connections: []int{100, 500, 1000, 2000},
		fleets:      []fleetSize{{100, 40}, {200, 100}, {300, 300}, {800, 550}, {800, 1100}},
		timed:       timedRuns,
		kills:       detectionKills,
	}
}

// plan is a run of the measurements.
type plan struct {
	Options
	sizes
	results collector
}

// Slopes takes the selected measurements one after the other and returns their slopes. An error names the group.
func Slopes(options Options) ([]capacity.Slope, error) {
	p := &plan{Options: options, sizes: options.sizes(), results: collector{}}
	measurements := map[capacity.Group]func() error{
		capacity.GroupDecision:    p.decisions,
		capacity.GroupReports:     p.reports,
		capacity.GroupMembership:  p.membership,
		capacity.GroupFaults:      p.faults,
		capacity.GroupDiscovery:   p.discovery,
		capacity.GroupConnections: p.connections,
		capacity.GroupStaged:      p.staged,
	}
	for _, group := range capacity.Groups() {
		if !p.runs(group) {
			continue
		}
		p.Logf("measures %s", group)
		if err := measurements[group](); err != nil {
			return nil, fmt.Errorf("%s: %w", group, err)
		}
	}
	return p.results.slopes(), nil
}

func (p *plan) decisions() error {
	for run := range p.timed {
		for _, engines := range p.sizes.decisions {
			if err := p.decisionsAt(engines, p.Seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// decisionsAt measures decisions without and with the core.
func (p *plan) decisionsAt(engines int, seed uint64) error {
	target := capacity.Expected()
	setup := DecisionSetup{
		Engines:  engines,
		Gateways: int(target.Gateways),
		Rate:     target.StatementsPerGateway(),
		Duration: decisionTime,
		Seed:     seed,
	}
	alone, err := Decision(setup)
	if err != nil {
		return err
	}
	p.results.add(capacity.DecisionProcessor, engines, alone.Seconds(), "")
	withCore, err := CoreDecision(setup)
	if err != nil {
		return err
	}
	p.results.add(capacity.CoreProcessor, engines, withCore.Seconds(), "")
	return nil
}

func (p *plan) reports() error {
	for _, size := range p.fleets {
		if err := p.reportsAt(size); err != nil {
			return err
		}
	}
	return nil
}

// reportsAt measures shared load reports at the low and at the full rate.
func (p *plan) reportsAt(size fleetSize) error {
	setup := FleetSetup{Gateways: size.gateways, Engines: size.engines, Reports: lowReportRate, Seed: p.Seed}
	low, err := SharedReports(setup)
	if err != nil {
		return err
	}
	setup.Reports = capacity.Expected().StatementsPerGateway()
	full, err := SharedReports(setup)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d gateways", size.gateways)
	p.results.add(capacity.KnownAtLowRate, size.engines, low.KnownShare, note)
	p.results.add(capacity.AgeAtLowRate, size.engines, low.Age, note)
	p.results.add(capacity.KnownAtFullRate, size.engines, full.KnownShare, note)
	p.results.add(capacity.AgeAtFullRate, size.engines, full.Age, note)
	p.results.add(capacity.ReportsProcessor, size.engines, full.Processor, note)
	p.results.add(capacity.ReportsBytes, size.engines, full.Bytes, note)
	p.results.add(capacity.DigestMemory, size.engines, DigestMemory(size.engines), "")
	return nil
}

func (p *plan) membership() error {
	for _, gateways := range p.gateways {
		quiet, err := QuietMembership(gateways, p.Seed)
		if err != nil {
			return err
		}
		p.results.add(capacity.MembershipBytes, gateways, quiet.Bytes, "")
		p.results.add(capacity.MembershipProcessor, gateways, quiet.Processor, "")
		p.results.add(capacity.MembershipMemory, gateways, quiet.Memory, "")
		detection, err := Detection(gateways, p.kills, FaultLoss, p.Seed)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d kills", p.kills)
		p.results.add(capacity.DetectionFirstMember, gateways, detection.FirstMember, note)
		p.results.add(capacity.DetectionAllMembers, gateways, detection.AllMembers, note)
		p.results.add(capacity.DetectionMax, gateways, detection.Max, note)
	}
	return nil
}

func (p *plan) faults() error {
	for run := range max(1, p.FaultRuns) {
		for _, gateways := range p.gateways {
			if err := p.faultsAt(gateways, p.Seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// faultsAt runs the faults on a fleet without load reports, and on one with them.
func (p *plan) faultsAt(gateways int, seed uint64) error {
	setup := FleetSetup{Gateways: gateways, Loss: FaultLoss, Seed: seed}
	alone, err := Faults(setup, true)
	if err != nil {
		return err
	}
	for _, cost := range alone {
		p.addPhase(gateways, cost)
	}
	setup.Engines, setup.Reports = faultEngines, faultReports
	withReports, err := Faults(setup, false)
	if err != nil {
		return err
	}
	for _, cost := range withReports {
		p.results.addPeak(capacity.PeakBytesWithReports.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
		p.results.add(capacity.PeakTopSenderWithReports.SlopeName(cost.Phase), gateways, cost.TopSender, "")
	}
	return nil
}

// addPhase adds the cost of a phase without load reports.
func (p *plan) addPhase(gateways int, cost PhaseCost) {
	add := func(quantity capacity.PhaseQuantity, value float64) {
		p.results.add(quantity.SlopeName(cost.Phase), gateways, value, "")
	}
	p.results.addPeak(capacity.PeakBytes.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
	add(capacity.PeakBurst, cost.Burst)
	add(capacity.PeakTopSender, cost.TopSender)
	add(capacity.PeakDatagrams, cost.Datagrams)
	add(capacity.PeakProcessorTime, cost.Processor)
	add(capacity.SettledBytes, cost.Settled)
	if cost.Phase != capacity.RegionsPartitioned {
		add(capacity.ConvergenceSeconds, cost.ConvergenceSeconds)
	}
}

func (p *plan) discovery() error {
	for range p.timed {
		for _, engines := range p.lists {
			cost, err := EngineList(engines, listRepeats)
			if err != nil {
				return err
			}
			p.results.add(capacity.ListBytes, engines, cost.Bytes, "")
			p.results.add(capacity.ListParse, engines, cost.Parse, "")
			p.results.add(capacity.ListApply, engines, cost.Apply, "")
			p.results.add(capacity.ListMemory, engines, cost.Memory, "")
		}
	}
	return nil
}

func (p *plan) connections() error {
	for range p.timed {
		for _, count := range p.sizes.connections {
			engine, err := EngineConnectionMemory(count)
			if err != nil {
				return err
			}
			client, err := ClientConnectionMemory(count)
			if err != nil {
				return err
			}
			p.results.add(capacity.EngineConnection, count, engine, "")
			p.results.add(capacity.ClientConnection, count, client, "")
		}
	}
	return nil
}

func (p *plan) staged() error {
	for range p.timed {
		for _, gateways := range p.gateways {
			processor, length, err := StagedReports(gateways)
			if err != nil {
				return err
			}
			p.results.add(capacity.StagedReportBytes, gateways, float64(length), "a report a second")
			p.results.add(capacity.StagedReportProcessor, gateways, processor.Seconds(), "")
		}
	}
	return nil
}
