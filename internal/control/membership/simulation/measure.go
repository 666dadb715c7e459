package simulation

import (
	"fmt"
	"slices"
	"time"

	"frostpier/internal/control/membership"
)

// Figures are what a measurement found.
type Figures struct {
	Members      int
	ProcessHours float64
	FalseDeaths  int // distinct times that a member which was up was held dead by anyone
	Kills        int
	Missed       int             // kills that somebody up had not been told of when the run ended
	First        []time.Duration // from a kill until the first member held it dead, sorted
	All          []time.Duration // from then until the last did, sorted
	Datagrams    float64         // a member and second, in the steady state
	Bytes        float64         // likewise
}

// Quantile reads a share of a sorted list; 0 for an empty one.
func Quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Steady measures what a member sends when nothing happens.
func Steady(s Setup, d time.Duration) (Figures, error) {
	f, err := New(s)
	if err != nil {
		return Figures{}, err
	}
	if err := f.Run(time.Minute); err != nil { // the start is no steady state
		return Figures{}, err
	}
	sent, bytes := total(f.Sent), total(f.SentBytes)
	if err := f.Run(d); err != nil {
		return Figures{}, err
	}
	per := float64(s.Members) * d.Seconds()
	return Figures{Members: s.Members, Datagrams: float64(total(f.Sent)-sent) / per,
		Bytes: float64(total(f.SentBytes)-bytes) / per, ProcessHours: per / 3600}, nil
}

func total(list []int) (sum int) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// Pauses plays pauses of up to most going round all members, each pausing once in so long on average, and counts the
// deaths that were told: all of them are false.
func Pauses(s Setup, d, once, most time.Duration) (Figures, error) {
	f, err := New(s)
	if err != nil {
		return Figures{}, err
	}
	out := Figures{Members: s.Members, ProcessHours: float64(s.Members) * d.Hours()}
	told := make([]time.Duration, s.Members) // when a false death of a member was last told
	f.Seen = func(_ int, e membership.Event) error {
		if e.Kind == membership.Changed && e.Is == membership.Dead && f.Members[e.Member].Up {
			if told[e.Member] == 0 || f.Now-told[e.Member] > 10*time.Second { // one death is told by many
				out.FalseDeaths++
			}
			told[e.Member] = f.Now
		}
		return nil
	}
	var next func()
	next = func() {
		f.Pause(f.rnd.IntN(s.Members), time.Duration(float64(most)*(0.25+0.75*f.rnd.Float64())))
		f.At(time.Duration(f.rnd.ExpFloat64()*float64(once)/float64(s.Members)), next)
	}
	f.At(10*time.Second, next)
	return out, f.Run(d)
}

// Kills kills members one after the other, so many, and measures when that is told; each starts again afterwards.
func Kills(s Setup, kills int, apart time.Duration) (Figures, error) {
	f, err := New(s)
	if err != nil {
		return Figures{}, err
	}
	out := Figures{Members: s.Members, Kills: kills}
	victim, told := -1, 0
	var killed, first, last time.Duration
	f.Seen = func(_ int, e membership.Event) error {
		if e.Kind != membership.Changed || e.Is != membership.Dead {
			return nil
		}
		if e.Member != victim {
			out.FalseDeaths++
			return nil
		}
		if first == 0 {
			first = f.Now
		}
		last = f.Now
		told++
		return nil
	}
	if err := f.Run(20 * time.Second); err != nil {
		return out, err
	}
	for range kills {
		victim, told, first, last = f.rnd.IntN(s.Members), 0, 0, 0
		killed = f.Now + time.Duration(f.rnd.Int64N(int64(membership.DefaultInterval)))
		f.At(killed-f.Now, func() { f.Kill(victim) })
		if err := f.Run(apart); err != nil {
			return out, err
		}
		if told < s.Members-1 {
			out.Missed++
		}
		if first > 0 {
			out.First, out.All = append(out.First, first-killed), append(out.All, last-first)
		}
		f.Start(victim, 0)
		if err := f.Run(apart / 2); err != nil {
			return out, err
		}
	}
	slices.Sort(out.First)
	slices.Sort(out.All)
	if ok, why := f.Agreed(); !ok {
		return out, fmt.Errorf("seed %d: after the last start %s", s.Seed, why)
	}
	return out, nil
}

// Merge adds up the figures of several runs of one size.
func (a Figures) Merge(b Figures) Figures {
	a.ProcessHours += b.ProcessHours
	a.FalseDeaths += b.FalseDeaths
	a.Kills += b.Kills
	a.Missed += b.Missed
	a.First, a.All = append(a.First, b.First...), append(a.All, b.All...)
	slices.Sort(a.First)
	slices.Sort(a.All)
	a.Members = max(a.Members, b.Members)
	return a
}
