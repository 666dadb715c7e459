package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"frostpier/internal/testbed/testfleet"
)

type accountCommand struct {
	Logs string `arg:"" type:"existingdir" help:"The folder with the gateways' logs, written with FROSTPIER_DEBUG=1."`
	Out  string `default:"found/fleettest/account" help:"The tables, without an ending."`
}

// decided is one send: what was believed of the engine when it was chosen.
type decided struct {
	at, own, others, target, age float64
	engine                       string
	threads, window, strain      float64
	ended                        float64 // 0 = not in the logs
	outcome                      string
}

// answer is one final answer.
type answer struct {
	at      float64
	verdict string
}

// account is what the logs of all gateways say together.
type account struct {
	gateways  int
	from      float64 // the first record
	sends     []*decided
	answered  map[string]int     // by verdict and whether an attempt was made
	refusedBy map[string]int     // requests refused with no attempt, by the guard that held them last
	heldBy    map[string]float64 // seconds in line, by guard
	heldOf    map[string]float64 // seconds in line, by class
	firstHeld []float64          // milliseconds in line before a first attempt
	answers   []answer
	held      []float64 // when each record of one in line was written
	outcomes  map[string]int
}

// read takes in one gateway's log.
func (a *account) read(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	open := map[string]*decided{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 4<<20)
	seen := false
	for lines.Scan() {
		r, ok := testfleet.ParseRecord(lines.Text())
		if !ok {
			continue
		}
		seen = seen || r.Msg == "serving"
		at := r.Number("at")
		if !math.IsNaN(at) && (a.from == 0 || at < a.from) {
			a.from = at
		}
		key := r.Fields["request"] + "/" + r.Fields["attempt"]
		switch r.Msg {
		case "attempt decided":
			d := &decided{at: at, own: r.Number("own"), others: r.Number("others"),
				target: r.Number("target"), age: r.Number("age_ms"), engine: r.Fields["engine"], threads: max(1, r.Number("threads")),
				window: r.Number("window"), strain: r.Number("strain")}
			a.sends = append(a.sends, d)
			open[key] = d
			if r.Fields["attempt"] == "0" {
				a.firstHeld = append(a.firstHeld, r.Number("held_ms"))
			}
		case "attempt ended":
			a.outcomes[r.Fields["outcome"]]++
			if d := open[key]; d != nil {
				d.ended, d.outcome = at, r.Fields["outcome"]
				delete(open, key)
			}
		case "request held":
			a.held = append(a.held, at)
			a.heldBy[r.Fields["why"]] += 0.1 // a record each tenth of a second
			a.heldOf[r.Fields["class"]] += 0.1
		case "request answered":
			verdict := [...]string{"served", "refused", "failed", "broken"}[int(r.Number("verdict"))&3]
			if r.Fields["attempts"] == "0" {
				verdict += " with no attempt"
				a.refusedBy[r.Fields["why"]]++
			}
			a.answered[verdict]++
			a.answers = append(a.answers, answer{at, verdict})
		}
	}
	if seen {
		a.gateways++
	}
	return lines.Err()
}

var errNoRecords = errors.New("no records of decisions: were the gateways started with FROSTPIER_DEBUG=1?")

// Run reads all logs below the folder.
func (c *accountCommand) Run() error {
	a := &account{answered: map[string]int{}, refusedBy: map[string]int{}, heldBy: map[string]float64{},
		heldOf: map[string]float64{}, outcomes: map[string]int{}}
	err := filepath.WalkDir(c.Logs, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		return a.read(path)
	})
	if err != nil {
		return err
	}
	if len(a.sends) == 0 {
		return errNoRecords
	}
	text := a.report()
	fmt.Print(text)
	if err := os.MkdirAll(filepath.Dir(c.Out), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.Out+".md", []byte(text), 0o644)
}

// report is the account as Markdown.
func (a *account) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d gateways, %d attempts.\n\n", a.gateways, len(a.sends))
	shares(&b, "answers", a.answered)
	shares(&b, "refused or failed with no attempt: the guard that last held it", a.refusedBy)
	shares(&b, "seconds in line, by guard", a.heldBy)
	shares(&b, "seconds in line, by class", a.heldOf)
	shares(&b, "ends of attempts, by outcome", a.outcomes)
	slices.Sort(a.firstHeld)
	if n := len(a.firstHeld); n > 0 {
		fmt.Fprintf(&b, "First attempts left after %.0f ms (median), %.0f (90th), %.0f (99th percentile).\n\n",
			a.firstHeld[n/2], a.firstHeld[n*9/10], a.firstHeld[n*99/100])
	}
	b.WriteString(a.beliefs().markdown())
	b.WriteString("\n")
	b.WriteString(a.spread().markdown())
	return b.String()
}

