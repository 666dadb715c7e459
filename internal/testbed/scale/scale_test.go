package scale

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

var (
	machine  = Machine{MemoryBytes: 24 << 30, Descriptors: 20_000}
	fullSize = Sizes{RealGateways: 24, HollowGateways: 776, Engines: 1100, Zones: 7, Regions: 2}
)

// Checks that Sizes.Check accepts the full size, and that its error otherwise has the option to lower and the exceeded limit.
func TestCheckErrorHasOptionAndLimit(t *testing.T) {
	if err := fullSize.Check(machine); err != nil {
		t.Fatal(err)
	}
	required := fullSize.Requirements(machine)
	if required.Processes >= MaxProcesses || required.MemoryBytes > machine.MemoryBytes/2 || required.Descriptors > machine.Descriptors {
		t.Fatalf("requirements of the full size exceed the machine: %+v", required)
	}
	for option, c := range map[string]struct {
		sizes   Sizes
		machine Machine
	}{
		"--real":    {Sizes{RealGateways: 199, HollowGateways: 1, Engines: 10, Zones: 1, Regions: 1}, Machine{1 << 40, 20_000}},
		"--hollow":  {Sizes{RealGateways: 2, HollowGateways: 798, Engines: 1100, Zones: 7, Regions: 2}, Machine{1 << 30, 20_000}},
		"--engines": {fullSize, Machine{24 << 30, 1024}},
	} {
		t.Run(option, func(t *testing.T) {
			var limit *LimitError
			if err := c.sizes.Check(c.machine); !errors.As(err, &limit) || limit.Option != option || limit.Required <= limit.Available {
				t.Errorf("error is %v, want a *LimitError for %s that requires more than is available", err, option)
			}
		})
	}
	var value *ValueError
	nan := fullSize
	nan.StatementRate = math.NaN()
	if err := nan.Check(machine); !errors.As(err, &value) || value.Option != "--rate" {
		t.Errorf("error is %v, want a *ValueError for --rate", err)
	}
}

// Checks that a plan depends on its seed only, and that each fault affects the expected number of members and a real gateway.
func TestNewPlanIsDeterministic(t *testing.T) {
	a, b := NewPlan(fullSize, DefaultDurations(), AllSteps(), 5), NewPlan(fullSize, DefaultDurations(), AllSteps(), 5)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.RestartOrder, NewPlan(fullSize, DefaultDurations(), AllSteps(), 6).RestartOrder) {
		t.Error("plans of the same seed differ, or those of two seeds have the same order of restarts")
	}
	if len(a.RestartOrder) != 330 || len(a.FailedMembers) != 3 || len(a.ReplacedEngines) != 55 || slices.Contains(a.Steps, StepLoaded) {
		t.Errorf("%d restarts, %d machine failures, %d replaced engines, steps %v; want 330, 3 and 55, without the step loaded",
			len(a.RestartOrder), len(a.FailedMembers), len(a.ReplacedEngines), a.Steps)
	}
	if a.RestartOrder[0] >= fullSize.RealGateways || a.FailedMembers[0] >= fullSize.RealGateways {
		t.Error("restarts or machine failures do not affect a real gateway")
	}
	sorted := slices.Clone(a.RestartOrder)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) != len(a.RestartOrder) {
		t.Error("a member restarts twice")
	}
}

// Checks that each member and engine is in exactly one zone, that each zone is in one region, and that the zones have about
// the same size.
func TestZonesPartitionMembersAndEngines(t *testing.T) {
	members, engines, regions := 0, 0, map[int]bool{}
	for zone := range fullSize.Zones {
		m, e := fullSize.MembersIn(zone), fullSize.EnginesIn(zone)
		members, engines = members+len(m), engines+len(e)
		if len(m) < 114 || len(m) > 115 || len(e) < 157 || len(e) > 158 {
			t.Errorf("zone %d: %d members, %d engines; want 114 or 115 members, 157 or 158 engines", zone, len(m), len(e))
		}
		for _, member := range m {
			if fullSize.RegionOf(member) != fullSize.RegionOf(m[0]) {
				t.Errorf("zone %d is in two regions", zone)
			}
		}
		regions[fullSize.RegionOf(m[0])] = true
	}
	if members != 800 || engines != 1100 || len(regions) != 2 {
		t.Errorf("all zones together: %d members, %d engines, %d regions; want 800, 1100 and 2", members, engines, len(regions))
	}
}

// Checks that PeakRate returns the highest rate over any PeakWindow, or the rate over all samples if they cover a shorter time, and
// that one sample has the rate 0.
func TestPeakRateIsMaximumOverWindow(t *testing.T) {
	var samples []Sample
	total := 0.0
	for second := range 60 {
		samples = append(samples, Sample{At: time.Duration(second) * time.Second, Value: total})
		total += 100
		if second >= 20 && second < 30 {
			total += 400
		}
	}
	if got := PeakRate(samples); got != 500 {
		t.Errorf("peak rate is %g, want 500", got)
	}
	if got := PeakRate(samples[:5]); got != 100 {
		t.Errorf("peak rate of samples shorter than PeakWindow is %g, want 100", got)
	}
	if got := Rate(samples[:1]); got != 0 {
		t.Errorf("rate of one sample is %g, want 0", got)
	}
}

// Checks that a file is unchanged by encoding and decoding, that the results of a step are sorted by size, and that a truncated file
// is rejected.
func TestFileEncodingRoundTrips(t *testing.T) {
	step := func(hollow int) StepResult {
		return StepResult{Name: "quiet", RealGateways: 8, HollowGateways: hollow, SentBytesPerSecond: float64(hollow)}
	}
	in := File{Runs: []Run{{Metadata: RunMetadata{Cores: 8, Seed: 3}, Steps: []StepResult{step(392)}}, {Steps: []StepResult{step(92), {Name: "list"}}}}}
	text, err := in.Encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeFile(text)
	if err != nil || !reflect.DeepEqual(in, out) {
		t.Fatalf("decoded %+v, error %v; want %+v", out, err, in)
	}
	if results := out.ResultsBySize("quiet"); len(results) != 2 || results[0].Members() != 100 || results[1].Members() != 400 {
		t.Errorf("results of the step quiet: %+v, want those of 100 and 400 members", results)
	}
	if _, err := DecodeFile([]byte("{")); err == nil {
		t.Error("no error for a truncated file")
	}
}
