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

// ReadDelay reports how long the loop was blocked to the functions that were queued meanwhile, and forgets it when the loop has caught up. It
// guards against time budgets that begin only when a suspended process reads the request.
func TestReadDelayReportsBlockedTime(t *testing.T) {
	const blocked = 300 * time.Millisecond
	loop := startLoop(t)
	loop.Do(loop.StartLagMonitor)
	var delay time.Duration
	done := make(chan struct{})
	loop.Do(func() {
		go loop.Post(func() { delay = loop.ReadDelay(); close(done) })
		time.Sleep(blocked)
	})
	<-done
	if delay < blocked-lagInterval {
		t.Errorf("read delay %v after the loop was blocked for %v, want at least %v", delay, blocked, blocked-lagInterval)
	}
	for delay > blocked/2 {
		loop.Do(func() { delay = loop.ReadDelay() })
		time.Sleep(time.Millisecond)
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
