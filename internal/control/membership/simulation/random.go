package simulation

import (
	"errors"
	"fmt"
	"time"

	"frostpier/internal/control/membership"
)

// Limits of a random run.
const (
	faultPeriod      = 40 * time.Second // in which faults are injected
	firstFaultAt     = 5 * time.Second
	maxFaultInterval = 6 * time.Second  // between two faults
	maxFaultDuration = 12 * time.Second // of a pause, a drop or a partition
	maxConvergence   = 3 * time.Minute  // from the last fault until all views are correct
	excusePeriod     = 60 * time.Second // after a fault, in which a false death of the member is no error
	maxSkew          = time.Hour        // of the clock of a member that restarts
	maxLoss          = 0.15
	maxDuplication   = 0.1
)

var (
	errViewReverted = errors.New("a view reverted to an earlier incarnation or state")
	errFalseDeath   = errors.New("a member without a recent fault was declared dead")
)

// RunRandom simulates a run whose faults are drawn from the seed: members that are killed, that restart with clocks set
// forward or back, that pause and that leave; datagrams dropped in one direction, all from or to a member, or between
// partitions. Invariants are checked every so many steps. Then the network heals, and all views must become correct within
// maxConvergence. It returns the run, and an error if a check failed.
func RunRandom(seed uint64, members int, every int) (*Fleet, error) {
	f, err := New(Setup{Members: members, Seed: seed, StepsPerCheck: every, StartSpread: time.Second})
	if err != nil {
		return nil, err
	}
	f.Loss = maxLoss * f.rnd.Float64()
	f.Duplication = maxDuplication * f.rnd.Float64()
	r := newRandomRun(f)
	f.Drops = r.drops
	f.OnEvent = r.check
	for at := firstFaultAt; at < faultPeriod; at += time.Duration(f.rnd.Int64N(int64(maxFaultInterval))) {
		f.After(at, r.injectFault)
	}
	if err := f.Run(faultPeriod); err != nil {
		return f, err
	}
	r.healNetwork()
	return f, f.converge()
}

// converge continues the run until all views are correct.
func (f *Fleet) converge() error {
	const checkInterval = 2 * time.Second
	for end := f.Now + maxConvergence; ; {
		if err := f.Run(checkInterval); err != nil {
			return err
		}
		agreed, difference := f.ViewsAgree()
		if agreed {
			return nil
		}
		if f.Now > end {
			return fmt.Errorf("seed %d: %v after the last fault %s", f.Seed, maxConvergence, difference)
		}
	}
}

// report is the last state of a member that another reported in a Changed event.
type report struct {
	state       membership.State
	incarnation uint64
}

// link is the network path from one member to another.
type link struct{ from, to int }

// randomRun injects faults into a fleet and checks its events.
type randomRun struct {
	fleet                     *Fleet
	lastFaultAt               []time.Duration // by member
	partition                 []int           // by member: members of different partitions cannot communicate
	dropInbound, dropOutbound []bool          // by member
	droppedLinks              map[link]bool
	reports                   []map[int]report // by viewer and member, of the viewer's present process
	reportsOf                 []int            // by viewer: Member.starts of the process that reports are of
}

func newRandomRun(f *Fleet) *randomRun {
	members := len(f.Members)
	return &randomRun{
		fleet:        f,
		lastFaultAt:  make([]time.Duration, members),
		partition:    make([]int, members),
		dropInbound:  make([]bool, members),
		dropOutbound: make([]bool, members),
		droppedLinks: map[link]bool{},
		reports:      make([]map[int]report, members),
		reportsOf:    make([]int, members),
	}
}

// drops reports whether a datagram is dropped by a fault.
func (r *randomRun) drops(from, to int) bool {
	return r.partition[from] != r.partition[to] || r.dropOutbound[from] || r.dropInbound[to] || r.droppedLinks[link{from, to}]
}

// check returns an error if the view of a member reverts, or declares a member dead without a recent fault of either.
func (r *randomRun) check(viewer int, e membership.Event) error {
	if e.Kind != membership.StateChanged || e.Member == viewer {
		return nil
	}
	if err := r.checkOrder(viewer, e); err != nil {
		return err
	}
	if e.NewState == membership.Dead && r.fleet.Members[e.Member].Up && !r.excused(e.Member) && !r.excused(viewer) {
		return fmt.Errorf("%w: member %d", errFalseDeath, e.Member)
	}
	return nil
}

// checkOrder returns an error unless each state that a process reports of a member overrides the last one.
func (r *randomRun) checkOrder(viewer int, e membership.Event) error {
	starts := r.fleet.Members[viewer].starts
	if r.reports[viewer] == nil || r.reportsOf[viewer] != starts {
		r.reports[viewer], r.reportsOf[viewer] = map[int]report{}, starts
	}
	was, is := r.reports[viewer][e.Member], report{e.NewState, e.Incarnation}
	if is.incarnation < was.incarnation || is.incarnation == was.incarnation && is.state <= was.state {
		return fmt.Errorf("%w: member %d from %v to %v", errViewReverted, e.Member, was, is)
	}
	r.reports[viewer][e.Member] = is
	return nil
}

// excused reports whether a member had a recent fault, or the run has just started.
func (r *randomRun) excused(i int) bool {
	now := r.fleet.Now
	return now-r.lastFaultAt[i] <= excusePeriod || now-Epoch <= excusePeriod
}

// recordFault records that a fault affects a member now.
func (r *randomRun) recordFault(i int) { r.lastFaultAt[i] = r.fleet.Now }

// injectFault draws a fault and injects it. The order of the random draws is part of the replay.
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
		r.split(duration)
	case 8:
		if f.Members[i].Up && !f.Members[i].paused {
			f.Leave(i)
		}
	}
}

// restart kills a member if it is up, and starts it after a delay with a clock set forward or back.
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

// dropLink drops the datagrams of one direction for a time.
func (r *randomRun) dropLink(l link, duration time.Duration) {
	r.droppedLinks[l] = true
	r.fleet.After(duration, func() { delete(r.droppedLinks, l) })
}

// dropAll drops the datagrams to a member (dropInbound) or from it (dropOutbound) for a time.
func (r *randomRun) dropAll(dropped []bool, i int, duration time.Duration) {
	dropped[i] = true
	r.fleet.After(duration, func() { dropped[i] = false })
}

// split divides the fleet into two random partitions for a time.
func (r *randomRun) split(duration time.Duration) {
	for i := range r.partition {
		r.partition[i] = r.fleet.rnd.IntN(2)
		r.recordFault(i)
	}
	r.fleet.After(duration, func() { clear(r.partition) })
}

// healNetwork ends the faults of the network. Members that are down stay down.
func (r *randomRun) healNetwork() {
	clear(r.partition)
	clear(r.dropInbound)
	clear(r.dropOutbound)
	clear(r.droppedLinks)
}

// RandomFleetSize returns the number of members of a seed's random run: mostly a few, at times a thousand.
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
