// Package eventloop provides the single goroutine on which a gateway's state machines run, with its timers and TCP connections.
// Blocking reads and writes run on separate goroutines that post their results to the Loop. The package contains no protocol logic and
// does not interpret the bytes it transfers. Unless stated otherwise, methods are called on the loop.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

const queueLength = 1024 // functions that may be queued before Post blocks

// Loop calls the functions that are posted to it, one at a time, on the goroutine that calls Run.
type Loop struct {
	queue       chan func()
	urgent      chan func()   // functions that are called before those in queue
	reads       *fairQueue    // reads of connections that share the loop, see Conn.ShareLoop
	sinceRead   int           // functions of queue that were called since the last one of reads
	readDelay   time.Duration // how long the read that is being handled has waited in reads
	done        chan struct{} // closed when Run returns
	start       time.Time
	base        time.Duration  // start as the time since the Unix epoch
	queuedBytes atomic.Int64   // bytes to be written, over all connections
	writeBudget int64          // bytes; if exceeded, connections that queue more than guaranteedQueueBytes are closed
	longQueues  map[*Conn]bool // connections that are not closed and have queued more than guaranteedQueueBytes
	lag         time.Duration  // largest recent delay of a timer, decaying over time
	tickDue     time.Duration  // when the next measurement of the lag is due; 0 = none was started
	tickDelay   time.Duration  // delay of the last measurement
	onTick      []func()       // called with each measurement
	activity    activityCounters
}

// New returns a Loop whose connections together may queue writeBudget bytes. Its clock starts at the wall-clock time start and advances
// with the monotonic clock, so that it never goes backward.
func New(start time.Time, writeBudget int64) *Loop {
	return &Loop{
		queue:       make(chan func(), queueLength),
		urgent:      make(chan func(), queueLength),
		reads:       newFairQueue(),
		done:        make(chan struct{}),
		start:       start,
		base:        time.Duration(start.UnixNano()),
		writeBudget: writeBudget,
		longQueues:  map[*Conn]bool{},
	}
}

// Now returns the time since the Unix epoch. It may be called on any goroutine.
func (l *Loop) Now() time.Duration { return l.base + time.Since(l.start) }

const (
	lagInterval = 50 * time.Millisecond // time between two measurements
	lagDecay    = 0.97                  // factor per measurement: a half-life of about 1 s
)

// StartLagMonitor starts to measure periodically how late the loop runs its timers.
func (l *Loop) StartLagMonitor() {
	l.tickDue = l.Now() + lagInterval
	l.After(lagInterval, func() {
		l.tickDelay = l.Now() - l.tickDue
		l.lag = max(l.tickDelay, time.Duration(float64(l.lag)*lagDecay))
		for _, f := range l.onTick {
			f()
		}
		l.StartLagMonitor()
	})
}

// OnTick adds a function that is called on the loop every 50 ms, with each measurement of the lag. It needs no timer of its own.
func (l *Loop) OnTick(f func()) { l.onTick = append(l.onTick, f) }

// ReadDelay returns an estimate of how long the bytes that are handled now may have waited to be read: the delay of the last measurement
// of the lag, or that of the next one if it is overdue, as it is right after the process was suspended; or how long the read has been queued. It is
// 0 before StartLagMonitor is called.
func (l *Loop) ReadDelay() time.Duration {
	if l.tickDue == 0 {
		return 0
	}
	return max(l.tickDelay, l.Now()-l.tickDue, l.readDelay)
}

// Lag returns the largest recent delay of the loop's timers. It is 0 before StartLagMonitor is called.
func (l *Loop) Lag() time.Duration { return l.lag }

// Run calls posted functions until the context is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		f := l.next(ctx.Done())
		if f == nil {
			return
		}
		l.activity.functions.Add(1)
		f()
	}
}

// next waits for the next function to call. It returns nil if done is closed and nothing urgent is queued.
func (l *Loop) next(done <-chan struct{}) func() {
	for {
		if f := l.nextQueued(); f != nil {
			return f
		}
		if f, stopped := l.wait(done); f != nil || stopped {
			return f
		}
	}
}

