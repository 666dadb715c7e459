package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is one kind of step of a run.
type Step string

// The steps, in the order in which they are played.
const (
	Quiet     Step = "quiet"     // nothing happens
	Loaded    Step = "loaded"    // statements come, and nothing else happens
	Restarts  Step = "restarts"  // planned restarts, one after the other
	Machines  Step = "machines"  // machines are lost, and come back later
	Zone      Step = "zone"      // a zone's gateways and engines are lost, and come back cold
	Regions   Step = "regions"   // regions do not reach each other, and do again
	List      Step = "list"      // the list of engines changes
	Reconnect Step = "reconnect" // every watcher connects anew and is told the whole list
)

// AllSteps are all steps in their order.
func AllSteps() []Step {
	return []Step{Quiet, Loaded, Restarts, Machines, Zone, Regions, List, Reconnect}
}

// ParseSteps reads names of steps and returns them in the order in which they are played. Only with a rate of statements
// may the loaded step be among them.
func ParseSteps(names []string, rate float64) ([]Step, error) {
	if rate == 0 && slices.Contains(names, string(Loaded)) {
		return nil, &ValueError{Option: "--rate", Value: "0", Want: "above 0, as the step loaded needs"}
	}
	var out []Step
	for _, name := range names {
		if !slices.Contains(AllSteps(), Step(name)) {
			return nil, &ValueError{Option: "--steps", Value: fmt.Sprintf("%q", name), Want: "one of " + stepNames()}
		}
	}
	for _, step := range AllSteps() {
		if slices.Contains(names, string(step)) {
			out = append(out, step)
		}
	}
	if len(out) == 0 {
		return nil, &ValueError{Option: "--steps", Value: "none", Want: "one of " + stepNames()}
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

// Times of a run. A step that waits for agreement ends with it, or fails at Patience.
type Times struct {
	Quiet        time.Duration // length of the quiet and the loaded step
	Cut          time.Duration // for how long regions are cut from each other, at the least
	RestartsOver time.Duration // over which the restarts are spread
	Settle       time.Duration // that a step is read for once all agree
	Patience     time.Duration // for any one wait
}

// DefaultTimes are those of a full run.
func DefaultTimes() Times {
	return Times{Quiet: 30 * time.Second, Cut: 2 * time.Minute, RestartsOver: 100 * time.Second, Settle: 10 * time.Second,
		Patience: 3 * time.Minute}
}

// mostStep bounds the times that an operator sets.
const mostStep = 30 * time.Minute

// Check refuses times that make no sense.
func (t Times) Check() error {
	for _, one := range []struct {
		option string
		value  time.Duration
	}{{"--quiet", t.Quiet}, {"--cut", t.Cut}, {"--restarts-over", t.RestartsOver}} {
		if one.value < time.Second || one.value > mostStep {
			return &ValueError{Option: one.option, Value: one.value.String(), Want: "between 1 s and " + mostStep.String()}
		}
	}
	return nil
}

// Faults of the operators' day, scaled to the run's size.
const (
	restartsADay  = 330
	fleetOfTheDay = 800 // gateways that see them
	machinesLost  = 3
	listShare     = 0.05 // of the engines that a change of the list drains and replaces
)

// Plan is what a run does, drawn from its seed.
type Plan struct {
	Sizes
	Times
	Seed     uint64
	Steps    []Step
	Restart  []int // members in the order in which they restart
	Lost     []int // members whose machines are lost
	LostZone int   // that is lost and comes back
	Changed  []int // engines that the change of the list takes out
}

// NewPlan draws a plan. The same seed and sizes draw the same one. Without a rate of statements there is no loaded step.
func NewPlan(sizes Sizes, times Times, steps []Step, seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 53))
	if sizes.Rate == 0 {
		steps = slices.DeleteFunc(slices.Clone(steps), func(s Step) bool { return s == Loaded })
	}
	p := Plan{Sizes: sizes, Times: times, Seed: seed, Steps: steps}
	p.Restart = mixed(random, sizes, restartCount(sizes.Members()))
	p.Lost = mixed(random, sizes, min(machinesLost, sizes.Members()-1))
	p.LostZone = random.IntN(sizes.Zones)
	p.Changed = random.Perm(sizes.Engines)[:max(1, int(listShare*float64(sizes.Engines)))]
	return p
}

// restartCount is the fleet's part of the restarts of a day, one at the least.
func restartCount(members int) int {
	return min(members, max(1, (members*restartsADay+fleetOfTheDay/2)/fleetOfTheDay))
}

// mixed draws members without repetition; the first is a real gateway, so that each fault meets the program itself.
func mixed(random *rand.Rand, sizes Sizes, count int) []int {
	out := random.Perm(sizes.Members())
	first := slices.IndexFunc(out, func(member int) bool { return member < sizes.Real })
	out[0], out[first] = out[first], out[0]
	return out[:count]
}
