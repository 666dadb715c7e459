package simulation

import (
	"fmt"
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// Checks that when a partition heals, updates from one side do not cause members of the other side to be declared dead
// there, and that the pings of suspects stay within their limit.
func TestPartitionHealCausesNoFalsePositives(t *testing.T) {
	t.Parallel()
	sizes := []int{12, 100, 300}
	if raceDetector {
		sizes = []int{12, 40}
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprintf("members=%d,loss=%v", n, loss), func(t *testing.T) {
				f, _ := startedFleet(t, n)
				f.Loss, f.StepsPerCheck = loss, 100
				f.Drops = dropsBetweenOddAndEven
				runFor(t, f, 40*time.Second)
				f.Drops = nil
				falseDeaths := recordDeathsInOwnPartition(f)
				sent, healed := total(f.Sent), f.Now
				awaitAgreement(t, f, time.Minute)
				duration := f.Now - healed
				rate := float64(total(f.Sent)-sent) / float64(n) / duration.Seconds()
				t.Logf("views agreed after %v; %d members declared dead by their own partition; %.1f datagrams per member and second",
					duration, len(falseDeaths), rate)
				if len(falseDeaths) > 0 || rate > 60 {
					t.Errorf("%d members declared dead by their own partition, want none; %.1f datagrams per member and second, want at most 60",
						len(falseDeaths), rate)
				}
			})
		}
	}
}

// recordDeathsInOwnPartition returns a set to which each member is added that a member of the same parity declares dead
// from now on.
func recordDeathsInOwnPartition(f *Fleet) map[int]bool {
	dead := map[int]bool{}
	f.OnEvent = func(at int, e membership.Event) error {
		if e.Kind == membership.StateChanged && e.NewState == membership.Dead && at%2 == e.Member%2 {
			dead[e.Member] = true
		}
		return nil
	}
	return dead
}

// Checks that after mass faults, members send at most 3 KB/s in any 10 s, averaged over the members.
func TestMassFaultsStayWithinByteBudget(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 100)
	n := len(f.Members)
	for _, fault := range []struct {
		name   string
		inject func()
	}{
		{"partition", func() { f.Drops = dropsBetweenOddAndEven }},
		{"healed", func() { f.Drops = nil }},
		{"a fifth killed", func() { forEveryFifthMember(n, f.Kill) }},
		{"restarted", func() { forEveryFifthMember(n, func(i int) { f.Start(i, 0) }) }},
	} {
		fault.inject()
		rate := maxByteRate(t, f, 60*time.Second, 10*time.Second)
		t.Logf("%d members, %s: up to %.0f bytes per member and second over 10 s", n, fault.name, rate)
		if rate > 3000 {
			t.Errorf("%d members, %s: %.0f bytes per member and second over 10 s, want at most 3000", n, fault.name, rate)
		}
	}
	awaitAgreement(t, f, 10*time.Second)
}

// Checks that the byte budget does not prevent two large partitions from declaring each other dead. Updates about members
// must take precedence over pings of suspects that other members suspect as well.
func TestLargePartitionIsDetected(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 60)
	n := len(f.Members)
	f.Drops = dropsBetweenOddAndEven
	runFor(t, f, 45*time.Second)
	for i := range f.Members {
		if inService := f.Members[i].Node.NumInService(); inService != n/2 {
			t.Fatalf("after 45 s, member %d sees %d of %d members in service, want %d", i, inService, n, n/2)
		}
	}
}

// lossyFleet returns a fleet with 5% packet loss, and with fewer members under the race detector.
func lossyFleet(t *testing.T, members, membersUnderRace int) *Fleet {
	t.Helper()
	if raceDetector {
		members = membersUnderRace
	}
	f, _ := startedFleet(t, members)
	f.Loss, f.StepsPerCheck = 0.05, 1000
	return f
}

// forEveryFifthMember calls a function with every fifth member.
func forEveryFifthMember(members int, call func(member int)) {
	for i := 0; i < members; i += 5 {
		call(i)
	}
}

// maxByteRate runs the fleet for a span and returns the highest byte rate of any window of the given length, averaged over
// the members that are up.
func maxByteRate(t *testing.T, f *Fleet, span, window time.Duration) (highest float64) {
	t.Helper()
	totals := []int{total(f.SentBytes)}
	for range int(span / time.Second) {
		runFor(t, f, time.Second)
		totals = append(totals, total(f.SentBytes))
	}
	up := 0
	for i := range f.Members {
		if f.Members[i].Up {
			up++
		}
	}
	for end := int(window / time.Second); end < len(totals); end++ {
		sent := totals[end] - totals[end-int(window/time.Second)]
		highest = max(highest, float64(sent)/float64(up)/window.Seconds())
	}
	return highest
}