// wait waits until a function is queued. It returns the function, or nil if it is a read or if done is closed.
func (l *Loop) wait(done <-chan struct{}) (f func(), stopped bool) {
	l.activity.waits.Add(1)
	defer l.activity.waits.Add(1)
	select {
	case f := <-l.urgent:
		return f, false
	case f := <-l.queue:
		return f, false
	case <-l.reads.ready:
		return nil, false
	case <-done:
		return nil, true
	}
}

// maxFunctionsBetweenReads is how many queued functions are called at most before a read of a connection that shares the loop.
const maxFunctionsBetweenReads = 16

// nextQueued returns the next function to call, or nil if none is queued.
func (l *Loop) nextQueued() func() {
	select {
	case f := <-l.urgent:
		l.activity.urgent.Add(1)
		return f
	default:
	}
	if l.sinceRead >= maxFunctionsBetweenReads {
		if f := l.nextRead(); f != nil {
			return f
		}
	}
	select {
	case f := <-l.queue:
		l.sinceRead++
		return f
	default:
		return l.nextRead()
	}
}

// nextRead returns the next read of a connection that shares the loop, or nil if there is none.
func (l *Loop) nextRead() func() {
	l.sinceRead = 0
	return l.reads.pop()
}

// Post queues a function for the loop. It blocks while the queue is full, so it must not be called on the loop itself. After Run has
// returned, the function is dropped.
func (l *Loop) Post(f func()) { l.postTo(l.queue, f) }

func (l *Loop) postTo(queue chan<- func(), f func()) {
	select {
	case queue <- f:
	case <-l.done:
	}
}

// Do calls a function on the loop and waits until it has returned. It must not be called on the loop itself.
func (l *Loop) Do(f func()) { l.doOn(l.queue, f) }

// DoWithPriority calls a function on the loop before all queued functions, and waits until it has returned. It must not be called on the
// loop itself.
func (l *Loop) DoWithPriority(f func()) { l.doOn(l.urgent, f) }

func (l *Loop) doOn(queue chan<- func(), f func()) {
	done := make(chan struct{}, 1)
	l.postTo(queue, func() { f(); done <- struct{}{} })
	l.waitFor(done)
}

// waitFor waits for a queued function that sends on done when it is finished. It returns false if Run has returned.
func (l *Loop) waitFor(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// After calls f on the loop once d has elapsed, and after the functions that are queued by then. It may be called on any goroutine.
func (l *Loop) After(d time.Duration, f func()) *Timer { return after(d, f, l.Post) }

// AfterWithPriority calls f on the loop once d has elapsed, before all queued functions. It is meant for deadlines, which must be kept even
// if the loop is behind. Received bytes that are queued for the loop have not been handled when f is called. It may be called on any goroutine.
func (l *Loop) AfterWithPriority(d time.Duration, f func()) *Timer {
	return after(d, f, func(call func()) { l.postTo(l.urgent, call) })
}

// after passes a call of f to post once d has elapsed.
func after(d time.Duration, f func(), post func(func())) *Timer {
	t := &Timer{}
	t.timer = time.AfterFunc(d, func() {
		post(func() {
			if !t.stopped {
				t.stopped = true
				f()
			}
		})
	})
	return t
}

// Timer is a function call scheduled by After or AfterWithPriority.
type Timer struct {
	timer   *time.Timer
	stopped bool // also set when the function is called
}

// Stop prevents the call, even if the timer has expired and the call is already queued. It does nothing on a nil Timer.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
		t.timer.Stop()
	}
}

// Queued returns how many functions are queued. It may be called on any goroutine.
func (l *Loop) Queued() int { return len(l.urgent) + len(l.queue) + l.reads.length() }

// RunNext calls the function that is next, and waits for one if none is queued. Tests that block the loop use it to force an order of
// events.
func (l *Loop) RunNext() { l.next(nil)() }

// SetWriteBudget sets the number of bytes that all connections together may queue.
func (l *Loop) SetWriteBudget(bytes int64) { l.writeBudget = bytes }
