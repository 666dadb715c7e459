package simulation

import (
	"fmt"
	"slices"
	"time"

	"frostpier/internal/control/membership"
)

// Results are the results of a measurement.
type Results struct {
	Members            int
	ProcessHours       float64
	FalsePositives     int // deaths of a member that was up, each counted once however many members declared it
	Kills              int
	MissedKills        int             // kills that some member had not learned of when the next step began
	DetectionTimes     []time.Duration // from a kill until the first member declared it, sorted (detection time)
	DisseminationTimes []time.Duration // from then until the last member learned of it, sorted (dissemination time)
	DatagramRate       float64         // sent per member and second in the steady state
	ByteRate           float64         // likewise
}

// Quantile returns the value at a share from 0 to 1 of a sorted list; 0 for an empty list.
func Quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// MeasureSteadyState measures what a member sends for a time without faults, from a minute after the start on.
func MeasureSteadyState(s Setup, d time.Duration) (Results, error) {
	const startup = time.Minute
	f, err := New(s)
	if err != nil {
		return Results{}, err
	}
	if err := f.Run(startup); err != nil {
		return Results{}, err
	}
	sent, bytes := total(f.Sent), total(f.SentBytes)
	if err := f.Run(d); err != nil {
		return Results{}, err
	}
	memberSeconds := float64(s.Members) * d.Seconds()
	return Results{
		Members:      s.Members,
		DatagramRate: float64(total(f.Sent)-sent) / memberSeconds,
		ByteRate:     float64(total(f.SentBytes)-bytes) / memberSeconds,
		ProcessHours: memberSeconds / 3600,
	}, nil
}

func total(list []int) (sum int) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// MeasurePauses simulates pauses of random members for a time, and counts the deaths declared: all of them are false. Each member
// pauses once per interval on average, for a quarter of longest up to longest.
func MeasurePauses(s Setup, d, interval, longest time.Duration) (Results, error) {
	const startup = 10 * time.Second
	f, err := New(s)
	if err != nil {
		return Results{}, err
	}
	out := Results{Members: s.Members, ProcessHours: float64(s.Members) * d.Hours()}
	f.OnEvent = f.countFalseDeaths(&out.FalsePositives)
	var pause func()
	pause = func() {
		f.Pause(f.rnd.IntN(s.Members), time.Duration(float64(longest)*(0.25+0.75*f.rnd.Float64())))
		f.After(time.Duration(f.rnd.ExpFloat64()*float64(interval)/float64(s.Members)), pause)
	}
	f.After(startup, pause)
	err = f.Run(d)
	return out, err
}

// countFalseDeaths returns a function for Seen that counts the deaths of members that are up. Events on the same member
// within a short time are one death, which many members declare.
func (f *Fleet) countFalseDeaths(count *int) func(int, membership.Event) error {
	const sameDeath = 10 * time.Second
	lastDeclared := make([]time.Duration, len(f.Members))
	return func(_ int, e membership.Event) error {
		if e.Kind != membership.StateChanged || e.NewState != membership.Dead || !f.Members[e.Member].Up {
			return nil
		}
		last := lastDeclared[e.Member]
		if last == 0 || f.Now-last > sameDeath {
			*count++
		}
		lastDeclared[e.Member] = f.Now
		return nil
	}
}

// MeasureKills kills random members one after the other, at an interval, and measures when the others learn of it. Each starts
// again afterwards.
func MeasureKills(s Setup, kills int, interval time.Duration) (Results, error) {
	const startup = 20 * time.Second
	f, err := New(s)
	if err != nil {
		return Results{}, err
	}
	out := Results{Members: s.Members, Kills: kills}
	k := &killMeasurement{fleet: f, figures: &out, victim: -1}
	f.OnEvent = k.observe
	if err := f.Run(startup); err != nil {
		return out, err
	}
	for range kills {
		if err := k.kill(interval); err != nil {
			return out, err
		}
		f.Start(k.victim, 0)
		if err := f.Run(interval / 2); err != nil {
			return out, err
		}
	}
	slices.Sort(out.DetectionTimes)
	slices.Sort(out.DisseminationTimes)
	if agreed, difference := f.ViewsAgree(); !agreed {
		return out, fmt.Errorf("seed %d: after the last start %s", s.Seed, difference)
	}
	return out, nil
}

// killMeasurement measures one kill after the other.
type killMeasurement struct {
	fleet       *Fleet
	figures     *Results
	victim      int           // of the last kill; -1 before the first
	learned     int           // members that declared it dead, or learned of it
	first, last time.Duration // when the first and the last did; 0 = none
}

// kill kills a random member, at a random time of the protocol period, and runs for the interval.
func (k *killMeasurement) kill(interval time.Duration) error {
	f := k.fleet
	k.victim, k.learned, k.first, k.last = f.rnd.IntN(len(f.Members)), 0, 0, 0
	killed := f.Now + time.Duration(f.rnd.Int64N(int64(membership.DefaultInterval)))
	f.After(killed-f.Now, func() { f.Kill(k.victim) })
	if err := f.Run(interval); err != nil {
		return err
	}
	if k.learned < len(f.Members)-1 {
		k.figures.MissedKills++
	}
	if k.first > 0 {
		k.figures.DetectionTimes = append(k.figures.DetectionTimes, k.first-killed)
		k.figures.DisseminationTimes = append(k.figures.DisseminationTimes, k.last-k.first)
	}
	return nil
}

// observe records when members learn of the death. The death of any other member is false.
func (k *killMeasurement) observe(_ int, e membership.Event) error {
	if e.Kind != membership.StateChanged || e.NewState != membership.Dead {
		return nil
	}
	if e.Member != k.victim {
		k.figures.FalsePositives++
		return nil
	}
	if k.first == 0 {
		k.first = k.fleet.Now
	}
	k.last = k.fleet.Now
	k.learned++
	return nil
}

// Merge returns the figures of several runs of one size taken together.
func (a Results) Merge(b Results) Results {
	a.ProcessHours += b.ProcessHours
	a.FalsePositives += b.FalsePositives
	a.Kills += b.Kills
	a.MissedKills += b.MissedKills
	a.DetectionTimes = append(a.DetectionTimes, b.DetectionTimes...)
	a.DisseminationTimes = append(a.DisseminationTimes, b.DisseminationTimes...)
	slices.Sort(a.DetectionTimes)
	slices.Sort(a.DisseminationTimes)
	a.Members = max(a.Members, b.Members)
	return a
}
