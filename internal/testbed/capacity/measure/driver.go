package measure

import "time"

// followUp is an event that a module schedules after a delay.
type followUp struct {
	delay        time.Duration
	event        any
	isAttemptEnd bool // true for the end of an attempt, false for a timer
}

// module is the measured code: the decision module alone, or the core with the decision module.
type module interface {
	// submit handles the arrival of a statement.
	submit(now time.Duration, number int) []followUp
	// handle handles an event that an earlier call of submit or handle returned.
	handle(now time.Duration, event any) []followUp
}

// scheduled is an event with the time at which it is due.
type scheduled struct {
	at    time.Duration
	event any
}

// driver submits statements to a module on a virtual clock and delivers the events that the module schedules.
type driver struct {
	module      module
	now         time.Duration
	attemptEnds []scheduled // in order of time, because all attempts have the same duration
	timers      []scheduled // unordered, because there are few
	sent        int         // attempts sent
	completed   int         // attempts completed
}

func (d *driver) schedule(followUps []followUp) {
	for _, f := range followUps {
		next := scheduled{d.now + f.delay, f.event}
		if f.isAttemptEnd {
			d.sent++
			d.attemptEnds = append(d.attemptEnds, next)
			continue
		}
		d.timers = append(d.timers, next)
	}
}

// runUntil delivers all events that are due by the end time and advances the clock to it.
func (d *driver) runUntil(end time.Duration) {
	for {
		next, ok := d.nextEvent(end)
		if !ok {
			d.now = max(d.now, end)
			return
		}
		d.now = max(d.now, next.at)
		d.schedule(d.module.handle(d.now, next.event))
	}
}

// nextEvent removes and returns the earliest event. The result ok is false if no event is due by the end time. If a timer
// and the end of an attempt are due at the same time, the latter comes first.
func (d *driver) nextEvent(end time.Duration) (next scheduled, ok bool) {
	timer := d.nextTimer()
	hasTimer := timer >= 0 && d.timers[timer].at <= end
	hasAttemptEnd := len(d.attemptEnds) > 0 && d.attemptEnds[0].at <= end
	if hasAttemptEnd && (!hasTimer || d.attemptEnds[0].at <= d.timers[timer].at) {
		next, d.attemptEnds = d.attemptEnds[0], d.attemptEnds[1:]
		d.completed++
		return next, true
	}
	if hasTimer {
		next = d.timers[timer]
		d.timers = append(d.timers[:timer], d.timers[timer+1:]...)
		return next, true
	}
	return scheduled{}, false
}

// nextTimer returns the index of the earliest timer, or -1 if there is none.
func (d *driver) nextTimer() int {
	first := -1
	for i := range d.timers {
		if first < 0 || d.timers[i].at < d.timers[first].at {
			first = i
		}
	}
	return first
}

// submitLoad submits statements at a constant rate per second. It numbers them consecutively starting with first, and
// returns the number for the next statement.
func (d *driver) submitLoad(first int, rate float64, duration time.Duration) (next int) {
	start, count := d.now, int(rate*duration.Seconds())
	for i := range count {
		d.runUntil(start + time.Duration(float64(i)/rate*float64(time.Second)))
		d.schedule(d.module.submit(d.now, first+i))
	}
	return first + count
}

// processorTimePerStatement submits a load after a warm-up and returns the mean processor time per statement, from arrival
// to completion. It returns an *IncompleteError unless every statement was sent and completed exactly once.
func (d *driver) processorTimePerStatement(rate float64, duration time.Duration) (time.Duration, error) {
	next := d.submitLoad(1, rate, decisionWarmUp)
	completedBefore, started := d.completed, processorTime()
	next = d.submitLoad(next, rate, duration)
	spent, completed := processorTime()-started, d.completed-completedBefore
	d.runUntil(d.now + statementDeadline)
	submitted := next - 1
	if d.sent != submitted || d.completed != submitted {
		return 0, &IncompleteError{Served: d.completed, Submitted: submitted}
	}
	return spent / time.Duration(max(1, completed)), nil
}
