package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

type demoCommand struct {
	Program string `default:"bin/frostpier" type:"existingfile" help:"The program."`
	Seconds int    `default:"30" help:"How long clients send."`
}

const (
	demoGateways = 4
	demoEngines  = 4
	demoCores    = 8
	demoLoad     = 0.6
	demoSpan     = 5 * time.Second // of a row
)

// Run shows the main job: queries of many clients, spread over engines, with a gateway and an engine killed on the way.
func (c *demoCommand) Run() (err error) {
	dir, err := os.MkdirTemp("", "frostpier-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	pool, err := testfleet.NewPool(demoEngines, emulator.DefaultSpec(demoCores), clock)
	if err != nil {
		return err
	}
	defer pool.Close()
	traffic := emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: demoGateways, Skew: 0.5, Groups: 10, Zipf: 0.7, Estimate: 0.5, Seed: 1}
	traffic.Rate = traffic.RateFor(demoLoad, demoCores*demoEngines)
	f, err := testfleet.New(testfleet.Options{Gateways: demoGateways, Seed: 1, Dir: dir, Command: []string{program}, Engines: pool.EngineList(),
		Operator: "\n[spread]\n", Settings: func(n, self int) string { return emulator.Settings(traffic.Classes, n, self, demoCores) }})
	if err != nil {
		return err
	}
	defer func() {
		if closing := f.Close(); err == nil {
			err = closing
		}
	}()
	pool.PublishTo(f.Discovery)
	if err := f.StartAll(); err != nil {
		return err
	}
	fmt.Printf("%d gateways serve before %d stand-in engines of %d cores; clients send %.0f queries a second for %d s.\n", demoGateways,
		demoEngines, demoCores, traffic.Rate, c.Seconds)
	clients := emulator.NewClients(f.Clients(), traffic.Classes, 1, clock)
	defer clients.Close()
	sent := clock()
	third := time.Duration(c.Seconds) * time.Second / 3
	gone := time.AfterFunc(third, func() {
		fmt.Printf("%4.0f s: an engine is killed\n", (clock() - sent).Seconds())
		pool.Kill(pool.Engines()[0])
		time.Sleep(time.Second) // as a list of engines is told late
		pool.Publish()
	})
	defer gone.Stop()
	dead := time.AfterFunc(2*third, func() {
		fmt.Printf("%4.0f s: a gateway is killed\n", (clock() - sent).Seconds())
		if err := f.Kill(0); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	defer dead.Stop()
	clients.Play(traffic.Draw(time.Duration(c.Seconds)*time.Second), nil)
	outcomes, _ := clients.Outcomes(0)
	fmt.Printf("\n%s", demoTable(outcomes, sent).markdown())
	return nil
}

// demoTable is what became of queries by when they were sent.
func demoTable(outcomes []emulator.Outcome, began time.Duration) table {
	t := table{head: []string{"sent at, s", "queries", "served", "in time", "refused", "failed", "lost with a killed gateway", "look-ups ms (50 / 99)"}}
	type row struct {
		all, inTime int
		ends        map[emulator.Verdict]int
		lookups     *hdrhistogram.Histogram
	}
	var rows []row
	for _, o := range outcomes {
		k := max(0, int((o.At-began)/demoSpan))
		for len(rows) <= k {
			rows = append(rows, row{ends: map[emulator.Verdict]int{}, lookups: hdrhistogram.New(1, 60_000_000, 3)})
		}
		r := &rows[k]
		r.all++
		r.ends[o.Verdict]++
		if o.InTime {
			r.inTime++
		}
		if o.Verdict == emulator.Served && o.Class == 0 {
			r.lookups.RecordValue(o.Latency.Microseconds())
		}
	}
	for k, r := range rows {
		lost := r.ends[emulator.Lost] + r.ends[emulator.Unanswered] + r.ends[emulator.Unreached]
		t.rows = append(t.rows, []string{fmt.Sprint(k * int(demoSpan/time.Second)), fmt.Sprint(r.all), fmt.Sprint(r.ends[emulator.Served]),
			fmt.Sprint(r.inTime), fmt.Sprint(r.ends[emulator.Refused]), fmt.Sprint(r.ends[emulator.Failed] + r.ends[emulator.Spoilt]), fmt.Sprint(lost),
			fmt.Sprintf("%.0f / %.0f", float64(r.lookups.ValueAtQuantile(50))/1e3, float64(r.lookups.ValueAtQuantile(99))/1e3)})
	}
	return t
}
