package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["short-length"] = playShortLength }

const resultRowCount = 20

// playShortLength: clients of the platform send lookups. The disruption is that one in ten good answers of the engines has a length that does
// not fit: it ends after the first half of the rows, and the rest of the answer comes as a piece of its own.
func playShortLength(w *world, trouble bool) (violations []string, err error) {
	args := []string{fmt.Sprintf("-rows=%d", resultRowCount)}
	if trouble {
		args = append(args, "-spoil=10")
	}
	g, err := w.startHTTPFleet(2, false, args...)
	if err != nil {
		return nil, err
	}
	c, err := dialRPC(g.listen)
	if err != nil {
		return nil, err
	}
	served := 0
	for i := range 80 {
		rid, answer, err := c.send("lookup", fmt.Sprintf("SELECT answer FROM survey_17.forms WHERE form = %d", i), lookupBudget)
		if err != nil {
			return nil, err
		}
		select {
		case a := <-answer:
			if !a.Served {
				w.record("lookup %s: error %d %s", rid, a.Code, a.Text)
				continue
			}
			served++
			rows := strings.Count(string(a.Body), "\n")
			w.record("lookup %s: served with %d rows", rid, rows)
			if string(a.Body) != strings.Join(resultRows(rid, resultRowCount), "") {
				violations = append(violations, fmt.Sprintf("lookup %s was answered as served with %d rows, its result has %d", rid, rows, resultRowCount))
			}
		case <-time.After(lookupBudget + time.Second):
			return nil, fmt.Errorf("lookup %s got no answer", rid)
		}
	}
	if served < 40 {
		return nil, fmt.Errorf("only %d lookups were served at all", served)
	}
	return violations, nil
}
