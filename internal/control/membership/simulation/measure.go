package simulation

import (
	"fmt"
	"slices"
	"time"

	"frostpier/internal/control/membership"
)

// Results holds the results of a measurement.
type Results struct {
	Members            int
	ProcessHours       float64
	FalsePositives     int // members declared dead while up; MeasurePauses counts a death declared by several members once
	Kills              int
	MissedKills        int             // kills that some member did not detect or learn of before the victim restarted
	DetectionTimes     []time.Duration // from each kill until the first member declared the death, sorted
	DisseminationTimes []time.Duration // from the first declaration until the last member learned of the death, sorted
	DatagramRate       float64         // datagrams sent per member and second in the steady state
	ByteRate           float64         // bytes sent per member and second in the steady state
}

// Quantile returns the p-quantile, with p from 0 to 1, of a sorted list, or 0 if the list is empty.
func Quantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// MeasureSteadyState measures the traffic per member without faults, for the duration d from a minute after the start.
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

// MeasurePauses simulates pauses of random members for the duration d, and counts false positives: no member is killed, so
// every declared death is false. Each member pauses once per interval on average, for a random time from a quarter of
// longest up to longest.
func MeasurePauses(s Setup, d, interval, longest time.Duration) (Results, error) {
	const startup = 10 * time.Second
	f, err := New(s)
	if err != nil {
		return Results{}, err
	}
	out := Results{Members: s.Members, ProcessHours: float64(s.Members) * d.Hours()}
	f.OnEvent = f.countFalsePositives(&out.FalsePositives)
	var pause func()
	pause = func() {
		f.Pause(f.rnd.IntN(s.Members), time.Duration(float64(longest)*(0.25+0.75*f.rnd.Float64())))
		f.After(time.Duration(f.rnd.ExpFloat64()*float64(interval)/float64(s.Members)), pause)
	}
	f.After(startup, pause)
	err = f.Run(d)
	return out, err
}

// countFalsePositives returns a function for OnEvent that counts members declared dead while up. Deaths of the same member
// within sameDeathWindow count once, as they are the same death declared by several members.
func (f *Fleet) countFalsePositives(count *int) func(int, membership.Event) error {
	const sameDeathWindow = 10 * time.Second
	lastDeclared := make([]time.Duration, len(f.Members))
	return func(_ int, e membership.Event) error {
		if e.Kind != membership.StateChanged || e.NewState != membership.Dead || !f.Members[e.Member].Up {
			return nil
		}
		last := lastDeclared[e.Member]
		if last == 0 || f.Now-last > sameDeathWindow {
			*count++
		}
		lastDeclared[e.Member] = f.Now
		return nil
	}
}

// MeasureKills kills random members one after the other, and measures when the others detect and learn of each kill. After
// the interval the victim restarts, and the next kill follows half an interval later.
func MeasureKills(s Setup, kills int, interval time.Duration) (Results, error) {
	const startup = 20 * time.Second
	f, err := New(s)
	if err != nil {
		return Results{}, err
	}
	out := Results{Members: s.Members, Kills: kills}
	k := &killMeasurement{fleet: f, results: &out, victim: -1}
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
		return out, fmt.Errorf("seed %d: views differ after the last restart: %s", s.Seed, difference)
	}
	return out, nil
}

// killMeasurement is the state of MeasureKills.
type killMeasurement struct {
	fleet                           *Fleet
	results                         *Results
	victim                          int           // member that was last killed; -1 before the first kill
	informed                        int           // number of members that declared the victim dead or learned of its death
	firstDeclaredAt, lastDeclaredAt time.Duration // when the first and the last of these members did so; 0 = none has yet
}

// kill kills a random member at a random time within the protocol period, and runs the fleet for the interval.
func (k *killMeasurement) kill(interval time.Duration) error {
	f := k.fleet
	k.victim, k.informed, k.firstDeclaredAt, k.lastDeclaredAt = f.rnd.IntN(len(f.Members)), 0, 0, 0
	killedAt := f.Now + time.Duration(f.rnd.Int64N(int64(membership.DefaultInterval)))
	f.After(killedAt-f.Now, func() { f.Kill(k.victim) })
	if err := f.Run(interval); err != nil {
		return err
	}
	if k.informed < len(f.Members)-1 {
		k.results.MissedKills++
	}
	if k.firstDeclaredAt > 0 {
		k.results.DetectionTimes = append(k.results.DetectionTimes, k.firstDeclaredAt-killedAt)
		k.results.DisseminationTimes = append(k.results.DisseminationTimes, k.lastDeclaredAt-k.firstDeclaredAt)
	}
	return nil
}

// observe records when members declare the victim dead, and counts the deaths of other members as false positives.
func (k *killMeasurement) observe(_ int, e membership.Event) error {
	if e.Kind != membership.StateChanged || e.NewState != membership.Dead {
		return nil
	}
	if e.Member != k.victim {
		k.results.FalsePositives++
		return nil
	}
	if k.firstDeclaredAt == 0 {
		k.firstDeclaredAt = k.fleet.Now
	}
	k.lastDeclaredAt = k.fleet.Now
	k.informed++
	return nil
}

// Merge returns the combined results of runs with the same number of members.
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
