package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mathext"
)

// Counts are a class's totals at one gateway, of answers unless said otherwise.
type Counts struct {
	Taken   uint64 `json:"t"` // requests taken
	InTime  uint64 `json:"i"` // served within the aim
	Late    uint64 `json:"l"` // served after it
	Refused uint64 `json:"r"`
	Failed  uint64 `json:"f"`
	Fast    uint64 `json:"q"` // served within a quarter of the aim
	Further uint64 `json:"a"` // attempts beyond a request's first
}

func (c Counts) answers() uint64 { return c.InTime + c.Late + c.Refused + c.Failed }

// less is what was added since an earlier look; where a total fell, a process started again and all of it is new.
func (c Counts) less(o Counts) Counts {
	if c.Taken < o.Taken || c.InTime < o.InTime || c.Late < o.Late || c.Refused < o.Refused || c.Failed < o.Failed {
		return c
	}
	return Counts{c.Taken - o.Taken, c.InTime - o.InTime, c.Late - o.Late, c.Refused - o.Refused, c.Failed - o.Failed,
		c.Fast - min(c.Fast, o.Fast), c.Further - min(c.Further, o.Further)}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Taken + o.Taken, c.InTime + o.InTime, c.Late + o.Late, c.Refused + o.Refused, c.Failed + o.Failed,
		c.Fast + o.Fast, c.Further + o.Further}
}

// Sample is what one gateway did while a stage was watched.
type Sample struct {
	New      bool
	Classes  []Counts
	MemoryMB float64
	Checks   Checked
}

// Checked is what came of the controller's own queries at a gateway.
type Checked struct {
	Right, Wrong, Unserved int
	InTime, Fast           int // of those with a result: within the class's aim, and within a quarter of it
}

func (c Checked) plus(o Checked) Checked {
	return Checked{c.Right + o.Right, c.Wrong + o.Wrong, c.Unserved + o.Unserved, c.InTime + o.InTime, c.Fast + o.Fast}
}

// counts are the controller's own queries as a class of their own: the same ones at old and new gateways.
func (c Checked) counts() Counts {
	served := c.Right + c.Wrong
	return Counts{Taken: uint64(served + c.Unserved), InTime: uint64(c.InTime), Late: uint64(served - c.InTime),
		Failed: uint64(c.Unserved), Fast: uint64(c.Fast)}
}

// without takes the controller's own queries out of a class: gateways that are asked many of them would look better, or
// worse, than those that are asked none.
func (c Counts) without(k Checked) Counts {
	own := k.counts()
	refused := min(c.Refused, own.Failed)
	return Counts{Taken: c.Taken - min(c.Taken, own.Taken), InTime: c.InTime - min(c.InTime, own.InTime),
		Late: c.Late - min(c.Late, own.Late), Refused: c.Refused - refused, Failed: c.Failed - min(c.Failed, own.Failed-refused),
		Fast: c.Fast - min(c.Fast, own.Fast), Further: c.Further}
}

// Opinion is what a look at a stage leads to.
type Opinion struct {
	Worse  bool   // it does worse
	Enough bool   // it is known that it does not
	Why    string // of what is worse, or what is still to be known
}

// measure is a share of bad ones that old and new gateways are compared by.
type measure struct {
	name string
	bad  func(Counts) (bad, of uint64)
}

// measures are compared class by class. What was missed counts refusals, failures and late answers; the others tell
// sooner what it is.
func measures() []measure {
	return []measure{
		{"not served in time", func(c Counts) (uint64, uint64) { return c.answers() - c.InTime, c.answers() }},
		{"refused", func(c Counts) (uint64, uint64) { return c.Refused, c.answers() }},
		{"failed", func(c Counts) (uint64, uint64) { return c.Failed, c.answers() }},
		{"slower than a quarter of the aim", func(c Counts) (uint64, uint64) { return c.answers() - min(c.Fast, c.answers()), c.answers() }},
		{"further attempts", func(c Counts) (uint64, uint64) { return min(c.Further, c.Taken), c.Taken }},
	}
}

