package dispatcher

import (
	"testing"
	"time"
)

// Guards against requests lost on a machine that is short of cores: on a calm day of 3,500 requests a second eight
// were answered more than 70 ms after their client's end, since the process got its turn up to 0.26 s late.
func TestLagComesOffTheClientsTime(t *testing.T) {
	for _, c := range []struct{ remaining, lag, want time.Duration }{
		{4 * time.Second, 0, 3940 * time.Millisecond},
		{4 * time.Second, 200 * time.Millisecond, 3540 * time.Millisecond},
		{4 * time.Second, 20 * time.Second, 3 * time.Second},
		{100 * time.Millisecond, 0, 75 * time.Millisecond},
	} {
		if got := withinReach(c.remaining, c.lag); got != c.want {
			t.Errorf("%v with a lag of %v: %v, want %v", c.remaining, c.lag, got, c.want)
		}
	}
}
