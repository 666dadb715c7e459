package main

import (
	"time"
)

// Times of the case.
const (
	cutWarmup    = 3 * time.Second
	cutLength    = 2900 * time.Millisecond // a zone is partitioned, or a fifth of the engines fall silent, for 6 s
	loadRuns     = 4 * time.Second
	loadWork     = 5500 * time.Millisecond
	overlapSlack = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
)

// playCut cuts one of six engines off for 3 s while requests arrive, and checks that no request has two attempts out.
func playCut(s *setup) int {
	o := &outs{}
	_, links, list, err := s.startEngines(6, o)
	if err != nil {
		return s.fail("%v", err)
	}
	b, err := startBulletin(s.rec, list)
	if err != nil {
		return s.fail("%v", err)
	}
	g, err := startGateway(gatewayConfig{root: s.root, temp: s.temp, caseDir: s.dir, bulletin: b})
	if err != nil {
		return s.fail("%v", err)
	}
	defer g.stop()
	var clients []*client
	for range 4 {
		c, err := dialClient(s.rec, g.addr)
		if err != nil {
			return s.fail("%v", err)
		}
		clients = append(clients, c)
	}
	var calls []*call
	stop := time.Now().Add(cutWarmup)
	n := 0
	lookups := func(until time.Time) { // about 60 look-ups a second, spread over the table groups
		for ; time.Now().Before(until); time.Sleep(16 * time.Millisecond) {
			calls = append(calls, clients[n%4].send("lookup", statement(1+n%24, 150*time.Millisecond), 4*time.Second, 150*time.Millisecond))
			n++
		}
	}
	lookups(stop)
	cutEnd := time.Now().Add(cutLength)
	if s.trouble {
		s.rec.add("network: engine e0 is cut off")
		if !links[0].startCut() {
			return s.fail("the queue of the listener does not fill")
		}
	}
	for i := range 12 { // a branch sends its forms
		calls = append(calls, clients[i%4].send("form-load", statement(1+i, loadRuns), 20*time.Second, loadWork))
		lookups(time.Now().Add(20 * time.Millisecond))
	}
	lookups(cutEnd)
	if s.trouble {
		s.rec.add("network: engine e0 is reachable again")
		links[0].endCut()
	}
	lookups(time.Now().Add(time.Second))
	s.awaitAnswers(calls, 20500*time.Millisecond)
	time.Sleep(2500 * time.Millisecond) // what is still out at an engine ends
	return s.judgeOverlaps(g, o, calls)
}

// judgeOverlaps checks the rule: no request has two attempts out at the same time.
func (s *setup) judgeOverlaps(g *gateway, o *outs, calls []*call) int {
	counts := map[string]int{}
	for _, k := range calls {
		counts[k.verdict]++
	}
	s.rec.verdict("answers: %v", counts)
	if !g.alive() {
		s.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	}
	if counts["served"] < len(calls)/2 {
		return s.fail("too few requests were served")
	}
	pairs := o.overlaps(overlapSlack)
	for _, p := range pairs {
		s.rec.verdict("BROKEN: %s %s was out at %s from %.3f to %.3f (%s) and at %s from %.3f to %.3f (%s): both for %.3f s", p.a.class, p.a.rid,
			p.a.engine, s.rec.seconds(p.a.from), s.rec.seconds(p.a.to), p.a.end, p.b.engine, s.rec.seconds(p.b.from), s.rec.seconds(p.b.to), p.b.end, p.time.Seconds())
	}
	if len(pairs) > 0 {
		return broken
	}
	s.rec.verdict("held: no request had two attempts out")
	return held
}