const (
	effect        = 0.1 // share by which shares are thought to differ: the scale of the intervals
	oldMargin     = 2.0 // deviations of the old share that are allowed to the new one
	mostDisperse  = 25.0
	leastGateways = 3 // old gateways with enough answers, from which their scatter is heeded
	leastEach     = 5 // answers of such a gateway
	wrongMost     = 2 // results other than the known one that stop a stage, if old gateways have none
)

// Opine compares the new gateways of a stage with the old ones over the same time. The first so many classes are those of
// clients; the chance of a false alarm is divided by stages, classes and measures.
func (j Judge) Opine(samples []Sample, classNames []string, clients, stages int) Opinion {
	news, olds := sides(samples)
	if len(news) == 0 || len(olds) == 0 {
		return Opinion{Why: "there is nobody to compare with"}
	}
	if why := j.spoilt(news, olds); why != "" {
		return Opinion{Worse: true, Why: why}
	}
	if why := j.memory(news, olds); why != "" {
		return Opinion{Worse: true, Why: why}
	}
	list := measures()
	alpha := j.FalseAlarm / float64(stages*len(list)*(len(classNames)+1))
	unknown := ""
	for c := -1; c < len(classNames); c++ { // -1: all classes of clients together
		name := "all classes"
		if c >= 0 {
			name = classNames[c]
		}
		for k, m := range list {
			t := compare(news, olds, within(c, clients), m)
			if t.above(j.Worse, alpha) {
				return Opinion{Worse: true, Why: t.describe(name, m.name)}
			}
			if k == 0 && unknown == "" {
				switch {
				case t.new.of < uint64(j.LeastAnswers) && (c < 0 || t.old.of > 0):
					unknown = "too few answers: " + t.describe(name, m.name)
				case c < 0 && t.most(j.FalseAlarm) > j.NotWorse:
					unknown = "it may still be worse: " + t.describe(name, m.name)
				}
			}
		}
	}
	checks := 0
	for _, s := range news {
		checks += s.Checks.Right
	}
	if unknown == "" && checks < j.LeastChecks {
		unknown = "too few results of known queries so far"
	}
	return Opinion{Enough: unknown == "", Why: unknown}
}

// sides parts new gateways' samples from old ones'.
func sides(samples []Sample) (news, olds []Sample) {
	for _, s := range samples {
		if s.New {
			news = append(news, s)
		} else {
			olds = append(olds, s)
		}
	}
	return news, olds
}

// Summary is how old and new gateways compare, over all classes, for the history.
func (j Judge) Summary(samples []Sample, clients int) string {
	news, olds := sides(samples)
	var out []string
	for _, m := range measures() {
		t := compare(news, olds, within(-1, clients), m)
		out = append(out, fmt.Sprintf("%s %.3f of %d (old %.3f of %d)", m.name, t.new.share(), t.new.of, t.old.share(), t.old.of))
	}
	return strings.Join(out, ", ")
}

// spoilt is a result other than the known one: no chance explains it where the old gateways have none.
func (j Judge) spoilt(news, olds []Sample) string {
	count := func(list []Sample) (wrong, all int) {
		for _, s := range list {
			wrong += s.Checks.Wrong
			all += s.Checks.Right + s.Checks.Wrong
		}
		return wrong, all
	}
	wrong, all := count(news)
	oldWrong, oldAll := count(olds)
	if wrong < wrongMost {
		return ""
	}
	if oldWrong == 0 || float64(wrong)/float64(all) > 5*float64(oldWrong)/float64(max(1, oldAll)) {
		return describe("wrong results of known queries", "all classes", float64(wrong)/float64(all), float64(oldWrong)/float64(max(1, oldAll)), uint64(all))
	}
	return ""
}

// memory compares each new gateway with the median old one.
func (j Judge) memory(news, olds []Sample) string {
	var mb []float64
	for _, s := range olds {
		if s.MemoryMB > 0 {
			mb = append(mb, s.MemoryMB)
		}
	}
	if len(mb) == 0 {
		return ""
	}
	slices.Sort(mb)
	median := mb[len(mb)/2]
	for _, s := range news {
		if s.MemoryMB > j.MemoryTimes*median+j.MemoryMB {
			return describe("memory in MB", "a gateway", s.MemoryMB, median, 1)
		}
	}
	return ""
}

// tally is bad ones of all.
type tally struct{ bad, of uint64 }

