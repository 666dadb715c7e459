package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// gateway is a gateway process that is shut down while clients use it.
type gateway struct {
	number int
	fleet  *testfleet.Fleet
	stop   Stop
	clock  func() time.Duration

	mu           sync.Mutex
	terminatedAt time.Duration // when SIGTERM was sent; 0 = not yet
	killedAt     time.Duration // when SIGKILL was sent; 0 = not yet, or the process exited on its own
	suspendedAt  time.Duration // when SIGSTOP was sent; 0 = not yet
	resumedAt    time.Duration // when SIGCONT was sent; 0 = not yet
}

// terminated returns when SIGTERM was sent, and false if it has not been sent yet.
func (g *gateway) terminated() (at time.Duration, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.terminatedAt, g.terminatedAt > 0
}

// killed returns when SIGKILL was sent, and false if it has not been sent.
func (g *gateway) killed() (at time.Duration, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killedAt, g.killedAt > 0
}

// acceptsClients reports whether the platform's clients still open new connections to the gateway.
func (g *gateway) acceptsClients() bool {
	at, done := g.terminated()
	return !done || g.clock() < at+g.stop.ReconnectTime
}

// dueBeforeKill reports whether a request sent at this time must be answered before SIGKILL.
func (g *gateway) dueBeforeKill(sent time.Duration) bool {
	at, done := g.terminated()
	return !done || sent <= at+KillGrace
}

// unansweredOutcome returns the outcome of a request whose connection has just closed without a complete answer. received says whether
// an engine received the request, and partial whether part of an answer had arrived.
func (g *gateway) unansweredOutcome(r *Request, received, partial bool) Outcome {
	_, killed := g.killed()
	switch {
	case killed && g.dueBeforeKill(r.Sent) && !g.resumedTooLate():
		return LostAtKill
	case killed:
		return CutByKill
	case !partial && (r.racedClose || g.clock()-r.Sent <= closeRaceWindow) && !received:
		return RacedClose
	}
	return Lost
}

// pollInterval is the interval at which terminate checks whether the process has exited.
const pollInterval = 5 * time.Millisecond

// terminate sends the gateway SIGTERM and the scenario's further signals, and kills it if it still runs killDelay after SIGTERM.
func (g *gateway) terminate(killDelay time.Duration) (exit Exit) {
	time.Sleep(g.stop.Delay)
	at := g.clock()
	g.mu.Lock()
	g.terminatedAt = at
	g.mu.Unlock()
	if err := g.fleet.Signal(g.number, syscall.SIGTERM); err != nil {
		return Exit{Err: fmt.Errorf("SIGTERM: %w", err)}
	}
	for _, s := range g.stop.Signals {
		time.AfterFunc(s.Delay, func() { _ = g.fleet.Signal(g.number, s.Signal) }) // fails if the gateway has exited by then
	}
	for g.clock() < at+killDelay && g.fleet.Running(g.number) {
		time.Sleep(pollInterval)
	}
	if exit.Killed = g.kill(); exit.Killed {
		return Exit{AfterTerm: g.clock() - at, Killed: true, Err: nil}
	}
	exit.Err = g.fleet.WaitExit(g.number, exitTimeout)
	exit.AfterTerm = g.clock() - at
	return exit
}

// kill kills the gateway and reports whether it was still running.
func (g *gateway) kill() bool {
	if !g.fleet.Running(g.number) {
		return false
	}
	g.mu.Lock()
	g.killedAt = g.clock()
	g.mu.Unlock()
	return g.fleet.Kill(g.number) == nil
}
