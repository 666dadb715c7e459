package simulation

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// Runs drawn from a thousand seeds, with every fault there is: no rule is broken, and afterwards all views match the
// truth. Under the race detector, which has nothing to find on one goroutine, the small ones among the first 60.
func TestThousandRuns(t *testing.T) {
	t.Parallel()
	seeds, most := uint64(1000), 1000
	if raced {
		seeds, most = 60, 40
	}
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range next {
				n := SizeOf(seed)
				if n > most {
					continue
				}
				if _, err := Random(seed, n, max(1, n/20)); err != nil {
					t.Errorf("%d members: %v", n, err)
				}
			}
		}()
	}
	for seed := range seeds {
		next <- seeds - 1 - seed // the large ones first
	}
	close(next)
	wg.Wait()
}

// One seed plays the same run each time, step by step.
func TestSeedReplays(t *testing.T) {
	t.Parallel()
	run := func() string {
		f, err := Random(17, 25, 1)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(f.Steps, f.Now, f.Sent, f.SentBytes)
	}
	if a, b := run(), run(); a != b {
		t.Fatalf("two runs of a seed differ:\n%s\n%s", a, b)
	}
}

// No false death at 10% loss with pauses of up to 2 s; the baseline, on the same seed, tells hundreds.
func TestPausesCauseNoFalseDeath(t *testing.T) {
	t.Parallel()
	s := Setup{Members: 50, Seed: 3, Loss: 0.1, Every: 100}
	hours := 10 * time.Hour
	if raced {
		hours = time.Hour
	}
	f, err := Pauses(s, hours/50, 30*time.Second, 2*time.Second)
	if err != nil || f.FalseDeaths > 0 {
		t.Fatalf("%d false deaths, %v", f.FalseDeaths, err)
	}
	if raced {
		return // the run is shorter than the baseline takes to miss anyone
	}
	s.Make = func(c membership.Config) (Detector, error) { return NewHeartbeat(c, 1, 3), nil }
	if f, err = Pauses(s, hours/50, 30*time.Second, 2*time.Second); err != nil || f.FalseDeaths < 5 {
		t.Fatalf("the baseline told %d false deaths, %v: the scenario is too easy to prove anything", f.FalseDeaths, err)
	}
}

