package main

import (
	"sync"
	"time"
)

// Figures of the case.
const (
	slowWarmup  = 3 * time.Second
	slowLookups = 25 * time.Millisecond
	slowDelay   = 3 * time.Second  // the list runs 2.5 to 9.9 s further behind
	slowLength  = 16 * time.Second // for 16 to 30 s
	slowDrainAt = time.Second      // after the start of the slow time
	slowRest    = 4 * time.Second
	// lastSend is the latest time after an event at which its engine may get something new: it is told 7 s later at the latest,
	// the grace is 2 s, and every limit is 50 ms longer.
	lastSend = 7*time.Second + 2*time.Second + 50*time.Millisecond
)

// drainWatch counts what an engine gets before its drain, and too late after it.
type drainWatch struct {
	mu      sync.Mutex
	drained time.Time // when the event was put into the bulletin
	before  int
	late    []time.Duration // since the event
}

func (d *drainWatch) post(_ string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained.IsZero() {
		d.before++
	} else if since := at.Sub(d.drained); since > lastSend {
		d.late = append(d.late, since)
	}
}

// playSlow makes the bulletin slow, drains one of six engines, and checks that nothing new is sent to it too late.
func playSlow(s *setup) int {
	w, err := newWorld(s, 6, 1)
	defer w.close()
	if err != nil {
		return s.fail("%v", err)
	}
	d := &drainWatch{}
	w.engines[0].setOnPost(d.post)
	w.sendLookups(slowLookups, time.Now().Add(slowWarmup))
	slowUntil := time.Now().Add(slowLength)
	if s.trouble {
		s.rec.add("bulletin: slow from now on, all lines come %v late, for %v", slowDelay, slowLength)
		w.bulletin.setDelay(slowDelay, slowUntil)
	}
	w.sendLookups(slowLookups, time.Now().Add(slowDrainAt))
	terminating := w.list[0]
	terminating.Lifecycle = "terminating"
	at := w.bulletin.publish([]listed{terminating})
	d.mu.Lock()
	d.drained = at
	d.mu.Unlock()
	s.rec.add("bulletin: event 2, engine e0 is terminating")
	w.sendLookups(slowLookups, slowUntil.Add(slowRest))
	answers, missing := w.awaitAnswers(500 * time.Millisecond)
	s.rec.verdict("answers: %v, none to %d; engine e0 got %d queries before its drain", answers, missing, d.before)
	if w.gateway.alive() && (d.before == 0 || answers["served"] < len(w.calls)/2) {
		return s.fail("too little traffic")
	}
	return w.judgeDrain(d)
}

// judgeDrain checks the rule: nothing new is sent to an engine later than 2 s after the gateway was told that it drains.
func (w *world) judgeDrain(d *drainWatch) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !w.gateway.alive():
		w.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	case len(d.late) > 0:
		w.rec.verdict("BROKEN: %d new queries were sent to the draining engine e0 later than %v after its drain was in the bulletin, the last %.3f s after it",
			len(d.late), lastSend, d.late[len(d.late)-1].Seconds())
		return broken
	}
	w.rec.verdict("held: nothing new was sent to the draining engine too late")
	return held
}
