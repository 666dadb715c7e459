package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["late-error"] = playEngineDiesMidResult }

// playEngineDiesMidResult: branch tools send lookups over MySQL. The disruption is that the engine of one of them is killed after the client
// has got a part of the rows.
func playEngineDiesMidResult(w *world, trouble bool) (violations []string, err error) {
	g, err := w.startMySQLFleet(3)
	if err != nil {
		return nil, err
	}
	c, err := dialMySQL(g.mysql, "branch", "survey_17")
	if err != nil {
		return nil, err
	}
	if a := c.query("SELECT answer FROM forms /* id=warm ms=20 rows=2 */", 6*time.Second, nil); len(a.rows) != 2 {
		return nil, fmt.Errorf("the first query was not served: %+v", a)
	}
	sent := time.Now()
	w.record("client sends the lookup q1, budget %v: 40 rows of 1 KB, done after 2.4 s", lookupBudget)
	rows := 0
	a := c.query("SELECT answer FROM forms /* id=q1 rows=40 gap=60 bytes=1000 */", 20*time.Second, func(string) {
		if rows++; rows == 1 {
			w.record("client got the first row after %.2f s", time.Since(sent).Seconds())
			if trouble {
				w.killEngineOf("q1", g.engines)
			}
		}
	})
	took := time.Since(sent)
	w.record("client got %d rows and the end of the answer after %.2f s: ended %v, error %d %s",
		len(a.rows), took.Seconds(), a.ended, a.errCode, a.errText)
	if rows == 0 {
		return nil, fmt.Errorf("no row came")
	}
	if bound := lookupBudget + socketSlack + lateAnswer; !a.ended || took > bound {
		violations = append(violations, fmt.Sprintf("lookup q1 had no final answer %.2f s after it was sent, with a budget of %v; it is lost after %v",
			took.Seconds(), lookupBudget, bound))
	}
	return violations, nil
}

// killEngineOf kills the engine process that has reported the begin of a query.
func (w *world) killEngineOf(id string, processes map[string]*engineProcess) {
	for name, e := range processes {
		for {
			select {
			case line := <-e.lines:
				var begun string
				if n, _ := fmt.Sscanf(line, "begins %s", &begun); n == 1 && begun == id {
					w.record("engine %s is killed", name)
					_ = e.signal(syscall.SIGKILL)
					return
				}
				continue
			default:
			}
			break
		}
	}
}
