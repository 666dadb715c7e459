package eventloop

import (
	"sync/atomic"
	"testing"
	"time"
)

const testWindow = 20 * time.Millisecond

// startWatch starts a loop and a watch whose reports are sent on the channel.
func startWatch(t *testing.T) (*Loop, <-chan Activity) {
	t.Helper()
	loop := startLoop(t)
	reports := make(chan Activity, 1)
	go loop.Watch(testWindow, func(a Activity) {
		select {
		case reports <- a:
		default:
		}
	})
	return loop, reports
}

// Watch reports a loop that hangs in a function, and one that calls functions without a pause. It guards against a gateway that cannot tell
// why it never waits.
func TestWatchReportsLoopThatNeverWaits(t *testing.T) {
	t.Run("hangs", func(t *testing.T) {
		loop, reports := startWatch(t)
		loop.Do(func() {
			<-reports // may have begun before the function
			if a := <-reports; a.Functions != 0 {
				t.Errorf("reported %+v, want no functions", a)
			}
		})
	})
	t.Run("always has work", func(t *testing.T) {
		loop, reports := startWatch(t)
		var stop atomic.Bool
		defer stop.Store(true)
		go func() {
			for !stop.Load() {
				loop.Post(func() { time.Sleep(10 * time.Microsecond) }) // slower than it is queued, so that the queue fills
			}
		}()
		go func() {
			for !stop.Load() {
				loop.DoWithPriority(func() {})
			}
		}()
		if a := <-reports; a.Functions == 0 || a.Urgent == 0 || a.Urgent > a.Functions || a.Window != testWindow {
			t.Errorf("reported %+v, want functions, some of them urgent, in %v", a, testWindow)
		}
	})
}

// Watch reports nothing while the loop waits, or waits between functions.
func TestWatchDoesNotReportWaitingLoop(t *testing.T) {
	loop, reports := startWatch(t)
	for end := time.Now().Add(5 * testWindow); time.Now().Before(end); time.Sleep(time.Millisecond) {
		loop.Do(func() {})
	}
	time.Sleep(3 * testWindow)
	if len(reports) > 0 {
		t.Errorf("reported %+v, want nothing", <-reports)
	}
}
