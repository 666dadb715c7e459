package simulation

import (
	"testing"
	"time"

	"frostpier/internal/control/membership"
)

// When two halves that were cut from each other meet again, rumours of one cross to the other. No member may be told
// dead by its own half for that, and the pings that doubt causes stay within their bound.
func TestHealKillsNobody(t *testing.T) {
	t.Parallel()
	sizes := []int{12, 100, 300}
	if raced {
		sizes = []int{12, 40}
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1} {
			f, _ := fleet(t, n)
			f.Loss, f.Every = loss, 100
			f.Cut = func(a, b int) bool { return a%2 != b%2 }
			play(t, f, 40*time.Second)
			f.Cut = nil
			own := map[int]bool{}
			f.Seen = func(at int, e membership.Event) error {
				if e.Kind == membership.Changed && e.Is == membership.Dead && at%2 == e.Member%2 {
					own[e.Member] = true
				}
				return nil
			}
			sent := total(f.Sent)
			healed := f.Now
			agree(t, f, time.Minute)
			took := f.Now - healed
			per := float64(total(f.Sent)-sent) / float64(n) / took.Seconds()
			t.Logf("%d members, loss %v: agreed after %v, %d declared dead by their own half, %.1f datagrams a member and second", n, loss, took, len(own), per)
			if len(own) > 0 || per > 60 {
				t.Errorf("%d members, loss %v: %d declared dead by their own half, %.1f datagrams", n, loss, len(own), per)
			}
		}
	}
}

// Whatever becomes of most members at once, what a member sends over 10 s stays within 3 KB a second, on average over the members.
func TestMassFaultsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 100)
	n := len(f.Members)
	faults := []struct {
		name  string
		begin func()
	}{
		{"halves cut from each other", func() { f.Cut = func(a, b int) bool { return a%2 != b%2 } }},
		{"healed", func() { f.Cut = nil }},
		{"a fifth killed", func() { eachFifth(n, f.Kill) }},
		{"back", func() { eachFifth(n, func(i int) { f.Start(i, 0) }) }},
	}
	for _, fault := range faults {
		fault.begin()
		most := worstBytes(t, f, 60*time.Second, 10*time.Second)
		t.Logf("%d members, %s: %.0f bytes a second in the worst 10 s", n, fault.name, most)
		if most > 3000 {
			t.Errorf("%d members, %s: %.0f bytes a second", n, fault.name, most)
		}
	}
	agree(t, f, 10*time.Second)
}

// The budget does not keep the halves of a cut from holding each other dead: its updates go before pings of members that others
// suspect as well.
func TestLargeCutIsSeen(t *testing.T) {
	t.Parallel()
	f := lossyFleet(t, 500, 60)
	n := len(f.Members)
	f.Cut = func(a, b int) bool { return a%2 != b%2 }
	play(t, f, 45*time.Second)
	for i := range f.Members {
		if serving := f.Members[i].Node.InService(); serving != n/2 {
			t.Fatalf("after 45 s member %d holds %d of %d in service", i, serving, n)
		}
	}
}

// lossyFleet makes a fleet of so many members, or fewer under the race detector, that loses one datagram in 20.
func lossyFleet(t *testing.T, members, racedMembers int) *Fleet {
	t.Helper()
	if raced {
		members = racedMembers
	}
	f, _ := fleet(t, members)
	f.Loss, f.Every = 0.05, 1000
	return f
}

// eachFifth calls a function with one member in five.
func eachFifth(members int, call func(member int)) {
	for i := 0; i < members; i += 5 {
		call(i)
	}
}

// worstBytes plays on and returns what a member that is up has sent a second, on average, in the worst window.
func worstBytes(t *testing.T, f *Fleet, span, window time.Duration) (worst float64) {
	t.Helper()
	totals := []int{total(f.SentBytes)}
	for range int(span / time.Second) {
		play(t, f, time.Second)
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
