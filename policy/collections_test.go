package policy

import (
	"testing"
	"time"
)

// Checks that a sliding sum keeps only what its span still contains and that subtractAt finds an amount behind expired ones.
// Moving the rest of a sum for each expired amount delayed all clients while one sent requests at full speed.
func TestSlidingSumDropsExpiredAmounts(t *testing.T) {
	const span, live = time.Second, 1000
	var s slidingSum
	for i := range 10 * live {
		now := time.Duration(i) * span / live
		s.add(now, 1)
		if total, want := s.total(now, span), float64(min(i, live)+1); total != want {
			t.Fatalf("after %v the sum is %v, want %v", now, total, want)
		}
		if len(s.times) > 2*(live+1) || len(s.times) != len(s.amounts) {
			t.Fatalf("after %v the sum holds %d times and %d amounts, want at most %d", now, len(s.times), len(s.amounts), 2*(live+1))
		}
	}
	last := time.Duration(10*live-1) * span / live
	s.subtractAt(last-span/2, 1)
	s.subtractAt(last-2*span, 1) // expired
	if total := s.total(last, span); total != live {
		t.Errorf("the sum is %v after one amount was subtracted, want %d", total, live)
	}
	if total := s.total(last+2*span, span); total != 0 || s.sum != 0 {
		t.Errorf("the sum is %v after all amounts have expired, want 0", total)
	}
}
