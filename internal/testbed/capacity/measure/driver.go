package measure

import (
	"errors"
	"fmt"
	"time"
)

var errNotServed = errors.New("not every statement was served")

// followUp is an event that a module gets after a while.
type followUp struct {
	after time.Duration
	what  any
	sent  bool // the end of an attempt; else a timer
}

// module is what decides on statements.
type module interface {
	arrive(now time.Duration, number int) []followUp
	resume(now time.Duration, what any) []followUp
}

// scheduled is something that happens at a time.
type scheduled struct {
	at   time.Duration
	what any
}

// driver plays statements against one module on a virtual clock.
type driver struct {
	module module
	now    time.Duration
	ends   []scheduled // in order: every answer takes the same time
	timers []scheduled // few
	sent   int
	ended  int
}

func (d *driver) note(list []followUp) {
	for _, l := range list {
		next := scheduled{d.now + l.after, l.what}
		if l.sent {
			d.sent++
			d.ends = append(d.ends, next)
			continue
		}
		d.timers = append(d.timers, next)
	}
}

// until plays all that is scheduled up to a time.
func (d *driver) until(end time.Duration) {
	for {
		timer := d.firstTimer()
		var next scheduled
		switch {
		case len(d.ends) > 0 && d.ends[0].at <= end && (timer < 0 || d.ends[0].at <= d.timers[timer].at):
			next, d.ends = d.ends[0], d.ends[1:]
			d.ended++
		case timer >= 0 && d.timers[timer].at <= end:
			next = d.timers[timer]
			d.timers = append(d.timers[:timer], d.timers[timer+1:]...)
		default:
			d.now = max(d.now, end)
			return
		}
		d.now = max(d.now, next.at)
		d.note(d.module.resume(d.now, next.what))
	}
}

// firstTimer is the place of the timer that is due first, -1 without one.
func (d *driver) firstTimer() int {
	first := -1
	for i := range d.timers {
		if first < 0 || d.timers[i].at < d.timers[first].at {
			first = i
		}
	}
	return first
}

// play has statements arrive evenly for a time; they are numbered on from first.
func (d *driver) play(first int, rate float64, lasts time.Duration) (next int) {
	begin, count := d.now, int(rate*lasts.Seconds())
	for i := range count {
		d.until(begin + time.Duration(float64(i)/rate*float64(time.Second)))
		d.note(d.module.arrive(d.now, first+i))
	}
	return first + count
}

// perStatement plays a load and returns the processor time of a statement, from its arrival to its end.
func (d *driver) perStatement(rate float64, lasts time.Duration) (time.Duration, error) {
	next := d.play(1, rate, decisionWarmUp)
	before, began := d.ended, processorTime()
	next = d.play(next, rate, lasts)
	spent, ended := processorTime()-began, d.ended-before
	d.until(d.now + decisionPatience)
	if d.sent != next-1 || d.ended != next-1 {
		return 0, fmt.Errorf("%w: %d of %d", errNotServed, d.ended, next-1)
	}
	return spent / time.Duration(max(1, ended)), nil
}
