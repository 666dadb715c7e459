package measure

import (
	"errors"
	"fmt"
	"time"
)

var errIncomplete = errors.New("not every statement was served")

// followUp is an event that a module gets after a while.
type followUp struct {
	delay        time.Duration
	event        any
	isAttemptEnd bool // the end of an attempt; else a timer
}

// module is what decides on statements.
type module interface {
	submit(now time.Duration, number int) []followUp
	handle(now time.Duration, what any) []followUp
}

// scheduled is something that happens at a time.
type scheduled struct {
	at    time.Duration
	event any
}

// driver plays statements against one module on a virtual clock.
type driver struct {
	module      module
	now         time.Duration
	attemptEnds []scheduled // in order: every answer takes the same time
	timers      []scheduled // few
	sent        int
	completed   int
}

func (d *driver) schedule(list []followUp) {
	for _, l := range list {
		next := scheduled{d.now + l.delay, l.event}
		if l.isAttemptEnd {
			d.sent++
			d.attemptEnds = append(d.attemptEnds, next)
			continue
		}
		d.timers = append(d.timers, next)
	}
}

// runUntil plays all that is scheduled up to a time.
func (d *driver) runUntil(end time.Duration) {
	for {
		timer := d.nextTimer()
		var next scheduled
		switch {
		case len(d.attemptEnds) > 0 && d.attemptEnds[0].at <= end && (timer < 0 || d.attemptEnds[0].at <= d.timers[timer].at):
			next, d.attemptEnds = d.attemptEnds[0], d.attemptEnds[1:]
			d.completed++
		case timer >= 0 && d.timers[timer].at <= end:
			next = d.timers[timer]
			d.timers = append(d.timers[:timer], d.timers[timer+1:]...)
		default:
			d.now = max(d.now, end)
			return
		}
		d.now = max(d.now, next.at)
		d.schedule(d.module.handle(d.now, next.event))
	}
}

// nextTimer is the place of the timer that is due first, -1 without one.
func (d *driver) nextTimer() int {
	first := -1
	for i := range d.timers {
		if first < 0 || d.timers[i].at < d.timers[first].at {
			first = i
		}
	}
	return first
}

// submitLoad has statements arrive evenly for a time; they are numbered on from first.
func (d *driver) submitLoad(first int, rate float64, lasts time.Duration) (next int) {
	begin, count := d.now, int(rate*lasts.Seconds())
	for i := range count {
		d.runUntil(begin + time.Duration(float64(i)/rate*float64(time.Second)))
		d.schedule(d.module.submit(d.now, first+i))
	}
	return first + count
}

// processorTimePerStatement plays a load and returns the processor time of a statement, from its arrival to its end.
func (d *driver) processorTimePerStatement(rate float64, lasts time.Duration) (time.Duration, error) {
	next := d.submitLoad(1, rate, decisionWarmUp)
	before, began := d.completed, processorTime()
	next = d.submitLoad(next, rate, lasts)
	spent, ended := processorTime()-began, d.completed-before
	d.runUntil(d.now + statementDeadline)
	if d.sent != next-1 || d.completed != next-1 {
		return 0, fmt.Errorf("%w: %d of %d", errIncomplete, d.completed, next-1)
	}
	return spent / time.Duration(max(1, ended)), nil
}
