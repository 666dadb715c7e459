package soak

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"time"
)

// Bounds of the random values of a Stress.
const (
	maxBusyPerCore     = 4
	minSuspension      = 200 * time.Millisecond
	maxSuspension      = 2 * time.Second
	earliestSuspension = -maxSuspension // relative to SIGTERM
	latestSuspension   = time.Second
	noStarvationOneIn  = 3 // one stress in 3 has no busy processes
	noSuspensionOneIn  = 3 // one stress in 3 has no suspension
)

// Stress takes processor time away from the gateways. The zero value does nothing.
type Stress struct {
	BusyPerCore int        // busy processes for each core of the machine
	Suspension  Suspension // of each gateway's process
}

// Suspension is an interval in which a gateway's process is stopped with SIGSTOP. The zero value is none.
type Suspension struct {
	Delay    time.Duration // from SIGTERM, negative before it
	Duration time.Duration
}

// WithStress returns the scenario with a stress that is drawn from its seed.
func (s Scenario) WithStress() Scenario {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	if random.IntN(noStarvationOneIn) > 0 {
		s.Stress.BusyPerCore = 1 + random.IntN(maxBusyPerCore)
	}
	if random.IntN(noSuspensionOneIn) > 0 || s.Stress.BusyPerCore == 0 {
		s.Stress.Suspension = Suspension{
			Delay:    randomDuration(random, earliestSuspension, latestSuspension),
			Duration: randomDuration(random, minSuspension, maxSuspension),
		}
	}
	return s
}

// String describes the stress in a few words.
func (s Stress) String() string {
	if s == (Stress{}) {
		return "none"
	}
	return fmt.Sprintf("%d busy processes for each core, suspended for %v at %v after SIGTERM", s.BusyPerCore,
		s.Suspension.Duration.Round(time.Millisecond), s.Suspension.Delay.Round(time.Millisecond))
}

// busyLoop is a shell command that uses a core until it is killed, or until it has used 60 s of processor time.
const busyLoop = "ulimit -t 60; while :; do :; done"

// busyProcesses are processes that only use processor time.
type busyProcesses []*exec.Cmd

// startBusyProcesses starts a number of busy processes for each core.
func startBusyProcesses(perCore int) (started busyProcesses, err error) {
	for range perCore * runtime.NumCPU() {
		command := exec.Command("/bin/sh", "-c", busyLoop)
		if err := command.Start(); err != nil {
			started.stop()
			return nil, fmt.Errorf("busy process: %w", err)
		}
		started = append(started, command)
	}
	return started, nil
}

// stop ends the processes and waits for them.
func (b busyProcesses) stop() {
	for _, command := range b {
		_ = command.Process.Kill() // fails only if it has ended by itself
		_ = command.Wait()         // returns the signal as an error
	}
}

// suspend stops the gateway's process for the scenario's suspension, counted from when the clients start.
func (g *gateway) suspend(s Suspension) {
	if s.Duration == 0 {
		return
	}
	time.Sleep(max(0, g.stop.Delay+s.Delay))
	g.mu.Lock()
	g.suspendedAt = g.clock()
	g.mu.Unlock()
	if g.fleet.Pause(g.number) != nil { // it has exited
		return
	}
	time.Sleep(s.Duration)
	g.mu.Lock()
	g.resumedAt = g.clock()
	g.mu.Unlock()
	_ = g.fleet.Resume(g.number) // fails if it was killed
}

// isLate reports whether an answer that arrives now is a violation: more than answerSlack after the request's deadline, and also more than
// answerSlack after the end of a suspension that began before the deadline.
func (g *gateway) isLate(r *Request) bool {
	now := g.clock()
	due := r.Sent + r.Budget
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspendedAt > 0 && g.suspendedAt <= due {
		due = max(due, g.resumedOr(now))
	}
	return now > due+answerSlack
}

// resumedOr returns when the suspension ended, or now while it lasts. The caller holds g.mu.
func (g *gateway) resumedOr(now time.Duration) time.Duration {
	if g.resumedAt == 0 {
		return now
	}
	return g.resumedAt
}

// resumedTooLate reports whether a suspension left the gateway less than answerSlack before SIGKILL to answer what was due.
func (g *gateway) resumedTooLate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspendedAt > 0 && g.killedAt > 0 && g.resumedOr(g.killedAt)+answerSlack > g.killedAt
}
