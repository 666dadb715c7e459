package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

type demoCommand struct {
	Program string `default:"bin/frostpier" type:"existingfile" help:"Path of the frostpier binary."`
	Seconds int    `default:"30" help:"Seconds for which clients send queries."`
}

const (
	demoGateways = 4
	demoEngines  = 4
	demoCores    = 8
	demoLoad     = 0.6
	demoSeed     = 1
	listDelay    = time.Second     // time from an engine's failure until it is removed from the engine list
	demoRowSpan  = 5 * time.Second // time that a row of the table covers
)

// Run demonstrates the program: clients send queries, which gateways balance over engines. Meanwhile an engine is killed, and
// later a gateway.
func (c *demoCommand) Run() (err error) {
	dir, err := os.MkdirTemp("", "frostpier-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	clock := startClock()
	pool, err := testfleet.NewPool(demoEngines, emulator.DefaultSpec(demoCores), clock)
	if err != nil {
		return err
	}
	defer pool.Close()
	traffic := demoTraffic()
	f, err := c.newFleet(dir, traffic, pool)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	pool.SetDiscoveryServer(f.Discovery)
	if err := f.StartAll(); err != nil {
		return err
	}
	fmt.Printf("%d gateways balance %d emulated engines with %d cores each; clients send %.0f queries per second for %d s.\n", demoGateways,
		demoEngines, demoCores, traffic.Rate, c.Seconds)
	clients := emulator.NewClients(f.ClientAddrs(), traffic.Classes, demoSeed, clock)
	defer clients.Close()
	start := clock()
	stopFaults := c.scheduleFaults(f, pool, func() time.Duration { return clock() - start })
	defer stopFaults()
	clients.Run(traffic.Generate(c.duration()), nil)
	outcomes, _ := clients.Outcomes(0)
	fmt.Printf("\n%s", demoTable(outcomes, start).markdown())
	return nil
}

func (c *demoCommand) duration() time.Duration { return time.Duration(c.Seconds) * time.Second }

func demoTraffic() emulator.Traffic {
	t := emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: demoGateways, Skew: 0.5, Groups: 10, Zipf: 0.7, EstimateSigma: 0.5,
		Seed: demoSeed}
	t.Rate = t.RateForLoad(demoLoad, demoCores*demoEngines)
	return t
}

// newFleet returns a fleet whose gateways are not started yet, with their configurations and logs in dir.
func (c *demoCommand) newFleet(dir string, traffic emulator.Traffic, pool *testfleet.Pool) (*testfleet.Fleet, error) {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return nil, err
	}
	return testfleet.New(testfleet.Options{
		Gateways: demoGateways,
		Seed:     demoSeed,
		Dir:      dir,
		Command:  []string{program},
		Engines:  pool.EngineList(),
		Operator: "\n[spread]\n",
		Settings: func(n, self int) string { return emulator.Settings(traffic.Classes, n, self, demoCores) },
	})
}

// scheduleFaults kills an engine after a third of the duration and a gateway after two thirds, unless stop is called earlier.
func (c *demoCommand) scheduleFaults(f *testfleet.Fleet, pool *testfleet.Pool, elapsed func() time.Duration) (stop func()) {
	third := c.duration() / 3
	engine := time.AfterFunc(third, func() {
		fmt.Printf("%4.0f s: an engine is killed\n", elapsed().Seconds())
		pool.Kill(pool.Engines()[0])
		time.Sleep(listDelay)
		pool.Publish()
	})
	gateway := time.AfterFunc(2*third, func() {
		fmt.Printf("%4.0f s: a gateway is killed\n", elapsed().Seconds())
		if err := f.Kill(0); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	return func() {
		engine.Stop()
		gateway.Stop()
	}
}

// demoRow has the counts of the queries that were sent within one demoRowSpan.
type demoRow struct {
	queries, inTime int
	verdicts        map[emulator.Verdict]int
	lookups         *hdrhistogram.Histogram
}

// demoTable shows the outcomes of the queries, by the time when they were sent.
func demoTable(outcomes []emulator.Outcome, start time.Duration) table {
	t := table{header: []string{"sent at, s", "queries", "served", "within objective", "rejected", "failed", "lost or unanswered",
		"lookup latency, ms (p50 / p99)"}}
	for k, r := range demoRows(outcomes, start) {
		lost := r.verdicts[emulator.Lost] + r.verdicts[emulator.Unanswered] + r.verdicts[emulator.Unreachable]
		t.rows = append(t.rows, []string{
			fmt.Sprint(k * int(demoRowSpan/time.Second)),
			fmt.Sprint(r.queries),
			fmt.Sprint(r.verdicts[emulator.Served]),
			fmt.Sprint(r.inTime),
			fmt.Sprint(r.verdicts[emulator.Rejected]),
			fmt.Sprint(r.verdicts[emulator.Failed] + r.verdicts[emulator.Corrupted]),
			fmt.Sprint(lost),
			fmt.Sprintf("%.0f / %.0f", float64(r.lookups.ValueAtQuantile(50))/microsPerMilli, float64(r.lookups.ValueAtQuantile(99))/microsPerMilli),
		})
	}
	return t
}

func demoRows(outcomes []emulator.Outcome, start time.Duration) (rows []demoRow) {
	for _, o := range outcomes {
		k := max(0, int((o.At-start)/demoRowSpan))
		for len(rows) <= k {
			rows = append(rows, demoRow{verdicts: map[emulator.Verdict]int{}, lookups: newLatencies()})
		}
		r := &rows[k]
		r.queries++
		r.verdicts[o.Verdict]++
		if o.InTime {
			r.inTime++
		}
		if o.Verdict == emulator.Served && o.Class == lookupClass {
			recordLatency(r.lookups, o.Latency)
		}
	}
	return rows
}
