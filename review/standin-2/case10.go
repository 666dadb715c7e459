package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["case-10"] = playTwoAttempts }

// engineWatch collects what the engines report.
type engineWatch struct {
	mu     sync.Mutex
	begins map[string][]attemptSeen // by query
	conns  map[string]int           // by engine
}

// attemptSeen is an attempt as an engine saw it.
type attemptSeen struct {
	engine     string
	begun, end time.Duration // end is 0 while it runs
	outcome    string
}

func (s *engineWatch) follow(w *world, e *engineProcess) {
	for line := range e.lines {
		at := w.since()
		s.mu.Lock()
		var id string
		var n int
		if c, _ := fmt.Sscanf(line, "connections %d", &n); c == 1 {
			s.conns[e.name] = n
		} else if c, _ := fmt.Sscanf(line, "begins %s", &id); c == 1 {
			s.begins[id] = append(s.begins[id], attemptSeen{engine: e.name, begun: at})
		} else if rest, found := strings.CutPrefix(line, "ends "); found {
			id, outcome, _ := strings.Cut(rest, ": ")
			for i := range s.begins[id] {
				if a := &s.begins[id][i]; a.engine == e.name && a.end == 0 {
					a.end, a.outcome = at, outcome
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *engineWatch) attempts(id string) []attemptSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]attemptSeen(nil), s.begins[id]...)
}

func (s *engineWatch) connections(engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[engine]
}

// connsPerEngine is how many connections an engine holds ("query engines hold few connections").
const connsPerEngine = 2

// playTwoAttempts: an analyst's report runs for 11 s on an engine whose connections are all in use. The disruption is that the report's
// connection is reset.
func playTwoAttempts(w *world, trouble bool) (violations []string, err error) {
	seen := &engineWatch{begins: map[string][]attemptSeen{}, conns: map[string]int{}}
	g, err := w.startMySQLFleet(3, fmt.Sprintf("-max-connections=%d", connsPerEngine))
	if err != nil {
		return nil, err
	}
	for _, e := range g.engines {
		go seen.follow(w, e)
	}
	if err := w.warmUp(g.gateway, "warm"); err != nil {
		return nil, err
	}
	analyst, err := dialMySQL(g.mysql, "analyst", "survey_17")
	if err != nil {
		return nil, err
	}
	answer := make(chan mysqlAnswer, 1)
	w.record("analyst sends the report r1, budget 15 s, which takes 11 s")
	go func() {
		answer <- analyst.query("SELECT total FROM forms /* id=r1 ms=11000 rows=3 */", 20*time.Second, nil)
	}()
	carrier, err := seen.waitForBegin(w, "r1")
	if err != nil {
		return nil, err
	}
	// Ordinary lookups keep the gateway's other connections to the engine in use.
	for i := 0; seen.connections(carrier) < connsPerEngine && i < 5; i++ {
		if err := w.warmUp(g.gateway, fmt.Sprintf("more%d-", i)); err != nil {
			return nil, err
		}
	}
	w.record("engine %s runs r1 and holds %d of %d connections", carrier, seen.connections(carrier), connsPerEngine)
	if trouble {
		w.record("the connection of r1 is reset: %v", g.proxies[carrier].resetCarrier("id=r1"))
	}
	a := <-answer
	w.record("analyst got %d rows, ended %v, error %d %s", len(a.rows), a.ended, a.errCode, a.errText)
	time.Sleep(4 * time.Second) // the engine's own end of the first attempt
	return w.overlaps("r1", seen.attempts("r1")), nil
}

// warmUp sends six lookups of different table groups at once.
func (w *world) warmUp(g *gateway, prefix string) error {
	var group sync.WaitGroup
	errs := make(chan error, 6)
	for i := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			c, err := dialMySQL(g.mysql, "branch", fmt.Sprintf("survey_%d", 17+i))
			if err != nil {
				errs <- err
				return
			}
			defer c.conn.Close()
			a := c.query(fmt.Sprintf("SELECT answer FROM forms /* id=%s%d ms=150 rows=1 */", prefix, i), 6*time.Second, nil)
			w.record("lookup %s%d: %d rows, error %d %s", prefix, i, len(a.rows), a.errCode, a.errText)
		}()
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// waitForBegin waits until an engine runs a query, and returns its name.
func (s *engineWatch) waitForBegin(w *world, id string) (engine string, err error) {
	for end := w.since() + 5*time.Second; w.since() < end; time.Sleep(5 * time.Millisecond) {
		if a := s.attempts(id); len(a) > 0 {
			return a[0].engine, nil
		}
	}
	return "", fmt.Errorf("no engine runs %s", id)
}

// overlaps returns the attempts of a query that began while an earlier one was still in flight.
func (w *world) overlaps(id string, attempts []attemptSeen) (violations []string) {
	for i, a := range attempts {
		end := a.end
		if end == 0 {
			end = w.since()
		}
		w.record("attempt %d of %s: engine %s, %.2f s to %.2f s, %s", i+1, id, a.engine, a.begun.Seconds(), end.Seconds(), a.outcome)
		for _, b := range attempts[i+1:] {
			if b.begun < end {
				violations = append(violations, fmt.Sprintf("engine %s began %s at %.2f s, while engine %s still ran it, until %.2f s",
					b.engine, id, b.begun.Seconds(), a.engine, end.Seconds()))
			}
		}
	}
	return violations
}
