package dispatcher

import (
	"testing"
	"time"
)

// coreTimeBudget subtracts twice the loop's lag from the client's remaining time, within bounds. It guards against replies after the
// client's deadline on a machine with too few cores.
func TestCoreTimeBudgetSubtractsLoopLag(t *testing.T) {
	for name, c := range map[string]struct{ remaining, lag, want time.Duration }{
		"no lag":       {4 * time.Second, 0, 3940 * time.Millisecond},
		"some lag":     {4 * time.Second, 200 * time.Millisecond, 3540 * time.Millisecond},
		"extreme lag":  {4 * time.Second, 20 * time.Second, 3 * time.Second},
		"short budget": {100 * time.Millisecond, 0, 75 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := coreTimeBudget(c.remaining, c.lag); got != c.want {
				t.Errorf("coreTimeBudget(%v, %v) = %v, want %v", c.remaining, c.lag, got, c.want)
			}
		})
	}
}
