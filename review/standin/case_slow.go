package main

import (
	"sync"
	"time"
)

// Times of the case.
const (
	slowWarmup = 3 * time.Second
	slowDelay  = 3 * time.Second  // the list runs 2.5 to 9.9 s further behind
	slowLength = 16 * time.Second // for 16 to 30 s
	toldAfter  = 7 * time.Second  // told 7 s later at the latest
	drainGrace = 2 * time.Second
	limitSlack = 50 * time.Millisecond
)

// playSlow makes the bulletin slow, drains one of six engines, and checks that nothing new is sent to it later than 2 s after
// the workload manager counts as told.
func playSlow(s *setup) int {
	o := &outs{}
	engines, _, list, err := s.startEngines(6, o)
	if err != nil {
		return s.fail("%v", err)
	}
	b, err := startBulletin(s.rec, list)
	if err != nil {
		return s.fail("%v", err)
	}
	var mu sync.Mutex
	var drained time.Time // when the event was put into the bulletin
	late, before := []time.Duration{}, 0
	engines[0].onPost = func(rid string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if drained.IsZero() {
			before++
		} else if d := at.Sub(drained); d > toldAfter+drainGrace+limitSlack {
			late = append(late, d)
		}
	}
	g, err := startGateway(gatewayConfig{root: s.root, temp: s.temp, caseDir: s.dir, bulletin: b})
	if err != nil {
		return s.fail("%v", err)
	}
	defer g.stop()
	c, err := dialClient(s.rec, g.addr)
	if err != nil {
		return s.fail("%v", err)
	}
	var calls []*call
	n := 0
	lookups := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(25 * time.Millisecond) {
			calls = append(calls, c.send("lookup", statement(1+n%24, 150*time.Millisecond), 4*time.Second, 150*time.Millisecond))
			n++
		}
	}
	lookups(slowWarmup)
	slowUntil := time.Now().Add(slowLength)
	if s.trouble {
		b.mu.Lock()
		b.delay = func() time.Duration {
			if time.Now().Before(slowUntil) {
				return slowDelay
			}
			return 0
		}
		b.mu.Unlock()
		s.rec.add("bulletin: slow from now on, all lines come %v late, for %v", slowDelay, slowLength)
	}
	lookups(time.Second)
	terminating := list[0]
	terminating.Lifecycle = "terminating"
	at := b.publish([]listed{terminating})
	mu.Lock()
	drained = at
	mu.Unlock()
	s.rec.add("bulletin: event 2, engine e0 is terminating")
	lookups(slowLength - time.Second)
	lookups(4 * time.Second)
	s.awaitAnswers(calls, 4500*time.Millisecond)
	counts := map[string]int{}
	for _, k := range calls {
		counts[k.verdict]++
	}
	mu.Lock()
	defer mu.Unlock()
	s.rec.verdict("answers: %v; engine e0 got %d queries before its drain", counts, before)
	switch {
	case !g.alive():
		s.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	case before == 0 || counts["served"] < len(calls)/2:
		return s.fail("too little traffic")
	case len(late) > 0:
		s.rec.verdict("BROKEN: %d new queries were sent to the draining engine e0 later than %v after its drain was in the bulletin, the last %.3f s after it",
			len(late), toldAfter+drainGrace+limitSlack, late[len(late)-1].Seconds())
		return broken
	}
	s.rec.verdict("held: nothing new was sent to the draining engine in time")
	return held
}
