package memlimit

import (
	"testing"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

// Holders that hold only what is admitted never exceed the limit and their guaranteed bytes together, each can always hold its
// guaranteed bytes, and nothing is used once all have ended.
func TestHoldersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		most, guaranteed := rapid.IntRange(0, 1000).Draw(rt, "max"), rapid.IntRange(0, 100).Draw(rt, "guaranteed")
		limit := New(most, guaranteed)
		shares := make([]Share, rapid.IntRange(1, 5).Draw(rt, "holders"))
		for i := range shares {
			shares[i] = limit.NewShare()
		}
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			s := &shares[rapid.IntRange(0, len(shares)-1).Draw(rt, "holder")]
			before, held := s.Used(), rapid.IntRange(0, 600).Draw(rt, "held")
			admitted := s.Set(held)
			if !admitted && (held <= before || held <= guaranteed) {
				rt.Fatalf("%d bytes after %d are not admitted, although %d are guaranteed", held, before, guaranteed)
			}
			if !admitted {
				s.Set(before)
			}
			if limit.Used() > most+len(shares)*guaranteed {
				rt.Fatalf("%d bytes are used, want at most %d and %d for each of %d holders", limit.Used(), most, guaranteed, len(shares))
			}
		}
		for i := range shares {
			shares[i].Set(0)
		}
		if limit.Used() != 0 {
			rt.Fatalf("%d bytes are used after the end, want none", limit.Used())
		}
	})
}
