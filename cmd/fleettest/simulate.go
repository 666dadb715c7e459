package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

type simulateCommand struct {
	Sizes []int   `default:"10,30,100,300,1000" help:"Members of the fleets."`
	Kills int     `default:"400" help:"Kills for each size."`
	Hours float64 `default:"100" help:"Process-hours with pauses, for each size."`
	Loss  float64 `default:"0.1" help:"Share of datagrams lost."`
	Seed  uint64  `default:"1" help:"The first seed."`
	Out   string  `default:"found/fleettest" help:"The folder for tables and the chart."`
}

const (
	apart     = 30 * time.Second // between a kill and the start after it
	pauseOnce = 30 * time.Second // in which each member pauses once on average
	pauseMost = 2 * time.Second
	checked   = 1000 // steps between two checks of a node's rules
)

// measured is a row of the table.
type measured struct {
	members               int
	steady, kills, pauses simulation.Figures
	beatPauses            simulation.Figures
}

// heartbeats has the baseline in the protocol's place: the datagrams a second that the protocol sends in the steady
// state, and three silent rounds for a death.
func heartbeats(perSecond float64) func(c membership.Config) (simulation.Detector, error) {
	return func(c membership.Config) (simulation.Detector, error) {
		return simulation.NewHeartbeat(c, perSecond, 3), nil
	}
}

// Run measures each size, each seed on a core.
func (c *simulateCommand) Run() error {
	rows := make([]measured, len(c.Sizes))
	var jobs []func() error
	var mu sync.Mutex
	add := func(into *simulation.Figures, f simulation.Figures) {
		mu.Lock()
		defer mu.Unlock()
		*into = into.Merge(f)
	}
	for k, n := range c.Sizes {
		row := &rows[k]
		row.members = n
		lossy := simulation.Setup{Members: n, Loss: c.Loss, Every: checked, Spread: time.Second}
		jobs = append(jobs, func() (err error) {
			calm := lossy
			calm.Loss, calm.Seed = 0, c.Seed
			row.steady, err = simulation.Steady(calm, time.Minute)
			return err
		})
		const parts = 4
		lasts := time.Duration(c.Hours / parts / float64(n) * float64(time.Hour))
		for part := range uint64(parts) {
			s := lossy
			s.Seed = c.Seed + part
			jobs = append(jobs, func() error {
				f, err := simulation.Kills(s, c.Kills/parts, apart)
				add(&row.kills, f)
				return err
			}, func() error {
				f, err := simulation.Pauses(s, lasts, pauseOnce, pauseMost)
				add(&row.pauses, f)
				return err
			}, func() error {
				beats := s // a copy: the other jobs run at the same time
				beats.Make = heartbeats(1)
				f, err := simulation.Pauses(beats, lasts, pauseOnce, pauseMost)
				add(&row.beatPauses, f)
				return err
			})
		}
	}
	if err := onAllCores(jobs); err != nil {
		return err
	}
	t := simulationTable(rows)
	fmt.Print(t.markdown())
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	return t.write(filepath.Join(c.Out, "membership-simulated"), func(path string) error {
		return chartDetection(path, rows)
	})
}

type replayCommand struct {
	From  uint64 `default:"0" help:"The first seed."`
	Runs  uint64 `default:"1000" help:"How many seeds."`
	Every int    `default:"0" help:"Steps between two checks of a node's rules; 0 = a twentieth of the members."`
}

// Run plays the runs; a seed that broke a rule is named, and replays identically.
func (c *replayCommand) Run() error {
	var jobs []func() error
	steps, mu, began := 0, sync.Mutex{}, time.Now()
	for k := range c.Runs {
		seed := c.From + c.Runs - 1 - k
		jobs = append(jobs, func() error {
			n := simulation.SizeOf(seed)
			every := c.Every
			if every == 0 {
				every = max(1, n/20)
			}
			f, err := simulation.Random(seed, n, every)
			if f != nil {
				mu.Lock()
				steps += f.Steps
				mu.Unlock()
			}
			return err
		})
	}
	err := onAllCores(jobs)
	fmt.Printf("%d runs, %d steps, %v\n", c.Runs, steps, time.Since(began).Round(time.Second))
	return err
}

// onAllCores does all jobs and joins their errors.
func onAllCores(jobs []func() error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	next := make(chan func() error)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for job := range next {
				if err := job(); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			}
		}()
	}
	for _, job := range jobs {
		next <- job
	}
	close(next)
	wg.Wait()
	return errors.Join(errs...)
}
