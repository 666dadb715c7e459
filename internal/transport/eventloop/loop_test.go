package eventloop

import (
	"testing"
	"time"
)

// Lag reports the delay of a timer that expired while the loop was blocked.
func TestLagReportsTimerDelay(t *testing.T) {
	loop := startLoop(t)
	loop.Do(loop.StartLagMonitor)
	loop.Do(func() { time.Sleep(lagInterval + 100*time.Millisecond) }) // delays the next measurement by at least 100 ms
	loop.Do(func() {})                                                 // the delayed measurement may run only after this call
	for lag := time.Duration(0); lag < 50*time.Millisecond; time.Sleep(time.Millisecond) {
		loop.Do(func() { lag = loop.Lag() })
	}
}