func (t tally) share() float64 { return float64(t.bad) / max(1, float64(t.of)) }

// smooth is a share that is never 0 or 1: none seen of a few does not mean that there are none.
func (t tally) smooth() float64 { return (float64(t.bad) + 0.5) / (float64(t.of) + 1) }

// test is one comparison.
type test struct {
	new, old   tally
	dispersion float64 // by how much counts of old gateways scatter more than chance alone has them
}

// within is which classes a comparison counts: one, or for -1 the first so many together.
func within(class, clients int) classes {
	if class < 0 {
		return classes{0, clients}
	}
	return classes{class, class + 1}
}

// classes is a range of classes.
type classes struct{ from, to int }

func compare(news, olds []Sample, in classes, m measure) test {
	t := test{dispersion: 1}
	count := func(s Sample) (bad, of uint64) {
		for c, counts := range s.Classes {
			if c >= in.from && c < in.to {
				b, n := m.bad(counts)
				bad, of = bad+b, of+n
			}
		}
		return bad, of
	}
	for _, s := range news {
		bad, of := count(s)
		t.new.bad, t.new.of = t.new.bad+bad, t.new.of+of
	}
	for _, s := range olds {
		bad, of := count(s)
		t.old.bad, t.old.of = t.old.bad+bad, t.old.of+of
	}
	// Pearson's statistic over its degrees of freedom: gateways see different traffic and engines, so a new gateway may
	// well lie as far off as old ones do from each other.
	chi, gateways := 0.0, 0
	p := t.old.smooth()
	for _, s := range olds {
		if bad, of := count(s); of >= leastEach {
			d := float64(bad) - p*float64(of)
			chi += d * d / (float64(of) * p * (1 - p))
			gateways++
		}
	}
	if gateways >= leastGateways {
		t.dispersion = min(mostDisperse, max(1, chi/float64(gateways-1)))
	}
	return t
}

// above reports whether the new share is above the old one by more than so much. It is a mixture sequential ratio test: the
// likelihood of shares spread evenly above what is allowed, over that of just what is allowed. By Ville's inequality
// it ever passes 1/alpha with no more than the chance alpha where the share is allowed, however often it is looked at.
// Counts are divided by their dispersion, and what is allowed is taken from the upper end of what the old share may be.
func (t test) above(by, alpha float64) bool {
	if t.new.of == 0 || t.old.of == 0 || t.new.share() <= t.old.share()+by {
		return false
	}
	old := t.old.smooth()
	allowed := old + by + oldMargin*math.Sqrt(t.dispersion*old*(1-old)/float64(t.old.of))
	if allowed >= 1 {
		return false
	}
	bad, good := float64(t.new.bad)/t.dispersion, float64(t.new.of-t.new.bad)/t.dispersion
	tail := 1 - mathext.RegIncBeta(bad+1, good+1, allowed)
	if !(tail > 0) {
		return false
	}
	lnBeta := func(a, b float64) float64 {
		x, _ := math.Lgamma(a)
		y, _ := math.Lgamma(b)
		z, _ := math.Lgamma(a + b)
		return x + y - z
	}
	ratio := lnBeta(bad+1, good+1) + math.Log(tail) - math.Log(1-allowed) - bad*math.Log(allowed) - good*math.Log(1-allowed)
	return ratio > -math.Log(alpha)
}

// variance is that of the difference of the two shares.
func (t test) variance() float64 {
	p := (float64(t.new.bad+t.old.bad) + 0.5) / (float64(t.new.of+t.old.of) + 1)
	return t.dispersion * p * (1 - p) * (1/max(1, float64(t.new.of)) + 1/max(1, float64(t.old.of)))
}

// most is the most that the difference may be: the bound of a sequence of intervals that hold together, at any time.
func (t test) most(alpha float64) float64 {
	if t.new.of == 0 || t.old.of == 0 {
		return 1
	}
	v := t.variance()
	w := v + effect*effect
	return t.new.share() - t.old.share() + math.Sqrt(2*v*w/(effect*effect)*(math.Log(1/alpha)+0.5*math.Log(w/v)))
}

func (t test) describe(class, measure string) string {
	return describe(measure, class, t.new.share(), t.old.share(), t.new.of)
}
