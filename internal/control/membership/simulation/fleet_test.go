package simulation

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// Checks in random runs of a thousand seeds, with all kinds of faults, that no invariant is violated and that all views are
// correct after the faults. Under the race detector, which cannot find anything in single-threaded runs, only the small
// fleets among the first 60 seeds are run.
func TestRandomFaultsKeepInvariants(t *testing.T) {
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
				if _, err := RunRandom(seed, n, max(1, n/20)); err != nil { // the error contains the seed
					t.Errorf("%d members: %v", n, err)
				}
			}
		}()
	}
	for seed := range seeds {
		next <- seeds - 1 - seed // starts with the largest fleet, for a shorter total time
	}
	close(next)
	wg.Wait()
}

// Checks that two runs with the same seed are identical in steps, time, and datagrams and bytes sent.
func TestSameSeedReplaysIdentically(t *testing.T) {
	t.Parallel()
	replay := func() string {
		f, err := RunRandom(17, 25, 1)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(f.Steps, f.Now, f.Sent, f.SentBytes)
	}
	if a, b := replay(), replay(); a != b {
		t.Fatalf("two runs with the same seed differ:\n%s\n%s", a, b)
	}
}

// Checks that there are no false positives with 10% packet loss and pauses of up to 2 s, and that the baseline has at least
// five with the same seed, which shows that the scenario is hard enough.
func TestPausesCauseNoFalsePositives(t *testing.T) {
	t.Parallel()
	s := Setup{Members: 50, Seed: 3, Loss: 0.1, StepsPerCheck: 100}
	hours := 10 * time.Hour
	if raceDetector {
		hours = time.Hour
	}
	f, err := MeasurePauses(s, hours/50, 30*time.Second, 2*time.Second)
	if err != nil || f.FalsePositives > 0 {
		t.Fatalf("%d false positives, want none; error %v", f.FalsePositives, err)
	}
	if raceDetector {
		return // the run is too short for false positives of the baseline
	}
	s.NewDetector = func(c membership.Config) (Detector, error) { return NewHeartbeatDetector(c, 1, 3), nil }
	if f, err = MeasurePauses(s, hours/50, 30*time.Second, 2*time.Second); err != nil || f.FalsePositives < 5 {
		t.Fatalf("the baseline had %d false positives, want at least 5, or else the scenario is too easy; error %v", f.FalsePositives, err)
	}
}

// Checks that kills are detected and disseminated within the times that docs/operators/MEMBERSHIP.md states.
func TestKillDetectionAndDisseminationTimes(t *testing.T) {
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
				t.Errorf("%d of %d kills missed and %d false positives, want none", kills-len(f.DetectionTimes)+f.MissedKills, kills, f.FalsePositives)
			}
			median, worst, dissemination := Quantile(f.DetectionTimes, 0.5), Quantile(f.DetectionTimes, 0.99), Quantile(f.DisseminationTimes, 1)
			if !raceDetector && (median > 3*interval || worst > 8*interval || dissemination > 4*interval) {
				t.Errorf("detection took %v (median) and %v (99th percentile), want at most %v and %v; dissemination took up to %v, want %v",
					median, worst, 3*interval, 8*interval, dissemination, 4*interval)
			}
		})
	}
}

// Checks that the traffic per member in the steady state does not grow with the size of the fleet.
func TestSteadyStateTrafficIsIndependentOfFleetSize(t *testing.T) {
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
			t.Errorf("%d members: %.2f datagrams and %.1f bytes per member and second, want at most 3 and 400, "+
				"and at most 1.2 times those with %d members: %.2f and %.1f", n,
				f.DatagramRate, f.ByteRate, smallest.Members, smallest.DatagramRate, smallest.ByteRate)
		}
	}
}

// startedFleet returns a fleet 10 s after its start, and a counter of events in which a running member is declared dead.
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

// runFor runs the fleet for the duration d, and fails the test on an error.
func runFor(t *testing.T, f *Fleet, d time.Duration) {
	t.Helper()
	if err := f.Run(d); err != nil {
		t.Fatal(err)
	}
}

