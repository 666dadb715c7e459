package simulation

import (
	"errors"
	"fmt"
	"time"

	"frostpier/internal/control/membership"
)

// Parameters of a random run.
const (
	faultInjectionTime = 40 * time.Second // time from the start in which faults are injected
	firstFaultAt       = 5 * time.Second
	maxFaultInterval   = 6 * time.Second  // maximum time between two faults
	maxFaultDuration   = 12 * time.Second // maximum duration of a pause, of packet loss or of a partition
	maxConvergenceTime = 3 * time.Minute  // maximum time from the end of the faults until all views are correct
	faultGracePeriod   = 60 * time.Second // time after a fault in which a false positive of an affected member is allowed
	maxSkew            = time.Hour        // maximum clock skew of a restarted member, in either direction
	maxLoss            = 0.15
	maxDuplication     = 0.1
)

var (
	errViewReverted  = errors.New("a view reverted to an earlier incarnation or state")
	errFalsePositive = errors.New("a running member without a recent fault was declared dead")
)

// RunRandom simulates a run whose faults are drawn from the seed: members are killed, restart with a skewed clock, pause
// and leave; datagrams are dropped from one member to another, from or to all members, or between partitions. Invariants
// are checked once per stepsPerCheck steps. After the network has healed, all views must become correct within
// maxConvergenceTime. It returns the fleet, and an error if a check failed.
func RunRandom(seed uint64, members int, stepsPerCheck int) (*Fleet, error) {
	f, err := New(Setup{Members: members, Seed: seed, StepsPerCheck: stepsPerCheck, StartSpread: time.Second})
	if err != nil {
		return nil, err
	}
	f.Loss = maxLoss * f.rnd.Float64()
	f.Duplication = maxDuplication * f.rnd.Float64()
	r := newRandomRun(f)
	f.Drops = r.drops
	f.OnEvent = r.checkEvent
	for at := firstFaultAt; at < faultInjectionTime; at += time.Duration(f.rnd.Int64N(int64(maxFaultInterval))) {
		f.After(at, r.injectFault)
	}
	if err := f.Run(faultInjectionTime); err != nil {
		return f, err
	}
	r.healNetwork()
	return f, f.converge()
}

// converge continues the run until all views are correct, for at most maxConvergenceTime.
func (f *Fleet) converge() error {
	const checkInterval = 2 * time.Second
	for end := f.Now + maxConvergenceTime; ; {
		if err := f.Run(checkInterval); err != nil {
			return err
		}
		agreed, difference := f.ViewsAgree()
		if agreed {
			return nil
		}
		if f.Now > end {
			return fmt.Errorf("seed %d: views still differ %v after the last fault: %s", f.Seed, maxConvergenceTime, difference)
		}
	}
}

// reportedState is a state of a member that another member reported in a StateChanged event.
type reportedState struct {
	state       membership.State
	incarnation uint64
}

// link is the network path from one member to another.
type link struct{ from, to int }

// randomRun injects faults into a fleet and checks its events.
type randomRun struct {
	fleet                     *Fleet
	lastFaultAt               []time.Duration // by member
	partition                 []int           // by member; members in different partitions cannot communicate
	dropInbound, dropOutbound []bool          // by member
	droppedLinks              map[link]bool
	lastReported              []map[int]reportedState // by viewer and member, since the current start of the viewer
	reportedGeneration        []int                   // by viewer: Member.generation to which lastReported belongs
}

func newRandomRun(f *Fleet) *randomRun {
	members := len(f.Members)
	return &randomRun{
		fleet:              f,
		lastFaultAt:        make([]time.Duration, members),
		partition:          make([]int, members),
		dropInbound:        make([]bool, members),
		dropOutbound:       make([]bool, members),
		droppedLinks:       map[link]bool{},
		lastReported:       make([]map[int]reportedState, members),
		reportedGeneration: make([]int, members),
	}
}

// drops reports whether a fault drops the datagrams from one member to another.
func (r *randomRun) drops(from, to int) bool {
	return r.partition[from] != r.partition[to] || r.dropOutbound[from] || r.dropInbound[to] || r.droppedLinks[link{from, to}]
}

