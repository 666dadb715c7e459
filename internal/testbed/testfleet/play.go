package testfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Result is the result of a step.
type Result struct {
	Step, Action       string
	Gateways           int             // number of affected gateways, summed over all repetitions
	DetectionTimes     []time.Duration // time from the fault until the first gateway logged it, sorted
	DisseminationTimes []time.Duration // time from the first until the last gateway logged the fault, sorted
	FalsePositives     int             // number of unaffected members that unaffected gateways declared dead
	ConvergenceTimes   []time.Duration // time from the end of the fault until all views were correct, sorted
	DatagramRate       float64         // datagrams per second sent by a gateway, on average
	ByteRate           float64         // bytes of datagrams per second sent by a gateway, on average
	Duration           time.Duration
}

// convergenceTimeout bounds each wait until the views of all gateways have converged.
const convergenceTimeout = 5 * time.Minute

// Play runs a scenario on a fleet whose gateways are all serving, and calls progress after each step. After an error it
// returns the results of the completed steps.
func (f *Fleet) Play(s Scenario, progress func(string)) ([]Result, error) {
	random := rand.New(rand.NewPCG(s.Seed, 9))
	var out []Result
	if err := f.Wait(convergenceTimeout, f.CheckConverged); err != nil {
		return nil, fmt.Errorf("before the first step: %w", err)
	}
	for i, step := range s.Steps {
		r, err := f.playStep(step, random)
		if err != nil {
			return out, fmt.Errorf("step %d, %s: %w", i+1, step.Action, err)
		}
		r.Step = fmt.Sprint(i + 1)
		out = append(out, r)
		progress(fmt.Sprintf("step %d, %s: %d gateways, %v", i+1, step.Action, r.Gateways, r.Duration.Round(time.Second)))
	}
	return out, nil
}

// playStep runs all repetitions of a step.
func (f *Fleet) playStep(step Step, random *rand.Rand) (Result, error) {
	r := Result{Action: step.Action}
	start := time.Now()
	datagramsBefore, bytesBefore := f.trafficSent()
	for range max(1, step.Repeat) {
		if err := f.playOnce(step, step.selectGateways(f.Size(), random), &r); err != nil {
			return r, err
		}
	}
	datagrams, bytes := f.trafficSent()
	r.Duration = time.Since(start)
	gatewaySeconds := r.Duration.Seconds() * float64(f.Size())
	r.DatagramRate = float64(datagrams-datagramsBefore) / gatewaySeconds
	r.ByteRate = float64(bytes-bytesBefore) / gatewaySeconds
	slices.Sort(r.DetectionTimes)
	slices.Sort(r.DisseminationTimes)
	slices.Sort(r.ConvergenceTimes)
	return r, nil
}

// trafficSent returns how many datagrams and bytes all gateways have sent.
func (f *Fleet) trafficSent() (datagrams, bytes int) {
	for i := range f.Size() {
		d, b := f.Relay.Sent(i)
		datagrams, bytes = datagrams+d, bytes+b
	}
	return datagrams, bytes
}

// fault is a fault whose detection by the gateways is measured.
type fault struct {
	affected []int
	start    time.Time // when the fault was injected; zero = only false positives are counted
	mark     int       // number of state changes before the fault, see StateChanges
}

// playOnce injects a step's fault once and waits until the views of all gateways have converged.
func (f *Fleet) playOnce(step Step, affected []int, r *Result) error {
	if step.Action == ActionQuiet {
		affected = nil
	}
	r.Gateways += len(affected)
	current := fault{affected: affected}
	_, current.mark = f.StateChanges(0)
	current.start = time.Now()
	if step.Action == ActionKill || step.Action == ActionTerminate {
		if err := f.stop(step.Action, current, r); err != nil {
			return err
		}
		current.start = time.Time{} // later changes are caused by the restart, so no detection is measured
		_, current.mark = f.StateChanges(0)
		if err := f.StartAll(); err != nil {
			return err
		}
	} else if err := f.inject(step, affected); err != nil {
		return err
	}
	faultEnd := time.Now()
	err := f.Wait(convergenceTimeout, f.CheckConverged)
	r.ConvergenceTimes = append(r.ConvergenceTimes, time.Since(faultEnd))
	if err != nil {
		return err
	}
	f.recordDetections(current, r)
	return nil
}

// stop stops the affected gateways, waits until the views of the others have converged, and records the detection times.
func (f *Fleet) stop(action string, current fault, r *Result) error {
	stopGateway := f.Kill
	if action == ActionTerminate {
		stopGateway = f.Terminate
	}
	if err := forEach(current.affected, stopGateway); err != nil {
		return err
	}
	if err := f.Wait(convergenceTimeout, f.CheckConverged); err != nil {
		return err
	}
	f.recordDetections(current, r)
	return nil
}

// inject injects a fault, waits for the duration of the step, and removes the fault. A network without a duration stays in
// place.
func (f *Fleet) inject(step Step, affected []int) error {
	duration := time.Duration(step.DurationS * float64(time.Second))
	switch step.Action {
	case ActionPause:
		if err := forEach(affected, f.Pause); err != nil {
			return err
		}
		time.Sleep(duration)
		return forEach(affected, f.Resume)
	case ActionNetwork:
		f.Relay.SetDefaultLink(step.Network.Link())
		time.Sleep(duration)
		if duration > 0 {
			f.Relay.SetDefaultLink(f.options.Link)
		}
	case ActionQuiet:
		time.Sleep(duration)
	default:
		for _, i := range affected {
			f.dropDatagrams(step, i)
		}
		time.Sleep(duration)
		f.Relay.Heal()
	}
	return nil
}

// dropDatagrams makes the relay drop the datagrams of a gateway that the step's action affects.
func (f *Fleet) dropDatagrams(step Step, gateway int) {
	switch step.Action {
	case ActionDropInbound:
		f.Relay.DropInbound(gateway, true)
	case ActionDropOutbound:
		f.Relay.DropOutbound(gateway, true)
	case ActionCut:
		f.Relay.SetLink(step.From, gateway, Link{Cut: true})
	case ActionSplit:
		f.Relay.SetPartitionSide(gateway, 1)
	}
}

// forEach calls do for each gateway until one call fails.
func forEach(gateways []int, do func(i int) error) error {
	for _, i := range gateways {
		if err := do(i); err != nil {
			return err
		}
	}
	return nil
}

// recordDetections adds the detections that the gateways have logged since the fault to the result.
func (f *Fleet) recordDetections(current fault, r *Result) {
	changes, _ := f.StateChanges(current.mark)
	first, last := map[int]time.Time{}, map[int]time.Time{}
	falsePositives := map[int]bool{}
	for _, change := range changes {
		switch {
		case change.State == "alive":
		case slices.Contains(current.affected, change.Member):
			if first[change.Member].IsZero() {
				first[change.Member] = change.At
			}
			last[change.Member] = change.At
		case change.State == "dead" && !slices.Contains(current.affected, change.Viewer):
			falsePositives[change.Member] = true
		}
	}
	r.FalsePositives += len(falsePositives)
	if current.start.IsZero() {
		return
	}
	for member, at := range first {
		r.DetectionTimes = append(r.DetectionTimes, at.Sub(current.start))
		r.DisseminationTimes = append(r.DisseminationTimes, last[member].Sub(at))
	}
}
