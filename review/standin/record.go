package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

// add writes one event.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// verdict writes a line of the result to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.add("RESULT "+format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// seconds returns a time in seconds since the start of the case.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// outs collects the times during which an attempt was out at an engine: from the moment the request has reached the engine
// whole, until its end was written, it was given up, or the engine abandoned it.
type outs struct {
	mu  sync.Mutex
	all []*out
}

type out struct {
	rid, engine, class, end string
	from, to                time.Time
}

func (o *outs) begin(rid, engine, class string) *out {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := &out{rid: rid, engine: engine, class: class, from: time.Now()}
	o.all = append(o.all, x)
	return x
}

func (o *outs) finish(x *out, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if x.to.IsZero() {
		x.to, x.end = time.Now(), how
	}
}

// overlap is a pair of attempts of one request that were out at the same time.
type overlap struct {
	a, b *out
	time time.Duration
}

// overlaps returns the pairs of attempts of one request that were out at the same time for longer than slack.
func (o *outs) overlaps(slack time.Duration) (pairs []overlap) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	byRID := map[string][]*out{}
	for _, x := range o.all {
		if x.to.IsZero() {
			x.to, x.end = now, "still out"
		}
		byRID[x.rid] = append(byRID[x.rid], x)
	}
	for _, list := range byRID {
		for i, a := range list {
			for _, b := range list[i+1:] {
				from, to := a.from, a.to
				if b.from.After(from) {
					from = b.from
				}
				if b.to.Before(to) {
					to = b.to
				}
				if d := to.Sub(from); d > slack {
					pairs = append(pairs, overlap{a, b, d})
				}
			}
		}
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].a.from.Before(pairs[j].a.from) })
	return pairs
}

// statement returns a statement that takes the given time on an engine.
func statement(group int, d time.Duration) string {
	return fmt.Sprintf("SELECT a, b, c FROM survey_%d.answers /* ms=%d */", group, d.Milliseconds())
}

// durationOf returns the time that a statement takes on an engine.
func durationOf(text string) time.Duration {
	ms := 100
	if _, rest, ok := strings.Cut(text, "/* ms="); ok {
		_, _ = fmt.Sscanf(rest, "%d", &ms)
	}
	return time.Duration(ms) * time.Millisecond
}
