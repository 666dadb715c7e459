package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/control/rollout/controller"
	"frostpier/internal/program"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

type rolloutCommand struct {
	Gateways int           `default:"30" help:"Gateways of a fleet."`
	Engines  int           `default:"8" help:"Stand-in engines."`
	Cores    float64       `default:"8" help:"Cores of an engine."`
	Load     float64       `default:"0.6" help:"Work that clients ask for, over what the engines' cores can do."`
	Seeds    int           `default:"20" help:"Plays of each kind of change."`
	Kinds    []string      `help:"Kinds of change; all where none is named. good is a good one."`
	Stages   []string      `default:"1,20%,100%" help:"Stages of the plans."`
	Least    float64       `default:"15" help:"Shortest watch of a stage, in seconds."`
	Together int           `default:"2" help:"Fleets that play at a time."`
	Plain    bool          `help:"A plain rolling restart in the rollout's place."`
	Most     time.Duration `default:"6m" help:"The longest play."`
	Out      string        `default:"found/fleettest" help:"The folder for tables and logs."`
}

// gatewayCommand is the program with what its environment says is wrong with it: a stand-in for a bad version.
type gatewayCommand struct{}

// Run serves as the program does.
func (gatewayCommand) Run() error {
	hooks, err := emulator.Hooks()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return program.Run(term, hup, log, hooks)
}

const goodKind = "good"

// changed is what came of one change.
type changed struct {
	kind   string
	phase  rollout.Phase
	stage  int
	took   time.Duration
	ends   map[emulator.Verdict]int
	twice  int
	harmed int // lost, unanswered, unreached, failed, spoilt, or not served in time at a gateway of the first stage
	first  int // queries at gateways of the first stage
	all    int
	why    string
	err    error
}

// Run plays each kind so often.
func (c *rolloutCommand) Run() error {
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = append(emulator.Faults(), goodKind)
	}
	var jobs []func() changed
	for _, kind := range kinds {
		for seed := range c.Seeds {
			jobs = append(jobs, func() changed {
				r := c.play(kind, uint64(1+seed))
				note("%s, seed %d: %s in stage %d after %.0f s; %d of %d harmed; %s %v", kind, 1+seed, r.phase, r.stage+1, r.took.Seconds(), r.harmed, r.all, r.why, r.err)
				return r
			})
		}
	}
	results := make([]changed, len(jobs))
	var wg sync.WaitGroup
	next := make(chan int)
	for range max(1, c.Together) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range next {
				results[k] = jobs[k]()
			}
		}()
	}
	for k := range jobs {
		next <- k
	}
	close(next)
	wg.Wait()
	name := "rollout"
	if c.Plain {
		name = "rolling"
	}
	t := c.table(kinds, results)
	fmt.Print(t.markdown())
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := t.write(filepath.Join(c.Out, fmt.Sprintf("%s-%d", name, c.Gateways)), func(string) error { return nil }); err != nil {
		return err
	}
	for _, r := range results {
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// play plays one change with a fleet of its own.
func (c *rolloutCommand) play(kind string, seed uint64) (r changed) {
	r = changed{kind: kind, ends: map[emulator.Verdict]int{}}
	dir, err := os.MkdirTemp("", "frostpier-rollout-")
	if err != nil {
		r.err = err
		return r
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		r.err = err
		return r
	}
	fault := kind
	if kind == goodKind {
		fault = ""
	}
	change, err := testfleet.NewChange(testfleet.ChangeOptions{Gateways: c.Gateways, Engines: c.Engines, Cores: c.Cores, Load: c.Load, Seed: seed, Dir: dir,
		Program: []string{self, "gateway"}, Env: emulator.OwnerEnv(), Fault: fault, Stages: c.Stages, LeastS: c.Least, MostS: 8 * c.Least})
	if err != nil {
		r.err = err
		return r
	}
	defer func() {
		if err := change.Close(); r.err == nil {
			r.err = err
		}
	}()
	change.Send(c.Most)
	began := time.Now()
	if c.Plain {
		r.err = change.Rolling(time.Second)
		r.phase = "rolled"
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), c.Most)
		defer cancel()
		var s rollout.State
		s, r.err = change.Carry(ctx)
		r.phase, r.stage, r.why = s.Phase, s.Stage, s.Reason
	}
	r.took = time.Since(began)
	order := change.Checked.Plan.Order(c.Gateways)
	for _, o := range change.StopClients() {
		r.ends[o.Verdict]++
		r.all++
		r.twice += o.Twice
		first := slices.Contains(order[0], o.Gateway)
		if first {
			r.first++
		}
		switch o.Verdict {
		case emulator.Served, emulator.Refused:
			if !o.InTime && (first || c.Plain) {
				r.harmed++
			}
		default:
			r.harmed++
		}
	}
	if left := controller.Processes(change.Checked.Fleet); r.phase == rollout.Returned && slices.Contains(left, 0) {
		r.err = fmt.Errorf("%s, seed %d: a gateway does not run after the return", kind, seed)
	}
	return r
}

func (c *rolloutCommand) table(kinds []string, results []changed) table {
	t := table{head: []string{"change", "plays", "stopped in the first stage", "stopped later", "went through", "s to the end (median / most)",
		"queries harmed, share of all", "share of the first stage in all", "lost or unanswered", "spoilt", "answered twice"}}
	for _, kind := range kinds {
		var n, first, later, through, harmed, all, ofFirst, lost, spoilt, twice int
		var took []time.Duration
		for _, r := range results {
			if r.kind != kind || r.err != nil {
				continue
			}
			n++
			switch {
			case r.phase == rollout.Returned && r.stage == 0:
				first++
			case r.phase == rollout.Returned:
				later++
			case r.phase == rollout.Done || c.Plain:
				through++
			}
			harmed, all, ofFirst = harmed+r.harmed, all+r.all, ofFirst+r.first
			lost += r.ends[emulator.Lost] + r.ends[emulator.Unanswered]
			spoilt += r.ends[emulator.Spoilt]
			twice += r.twice
			took = append(took, r.took)
		}
		slices.Sort(took)
		t.rows = append(t.rows, []string{kind, fmt.Sprint(n), fmt.Sprint(first), fmt.Sprint(later), fmt.Sprint(through), spread(took),
			fmt.Sprintf("%.4f", float64(harmed)/float64(max(1, all))), fmt.Sprintf("%.3f", float64(ofFirst)/float64(max(1, all))), fmt.Sprint(lost),
			fmt.Sprint(spoilt), fmt.Sprint(twice)})
	}
	return t
}
