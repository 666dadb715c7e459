package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

type spreadCommand struct {
	Gateways int            `default:"24" help:"Gateways."`
	Engines  int            `default:"8" help:"Stand-in engines, all of one kind."`
	Cores    float64        `default:"10" help:"Cores of an engine."`
	Load     float64        `default:"0.7" help:"Work that clients ask for, over what the engines' cores can do."`
	Seconds  int            `default:"40" help:"How long clients send."`
	Groups   int            `default:"0" help:"Table groups; 0 = 2.5 an engine."`
	Skew     float64        `default:"1" help:"Deviation of the gateways' shares of the traffic over their mean."`
	Case     string         `default:"calm" enum:"calm,hot,lost,release,reports,cut,herd" help:"What happens: calm, hot (one table group has half of the queries), lost (an engine falls silent), release (six in ten engines are replaced within 7 s), reports (they come 5 s late), cut (gateways do not hear each other), herd (seven in ten gateways are killed at once)."`
	Program  []string       `default:"now=bin/frostpier" help:"Programs to compare, as name=path."`
	Bare     []string       `help:"Of these programs, by name, gateways get no operator's file: for versions from before membership."`
	Least    map[string]int `help:"Of these programs, by name, gateways get a section [subset] with this floor of engines, as name=least."`
	Plain    bool           `default:"true" negatable:"" help:"Compare with plain gateways too: random, and least reported load."`
	Seed     uint64         `default:"1" help:"Of all chance."`
	Out      string         `default:"found/fleettest" help:"The folder for tables and logs."`
}

// played is what one version came to.
type played struct {
	name     string
	outcomes []emulator.Outcome
	balance  testfleet.Balance
	fallen   int
	opened   int // connections to engines, where that is known
}

// caseFor is how long after the start of a run its fault comes.
const caseFor = 10 * time.Second

// Run plays each version on the same arrivals, one after the other.
func (c *spreadCommand) Run() error {
	if c.Groups == 0 {
		c.Groups = c.Engines * 5 / 2
	}
	traffic := emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: c.Gateways, Skew: c.Skew, Groups: c.Groups,
		Zipf: 0.7, Estimate: 0.5, Seed: c.Seed}
	traffic.Rate = traffic.RateFor(c.Load, c.Cores*float64(c.Engines))
	requests := traffic.Draw(time.Duration(c.Seconds) * time.Second)
	if c.Case == "hot" {
		for i := range requests {
			if i%2 == 0 {
				requests[i].Query.Group = 0
			}
		}
	}
	var all []played
	for _, p := range c.Program {
		name, path, found := strings.Cut(p, "=")
		if !found {
			return fmt.Errorf("--program: %q is not name=path", p)
		}
		one, err := c.program(name, path, traffic, requests)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, one)
	}
	if c.Plain {
		for _, p := range []struct {
			name   string
			choice emulator.BaselinePolicy
		}{{"random", emulator.RandomEngine}, {"least reported", emulator.MinReportedLoad}} {
			one, err := c.direct(p.name, p.choice, requests)
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			all = append(all, one)
		}
	}
	t := c.table(all)
	fmt.Printf("%d gateways, %d engines of %g cores, %.0f queries a second (load %.2f), %s, seed %d\n\n%s", c.Gateways, c.Engines,
		c.Cores, traffic.Rate, c.Load, c.Case, c.Seed, t.markdown())
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	return t.write(filepath.Join(c.Out, fmt.Sprintf("spread-%s-%d", c.Case, c.Gateways)), func(string) error { return nil })
}

func note(text string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(text, args...))
}

// direct plays plain gateways.
func (c *spreadCommand) direct(name string, choice emulator.BaselinePolicy, requests []emulator.Request) (out played, err error) {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	pool, err := testfleet.NewPool(c.Engines, emulator.DefaultSpec(c.Cores), clock)
	if err != nil {
		return out, err
	}
	defer pool.Close()
	note("%s plays", name)
	d := emulator.NewBaselineGateways(c.Gateways, choice, c.Seed, pool.Engines, clock)
	defer d.Close()
	out = c.watched(name, pool, nil, func() { d.Play(requests) })
	out.outcomes, out.opened = d.Outcomes()
	return out, nil
}

