package eventloop

import (
	"sync/atomic"
	"time"
)

// Activity is what a loop did in a time window in which it never waited.
type Activity struct {
	Window    time.Duration
	Functions uint64 // functions that were called, including the urgent ones
	Urgent    uint64 // functions that were called before queued ones
	Queued    int    // functions that are queued at the end of the window
}

// activityCounters count what the loop does. They are written on the loop and read on any goroutine.
type activityCounters struct {
	functions atomic.Uint64
	urgent    atomic.Uint64
	waits     atomic.Uint64 // incremented before and after each wait, so that it is odd while the loop waits
}

// activitySnapshot is the state of activityCounters at a point in time.
type activitySnapshot struct{ functions, urgent, waits uint64 }

func (c *activityCounters) snapshot() activitySnapshot {
	return activitySnapshot{functions: c.functions.Load(), urgent: c.urgent.Load(), waits: c.waits.Load()}
}

// isBusySince reports whether the loop has not waited since an earlier snapshot.
func (s activitySnapshot) isBusySince(earlier activitySnapshot) bool {
	return s.waits == earlier.waits && s.waits%2 == 0
}

// Watch calls report after each time window in which the loop never waited: it hangs in a function (Activity.Functions is 0), calls one function
// after the other, or gets no processor time. It returns when Run has returned. It is called on a goroutine of its own, as is report.
func (l *Loop) Watch(window time.Duration, report func(Activity)) {
	ticker := time.NewTicker(window)
	defer ticker.Stop()
	last := l.activity.snapshot()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		now := l.activity.snapshot()
		if now.isBusySince(last) {
			report(Activity{Window: window, Functions: now.functions - last.functions, Urgent: now.urgent - last.urgent, Queued: l.Queued()})
		}
		last = now
	}
}
