package virtual

import (
	"testing"
	"time"

	"frostpier/internal/membership"
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
			t.Logf("%d members, loss %v: agreed after %v, %d told dead by their own half, %.1f datagrams a member and second", n, loss, took, len(own), per)
			if len(own) > 0 || per > 60 {
				t.Errorf("%d members, loss %v: %d told dead by their own half, %.1f datagrams", n, loss, len(own), per)
			}
		}
	}
}
