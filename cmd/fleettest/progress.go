package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// logProgress writes a line about the progress of a command to standard error.
func logProgress(text string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(text, args...))
}

// progressSince returns a function that writes lines to standard error, with the seconds since start.
func progressSince(start time.Time) func(text string) {
	return func(text string) { fmt.Fprintf(os.Stderr, "%6.1f s  %s\n", time.Since(start).Seconds(), text) }
}

// startClock returns a clock that starts at zero.
func startClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// emptyFolder makes an empty folder, in place of what is there.
func emptyFolder(path string) error {
	if err := os.RemoveAll(path); err != nil {
		return err
	}
	return os.MkdirAll(path, 0o755)
}

// checkAlarms returns an error if a gateway's log has a line that no run may have.
func checkAlarms(f *testfleet.Fleet) error {
	if alarms := f.Alarms(); len(alarms) > 0 {
		return fmt.Errorf("in the logs: %s", alarms[0])
	}
	return nil
}

// runAll runs all jobs on so many goroutines and joins their errors.
func runAll(goroutines int, jobs []func() error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	next := make(chan func() error)
	for range goroutines {
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
