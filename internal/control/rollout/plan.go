// Package rollout changes the program or the settings of a fleet of gateways in stages: a few gateways first, watched
// beside those on the old version over the same time, then more; a stage that does worse is taken back. It is decisions and
// state alone: it is handed the time and what gateways report, and hands back what is to be done; it knows no socket,
// clock, process or file. Its state is a value that can be written down after each call and taken up again.
//
// Sources: R. Johari, L. Pekelis, D. Walsh, "Always Valid Inference: Bringing Sequential Analysis to A/B Testing" (2015), and
// H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970), for a test that may be looked at at
// any time; P. McCullagh, J. Nelder, "Generalized Linear Models" (1989) for the dispersion by which counts of gateways scatter
// more than chance alone has them. docs/design-rollout.md weighs them.
package rollout

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Plan is a change as an operator writes it, a TOML file. Times are in seconds.
type Plan struct {
	Name    string   `toml:"name"`    // of the change; each has its own
	Fleet   string   `toml:"fleet"`   // as in the operator's file
	Listen  string   `toml:"listen"`  // UDP address where gateways report: rollout.report_to of the operator's file
	Reports string   `toml:"reports"` // the address that operator's files name, where it is not listen itself
	Configs string   `toml:"configs"` // a pattern of the gateways' configurations, as "etc/gateways/*.json"
	Stages  []string `toml:"stages"`  // each a count, as "1", or a share of the fleet, as "10%"; all, in the end
	Old     Version  `toml:"old"`
	New     Version  `toml:"new"`
	Watch   Watch    `toml:"watch"`
	Change  Change   `toml:"change"`
	Judge   Judge    `toml:"judge"`
	Checks  []Check  `toml:"check"`
}

// Version is a program with its operator's file.
type Version struct {
	Program  string   `toml:"program"`  // path of the executable
	Args     []string `toml:"args"`     // the program itself takes none
	Env      []string `toml:"env"`      // as NAME=value, beside the controller's own environment
	Operator string   `toml:"operator"` // path of the operator's file
}

// Watch says how long a stage is watched.
type Watch struct {
	LeastS  float64 `toml:"least_s"` // 0 = 30
	MostS   float64 `toml:"most_s"`  // 0 = 300
	Unknown string  `toml:"unknown"` // what then, if too little is known: "hold" (also where empty) or "back"
}

// Change says how gateways are changed.
type Change struct {
	DownAtOnce int     `toml:"down_at_once"` // gateways out of service for the change together; 0 = 1
	ReadyS     float64 `toml:"ready_s"`      // from a start to the first report of a gateway that serves; 0 = 20
	StopS      float64 `toml:"stop_s"`       // from SIGTERM to the end; 0 = 10
	SilentS    float64 `toml:"silent_s"`     // without a report, after which a gateway counts as silent; 0 = 5
}

// Judge says what counts as worse.
type Judge struct {
	FalseAlarm   float64 `toml:"false_alarm"`   // chance that a change no worse than the old version is stopped; 0 = 0.02
	Worse        float64 `toml:"worse"`         // share of answers by which a class may do worse; 0 = 0.02
	NotWorse     float64 `toml:"not_worse"`     // by which it must be ruled out that it does, to go on; 0 = 0.15
	LeastAnswers int     `toml:"least_answers"` // of each class by new gateways, to go on; 0 = 5
	LeastChecks  int     `toml:"least_checks"`  // of the controller's own queries, to go on; 0 = 200 where there are any
	MemoryTimes  float64 `toml:"memory_times"`  // a new gateway's memory over the median old one's; 0 = 1.6
	MemoryMB     float64 `toml:"memory_mb"`     // and so much more on top; 0 = 24
	Crashes      int     `toml:"crashes"`       // of new gateways in a stage, more than old ones had, that stop it; 0 = 2
}

// Check is a query whose result is known: the controller asks it of gateways again and again. {rid} in the result
// stands for the query's id.
type Check struct {
	Class     string `toml:"class"`
	Statement string `toml:"statement"`
	Expect    string `toml:"expect"`
	EveryMS   int64  `toml:"every_ms"` // between two of them at one gateway; 0 = 50
	BudgetMS  int64  `toml:"budget_ms"`
}

