package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["case-9"] = playForeignSchema }

// playForeignSchema: two branch tools use the gateway's MySQL listener, each with the schema of its own survey. The disruption is that the
// second tool names its schema by a USE statement with a comment.
func playForeignSchema(w *world, trouble bool) (violations []string, err error) {
	g, err := w.startMySQLFleet(2)
	if err != nil {
		return nil, err
	}
	first, err := dialMySQL(g.mysql, "branch", "survey_17")
	if err != nil {
		return nil, err
	}
	second, err := dialMySQL(g.mysql, "branch", "")
	if err != nil {
		return nil, err
	}
	right, failed := 0, 0
	for i := range 60 {
		if i == 20 {
			w.changeSchema(second, trouble)
		}
		id := fmt.Sprintf("q%d", i)
		text := fmt.Sprintf("SELECT answer FROM forms WHERE form = %d /* id=%s ms=20 rows=2 */", i, id)
		a := first.query(text, 6*time.Second, nil)
		w.record("first tool (schema survey_17) sent %q: rows %q, error %d %s", text, a.rows, a.errCode, a.errText)
		switch {
		case !a.ended:
			return nil, fmt.Errorf("query %s got no answer", id)
		case len(a.rows) == 0:
			failed++
		case strings.HasPrefix(a.rows[0], "survey_17 "):
			right++
		default:
			violations = append(violations, fmt.Sprintf("query %s of the tool with the schema survey_17 was served %q", id, a.rows[0]))
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.record("%d answers from survey_17, %d from other schemas, %d refused or failed", right, len(violations), failed)
	if right < 15 {
		return nil, fmt.Errorf("only %d queries were served at all", right)
	}
	return violations, nil
}

// changeSchema makes a client change its schema, four times.
func (w *world) changeSchema(c *mysqlClient, withComment bool) {
	text := "USE survey_18"
	if withComment {
		text += " /* desk 4 */"
	}
	for range 4 {
		a := c.query(text, 5*time.Second, nil)
		w.record("second tool sent %q: error %d %s", text, a.errCode, a.errText)
	}
}
