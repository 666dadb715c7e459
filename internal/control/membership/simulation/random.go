package simulation

import (
	"errors"
	"fmt"
	"time"

	"frostpier/internal/control/membership"
)

// Limits of a random run.
const (
	playFor    = 40 * time.Second
	settleMost = 3 * time.Minute  // from the last fault until all views match the truth
	blameFor   = 60 * time.Second // in which a fault excuses a death that is told of a member
	skewMost   = time.Hour        // of the clock of a member that starts again
)

// Random plays a run whose size and faults are drawn from the seed: kills, starts with a clock that stepped, pauses,
// cuts in one direction, members that cannot send or hear, splits, members that leave. The rules are checked after
// each step; afterwards every fault is taken back, and all views have to match the truth. It returns what was
// played, and an error where a rule was broken.
func Random(seed uint64, members int, every int) (*Fleet, error) {
	s := Setup{Members: members, Seed: seed, Every: every, Spread: time.Second}
	f, err := New(s)
	if err != nil {
		return nil, err
	}
	f.Loss, f.Double = 0.15*f.rnd.Float64(), 0.1*f.rnd.Float64()
	r := &randomRun{f: f, touched: make([]time.Duration, members), side: make([]int, members),
		dropInbound: make([]bool, members), dropOutbound: make([]bool, members), cut: map[[2]int]bool{},
		reports: make([]map[int]report, members), lives: make([]int, members)}
	f.Cut = func(a, b int) bool {
		return r.side[a] != r.side[b] || r.dropOutbound[a] || r.dropInbound[b] || r.cut[[2]int{a, b}]
	}
	f.Seen = r.seen
	for at := 5 * time.Second; at < playFor; at += time.Duration(f.rnd.Int64N(int64(6 * time.Second))) {
		f.At(at, r.fault)
	}
	if err := f.Run(playFor); err != nil {
		return f, err
	}
	r.heal()
	for end := f.Now + settleMost; ; {
		if err := f.Run(2 * time.Second); err != nil {
			return f, err
		}
		ok, why := f.Agreed()
		if ok {
			return f, nil
		}
		if f.Now > end {
			return f, fmt.Errorf("seed %d: %v after the last fault %s", seed, settleMost, why)
		}
	}
}

type report struct {
	state       membership.State
	incarnation uint64
}

type randomRun struct {
	f                         *Fleet
	touched                   []time.Duration // when a fault last touched a member
	side                      []int
	dropInbound, dropOutbound []bool
	cut                       map[[2]int]bool
	reports                   []map[int]report // what each last told of each, in its present life
	lives                     []int
}

var (
	errBack  = errors.New("a view went back to an earlier incarnation or state")
	errFalse = errors.New("a member that no fault had touched was declared dead")
)

// seen checks what a member tells.
func (r *randomRun) seen(at int, e membership.Event) error {
	if e.Kind != membership.Changed || e.Member == at {
		return nil
	}
	if r.reports[at] == nil || r.lives[at] != r.f.Members[at].life {
		r.reports[at], r.lives[at] = map[int]report{}, r.f.Members[at].life
	}
	was, is := r.reports[at][e.Member], report{e.Is, e.Incarnation}
	if is.incarnation < was.incarnation || is.incarnation == was.incarnation && is.state <= was.state {
		return fmt.Errorf("%w: member %d from %v to %v", errBack, e.Member, was, is)
	}
	r.reports[at][e.Member] = is
	calm := func(i int) bool { return r.f.Now-r.touched[i] > blameFor }
	if e.Is == membership.Dead && r.f.Members[e.Member].Up && calm(e.Member) && calm(at) && r.f.Now-Epoch > blameFor {
		return fmt.Errorf("%w: member %d", errFalse, e.Member)
	}
	return nil
}

func (r *randomRun) touch(i int) { r.touched[i] = r.f.Now }

// fault draws one and plays it.
func (r *randomRun) fault() {
	f, n := r.f, len(r.f.Members)
	i, j := f.rnd.IntN(n), f.rnd.IntN(n)
	r.touch(i)
	for1 := time.Duration(f.rnd.Int64N(int64(12 * time.Second)))
	switch f.rnd.IntN(9) {
	case 0:
		f.Kill(i)
	case 1, 2:
		if f.Members[i].Up {
			f.Kill(i)
		}
		skew := time.Duration(f.rnd.Int64N(int64(2*skewMost))) - skewMost
		f.At(for1/2, func() {
			if !f.Members[i].Up {
				f.Start(i, skew)
			}
		})
	case 3:
		f.Pause(i, for1)
	case 4:
		r.cut[[2]int{i, j}] = true
		f.At(for1, func() { delete(r.cut, [2]int{i, j}) })
	case 5:
		r.dropInbound[i] = true
		f.At(for1, func() { r.dropInbound[i] = false })
	case 6:
		r.dropOutbound[i] = true
		f.At(for1, func() { r.dropOutbound[i] = false })
	case 7:
		for k := range r.side {
			r.side[k] = f.rnd.IntN(2)
			r.touch(k)
		}
		f.At(for1, func() { clear(r.side) })
	case 8:
		if f.Members[i].Up && !f.Members[i].paused {
			f.Leave(i)
		}
	}
}

// heal takes every fault back; who is down stays down.
func (r *randomRun) heal() {
	clear(r.side)
	clear(r.dropInbound)
	clear(r.dropOutbound)
	clear(r.cut)
}

// SizeOf draws the size of a seed's random run: mostly a few members, at times a thousand.
func SizeOf(seed uint64) int {
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