// program plays gateways of a program.
func (c *spreadCommand) program(name, path string, traffic emulator.Traffic, requests []emulator.Request) (out played, err error) {
	logs := filepath.Join(c.Out, "spread-"+name+"-logs")
	if err := os.RemoveAll(logs); err != nil {
		return out, err
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return out, err
	}
	if path, err = filepath.Abs(path); err != nil {
		return out, err
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	pool, err := testfleet.NewPool(c.Engines, emulator.DefaultSpec(c.Cores), clock)
	if err != nil {
		return out, err
	}
	defer pool.Close()
	f, err := testfleet.New(testfleet.Options{Gateways: c.Gateways, Seed: c.Seed, Dir: logs, Command: []string{path}, Engines: pool.EngineList(),
		Link: testfleet.Network{DelayMS: [2]int64{1, 38}}.Link(), Operator: c.sections(name), Bare: slices.Contains(c.Bare, name),
		Settings: func(n, self int) string { return emulator.Settings(traffic.Classes, n, self, c.Cores) }})
	if err != nil {
		return out, err
	}
	defer func() {
		if closing := f.Close(); err == nil {
			err = closing
		}
	}()
	pool.PublishTo(f.Discovery)
	if err := f.StartAll(); err != nil {
		return out, err
	}
	note("%s: %d gateways serve", name, c.Gateways)
	clients := emulator.NewClients(f.Clients(), traffic.Classes, c.Seed, clock)
	defer clients.Close()
	out = c.watched(name, pool, f, func() { clients.Play(requests, nil) })
	out.outcomes, _ = clients.Outcomes(0)
	if alarms := f.Alarms(); len(alarms) > 0 {
		return out, fmt.Errorf("in the logs: %s", alarms[0])
	}
	return out, nil
}

// sections are those of the operator's file beside [membership].
func (c *spreadCommand) sections(name string) string {
	text := "\n[spread]\n"
	if least, found := c.Least[name]; found {
		text += fmt.Sprintf("\n[subset]\nleast = %d\n", least)
	}
	return text
}

// watched plays the traffic with the case in it, and watches the engines for as long as clients send.
func (c *spreadCommand) watched(name string, pool *testfleet.Pool, f *testfleet.Fleet, play func()) played {
	stop, balance := make(chan struct{}), make(chan testfleet.Balance, 1)
	go func() { balance <- pool.Watch(stop) }()
	fault := time.AfterFunc(caseFor, func() { c.fault(pool, f) })
	defer fault.Stop()
	end := time.AfterFunc(time.Duration(c.Seconds)*time.Second, func() { close(stop) })
	defer end.Stop()
	play()
	return played{name: name, balance: <-balance, fallen: pool.Fallen()}
}

// fault plays the case; f is nil for plain gateways.
func (c *spreadCommand) fault(pool *testfleet.Pool, f *testfleet.Fleet) {
	engines := pool.Engines()
	switch c.Case {
	case "lost":
		engines[0].Silence(true)
	case "release":
		for k, e := range engines[:len(engines)*6/10] {
			time.AfterFunc(time.Duration(k)*7*time.Second/time.Duration(len(engines)), func() {
				if err := pool.Replace(e); err != nil {
					note("replacement: %v", err)
				}
				pool.Publish()
			})
		}
	case "reports":
		for _, e := range engines {
			e.SetReportDelay(5 * time.Second)
		}
	case "cut":
		if f != nil {
			f.Relay.Usual(testfleet.Link{Cut: true})
		}
	case "herd":
		if f != nil {
			for i := range f.Size() * 7 / 10 {
				go func() {
					f.Kill(i)
					time.Sleep(4 * time.Second)
					if err := f.Start(i); err != nil {
						note("start: %v", err)
					}
				}()
			}
		}
	}
}

func (c *spreadCommand) table(all []played) table {
	t := table{head: []string{"version", "worth in time", "served", "refused", "failed", "lost or unanswered", "spoilt or twice",
		"look-ups ms (50 / 99)", "reports s (50 / 99)", "most over mean (mean / 95th)", "under half of the mean for s",
		"most over its part in 0.5 s", "threads a core", "connections at most", "queries sent a query", "turned away", "engines fallen"}}
	classes := emulator.DefaultClasses()
	for _, p := range all {
		worth, asked, ends := 0.0, 0.0, map[string]int{}
		took := []*hdrhistogram.Histogram{}
		for range classes {
			took = append(took, hdrhistogram.New(1, 60_000_000, 3))
		}
		for _, o := range p.outcomes {
			asked += classes[o.Class].Weight
			switch {
			case o.Verdict == emulator.Served:
				ends["served"]++
				took[o.Class].RecordValue(o.Latency.Microseconds())
				if o.InTime {
					worth += classes[o.Class].Weight
				}
			case o.Verdict == emulator.Lost || o.Verdict == emulator.Unanswered || o.Verdict == emulator.Unreached:
				ends["lost"]++
			default:
				ends[o.Verdict.String()]++
			}
			if o.Twice > 0 {
				ends["spoilt"]++
			}
		}
		n := float64(max(1, len(p.outcomes)))
		share := func(key string) string { return fmt.Sprintf("%.3f", float64(ends[key])/n) }
		at := func(class int, unit, q float64) string {
			return fmt.Sprintf("%.3g", float64(took[class].ValueAtQuantile(q))/unit)
		}
		b := p.balance
		t.rows = append(t.rows, []string{p.name, fmt.Sprintf("%.3f", worth/max(1, asked)), share("served"), share("refused"), share("failed"),
			fmt.Sprint(ends["lost"]), fmt.Sprint(ends["spoilt"]), at(0, 1e3, 50) + " / " + at(0, 1e3, 99),
			at(1, 1e6, 50) + " / " + at(1, 1e6, 99), fmt.Sprintf("%.2f / %.2f", b.MostMean, b.PeakToMeanP95), fmt.Sprintf("%.0f", b.LongestIdle),
			fmt.Sprintf("%.1f", b.Burst), fmt.Sprintf("%.2f", b.Threads), fmt.Sprint(b.Conns),
			fmt.Sprintf("%.3f", float64(b.Arrivals)/n), fmt.Sprint(b.Rejected), fmt.Sprint(p.fallen)})
	}
	return t
}