var errPlan = errors.New("plan")

// Configs reads which configurations a plan is about, before all else can be checked.
func Configs(text []byte) (string, error) {
	var p Plan
	if _, err := toml.Decode(string(text), &p); err != nil {
		return "", readError(err)
	}
	if p.Configs == "" {
		return "", fmt.Errorf("%w: line 1: configs: it is missing", errPlan)
	}
	return p.Configs, nil
}

// readError names the line and the key where a text cannot be read.
func readError(err error) error {
	var where toml.ParseError
	if errors.As(err, &where) {
		return fmt.Errorf("%w: line %d, key %q: %s", errPlan, where.Position.Line, where.LastKey, where.Message)
	}
	return fmt.Errorf("%w: %w", errPlan, err)
}

// ParsePlan reads a plan, sets the defaults and checks it whole; gateways is how many there are. Errors name the key,
// and the line where the text cannot be read.
func ParsePlan(text []byte, gateways int) (Plan, error) {
	var p Plan
	meta, err := toml.Decode(string(text), &p)
	if err != nil {
		return p, readError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return p, fmt.Errorf("%w: line %d: unknown key %v", errPlan, lineOf(text, unknown[0]), unknown[0])
	}
	p.defaults()
	if key, why := p.wrong(gateways); key != "" {
		return p, fmt.Errorf("%w: line %d: %s: %s", errPlan, lineOf(text, strings.Split(key, ".")), key, why)
	}
	return p, nil
}

