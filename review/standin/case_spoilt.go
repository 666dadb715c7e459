package main

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Figures of the case.
const (
	spoiltWarmup  = 2 * time.Second
	spoiltLength  = 25 * time.Second
	spoiltLookups = 16 * time.Millisecond
	spoiltOneIn   = 10 // some good answers arrive spoilt
)

// playSpoilt spoils some good answers of the engines with a length that does not fit, and checks that each answer "served" is
// the whole result that an engine made for the request.
func playSpoilt(s *setup) int {
	w, err := newWorld(s, 6, 4)
	defer w.close()
	if err != nil {
		return s.fail("%v", err)
	}
	w.sendLookups(spoiltLookups, time.Now().Add(spoiltWarmup))
	if s.trouble {
		s.rec.add("engines: one of %d good answers is spoilt from now on", spoiltOneIn)
		for _, e := range w.engines {
			e.setSpoil(func() bool { return rand.IntN(spoiltOneIn) == 0 })
		}
	}
	w.sendLookups(spoiltLookups, time.Now().Add(spoiltLength))
	answers, missing := w.awaitAnswers(500 * time.Millisecond)
	s.rec.verdict("answers: %v, none to %d", answers, missing)
	if w.gateway.alive() && answers["served"] < len(w.calls)/2 {
		return s.fail("too few requests were served")
	}
	return w.judgeResults()
}

// judgeResults checks the rule: an answer "served" has all rows of the result, in order and unchanged.
func (w *world) judgeResults() int {
	if !w.gateway.alive() {
		w.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	}
	wrong := 0
	for _, k := range w.calls {
		if want := rowsOf(k.rid); k.verdict == "served" && k.body != want {
			wrong++
			w.rec.verdict("BROKEN: %s %s was served with %d of %d rows", k.class, k.rid, strings.Count(k.body, "\n"), strings.Count(want, "\n"))
		}
	}
	if wrong > 0 {
		return broken
	}
	w.rec.verdict("held: each answer \"served\" was the whole result")
	return held
}
