// Package eventloop provides the single goroutine on which a gateway's state machines run, with its timers and TCP connections.
// Blocking reads and writes run on goroutines of their own and post their results to the Loop. The package decides nothing: it
// does not know what the bytes mean. Unless stated otherwise, methods are called on the loop.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

const queueLength = 1024 // functions that may be queued before Post blocks

// Loop calls the functions that are posted to it, one after the other, on the goroutine that calls Run.
type Loop struct {
	queue       chan func()
	done        chan struct{} // closed when Run returns
	start       time.Time
	base        time.Duration // start, since the Unix epoch
	queuedBytes atomic.Int64  // to be written, over all connections
	writeBudget int64         // bytes; above it the connections with the longest queues are closed
	lag         time.Duration // largest recent delay of a timer, decaying
}

// New returns a Loop whose connections together may queue writeBudget bytes. Its clock is the Unix clock at start, advanced by
// the monotonic clock, so that it never goes back.
func New(start time.Time, writeBudget int64) *Loop {
	return &Loop{
		queue:       make(chan func(), queueLength),
		done:        make(chan struct{}),
		start:       start,
		base:        time.Duration(start.UnixNano()),
		writeBudget: writeBudget,
	}
}

// Now returns the time since the Unix epoch. It may be called on any goroutine.
func (l *Loop) Now() time.Duration { return l.base + time.Since(l.start) }

const (
	lagInterval = 50 * time.Millisecond // between two measurements
	lagDecay    = 0.97                  // factor for each measurement: half in about a second
)

// StartLagMonitor starts measuring how late the loop runs its timers.
func (l *Loop) StartLagMonitor() {
	due := l.Now() + lagInterval
	l.After(lagInterval, func() {
		l.lag = max(l.Now()-due, time.Duration(float64(l.lag)*lagDecay))
		l.StartLagMonitor()
	})
}

// Lag returns the largest recent delay of the loop. It is 0 before StartLagMonitor.
func (l *Loop) Lag() time.Duration { return l.lag }

// Run calls posted functions until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Post queues a function for the loop. It blocks while the queue is full, so it must not be called on the loop itself. After the
// loop has ended, the function is dropped.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// Do calls a function on the loop and waits until it has returned. It must not be called on the loop itself.
func (l *Loop) Do(f func()) {
	done := make(chan struct{}, 1)
	l.postAndWait(func() { f(); done <- struct{}{} }, done)
}

// postAndWait posts a function that sends on done when it is finished, and waits for that. It returns false if the loop has ended.
func (l *Loop) postAndWait(f func(), done <-chan struct{}) bool {
	l.Post(f)
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// After calls f on the loop after d. It may be called on any goroutine.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{}
	t.timer = time.AfterFunc(d, func() {
		l.Post(func() {
			if !t.stopped {
				t.stopped = true
				f()
			}
		})
	})
	return t
}

// Timer is a pending call of After.
type Timer struct {
	timer   *time.Timer
	stopped bool // or expired
}

// Stop prevents the call, also if the timer has expired and the call is queued. It does nothing on a nil Timer.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
		t.timer.Stop()
	}
}

// Queued returns how many functions are queued. It may be called on any goroutine.
func (l *Loop) Queued() int { return len(l.queue) }

// RunNext calls the first queued function, waiting for one if there is none. Tests that hold the loop use it to force an order of
// events.
func (l *Loop) RunNext() { (<-l.queue)() }

// SetWriteBudget sets how many bytes all connections together may queue.
func (l *Loop) SetWriteBudget(bytes int64) { l.writeBudget = bytes }
