package main

import (
	"fmt"
	"runtime"
	"strings"
	"time"
)

func init() { scenarios["lost-execute"] = playClosedMidQuery }

// playClosedMidQuery: a branch tool keeps 20 prepared statements, and executes one after the other. The disruption is another client, which
// prepares statements until the gateway takes no more.
func playClosedMidQuery(w *world, trouble bool) (violations []string, err error) {
	g, err := w.startMySQLFleet(1)
	if err != nil {
		return nil, err
	}
	const statements, params = 20, 12
	c, err := dialMySQL(g.mysql, "branch", "survey_17")
	if err != nil {
		return nil, err
	}
	var ids []uint32
	for i := range statements {
		text := fmt.Sprintf("SELECT answer FROM forms WHERE form IN (%s) /* id=p%d ms=20 rows=1 */", strings.Repeat("?,", params-1)+"?", i)
		text += strings.Repeat(" ", 1000-len(text))
		id, code, err := c.prepare(text, 5*time.Second)
		if err != nil || code != 0 {
			return nil, fmt.Errorf("prepare: error %d, %w", code, err)
		}
		ids = append(ids, id)
	}
	w.record("branch tool prepared %d statements of 1,000 bytes", statements)
	for i, id := range ids {
		if i == statements/2 && trouble {
			held, err := w.fillMemory(g.gateway)
			if err != nil {
				return nil, err
			}
			defer runtime.KeepAlive(held) // their connections stay open
		}
		sent := time.Now()
		a := c.execute(id, params, 6*time.Second)
		w.record("branch tool executed p%d: rows %q, error %d %s, after %.3f s", i, a.rows, a.errCode, a.errText, time.Since(sent).Seconds())
		if a.errCode == 0 && len(a.rows) == 0 {
			violations = append(violations, fmt.Sprintf("query p%d of the branch tool got no answer: %s", i, a.errText))
			return violations, nil
		}
	}
	return nil, nil
}

// fillMemory prepares statements on further connections until the gateway takes no more: long ones at first, then shorter ones.
func (w *world) fillMemory(g *gateway) (held []*mysqlClient, err error) {
	const mostConns, mostStatements = 60, 255 // of one connection
	total := 0
	for _, size := range []int{4000, 400, 40, 10} {
		for full := false; !full && len(held) < mostConns; {
			c, err := dialMySQL(g.mysql, "branch", "survey_18")
			if err != nil {
				return held, err
			}
			held = append(held, c)
			for i := 0; i < mostStatements && !full; i++ {
				_, code, err := c.prepare("SELECT "+strings.Repeat("1", size-len("SELECT ")), 5*time.Second)
				if err != nil {
					return held, err
				}
				if full = code != 0; !full {
					total += size
				}
			}
		}
	}
	w.record("other clients prepared statements of %d bytes in all on %d connections, until the gateway took no more", total, len(held))
	return held, nil
}
