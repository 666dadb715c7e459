package rollout

import (
	"testing"

	"pgregory.net/rapid"
)

// Rates are never found to be worse than allowed by a share that is below the allowed one.
//
// In the first reports of a watch few old gateways have answered anything, so that much is allowed: 0.71 where none of 2 answers of old
// gateways and 1 of 42 of new ones were late. The tail of the likelihood above it was computed as one minus its complement, which left
// 2e-16 of rounding in place of 2e-22, and a good change was taken back: "not served in time 0.024, old gateways 0.000 (42 of new ones)".
func TestShareBelowTheAllowedOneNeverExceeds(t *testing.T) {
	const margin, alpha = 0.02, 0.0003
	seen := comparison{new: proportion{1, 42}, old: proportion{0, 2}, dispersion: 1}
	if seen.exceeds(margin, alpha) {
		t.Fatalf("%+v exceeds", seen)
	}
	rapid.Check(t, func(r *rapid.T) {
		c := comparison{dispersion: rapid.Float64Range(1, maxDispersion).Draw(r, "dispersion")}
		c.old.total = rapid.Uint64Range(1, 200).Draw(r, "old answers")
		c.old.count = rapid.Uint64Range(0, c.old.total).Draw(r, "of them late")
		c.new.total = rapid.Uint64Range(1, 100_000).Draw(r, "new answers")
		allowed := c.allowedShare(margin)
		c.new.count = rapid.Uint64Range(0, uint64(min(1, allowed)*float64(c.new.total))).Draw(r, "of them late")
		if c.exceeds(margin, alpha) {
			r.Errorf("%+v exceeds, of which %.3f is allowed", c, allowed)
		}
	})
}
