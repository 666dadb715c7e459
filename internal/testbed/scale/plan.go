package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is a step of a run.
type Step string

// Steps, in the order in which they are played.
const (
	Quiet     Step = "quiet"     // nothing happens
	Loaded    Step = "loaded"    // clients send statements, and nothing else happens
	Restarts  Step = "restarts"  // graceful restarts, spread over time
	Machines  Step = "machines"  // machines fail, and recover
	Zone      Step = "zone"      // a zone's gateways and engines fail, and recover; the engines warm up
	Regions   Step = "regions"   // regions are partitioned, and heal
	List      Step = "list"      // the engine list changes
	Reconnect Step = "reconnect" // every watch reconnects and gets the full engine list
)

// AllSteps returns all steps in the order in which they are played.
func AllSteps() []Step {
	return []Step{Quiet, Loaded, Restarts, Machines, Zone, Regions, List, Reconnect}
}

// ParseSteps returns the named steps in the order in which they are played. It returns a *ValueError for unknown names, for
// none, and for the step Loaded without a rate of statements.
func ParseSteps(names []string, rate float64) ([]Step, error) {
	if rate == 0 && slices.Contains(names, string(Loaded)) {
		return nil, &ValueError{Option: "--rate", Value: "0", Bounds: "above 0, as the step loaded needs"}
	}
	var out []Step
	for _, name := range names {
		if !slices.Contains(AllSteps(), Step(name)) {
			return nil, &ValueError{Option: "--steps", Value: fmt.Sprintf("%q", name), Bounds: "one of " + stepNames()}
		}
	}
	for _, step := range AllSteps() {
		if slices.Contains(names, string(step)) {
			out = append(out, step)
		}
	}
	if len(out) == 0 {
		return nil, &ValueError{Option: "--steps", Value: "none", Bounds: "one of " + stepNames()}
	}
	return out, nil
}

func stepNames() string {
	var names []string
	for _, step := range AllSteps() {
		names = append(names, string(step))
	}
	return strings.Join(names, ", ")
}

// Durations are the times of a run. A step that waits until all gateways agree fails after Patience.
type Durations struct {
	QuietStep          time.Duration // length of the quiet and the loaded step
	MinPartition       time.Duration // for how long regions are partitioned at least
	RestartPeriod      time.Duration // over which restarts are spread
	Settle             time.Duration // for which a step is measured after all gateways agree
	ConvergenceTimeout time.Duration // for any one wait
}

// DefaultDurations returns the times of a full run.
func DefaultDurations() Durations {
	return Durations{QuietStep: 30 * time.Second, MinPartition: 2 * time.Minute, RestartPeriod: 100 * time.Second, Settle: 10 * time.Second,
		ConvergenceTimeout: 3 * time.Minute}
}

// maxStepTime is the longest time that an operator may set.
const maxStepTime = 30 * time.Minute

// Check returns a *ValueError for times out of bounds.
func (t Durations) Check() error {
	for _, one := range []struct {
		option string
		value  time.Duration
	}{{"--quiet", t.QuietStep}, {"--cut", t.MinPartition}, {"--restarts-over", t.RestartPeriod}} {
		if one.value < time.Second || one.value > maxStepTime {
			return &ValueError{Option: one.option, Value: one.value.String(), Bounds: "between 1 s and " + maxStepTime.String()}
		}
	}
	return nil
}

// Faults of a day in production, which are scaled to the size of a run.
const (
	restartsPerDay    = 330
	referenceGateways = 800 // gateways of the fleet that sees restartsPerDay
	machinesLost      = 3
	changedShare      = 0.05 // of the engines that are drained and replaced at once
)

// Plan is what a run does. All that is random in it is drawn from its seed.
type Plan struct {
	Sizes
	Durations
	Seed            uint64
	Steps           []Step
	RestartOrder    []int // members, in the order in which they restart
	FailedMembers   []int // members whose machines fail
	FailedZone      int   // that fails
	ReplacedEngines []int // engines that are drained and replaced
}

// NewPlan draws a plan: the same one for the same seed and sizes. Without a rate of statements it leaves out the step Loaded.
func NewPlan(sizes Sizes, times Durations, steps []Step, seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 53))
	if sizes.StatementRate == 0 {
		steps = slices.DeleteFunc(slices.Clone(steps), func(s Step) bool { return s == Loaded })
	}
	p := Plan{Sizes: sizes, Durations: times, Seed: seed, Steps: steps}
	p.RestartOrder = drawMembers(random, sizes, restartCount(sizes.Members()))
	p.FailedMembers = drawMembers(random, sizes, min(machinesLost, sizes.Members()-1))
	p.FailedZone = random.IntN(sizes.Zones)
	p.ReplacedEngines = random.Perm(sizes.Engines)[:max(1, int(changedShare*float64(sizes.Engines)))]
	return p
}

// restartCount is the fleet's part of the restarts of a day, at least one.
func restartCount(members int) int {
	return min(members, max(1, (members*restartsPerDay+referenceGateways/2)/referenceGateways))
}

// drawMembers draws distinct members. The first is a real gateway, so that each fault affects the program itself.
func drawMembers(random *rand.Rand, sizes Sizes, count int) []int {
	out := random.Perm(sizes.Members())
	first := slices.IndexFunc(out, func(member int) bool { return member < sizes.RealGateways })
	out[0], out[first] = out[first], out[0]
	return out[:count]
}
