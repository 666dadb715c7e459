package simulation

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// Random runs of a thousand seeds, with every kind of fault: no invariant is violated, and afterwards all views are correct.
// Under the race detector, which has nothing to find on one goroutine, only the small ones of the first 60.
func TestThousandRuns(t *testing.T) {
	t.Parallel()
	seeds, maxMembers := uint64(1000), 1000
	if raceDetector {
		seeds, maxMembers = 60, 40
	}
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range next {
				n := RandomFleetSize(seed)
				if n > maxMembers {
					continue
				}
				if _, err := RunRandom(seed, n, max(1, n/20)); err != nil {
					t.Errorf("%d members: %v", n, err)
				}
			}
		}()
	}
	for seed := range seeds {
		next <- seeds - 1 - seed // the large runs first
	}
	close(next)
	wg.Wait()
}

// A seed always results in the same run, step by step.
func TestSeedReplays(t *testing.T) {
	t.Parallel()
	replay := func() string {
		f, err := RunRandom(17, 25, 1)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(f.Steps, f.Now, f.Sent, f.SentBytes)
	}
	if a, b := replay(), replay(); a != b {
		t.Fatalf("two runs of a seed differ:\n%s\n%s", a, b)
	}
}

// No false death at 10% loss with pauses of up to 2 s. The baseline, with the same seed, declares some.
func TestPausesCauseNoFalseDeath(t *testing.T) {
	t.Parallel()
	s := Setup{Members: 50, Seed: 3, Loss: 0.1, StepsPerCheck: 100}
	hours := 10 * time.Hour
	if raceDetector {
		hours = time.Hour
	}
	f, err := MeasurePauses(s, hours/50, 30*time.Second, 2*time.Second)
	if err != nil || f.FalsePositives > 0 {
		t.Fatalf("%d false deaths, %v", f.FalsePositives, err)
	}
	if raceDetector {
		return // the run is too short for a false death of the baseline
	}
	s.NewDetector = func(c membership.Config) (Detector, error) { return NewHeartbeatDetector(c, 1, 3), nil }
	if f, err = MeasurePauses(s, hours/50, 30*time.Second, 2*time.Second); err != nil || f.FalsePositives < 5 {
		t.Fatalf("the baseline declared %d false deaths, %v: the scenario proves nothing", f.FalsePositives, err)
	}
}

// A kill is detected and disseminated within the times that docs/operators/MEMBERSHIP.md states.
func TestKillsAreDetected(t *testing.T) {
	t.Parallel()
	const interval = membership.DefaultInterval
	for _, n := range []int{10, 30, 100} {
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			kills := 200
			if raceDetector {
				kills = 200 / n
			}
			f, err := MeasureKills(Setup{Members: n, Seed: 8, StepsPerCheck: 50}, kills, 30*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if f.MissedKills > 0 || f.FalsePositives > 0 || len(f.DetectionTimes) != kills {
				t.Errorf("%d of %d kills missed, %d false deaths", kills-len(f.DetectionTimes)+f.MissedKills, kills, f.FalsePositives)
			}
			median, worst, dissemination := Quantile(f.DetectionTimes, 0.5), Quantile(f.DetectionTimes, 0.99), Quantile(f.DisseminationTimes, 1)
			if !raceDetector && (median > 3*interval || worst > 8*interval || dissemination > 4*interval) {
				t.Errorf("detected after %v (median), %v (99th percentile); disseminated within %v", median, worst, dissemination)
			}
		})
	}
}

