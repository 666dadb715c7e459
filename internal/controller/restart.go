package controller

import (
	"errors"
	"path/filepath"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
)

// stopPollInterval is the time between two checks whether a process that was asked to stop has ended.
const stopPollInterval = 50 * time.Millisecond

// StartGateways starts the gateways that do not run, on the plan's old version, and returns how many those were.
func StartGateways(dir string, c CheckedPlan) (started int, err error) {
	if dir, err = filepath.Abs(dir); err != nil {
		return 0, err
	}
	p := newProcesses(dir, c)
	for i, found := range p.find() {
		if found.pid > 0 {
			continue
		}
		if err := p.start(i, rollout.OldVersion); err != nil {
			return started, err
		}
		started++
	}
	return started, nil
}

// RollingRestart stops each gateway in turn and starts it on the new version, with a pause after each, and does not watch how it does: a
// plain rolling restart, to compare with.
func RollingRestart(dir string, c CheckedPlan, pause time.Duration) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	p := newProcesses(dir, c)
	stopTimeout := time.Duration(c.Plan.Change.StopTimeoutSeconds * float64(time.Second))
	for _, stage := range c.Plan.StageGateways(len(c.Fleet.Gateways)) {
		for _, gateway := range stage {
			if err := p.stop(gateway, stopTimeout); err != nil {
				return err
			}
			if err := p.start(gateway, rollout.NewVersion); err != nil {
				return err
			}
			time.Sleep(pause)
		}
	}
	return nil
}

// stop stops a gateway's process, if there is one, and waits for its end; after the timeout it is killed.
func (p *processes) stop(gateway int, timeout time.Duration) error {
	pid := p.find()[gateway].pid
	if pid == 0 {
		return nil
	}
	if err := p.signal(gateway, pid, syscall.SIGTERM); err != nil && !errors.Is(err, errProcessEnded) {
		return err
	}
	deadline := time.Now().Add(timeout)
	for p.find()[gateway].pid == pid {
		if time.Now().After(deadline) {
			_ = p.signal(gateway, pid, syscall.SIGKILL) // tried again until the process has ended
		}
		time.Sleep(stopPollInterval)
	}
	return nil
}
