package emulator

import (
	"fmt"
	"strings"
)

// Rows returns the result of the query with this ID. A client compares it with its answer to detect a wrong or incomplete
// result.
func Rows(id string) string { return "row\t" + id + "\tof 1\n" }

// Statement returns the text of a query. A comment in the text contains the cost of the query for an emulated engine.
func Statement(q Query) string {
	load := 0
	if q.IsDataLoad {
		load = 1
	}
	return fmt.Sprintf("SELECT a, b, c FROM survey_%d.answers /* work=%.4f threads=%.0f io=%.3f mb=%.0f load=%d group=%d */",
		q.Group, q.Work, q.Threads, q.IO, q.MemoryMB, load, q.Group)
}

// ParseStatement parses a text that Statement returned; ok is false for any other text.
func ParseStatement(text string) (q Query, ok bool) {
	_, comment, found := strings.Cut(text, "/*")
	if !found {
		return q, false
	}
	load := 0
	n, err := fmt.Sscanf(strings.TrimSpace(strings.TrimSuffix(comment, "*/")), "work=%g threads=%g io=%g mb=%g load=%d group=%d",
		&q.Work, &q.Threads, &q.IO, &q.MemoryMB, &load, &q.Group)
	q.IsDataLoad = load == 1
	return q, err == nil && n == 6 && q.Work > 0 && q.Threads > 0
}