// lineOf finds the line on which a key stands, or its table; 1 where it is missing.
func lineOf(text []byte, key []string) int {
	last := key[len(key)-1]
	table := ""
	found := 1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name := strings.Trim(line, "[] "); strings.HasPrefix(line, "[") {
			table = name
			if len(key) > 1 && table == key[0] {
				found = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(line, "=")
		if strings.TrimSpace(name) == last && (len(key) == 1 && table == "" || len(key) > 1 && table == key[0]) {
			return i + 1
		}
	}
	return found
}

func (p *Plan) defaults() {
	or := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	or(&p.Watch.LeastS, 30)
	or(&p.Watch.MostS, 300)
	or(&p.Change.ReadyS, 20)
	or(&p.Change.StopS, 10)
	or(&p.Change.SilentS, 5)
	or(&p.Judge.FalseAlarm, 0.02)
	or(&p.Judge.Worse, 0.02)
	or(&p.Judge.NotWorse, 0.15)
	or(&p.Judge.MemoryTimes, 1.6)
	or(&p.Judge.MemoryMB, 24)
	count := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	count(&p.Change.DownAtOnce, 1)
	count(&p.Judge.LeastAnswers, 5)
	count(&p.Judge.Crashes, 2)
	if len(p.Checks) > 0 {
		count(&p.Judge.LeastChecks, 200)
	}
	if p.Reports == "" {
		p.Reports = p.Listen
	}
	if p.Watch.Unknown == "" {
		p.Watch.Unknown = "hold"
	}
	for i := range p.Checks {
		if c := &p.Checks[i]; c.EveryMS == 0 {
			c.EveryMS = 50
		}
		if c := &p.Checks[i]; c.BudgetMS == 0 {
			c.BudgetMS = 4000
		}
	}
}

// wrong names the key that makes no sense.
func (p *Plan) wrong(gateways int) (key, why string) {
	share := func(v float64) bool { return v > 0 && v < 1 }
	switch {
	case p.Name == "" || strings.ContainsAny(p.Name, "\n/"):
		return "name", "the change needs a name on one line, without a slash"
	case p.Fleet == "":
		return "fleet", "the fleet needs its name"
	case p.Listen == "":
		return "listen", "gateways need an address to report to"
	case gateways < 2:
		return "configs", fmt.Sprintf("%d gateways: there is nobody to compare with", gateways)
	case p.Old.Program == "":
		return "old.program", "it is missing"
	case p.New.Program == "":
		return "new.program", "it is missing"
	case p.Watch.LeastS < 0.1 || p.Watch.MostS < p.Watch.LeastS:
		return "watch.most_s", fmt.Sprintf("%g s at least, %g s at most", p.Watch.LeastS, p.Watch.MostS)
	case p.Watch.Unknown != "hold" && p.Watch.Unknown != "back":
		return "watch.unknown", fmt.Sprintf("%q is neither hold nor back", p.Watch.Unknown)
	case p.Change.DownAtOnce < 1 || p.Change.DownAtOnce >= gateways:
		return "change.down_at_once", fmt.Sprintf("%d of %d gateways", p.Change.DownAtOnce, gateways)
	case p.Change.ReadyS < 0:
		return "change.ready_s", "it is below 0"
	case p.Change.StopS < 0:
		return "change.stop_s", "it is below 0"
	case p.Change.SilentS < 1:
		return "change.silent_s", "gateways report each second: it has to be 1 at least"
	case !share(p.Judge.FalseAlarm):
		return "judge.false_alarm", fmt.Sprintf("%g is no chance between 0 and 1", p.Judge.FalseAlarm)
	case !share(p.Judge.Worse):
		return "judge.worse", fmt.Sprintf("%g is no share between 0 and 1", p.Judge.Worse)
	case !share(p.Judge.NotWorse) || p.Judge.NotWorse < p.Judge.Worse:
		return "judge.not_worse", fmt.Sprintf("%g is no share between judge.worse and 1", p.Judge.NotWorse)
	case p.Judge.MemoryTimes < 1:
		return "judge.memory_times", "a new gateway would have to use less memory"
	case p.Judge.LeastAnswers < 0 || p.Judge.LeastChecks < 0 || p.Judge.Crashes < 1:
		return "judge.least_answers", "counts are 0 or more, crashes 1 or more"
	}
	for _, c := range p.Checks {
		if c.Class == "" || c.Statement == "" || c.EveryMS < 10 || c.BudgetMS < 1 {
			return "check.statement", "a check needs a class, a statement, every_ms of 10 or more and budget_ms"
		}
	}
	return p.wrongStages(gateways)
}

func (p *Plan) wrongStages(gateways int) (key, why string) {
	if len(p.Stages) == 0 || len(p.Stages) > 50 {
		return "stages", "there are none, or more than 50"
	}
	before := 0
	for _, s := range p.Stages {
		n, err := stageSize(s, gateways)
		if err != nil {
			return "stages", err.Error()
		}
		if n <= before {
			return "stages", fmt.Sprintf("%q is %d gateways, no more than the stage before it", s, n)
		}
		before = n
	}
	if before != gateways {
		return "stages", fmt.Sprintf("the last is %d of %d gateways: it has to be all", before, gateways)
	}
	if first, _ := stageSize(p.Stages[0], gateways); first == gateways {
		return "stages", "the first is the whole fleet: there is nobody to compare with"
	}
	return "", ""
}

// stageSize is how many gateways a stage has changed in the end.
func stageSize(s string, gateways int) (int, error) {
	text, share := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) || share && v > 100 || !share && v != float64(int(v)) {
		return 0, fmt.Errorf("%q is neither a count nor a share", s)
	}
	if share {
		return max(1, int(v/100*float64(gateways)+0.5)), nil
	}
	return min(int(v), gateways), nil
}

// order is the order in which gateways are changed: drawn by the change's name, so that those of a stage are no special
// ones, and the same each time that it is worked out.
func (p *Plan) order(gateways int) []int {
	h := fnv.New64a()
	h.Write([]byte(p.Name))
	return rand.New(rand.NewPCG(h.Sum64(), uint64(gateways))).Perm(gateways)
}

// Order is which gateways are changed in each stage, in order.
func (p *Plan) Order(gateways int) (out [][]int) {
	order, before := p.order(gateways), 0
	for _, s := range p.Stages {
		n, _ := stageSize(s, gateways) // checked with the plan
		out = append(out, order[before:n])
		before = n
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
