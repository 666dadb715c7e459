package rollout

import (
	"testing"

	"pgregory.net/rapid"
)

// TestExceedsIsFalseBelowAllowedShare checks that a new share below the allowed share never counts as a regression.
//
// It guards against a false rollback at the start of a watch, when old gateways have few answers and the allowed share is high: 0.71
// for 0 late answers of 2 by old gateways, with 1 of 42 by new ones. The tail probability above it was computed as one minus its
// complement, which gave a rounding error of 2e-16 instead of 2e-22.
func TestExceedsIsFalseBelowAllowedShare(t *testing.T) {
	const margin, alpha = 0.02, 0.0003
	observed := comparison{new: proportion{1, 42}, old: proportion{0, 2}, dispersion: 1}
	if observed.exceeds(margin, alpha) {
		t.Fatalf("%+v exceeds the old share", observed)
	}
	rapid.Check(t, func(r *rapid.T) {
		c := comparison{dispersion: rapid.Float64Range(1, maxDispersion).Draw(r, "dispersion")}
		c.old.total = rapid.Uint64Range(1, 200).Draw(r, "old answers")
		c.old.count = rapid.Uint64Range(0, c.old.total).Draw(r, "late old answers")
		c.new.total = rapid.Uint64Range(1, 100_000).Draw(r, "new answers")
		allowed := c.allowedShare(margin)
		c.new.count = rapid.Uint64Range(0, uint64(min(1, allowed)*float64(c.new.total))).Draw(r, "late new answers")
		if c.exceeds(margin, alpha) {
			r.Errorf("%+v exceeds the old share, although %.3f is allowed", c, allowed)
		}
	})
}
