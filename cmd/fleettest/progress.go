package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// logProgress writes a line with the time of day to standard error. Arguments are as for fmt.Printf.
func logProgress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
}

// progressSince returns a function that writes lines with the seconds since start to standard error.
func progressSince(start time.Time) func(text string) {
	return func(text string) { fmt.Fprintf(os.Stderr, "%6.1f s  %s\n", time.Since(start).Seconds(), text) }
}

// startClock returns a clock that measures the time since this call.
func startClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// resetDir creates an empty directory. It first deletes any file or directory at the path.
func resetDir(path string) error {
	if err := os.RemoveAll(path); err != nil {
		return err
	}
	return os.MkdirAll(path, 0o755)
}

// checkAlarms returns an error if a gateway's log has a panic, a broken invariant or a data race.
func checkAlarms(f *testfleet.Fleet) error {
	if alarms := f.Alarms(); len(alarms) > 0 {
		return fmt.Errorf("unexpected line in a gateway's log: %s", alarms[0])
	}
	return nil
}

// runJobs runs all jobs, at most workers of them at a time, and joins their errors.
func runJobs(workers int, jobs []func() error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	next := make(chan func() error)
	for range workers {
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
