package controller

import (
	"errors"
	"path/filepath"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
)

// stopPollInterval is how often to check whether a process has ended after SIGTERM.
const stopPollInterval = 50 * time.Millisecond

// StartGateways starts the gateways that are not running, on the plan's old version, and returns how many it started.
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

// RollingRestart restarts one gateway after another on the new version, with a pause after each. It does not evaluate the new version:
// it is the baseline that experiments compare staged changes with.
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

// stop sends SIGTERM to a gateway's process, if there is one, and waits until it has ended. After the timeout it sends SIGKILL.
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
			_ = p.signal(gateway, pid, syscall.SIGKILL) // repeated in each iteration until the process has ended
		}
		time.Sleep(stopPollInterval)
	}
	return nil
}