// A kill is told within the times that docs/MEMBERSHIP.md states, by members who all learn of it.
func TestKillsAreDetected(t *testing.T) {
	t.Parallel()
	for _, n := range []int{10, 30, 100} {
		kills := 200
		if raced {
			kills = 200 / n
		}
		f, err := Kills(Setup{Members: n, Seed: 8, Every: 50}, kills, 30*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		interval := membership.DefaultInterval
		if f.Missed > 0 || f.FalseDeaths > 0 || len(f.First) != kills {
			t.Errorf("%d members: %d of %d kills missed, %d false deaths", n, kills-len(f.First)+f.Missed, kills, f.FalseDeaths)
		}
		if !raced && (Quantile(f.First, 0.5) > 3*interval || Quantile(f.First, 0.99) > 8*interval || f.All[len(f.All)-1] > 4*interval) {
			t.Errorf("%d members: told after %v (median), %v (99th); all within %v more", n, Quantile(f.First, 0.5),
				Quantile(f.First, 0.99), f.All[len(f.All)-1])
		}
	}
}

// What a member sends while nothing happens does not grow with the fleet.
func TestSteadyStateIsFlat(t *testing.T) {
	t.Parallel()
	sizes := []int{10, 100, 1000}
	if raced {
		sizes = []int{10, 100}
	}
	var first Figures
	for _, n := range sizes {
		f, err := Steady(Setup{Members: n, Seed: 5, Spread: time.Second, Every: 1000}, 30*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if first.Members == 0 {
			first = f
		}
		if f.Datagrams > 1.2*first.Datagrams || f.Bytes > 1.2*first.Bytes || f.Datagrams > 3 || f.Bytes > 400 {
			t.Errorf("%d members: %.2f datagrams and %.1f bytes a second, with %d it was %.2f and %.1f", n,
				f.Datagrams, f.Bytes, first.Members, first.Datagrams, first.Bytes)
		}
	}
}

// fleet makes one whose members have all started, and counts deaths of members that are up.
func fleet(t *testing.T, n int) (*Fleet, *int) {
	t.Helper()
	f, err := New(Setup{Members: n, Seed: 21, Spread: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	deaths := 0
	f.Seen = func(_ int, e membership.Event) error {
		if e.Kind == membership.Changed && e.Is == membership.Dead && f.Members[e.Member].Up {
			deaths++
		}
		return nil
	}
	play(t, f, 10*time.Second)
	return f, &deaths
}

func play(t *testing.T, f *Fleet, d time.Duration) {
	t.Helper()
	if err := f.Run(d); err != nil {
		t.Fatal(err)
	}
}

// agree waits for all views to match the truth.
func agree(t *testing.T, f *Fleet, within time.Duration) {
	t.Helper()
	for end := f.Now + within; ; {
		play(t, f, time.Second)
		ok, why := f.Agreed()
		if ok {
			return
		}
		if f.Now > end {
			t.Fatalf("after %v: %s", within, why)
		}
	}
}

// A cannot hear B while all else works: others answer for B, and nobody is declared dead.
func TestOneSidedCut(t *testing.T) {
	t.Parallel()
	f, deaths := fleet(t, 12)
	f.Cut = func(a, b int) bool { return a == 1 && b == 0 }
	play(t, f, 5*time.Minute)
	if *deaths > 0 {
		t.Fatalf("%d deaths declared", *deaths)
	}
}

// A member that can send but not hear, or hear but not send, is held dead by all others, and by that alone; it
// is back everywhere once it can do both.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(a, b int) bool{
		"inbound":  func(_, b int) bool { return b == 0 },
		"outbound": func(a, _ int) bool { return a == 0 },
	} {
		f, deaths := fleet(t, 12)
		f.Cut = cut
		play(t, f, 30*time.Second)
		for v := 1; v < 12; v++ {
			for i := range 12 {
				if s, _ := f.Members[v].Node.Member(i); s.Serves() != (i != 0) {
					t.Errorf("%s: member %d holds %d %v", name, v, i, s)
				}
			}
		}
		if *deaths < 11 {
			t.Errorf("%s: declared dead %d times", name, *deaths)
		}
		f.Cut = nil
		agree(t, f, time.Minute)
	}
}

// Two halves that were cut from each other hold each other dead, and find each other again.
func TestSplitHeals(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100} {
		f, _ := fleet(t, n)
		f.Cut = func(a, b int) bool { return a%2 != b%2 }
		play(t, f, 40*time.Second)
		if k := f.Members[0].Node.InService(); k != n/2 {
			t.Errorf("%d members: %d in service in a half", n, k)
		}
		f.Cut = nil
		agree(t, f, time.Minute)
	}
}

// A pause of 10 s is a death, told to all and taken back by all.
func TestLongPause(t *testing.T) {
	t.Parallel()
	f, deaths := fleet(t, 12)
	f.Pause(3, 20*time.Second)
	play(t, f, 19*time.Second)
	if *deaths < 11 {
		t.Errorf("declared dead %d times", *deaths)
	}
	agree(t, f, 30*time.Second)
}

// Seven in ten die at once; the others agree on that. They come back knowing nothing, with clocks that stepped back.
func TestMostDieAndComeBack(t *testing.T) {
	t.Parallel()
	f, deaths := fleet(t, 60)
	for i := range 42 {
		f.Kill(i)
	}
	agree(t, f, 90*time.Second)
	if *deaths > 0 {
		t.Errorf("%d false deaths", *deaths)
	}
	for i := range 42 {
		f.Start(i, -time.Duration(i)*time.Minute)
	}
	agree(t, f, 90*time.Second)
}

// A member that is back before its death was declared, from nothing and with an earlier clock, beats the rumours about
// its former self.
func TestRestartBeatsItsFormerSelf(t *testing.T) {
	t.Parallel()
	for _, skew := range []time.Duration{0, -time.Hour, time.Hour} {
		f, _ := fleet(t, 12)
		f.Kill(4)
		play(t, f, 3500*time.Millisecond)
		f.Start(4, skew)
		play(t, f, time.Minute)
		if ok, why := f.Agreed(); !ok {
			t.Errorf("skew %v: %s", skew, why)
		}
	}
}

// Who leaves is held to have left within two intervals, without any suspicion.
func TestLeave(t *testing.T) {
	t.Parallel()
	f, deaths := fleet(t, 30)
	f.Leave(7)
	play(t, f, 4*time.Second)
	if ok, why := f.Agreed(); !ok || *deaths > 0 {
		t.Fatalf("%s; %d deaths", why, *deaths)
	}
}
