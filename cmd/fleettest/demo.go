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
	Program string `default:"bin/frostpier" type:"existingfile" help:"The program."`
	Seconds int    `default:"30" help:"How long clients send."`
}

const (
	demoGateways = 4
	demoEngines  = 4
	demoCores    = 8
	demoLoad     = 0.6
	demoSeed     = 1
	listDelay    = time.Second     // until the engine list says that an engine has gone
	demoRowSpan  = 5 * time.Second // of a row of the table
)

// Run shows what the program does: clients send queries, which gateways balance over engines. On the way an engine is
// killed, and then a gateway.
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
	fmt.Printf("%d gateways serve before %d stand-in engines of %d cores; clients send %.0f queries a second for %d s.\n", demoGateways,
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

// newFleet prepares the gateways, with their configurations and logs in the folder.
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

// scheduleFaults kills an engine after a third of the time and a gateway after two thirds, unless stop is called before.
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

// demoRow sums up the queries that were sent within demoRowSpan.
type demoRow struct {
	queries, inTime int
	verdicts        map[emulator.Verdict]int
	lookups         *hdrhistogram.Histogram
}

// demoTable shows what became of the queries, by when they were sent.
func demoTable(outcomes []emulator.Outcome, start time.Duration) table {
	t := table{header: []string{"sent at, s", "queries", "served", "in time", "refused", "failed", "lost with a killed gateway", "look-ups ms (50 / 99)"}}
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