// checkEvent returns an error if the viewer's view reverts to an earlier state, or if the viewer declares a running member
// dead although neither of them had a recent fault.
func (r *randomRun) checkEvent(viewer int, e membership.Event) error {
	if e.Kind != membership.StateChanged || e.Member == viewer {
		return nil
	}
	if err := r.checkOverrides(viewer, e); err != nil {
		return err
	}
	if e.NewState == membership.Dead && r.fleet.Members[e.Member].Up && !r.hadRecentFault(e.Member) && !r.hadRecentFault(viewer) {
		return fmt.Errorf("%w: member %d", errFalsePositive, e.Member)
	}
	return nil
}

// checkOverrides returns an error unless each state of a member that a process reports overrides the previous one.
func (r *randomRun) checkOverrides(viewer int, e membership.Event) error {
	generation := r.fleet.Members[viewer].generation
	if r.lastReported[viewer] == nil || r.reportedGeneration[viewer] != generation {
		r.lastReported[viewer], r.reportedGeneration[viewer] = map[int]reportedState{}, generation
	}
	was, is := r.lastReported[viewer][e.Member], reportedState{e.NewState, e.Incarnation}
	if is.incarnation < was.incarnation || is.incarnation == was.incarnation && is.state <= was.state {
		return fmt.Errorf("%w: member %d from %v to %v", errViewReverted, e.Member, was, is)
	}
	r.lastReported[viewer][e.Member] = is
	return nil
}

// hadRecentFault reports whether a member had a fault recently, or the run has just started.
func (r *randomRun) hadRecentFault(i int) bool {
	now := r.fleet.Now
	return now-r.lastFaultAt[i] <= faultGracePeriod || now-Epoch <= faultGracePeriod
}

// recordFault records the current time as that of the member's last fault.
func (r *randomRun) recordFault(i int) { r.lastFaultAt[i] = r.fleet.Now }

// injectFault injects a random fault. A change of the order of its random draws changes the runs of all seeds.
func (r *randomRun) injectFault() {
	f, members := r.fleet, len(r.fleet.Members)
	i, other := f.rnd.IntN(members), f.rnd.IntN(members)
	r.recordFault(i)
	duration := time.Duration(f.rnd.Int64N(int64(maxFaultDuration)))
	switch f.rnd.IntN(9) {
	case 0:
		f.Kill(i)
	case 1, 2:
		r.restart(i, duration/2)
	case 3:
		f.Pause(i, duration)
	case 4:
		r.dropLink(link{i, other}, duration)
	case 5:
		r.dropAll(r.dropInbound, i, duration)
	case 6:
		r.dropAll(r.dropOutbound, i, duration)
	case 7:
		r.partitionFleet(duration)
	case 8:
		if f.Members[i].Up && !f.Members[i].paused {
			f.Leave(i)
		}
	}
}

// restart kills a member if it is up, and starts it after a delay with a random clock skew.
func (r *randomRun) restart(i int, delay time.Duration) {
	f := r.fleet
	if f.Members[i].Up {
		f.Kill(i)
	}
	skew := time.Duration(f.rnd.Int64N(int64(2*maxSkew))) - maxSkew
	f.After(delay, func() {
		if !f.Members[i].Up {
			f.Start(i, skew)
		}
	})
}

// dropLink drops the datagrams on a link for the given duration.
func (r *randomRun) dropLink(l link, duration time.Duration) {
	r.droppedLinks[l] = true
	r.fleet.After(duration, func() { delete(r.droppedLinks, l) })
}

// dropAll drops all datagrams to a member (dropped is dropInbound) or from it (dropOutbound) for the given duration.
func (r *randomRun) dropAll(dropped []bool, i int, duration time.Duration) {
	dropped[i] = true
	r.fleet.After(duration, func() { dropped[i] = false })
}

// partitionFleet divides the fleet into two random partitions for the given duration.
func (r *randomRun) partitionFleet(duration time.Duration) {
	for i := range r.partition {
		r.partition[i] = r.fleet.rnd.IntN(2)
		r.recordFault(i)
	}
	r.fleet.After(duration, func() { clear(r.partition) })
}

// healNetwork ends all network faults. Members that are down remain down.
func (r *randomRun) healNetwork() {
	clear(r.partition)
	clear(r.dropInbound)
	clear(r.dropOutbound)
	clear(r.droppedLinks)
}

// RandomFleetSize returns the number of members in the random run of a seed: up to 40 for most seeds, 100, 300 or 1000 for
// some.
func RandomFleetSize(seed uint64) int {
	switch {
	case seed%500 == 499:
		return 1000
	case seed%100 == 99:
		return 300
	case seed%20 == 19:
		return 100
	}
	return 2 + int(seed*7919%39)
}