// shares writes a table of counts with their parts of all, the largest first.
func shares[N int | float64](b *strings.Builder, title string, counts map[string]N) {
	var keys []string
	all := 0.0
	for k, n := range counts {
		keys = append(keys, k)
		all += float64(n)
	}
	slices.SortFunc(keys, func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
	t := table{head: []string{title, "number", "share"}}
	for _, k := range keys {
		t.rows = append(t.rows, []string{k, fmt.Sprintf("%.0f", float64(counts[k])), fmt.Sprintf("%.3f", float64(counts[k])/all)})
	}
	b.WriteString(t.markdown() + "\n")
}

const spanMS = 5000

// edge is a change of what is really out at an engine.
type edge struct {
	at   float64
	by   int
	send *decided // whose belief is compared just before it goes out
}

// beliefs compares what a sender believed to be out at the engine with what all gateways together had out there at
// that moment: attempts, of which the own ones are known for sure.
func (a *account) beliefs() table {
	byEngine := map[string][]edge{}
	for _, s := range a.sends {
		byEngine[s.engine] = append(byEngine[s.engine], edge{s.at, 1, s})
		if s.ended > 0 {
			byEngine[s.engine] = append(byEngine[s.engine], edge{s.ended, -1, nil})
		}
	}
	type bucket struct {
		n                   int
		real, believed, off float64
	}
	ages := []float64{0, 250, 500, 1000, 2000, 4000, math.Inf(1)}
	buckets := make([]bucket, len(ages))
	for _, edges := range byEngine {
		slices.SortStableFunc(edges, func(x, y edge) int {
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by))
		})
		out := 0
		for _, e := range edges {
			if e.send != nil && e.send.target > 0 {
				k := 0 // never reported
				if e.send.age >= 0 {
					for k = 1; e.send.age > ages[k]; k++ {
					}
				}
				believed := e.send.others + e.send.own
				buckets[k].n++
				buckets[k].real += float64(out)
				buckets[k].believed += believed
				buckets[k].off += math.Abs(believed - float64(out))
			}
			out += e.by
		}
	}
	t := table{head: []string{"age of the latest report, ms", "sends", "share", "threads believed", "attempts really out", "mean difference"}}
	for k, u := range buckets {
		name := "no report yet"
		if k > 0 {
			name = fmt.Sprintf("%.0f to %.0f", ages[k-1], ages[k])
		}
		if u.n > 0 {
			n := float64(u.n)
			t.rows = append(t.rows, []string{name, fmt.Sprint(u.n), fmt.Sprintf("%.3f", n/float64(len(a.sends))),
				fmt.Sprintf("%.1f", u.believed/n), fmt.Sprintf("%.1f", u.real/n), fmt.Sprintf("%.1f", u.off/n)})
		}
	}
	return t
}

// span is what happened in 5 s.
type span struct {
	sends, served, refused, cancelled, held int
	window, strain                          float64
	threads                                 map[string]float64 // out at each engine, on average
}

// spans cuts the day into pieces of 5 s.
func (a *account) spans() []span {
	var out []span
	at := func(ms float64) *span {
		k := max(0, int((ms-a.from)/spanMS))
		for len(out) <= k {
			out = append(out, span{threads: map[string]float64{}})
		}
		return &out[k]
	}
	for _, s := range a.sends {
		p := at(s.at)
		p.sends++
		p.window, p.strain = p.window+s.window, p.strain+s.strain
		if s.ended == 0 {
			continue
		}
		if s.outcome == "6" {
			at(s.ended).cancelled++
		}
		for begin := a.from + math.Floor((s.at-a.from)/spanMS)*spanMS; begin < s.ended; begin += spanMS {
			at(begin).threads[s.engine] += s.threads * (min(s.ended, begin+spanMS) - max(s.at, begin)) / spanMS
		}
	}
	for _, r := range a.answers {
		if p := at(r.at); r.verdict == "served" {
			p.served++
		} else {
			p.refused++
		}
	}
	for _, ms := range a.held {
		at(ms).held++
	}
	return out
}

// spread is, for each span, what became of requests and how evenly the threads of all gateways lie over the engines.
func (a *account) spread() table {
	t := table{head: []string{"span, s", "sends", "served", "refused", "called off", "in line at once", "window", "strain believed",
		"threads out at an engine", "most", "least", "most over mean"}}
	for k, p := range a.spans() {
		least, most, all := math.Inf(1), 0.0, 0.0
		for _, v := range p.threads {
			least, most, all = min(least, v), max(most, v), all+v
		}
		n, sends := max(1, float64(len(p.threads))), max(1, float64(p.sends))
		t.rows = append(t.rows, []string{fmt.Sprint(k * spanMS / 1000), fmt.Sprint(p.sends), fmt.Sprint(p.served),
			fmt.Sprint(p.refused), fmt.Sprint(p.cancelled), fmt.Sprintf("%.0f", float64(p.held)*100/spanMS),
			fmt.Sprintf("%.1f", p.window/sends), fmt.Sprintf("%.2f", p.strain/sends), fmt.Sprintf("%.1f", all/n),
			fmt.Sprintf("%.1f", most), fmt.Sprintf("%.1f", least), fmt.Sprintf("%.2f", most/max(1e-9, all/n))})
	}
	return t
}
