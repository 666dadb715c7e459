package main

import (
	"time"
)

// Figures of the case.
const (
	cutWarmup    = 3 * time.Second
	cutLength    = 2900 * time.Millisecond // a zone is partitioned, or a fifth of the engines fall silent, for 6 s
	cutLookups   = 16 * time.Millisecond
	pageLookups  = 48 // sent at once, shortly before the cut: the gateway then has some resting connections to each engine
	pageRest     = 400 * time.Millisecond
	loads        = 24 // one for each table group
	loadInterval = 10 * time.Millisecond
	loadRuns     = 4 * time.Second
	loadWork     = 5500 * time.Millisecond // 3,700 to 7,800 ms on average
	loadBudget   = 20 * time.Second
	overlapSlack = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
)

// playCut cuts one of six engines off while requests arrive, and checks that no request has two attempts out.
func playCut(s *setup) int {
	w, err := newWorld(s, 6, 4)
	defer w.close()
	if err != nil {
		return s.fail("%v", err)
	}
	w.sendLookups(cutLookups, time.Now().Add(cutWarmup))
	for range pageLookups {
		w.sendLookup()
	}
	w.sendLookups(cutLookups, time.Now().Add(pageRest))
	cutEnd := time.Now().Add(cutLength)
	if s.trouble {
		s.rec.add("network: engine e0 is cut off")
		w.links[0].startCut()
	}
	for i := range loads { // the branches send their forms
		w.send("form-load", i, loadRuns, loadBudget, loadWork)
		time.Sleep(loadInterval)
	}
	w.sendLookups(cutLookups, cutEnd)
	if s.trouble {
		s.rec.add("network: engine e0 is reachable again")
		if !w.links[0].endCut() {
			return s.fail("the queue of the listener did not fill")
		}
	}
	w.sendLookups(cutLookups, time.Now().Add(time.Second))
	answers, missing := w.awaitAnswers(500 * time.Millisecond)
	s.rec.verdict("answers: %v, none to %d", answers, missing)
	time.Sleep(leaseTime + 500*time.Millisecond) // what is still out at an engine ends
	if w.gateway.alive() && answers["served"] < len(w.calls)/2 {
		return s.fail("too few requests were served")
	}
	return w.judgeOverlaps()
}

// judgeOverlaps checks the rule: no request has two attempts out at the same time.
func (w *world) judgeOverlaps() int {
	if !w.gateway.alive() {
		w.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	}
	pairs := w.outs.overlaps(overlapSlack)
	for _, p := range pairs {
		w.rec.verdict("BROKEN: %s %s was out at %s from %.3f to %.3f (%s) and at %s from %.3f to %.3f (%s): both for %.3f s",
			p.a.class, p.a.rid, p.a.engine, w.rec.seconds(p.a.from), w.rec.seconds(p.a.to), p.a.end,
			p.b.engine, w.rec.seconds(p.b.from), w.rec.seconds(p.b.to), p.b.end, p.time.Seconds())
	}
	if len(pairs) > 0 {
		return broken
	}
	w.rec.verdict("held: no request had two attempts out")
	return held
}
