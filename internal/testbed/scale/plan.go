package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is the name of a step of a run, as in the option --steps and in result files.
type Step string

// Steps, in the order in which they are run.
const (
	StepQuiet            Step = "quiet"     // no client traffic and no faults
	StepLoaded           Step = "loaded"    // client traffic without faults
	StepRestarts         Step = "restarts"  // graceful restarts of gateways, spread over time
	StepMachineFailures  Step = "machines"  // the machines of some gateways fail and recover
	StepZoneFailure      Step = "zone"      // the gateways and engines of a zone fail and recover; the engines warm up
	StepRegionPartition  Step = "regions"   // a network partition between the regions, and its end
	StepEngineListChange Step = "list"      // engines are drained, removed and added again
	StepReconnect        Step = "reconnect" // every watch of the discovery server reconnects and receives the full engine list
)

// AllSteps returns all steps in the order in which they are run.
func AllSteps() []Step {
	return []Step{StepQuiet, StepLoaded, StepRestarts, StepMachineFailures, StepZoneFailure, StepRegionPartition, StepEngineListChange, StepReconnect}
}

// ParseSteps returns the named steps in the order in which they are run. It returns a *ValueError if a name is unknown, if
// there are no names, or if StepLoaded has a statement rate of 0.
func ParseSteps(names []string, rate float64) ([]Step, error) {
	if rate == 0 && slices.Contains(names, string(StepLoaded)) {
		return nil, &ValueError{Option: "--rate", Value: "0", Bounds: "above 0, which the step loaded requires"}
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

// Durations are the durations of the steps of a run.
type Durations struct {
	QuietStep          time.Duration // length of StepQuiet and StepLoaded
	MinPartition       time.Duration // minimum length of the partition between regions
	RestartPeriod      time.Duration // period over which the restarts are spread
	Settle             time.Duration // time after convergence that is included in the measurement of a step
	ConvergenceTimeout time.Duration // timeout of each wait for the fleet to converge; the step then fails
}

// DefaultDurations returns the durations of a full run.
func DefaultDurations() Durations {
	return Durations{QuietStep: 30 * time.Second, MinPartition: 2 * time.Minute, RestartPeriod: 100 * time.Second, Settle: 10 * time.Second,
		ConvergenceTimeout: 3 * time.Minute}
}

// maxStepDuration is the upper bound of the durations that are set by options.
const maxStepDuration = 30 * time.Minute

// Check returns a *ValueError for the first duration that is out of bounds.
func (d Durations) Check() error {
	for _, setting := range []struct {
		option string
		value  time.Duration
	}{{"--quiet", d.QuietStep}, {"--cut", d.MinPartition}, {"--restarts-over", d.RestartPeriod}} {
		if setting.value < time.Second || setting.value > maxStepDuration {
			return &ValueError{Option: setting.option, Value: setting.value.String(), Bounds: "between 1 s and " + maxStepDuration.String()}
		}
	}
	return nil
}

// Faults that the production fleet has in a day. The number of restarts is scaled to the size of the fleet in a run.
const (
	restartsPerDay     = 330
	productionGateways = 800 // size of the fleet that has restartsPerDay
	failedMachines     = 3
	replacedShare      = 0.05 // share of the engines that are drained and replaced at the same time
)

// Plan is the sequence of steps of a run and the targets of its faults. All random choices are derived from the seed.
type Plan struct {
	Sizes
	Durations
	Seed            uint64
	Steps           []Step
	RestartOrder    []int // indexes of the members that restart, in order
	FailedMembers   []int // indexes of the members whose machines fail
	FailedZone      int   // index of the zone that fails
	ReplacedEngines []int // indexes of the engines that are drained and replaced
}

// NewPlan returns a random plan, which depends only on the arguments. It omits StepLoaded if the statement rate is 0.
func NewPlan(sizes Sizes, durations Durations, steps []Step, seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 53))
	if sizes.StatementRate == 0 {
		steps = slices.DeleteFunc(slices.Clone(steps), func(s Step) bool { return s == StepLoaded })
	}
	p := Plan{Sizes: sizes, Durations: durations, Seed: seed, Steps: steps}
	p.RestartOrder = drawMembers(random, sizes, restartCount(sizes.Members()))
	p.FailedMembers = drawMembers(random, sizes, min(failedMachines, sizes.Members()-1))
	p.FailedZone = random.IntN(sizes.Zones)
	p.ReplacedEngines = random.Perm(sizes.Engines)[:max(1, int(replacedShare*float64(sizes.Engines)))]
	return p
}

// restartCount returns the number of restarts: those of a day in production, scaled to the fleet's size, and at least one.
func restartCount(members int) int {
	return min(members, max(1, (members*restartsPerDay+productionGateways/2)/productionGateways))
}

// drawMembers returns random distinct members. The first is a real gateway, so that each fault affects the program itself.
func drawMembers(random *rand.Rand, sizes Sizes, count int) []int {
	out := random.Perm(sizes.Members())
	first := slices.IndexFunc(out, func(member int) bool { return member < sizes.RealGateways })
	out[0], out[first] = out[first], out[0]
	return out[:count]
}