// awaitAgreement runs the fleet until all views are correct, and fails the test if they are not within the given time.
func awaitAgreement(t *testing.T, f *Fleet, within time.Duration) {
	t.Helper()
	for end := f.Now + within; ; {
		runFor(t, f, time.Second)
		agreed, difference := f.ViewsAgree()
		if agreed {
			return
		}
		if f.Now > end {
			t.Fatalf("views still differ after %v: %s", within, difference)
		}
	}
}

// dropsBetweenOddAndEven is a function for Fleet.Drops that partitions the fleet into members with odd and even numbers.
func dropsBetweenOddAndEven(from, to int) bool { return from%2 != to%2 }

// Checks that nobody is declared dead if one member does not receive the datagrams of another, because indirect probes
// succeed.
func TestDroppedLinkCausesNoFalsePositive(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 12)
	f.Drops = func(a, b int) bool { return a == 1 && b == 0 }
	runFor(t, f, 5*time.Minute)
	if *deaths > 0 {
		t.Fatalf("%d false positives, want none", *deaths)
	}
}

// Checks that a member that cannot receive, or cannot send, is declared dead by all others, that they declare nobody else
// dead, and that the member is in service in all views after the network has healed.
func TestOneWayLossIsDetectedAndRecovers(t *testing.T) {
	t.Parallel()
	for name, drops := range map[string]func(a, b int) bool{
		"inbound":  func(_, b int) bool { return b == 0 },
		"outbound": func(a, _ int) bool { return a == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, deaths := startedFleet(t, 12)
			f.Drops = drops
			runFor(t, f, 30*time.Second)
			for viewer := 1; viewer < 12; viewer++ {
				for i := range 12 {
					if s, _ := f.Members[viewer].Node.Member(i); s.InService() != (i != 0) {
						t.Errorf("in the view of member %d, member %d is %v", viewer, i, s)
					}
				}
			}
			if *deaths < 11 {
				t.Errorf("%d declarations of death, want at least 11", *deaths)
			}
			f.Drops = nil
			awaitAgreement(t, f, time.Minute)
		})
	}
}

// Checks that two partitions declare each other dead, and that all views agree again after the network has healed.
func TestViewsAgreeAfterPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100} {
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			f, _ := startedFleet(t, n)
			f.Drops = dropsBetweenOddAndEven
			runFor(t, f, 40*time.Second)
			if inService := f.Members[0].Node.NumInService(); inService != n/2 {
				t.Errorf("member 0 sees %d members in service during the partition, want %d", inService, n/2)
			}
			f.Drops = nil
			awaitAgreement(t, f, time.Minute)
		})
	}
}

// Checks that a member that pauses for 20 s is declared dead by all others, and is in service in all views after it
// resumes.
func TestLongPauseIsDetectedAndRecovers(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 12)
	f.Pause(3, 20*time.Second)
	runFor(t, f, 19*time.Second)
	if *deaths < 11 {
		t.Errorf("%d declarations of death, want at least 11", *deaths)
	}
	awaitAgreement(t, f, 30*time.Second)
}

// Checks that the survivors agree after 70% of the members die at once, and that all views agree after these members
// restart without stored state and with their clocks set back.
func TestMassFailureAndRestartConverge(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 60)
	for i := range 42 {
		f.Kill(i)
	}
	awaitAgreement(t, f, 90*time.Second)
	if *deaths > 0 {
		t.Errorf("%d false positives, want none", *deaths)
	}
	for i := range 42 {
		f.Start(i, -time.Duration(i)*time.Minute)
	}
	awaitAgreement(t, f, 90*time.Second)
}

// Checks that a member that restarts before its death is declared, without stored state and with its clock set back or
// forward, overrides the updates about its former incarnation.
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
				t.Errorf("views differ a minute after the restart: %s", difference)
			}
		})
	}
}

// Checks that a member that leaves is out of service in all views within two intervals, and is not declared dead.
func TestLeaveIsDisseminatedWithinTwoIntervals(t *testing.T) {
	t.Parallel()
	f, deaths := startedFleet(t, 30)
	f.Leave(7)
	runFor(t, f, 4*time.Second)
	if agreed, difference := f.ViewsAgree(); !agreed || *deaths > 0 {
		t.Fatalf("after 4 s: %s; %d false positives, want none", difference, *deaths)
	}
}
