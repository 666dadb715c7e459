package measure

import (
	"fmt"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Options are what a run of the measurements is given.
type Options struct {
	Seed   uint64
	Quick  bool                        // smaller sizes, one run each
	Only   capacity.Group              // "" = all
	Faults int                         // runs of the faults at each size
	Note   func(text string, a ...any) // progress
}

// Loads of the measurements.
const (
	lowReportRate  = 6 // a second and gateway, as on the bench's days
	faultEngines   = 30
	faultReports   = 2 // a second: with gossip enough to fill every datagram
	timedRuns      = 3 // of what processor time is read of
	detectionKills = 10
	listRepeats    = 20
	decisionTime   = time.Second
)

// sizes are those of a full or a quick run.
type sizes struct {
	decisions, lists, gateways, connections []int
	fleets                                  [][2]int // gateways, engines
	timed                                   int      // runs of a timing
	kills                                   int
}

func (o Options) sizes() sizes {
	if o.Quick {
		return sizes{decisions: []int{10, 20, 40, 80}, lists: []int{20, 40, 80, 160}, gateways: []int{20, 28, 40, 56},
			connections: []int{20, 40, 80, 160}, fleets: [][2]int{{20, 8}, {30, 16}, {40, 40}, {60, 80}}, timed: 1, kills: 2}
	}
	return sizes{decisions: []int{10, 80, 300, 550, 1100}, lists: []int{100, 300, 550, 1100},
		gateways: []int{100, 200, 400, 800}, connections: []int{100, 500, 1000, 2000},
		fleets: [][2]int{{100, 40}, {200, 100}, {300, 300}, {800, 550}, {800, 1100}}, timed: timedRuns, kills: detectionKills}
}

// plan is a run of the measurements.
type plan struct {
	Options
	sizes
	results collector
}

// Slopes takes the measurements, one after the other.
func Slopes(options Options) ([]capacity.Slope, error) {
	p := &plan{Options: options, sizes: options.sizes(), results: collector{}}
	steps := map[capacity.Group]func() error{
		capacity.GroupDecision: p.decisions, capacity.GroupReports: p.reports, capacity.GroupMembership: p.membership,
		capacity.GroupFaults: p.faults, capacity.GroupDiscovery: p.discovery, capacity.GroupConnections: p.connections,
		capacity.GroupStaged: p.staged,
	}
	for _, group := range capacity.Groups() {
		if !p.runs(group) {
			continue
		}
		p.Note("measures %s", group)
		if err := steps[group](); err != nil {
			return nil, fmt.Errorf("%s: %w", group, err)
		}
	}
	return p.results.slopes(), nil
}

func (p *plan) decisions() error {
	target := capacity.Expected()
	for run := range p.timed {
		for _, engines := range p.sizes.decisions {
			setup := DecisionSetup{Engines: engines, Gateways: int(target.Gateways), Rate: target.StatementsPerGateway(),
				Duration: decisionTime, Seed: p.Seed + uint64(run)}
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
		}
	}
	return nil
}

func (p *plan) reports() error {
	for _, size := range p.fleets {
		gateways, engines := size[0], size[1]
		note := fmt.Sprintf("%d gateways", gateways)
		setup := FleetSetup{Gateways: gateways, Engines: engines, Reports: lowReportRate, Seed: p.Seed}
		few, err := SharedReports(setup)
		if err != nil {
			return err
		}
		setup.Reports = capacity.Expected().StatementsPerGateway()
		all, err := SharedReports(setup)
		if err != nil {
			return err
		}
		p.results.add(capacity.KnownAtLowRate, engines, few.KnownShare, note)
		p.results.add(capacity.AgeAtLowRate, engines, few.Age, note)
		p.results.add(capacity.KnownAtFullRate, engines, all.KnownShare, note)
		p.results.add(capacity.AgeAtFullRate, engines, all.Age, note)
		p.results.add(capacity.ReportsProcessor, engines, all.Processor, note)
		p.results.add(capacity.ReportsBytes, engines, all.Bytes, note)
		p.results.add(capacity.DigestMemory, engines, DigestMemory(engines), "")
	}
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
		detected, err := Detection(gateways, p.kills, FaultLoss, p.Seed)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d kills", p.kills)
		p.results.add(capacity.DetectionFirstMember, gateways, detected.FirstMember, note)
		p.results.add(capacity.DetectionAllMembers, gateways, detected.AllMembers, note)
		p.results.add(capacity.DetectionMax, gateways, detected.Max, note)
	}
	return nil
}

func (p *plan) faults() error {
	for run := range max(1, p.Faults) {
		for _, gateways := range p.gateways {
			if err := p.faultsOf(gateways, p.Seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// faultsOf plays the faults on a fleet without load reports, and on one with them.
func (p *plan) faultsOf(gateways int, seed uint64) error {
	setup := FleetSetup{Gateways: gateways, Loss: FaultLoss, Seed: seed}
	costs, err := Faults(setup, true)
	if err != nil {
		return err
	}
	for _, cost := range costs {
		add := func(quantity capacity.PhaseQuantity, value float64) {
			p.results.add(quantity.SlopeName(cost.Phase), gateways, value, "")
		}
		p.results.addPeak(capacity.PeakBytes.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
		add(capacity.PeakBurst, cost.Burst)
		add(capacity.PeakTopSender, cost.TopSender)
		add(capacity.PeakDatagrams, cost.Datagrams)
		add(capacity.PeakProcessor, cost.Processor)
		add(capacity.SettledBytes, cost.Settled)
		if cost.Phase != capacity.RegionsPartitioned {
			add(capacity.ConvergenceSeconds, cost.ConvergenceSeconds)
		}
	}
	setup.Engines, setup.Reports = faultEngines, faultReports
	if costs, err = Faults(setup, false); err != nil {
		return err
	}
	for _, cost := range costs {
		p.results.addPeak(capacity.PeakBytesWithReports.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
		p.results.add(capacity.PeakTopSenderWithReports.SlopeName(cost.Phase), gateways, cost.TopSender, "")
	}
	return nil
}

func (p *plan) discovery() error {
	for range p.timed {
		for _, engines := range p.lists {
			list, err := EngineList(engines, listRepeats)
			if err != nil {
				return err
			}
			p.results.add(capacity.ListBytes, engines, list.Bytes, "")
			p.results.add(capacity.ListParse, engines, list.Parse, "")
			p.results.add(capacity.ListApply, engines, list.Apply, "")
			p.results.add(capacity.ListMemory, engines, list.Memory, "")
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
