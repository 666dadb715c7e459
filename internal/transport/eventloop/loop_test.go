package eventloop

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// A timer with priority is called before the functions that were queued when it expired. It guards against deadlines that are missed
// because the loop handles its whole queue first.
func TestAfterWithPriorityPrecedesQueuedFunctions(t *testing.T) {
	loop := startLoop(t)
	var order []string
	record := func(name string) func() { return func() { order = append(order, name) } }
	loop.Do(func() {
		go loop.Post(record("queued"))
		for loop.Queued() < 1 {
			runtime.Gosched()
		}
		loop.AfterWithPriority(0, record("urgent"))
		for loop.Queued() < 2 {
			runtime.Gosched()
		}
	})
	loop.Do(func() {})
	if !slices.Equal(order, []string{"urgent", "queued"}) {
		t.Errorf("functions were called in the order %v, want the urgent one first", order)
	}
}

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