// What a member sends in the steady state does not grow with the fleet.
func TestSteadyStateIsFlat(t *testing.T) {
	t.Parallel()
	sizes := []int{10, 100, 1000}
	if raceDetector {
		sizes = []int{10, 100}
	}
	var smallest Results
	for _, n := range sizes {
		f, err := MeasureSteadyState(Setup{Members: n, Seed: 5, StartSpread: time.Second, StepsPerCheck: 1000}, 30*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if smallest.Members == 0 {
			smallest = f
		}
		if f.DatagramRate > 1.2*smallest.DatagramRate || f.ByteRate > 1.2*smallest.ByteRate || f.DatagramRate > 3 || f.ByteRate > 400 {
			t.Errorf("%d members: %.2f datagrams and %.1f bytes a second, with %d it was %.2f and %.1f", n,
				f.DatagramRate, f.ByteRate, smallest.Members, smallest.DatagramRate, smallest.ByteRate)
		}
	}
}

// startedFleet returns a fleet whose members have all started, and the number of false deaths declared from then on.
func startedFleet(t *testing.T, n int) (*Fleet, *int) {
	t.Helper()
	f, err := New(Setup{Members: n, Seed: 21, StartSpread: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	deaths := 0
	f.OnEvent = func(_ int, e membership.Event) error {
		if e.Kind == membership.StateChanged && e.NewState == membership.Dead && f.Members[e.Member].Up {
			deaths++
		}
		return nil
	}
	runFor(t, f, 10*time.Second)
	return f, &deaths
}

// runFor continues the run for a time.
func runFor(t *testing.T, f *Fleet, d time.Duration) {
	t.Helper()
	if err := f.Run(d); err != nil {
		t.Fatal(err)
	}
}

// awaitAgreement continues the run until all views are correct.
func awaitAgreement(t *testing.T, f *Fleet, within time.Duration) {
	t.Helper()
	for end := f.Now + within; ; {
		runFor(t, f, time.Second)
		agreed, difference := f.ViewsAgree()
		if agreed {
			return
		}
		if f.Now > end {
			t.Fatalf("after %v: %s", within, difference)
		}
	}
}

// oddFromEven drops the datagrams between members of odd and of even numbers.
func oddFromEven(from, to int) bool { return from%2 != to%2 }

// One member does not receive the datagrams of one other: indirect probes succeed, and nobody is declared dead.
func TestOneDroppedLink(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 12)
	f.Drops = func(a, b int) bool { return a == 1 && b == 0 }
	runFor(t, f, 5*time.Minute)
	if *deaths > 0 {
		t.Fatalf("%d deaths declared", *deaths)
	}
}

// A member that cannot receive, or cannot send, is declared dead by all others, and nobody else is. It is in service again
// everywhere once the network has healed.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(a, b int) bool{
		"inbound":  func(_, b int) bool { return b == 0 },
		"outbound": func(a, _ int) bool { return a == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, deaths := startedFleet(t, 12)
			f.Drops = cut
			runFor(t, f, 30*time.Second)
			for viewer := 1; viewer < 12; viewer++ {
				for i := range 12 {
					if s, _ := f.Members[viewer].Node.Member(i); s.InService() != (i != 0) {
						t.Errorf("at member %d: member %d is %v", viewer, i, s)
					}
				}
			}
			if *deaths < 11 {
				t.Errorf("declared dead %d times", *deaths)
			}
			f.Drops = nil
			awaitAgreement(t, f, time.Minute)
		})
	}
}

// Two partitions declare each other dead, and agree again once the network has healed.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100} {
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			f, _ := startedFleet(t, n)
			f.Drops = oddFromEven
			runFor(t, f, 40*time.Second)
			if serving := f.Members[0].Node.NumInService(); serving != n/2 {
				t.Errorf("%d in service in a partition", serving)
			}
			f.Drops = nil
			awaitAgreement(t, f, time.Minute)
		})
	}
}

// A member that pauses for 20 s is declared dead by all, and is in service again everywhere once it resumes.
func TestLongPause(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 12)
	f.Pause(3, 20*time.Second)
	runFor(t, f, 19*time.Second)
	if *deaths < 11 {
		t.Errorf("declared dead %d times", *deaths)
	}
	awaitAgreement(t, f, 30*time.Second)
}

// Seven in ten members die at once, and the others agree on that. They restart without stored state, with clocks set back.
func TestMostMembersRestart(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 60)
	for i := range 42 {
		f.Kill(i)
	}
	awaitAgreement(t, f, 90*time.Second)
	if *deaths > 0 {
		t.Errorf("%d false deaths", *deaths)
	}
	for i := range 42 {
		f.Start(i, -time.Duration(i)*time.Minute)
	}
	awaitAgreement(t, f, 90*time.Second)
}

// A member that restarts before its death was declared, without stored state and with a clock set back or forward, overrides
// the updates on its former incarnation.
func TestRestartOverridesFormerIncarnation(t *testing.T) {
	t.Parallel()
	for _, skew := range []time.Duration{0, -time.Hour, time.Hour} {
		t.Run(fmt.Sprintf("skew=%v", skew), func(t *testing.T) {
			f, _ := startedFleet(t, 12)
			f.Kill(4)
			runFor(t, f, 3500*time.Millisecond)
			f.Start(4, skew)
			runFor(t, f, time.Minute)
			if agreed, difference := f.ViewsAgree(); !agreed {
				t.Error(difference)
			}
		})
	}
}

// A member that leaves is out of service everywhere within two intervals, without any suspicion.
func TestLeave(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 30)
	f.Leave(7)
	runFor(t, f, 4*time.Second)
	if agreed, difference := f.ViewsAgree(); !agreed || *deaths > 0 {
		t.Fatalf("%s; %d deaths", difference, *deaths)
	}
}
