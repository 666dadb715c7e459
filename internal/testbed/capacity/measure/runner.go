package measure

import (
	"fmt"
	"time"

	"frostpier/internal/testbed/capacity"
)

// Options selects the measurements of a run.
type Options struct {
	Seed      uint64
	Quick     bool                        // smaller sizes, one run each
	Group     capacity.Group              // group to measure; "" = all groups
	FaultRuns int                         // number of fault runs at each size; 0 means 1
	Logf      func(text string, a ...any) // reports progress; arguments as for fmt.Printf
}

// Conditions of the measurements.
const (
	lowReportRate  = 6 // load reports per second and gateway, as in simulations of a day
	faultEngines   = 30
	faultReports   = 2 // load reports per second and gateway: enough to fill every datagram
	timedRuns      = 3 // runs of each measurement that reads processor time or memory
	detectionKills = 10
	listRepeats    = 20
	decisionTime   = time.Second // duration of the measured load, in virtual time
)

// fleetSize is the size of a simulated fleet.
type fleetSize struct{ gateways, engines int }

// sizes holds the sizes at which a run measures, and the numbers of repetitions.
type sizes struct {
	decisions   []int // numbers of engines for the decision measurements
	lists       []int // numbers of engines for the discovery measurements
	gateways    []int
	connections []int
	fleets      []fleetSize
	timed       int // runs of each measurement that reads processor time or memory
	kills       int // gateways killed in the detection measurement
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

// runner runs the selected measurements and collects their results.
type runner struct {
	Options
	sizes
	results collector
}

// Slopes runs the selected measurements sequentially and returns their slopes. Errors are prefixed with the group.
func Slopes(options Options) ([]capacity.Slope, error) {
	r := &runner{Options: options, sizes: options.sizes(), results: collector{}}
	measurements := map[capacity.Group]func() error{
		capacity.GroupDecision:    r.decisions,
		capacity.GroupReports:     r.reports,
		capacity.GroupMembership:  r.membership,
		capacity.GroupFaults:      r.faults,
		capacity.GroupDiscovery:   r.discovery,
		capacity.GroupConnections: r.connections,
		capacity.GroupStaged:      r.staged,
	}
	for _, group := range capacity.Groups() {
		if !r.selects(group) {
			continue
		}
		r.Logf("measuring %s", group)
		if err := measurements[group](); err != nil {
			return nil, fmt.Errorf("%s: %w", group, err)
		}
	}
	return r.results.slopes(), nil
}

func (r *runner) decisions() error {
	for run := range r.timed {
		for _, engines := range r.sizes.decisions {
			if err := r.decisionsAt(engines, r.Seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// decisionsAt measures decisions with the given number of engines, without and with the core.
func (r *runner) decisionsAt(engines int, seed uint64) error {
	target := capacity.ExpectedTarget()
	setup := DecisionSetup{
		Engines:             engines,
		Gateways:            int(target.Gateways),
		StatementsPerSecond: target.StatementsPerGateway(),
		Duration:            decisionTime,
		Seed:                seed,
	}
	alone, err := Decision(setup)
	if err != nil {
		return err
	}
	r.results.add(capacity.DecisionProcessorTime, engines, alone.Seconds(), "")
	withCore, err := CoreDecision(setup)
	if err != nil {
		return err
	}
	r.results.add(capacity.CoreProcessorTime, engines, withCore.Seconds(), "")
	return nil
}

func (r *runner) reports() error {
	for _, size := range r.fleets {
		if err := r.reportsAt(size); err != nil {
			return err
		}
	}
	return nil
}

// reportsAt measures shared load reports in a fleet of the given size, at the low and at the full rate.
func (r *runner) reportsAt(size fleetSize) error {
	setup := FleetSetup{Gateways: size.gateways, Engines: size.engines, ReportsPerSecond: lowReportRate, Seed: r.Seed}
	low, err := SharedReports(setup)
	if err != nil {
		return err
	}
	setup.ReportsPerSecond = capacity.ExpectedTarget().StatementsPerGateway()
	full, err := SharedReports(setup)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d gateways", size.gateways)
	r.results.add(capacity.KnownEngineShareAtLowReportRate, size.engines, low.KnownShare, note)
	r.results.add(capacity.ReportAgeAtLowReportRate, size.engines, low.AgeSeconds, note)
	r.results.add(capacity.KnownEngineShareAtFullReportRate, size.engines, full.KnownShare, note)
	r.results.add(capacity.ReportAgeAtFullReportRate, size.engines, full.AgeSeconds, note)
	r.results.add(capacity.ReportsProcessorTime, size.engines, full.Processor, note)
	r.results.add(capacity.ReportsBytes, size.engines, full.BytesPerSecond, note)
	r.results.add(capacity.DigestMemory, size.engines, DigestMemory(size.engines), "")
	return nil
}

func (r *runner) membership() error {
	for _, gateways := range r.gateways {
		quiet, err := QuietMembership(gateways, r.Seed)
		if err != nil {
			return err
		}
		r.results.add(capacity.MembershipBytes, gateways, quiet.BytesPerSecond, "")
		r.results.add(capacity.MembershipProcessorTime, gateways, quiet.Processor, "")
		r.results.add(capacity.MembershipMemory, gateways, quiet.Memory, "")
		detection, err := Detection(gateways, r.kills, FaultLoss, r.Seed)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d kills", r.kills)
		r.results.add(capacity.DetectionFirstMember, gateways, detection.FirstMember, note)
		r.results.add(capacity.DetectionAllMembers, gateways, detection.AllMembers, note)
		r.results.add(capacity.DetectionMax, gateways, detection.Max, note)
	}
	return nil
}

func (r *runner) faults() error {
	for run := range max(1, r.FaultRuns) {
		for _, gateways := range r.gateways {
			if err := r.faultsAt(gateways, r.Seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// faultsAt measures all fault phases in a fleet without load reports, and in one with load reports.
func (r *runner) faultsAt(gateways int, seed uint64) error {
	setup := FleetSetup{Gateways: gateways, Loss: FaultLoss, Seed: seed}
	alone, err := Faults(setup, true)
	if err != nil {
		return err
	}
	for _, cost := range alone {
		r.addPhase(gateways, cost)
	}
	setup.Engines, setup.ReportsPerSecond = faultEngines, faultReports
	withReports, err := Faults(setup, false)
	if err != nil {
		return err
	}
	for _, cost := range withReports {
		r.results.addPeak(capacity.PeakBytesWithReports.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
		r.results.add(capacity.PeakTopSenderWithReports.SlopeName(cost.Phase), gateways, cost.PeakTopSender, "")
	}
	return nil
}

// addPhase adds the cost of a phase that was measured without load reports.
func (r *runner) addPhase(gateways int, cost PhaseCost) {
	add := func(quantity capacity.PhaseQuantity, value float64) {
		r.results.add(quantity.SlopeName(cost.Phase), gateways, value, "")
	}
	r.results.addPeak(capacity.PeakBytes.SlopeName(cost.Phase), gateways, cost.PeakBytes, cost.SecondsOverBudget)
	add(capacity.PeakBurst, cost.PeakBurst)
	add(capacity.PeakTopSender, cost.PeakTopSender)
	add(capacity.PeakDatagrams, cost.PeakDatagrams)
	add(capacity.PeakProcessorTime, cost.PeakProcessor)
	add(capacity.SettledBytes, cost.SettledBytes)
	if cost.Phase != capacity.PhaseRegionsPartitioned {
		add(capacity.ConvergenceSeconds, cost.ConvergenceSeconds)
	}
}

func (r *runner) discovery() error {
	for range r.timed {
		for _, engines := range r.lists {
			cost, err := EngineList(engines, listRepeats)
			if err != nil {
				return err
			}
			r.results.add(capacity.ListBytes, engines, cost.Bytes, "")
			r.results.add(capacity.ListParse, engines, cost.Parse, "")
			r.results.add(capacity.ListApply, engines, cost.Apply, "")
			r.results.add(capacity.ListMemory, engines, cost.Memory, "")
		}
	}
	return nil
}

func (r *runner) connections() error {
	for range r.timed {
		for _, count := range r.sizes.connections {
			engine, err := EngineConnectionMemory(count)
			if err != nil {
				return err
			}
			client, err := ClientConnectionMemory(count)
			if err != nil {
				return err
			}
			r.results.add(capacity.EngineConnection, count, engine, "")
			r.results.add(capacity.ClientConnection, count, client, "")
		}
	}
	return nil
}

func (r *runner) staged() error {
	for range r.timed {
		for _, gateways := range r.gateways {
			processor, length, err := StagedReports(gateways)
			if err != nil {
				return err
			}
			r.results.add(capacity.StagedReportBytes, gateways, float64(length), "a report a second")
			r.results.add(capacity.StagedReportProcessorTime, gateways, processor.Seconds(), "")
		}
	}
	return nil
}
