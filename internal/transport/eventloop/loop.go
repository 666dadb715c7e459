// Package eventloop provides the single goroutine on which a gateway's state machines run, with its timers and TCP connections.
// Blocking reads, writes and dials run on goroutines of their own and post what they bring to the Loop. The package decides
// nothing: it does not know what the bytes mean.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Loop runs what is handed to it, one after the other.
type Loop struct {
	work    chan func()
	done    chan struct{}
	start   time.Time
	base    time.Duration
	waiting atomic.Int64  // bytes to be written, over all connections
	room    int64         // how many of them there may be before the largest are cut off
	lag     time.Duration // how late work has lately been done: the worst, fading
}

// New makes a Loop whose connections together may hold so many bytes to be written. Its clock is the Unix clock at
// its start, advanced by the steady one: it never goes back.
func New(start time.Time, room int64) *Loop {
	return &Loop{work: make(chan func(), 1024), done: make(chan struct{}), start: start, room: room,
		base: time.Duration(start.UnixNano())}
}

// Now is the time since the Unix epoch.
func (l *Loop) Now() time.Duration { return l.base + time.Since(l.start) }

const (
	lagEvery = 50 * time.Millisecond // between two looks at how late the loop is
	lagFade  = 0.97                  // of the worst a look: a half in a second
)

// WatchLag measures from now on how late the loop is. It is called on the loop.
func (l *Loop) WatchLag() {
	due := l.Now() + lagEvery
	l.After(lagEvery, func() {
		l.lag = max(l.Now()-due, time.Duration(float64(l.lag)*lagFade))
		l.WatchLag()
	})
}

// Lag is how late work has lately been done at the worst.
func (l *Loop) Lag() time.Duration { return l.lag }

// Run works until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.work:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Post hands work over; it must not be called from the loop itself.
func (l *Loop) Post(f func()) {
	select {
	case l.work <- f:
	case <-l.done:
	}
}

// Do hands work over and waits until it is done.
func (l *Loop) Do(f func()) {
	done := make(chan struct{}, 1)
	l.wait(func() { f(); done <- struct{}{} }, done)
}

// wait hands over work that says itself when it is done, and reports whether it was: not if the loop has ended.
func (l *Loop) wait(f func(), done <-chan struct{}) bool {
	l.Post(f)
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// After runs f on the loop when the time has passed. The returned timer's Stop is to be called on the loop.
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

// Timer is one wait; one that has been stopped never runs, even if it had already gone off.
type Timer struct {
	timer   *time.Timer
	stopped bool
}

// Stop ends the wait.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
		t.timer.Stop()
	}
}

// Queued returns how many functions have been posted and not yet run.
func (l *Loop) Queued() int { return len(l.work) }

// RunNext runs the function that was posted first, waiting for one if there is none. It is called on the loop, by tests that hold
// the loop to force an order of events.
func (l *Loop) RunNext() { (<-l.work)() }

// SetWriteBudget sets how many bytes all connections together may hold to be written. It is called on the loop.
func (l *Loop) SetWriteBudget(bytes int64) { l.room = bytes }
