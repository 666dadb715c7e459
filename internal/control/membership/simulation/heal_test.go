package simulation

import (
	"fmt"
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// When two partitions meet again, updates of one cross to the other. They must declare no member dead in its own partition,
// and the pings of the suspects must stay within their bound.
func TestHealKillsNobody(t *testing.T) {
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
				f.Drops = oddFromEven
				runFor(t, f, 40*time.Second)
				f.Drops = nil
				ownDead := deadInOwnPartition(f)
				sent, healed := total(f.Sent), f.Now
				awaitAgreement(t, f, time.Minute)
				duration := f.Now - healed
				rate := float64(total(f.Sent)-sent) / float64(n) / duration.Seconds()
				t.Logf("agreed after %v, %d declared dead by their own partition, %.1f datagrams per member and second",
					duration, len(ownDead), rate)
				if len(ownDead) > 0 || rate > 60 {
					t.Errorf("%d declared dead by their own partition, %.1f datagrams per member and second", len(ownDead), rate)
				}
			})
		}
	}
}

// deadInOwnPartition returns the members that one of the same parity declares dead from now on.
func deadInOwnPartition(f *Fleet) map[int]bool {
	dead := map[int]bool{}
	f.OnEvent = func(at int, e membership.Event) error {
		if e.Kind == membership.StateChanged && e.NewState == membership.Dead && at%2 == e.Member%2 {
			dead[e.Member] = true
		}
		return nil
	}
	return dead
}

// Whatever happens to most members at once, a member sends at most 3 KB a second over 10 s, on average over the members.
func TestMassFaultsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 100)
	n := len(f.Members)
	for _, fault := range []struct {
		name   string
		inject func()
	}{
		{"partition", func() { f.Drops = oddFromEven }},
		{"healed", func() { f.Drops = nil }},
		{"a fifth killed", func() { eachFifthMember(n, f.Kill) }},
		{"restarted", func() { eachFifthMember(n, func(i int) { f.Start(i, 0) }) }},
	} {
		fault.inject()
		rate := worstByteRate(t, f, 60*time.Second, 10*time.Second)
		t.Logf("%d members, %s: %.0f bytes a second in the worst 10 s", n, fault.name, rate)
		if rate > 3000 {
			t.Errorf("%d members, %s: %.0f bytes a second", n, fault.name, rate)
		}
	}
	awaitAgreement(t, f, 10*time.Second)
}

// The byte budget does not keep two large partitions from declaring each other dead: updates go before the pings of suspects
// that other members suspect as well.
func TestLargePartitionIsDetected(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 60)
	n := len(f.Members)
	f.Drops = oddFromEven
	runFor(t, f, 45*time.Second)
	for i := range f.Members {
		if serving := f.Members[i].Node.NumInService(); serving != n/2 {
			t.Fatalf("after 45 s member %d has %d of %d in service", i, serving, n)
		}
	}
}

// lossyFleet returns a fleet that loses one datagram in 20, with fewer members under the race detector.
func lossyFleet(t *testing.T, members, membersUnderRace int) *Fleet {
	t.Helper()
	if raceDetector {
		members = membersUnderRace
	}
	f, _ := startedFleet(t, members)
	f.Loss, f.StepsPerCheck = 0.05, 1000
	return f
}

// eachFifthMember calls a function with one member in five.
func eachFifthMember(members int, call func(member int)) {
	for i := 0; i < members; i += 5 {
		call(i)
	}
}

// worstByteRate runs the fleet for a span and returns the bytes a second that a member which is up has sent on average in the
// worst window.
func worstByteRate(t *testing.T, f *Fleet, span, window time.Duration) (worst float64) {
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
		worst = max(worst, float64(sent)/float64(up)/window.Seconds())
	}
	return worst
}
