package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["case-7"] = playLoopHangs }

// longStatement is the length of a statement just under the megabyte that the gateway takes, in bytes.
const longStatement = 1<<20 - 1000

// playLoopHangs: clients of the platform send lookups. The disruption is a bad client at the gateway's MySQL listener, which prepares a single
// long statement of comment lines.
func playLoopHangs(w *world, trouble bool) (violations []string, err error) {
	g, err := w.startHTTPFleet(2, true)
	if err != nil {
		return nil, err
	}
	c, err := dialRPC(g.listen)
	if err != nil {
		return nil, err
	}
	var open []pendingLookup
	for i := range 30 { // 6 s
		if i == 10 && trouble {
			if err := w.sendLongPrepare(g); err != nil {
				return nil, err
			}
		}
		rid, answer, err := c.send("lookup", fmt.Sprintf("SELECT answer FROM survey_17.forms WHERE form = %d", i), lookupBudget)
		if err != nil {
			return nil, err
		}
		open = append(open, pendingLookup{rid, time.Now(), answer})
		w.record("client sent the lookup %s, budget %v", rid, lookupBudget)
		time.Sleep(200 * time.Millisecond)
	}
	return w.lateLookups(open)
}

// lateLookups waits for the answers of lookups, and returns those that are late or missing.
func (w *world) lateLookups(open []pendingLookup) (violations []string, err error) {
	served := 0
	bound := lookupBudget + socketSlack + lateAnswer
	for _, p := range open {
		a, answered := p.wait(bound)
		took := a.at.Sub(p.sent)
		switch {
		case !answered:
			violations = append(violations, fmt.Sprintf("lookup %s had no answer %.2f s after it was sent, with a budget of %v", p.rid,
				time.Since(p.sent).Seconds(), lookupBudget))
			continue
		case took > bound:
			violations = append(violations, fmt.Sprintf("lookup %s was answered after %.2f s, later than %v", p.rid, took.Seconds(), bound))
		}
		w.record("lookup %s: served %v after %.2f s %s", p.rid, a.Served, took.Seconds(), a.Text)
		if a.Served {
			served++
		}
	}
	if served < 5 {
		return nil, fmt.Errorf("only %d lookups were served at all", served)
	}
	return violations, nil
}

// pendingLookup is a lookup that was sent.
type pendingLookup struct {
	rid    string
	sent   time.Time
	answer chan rpcAnswer
}

// wait returns the answer. It waits until the given time after the lookup was sent.
func (p pendingLookup) wait(bound time.Duration) (a rpcAnswer, answered bool) {
	select {
	case a = <-p.answer: // also if the time has passed meanwhile
		return a, true
	default:
	}
	select {
	case a = <-p.answer:
		return a, true
	case <-time.After(time.Until(p.sent.Add(bound))):
		return a, false
	}
}

// sendLongPrepare logs in to MySQL and prepares a statement that consists mostly of empty comment lines.
func (w *world) sendLongPrepare(g *gateway) error {
	c, err := dialMySQL(g.mysql, "branch", "survey_17")
	if err != nil {
		return err
	}
	text := "SELECT 1 "
	text += strings.Repeat("#\n", (longStatement-len(text))/2)
	w.record("a MySQL client prepares a statement of %d bytes", len(text))
	return writePackets(c.conn, 0, string([]byte{comStmtPrepare})+text)
}
