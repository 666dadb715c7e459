package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// gateway is a gateway that is stopped while clients use it.
type gateway struct {
	number int
	fleet  *testfleet.Fleet
	stop   Stop
	clock  func() time.Duration

	mu           sync.Mutex
	terminatedAt time.Duration // 0 = not yet
	killedAt     time.Duration // 0 = not yet, or it exited by itself
}

// terminated returns when SIGTERM was sent, and whether it was.
func (g *gateway) terminated() (at time.Duration, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.terminatedAt, g.terminatedAt > 0
}

// killed returns when SIGKILL was sent, and whether it was.
func (g *gateway) killed() (at time.Duration, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killedAt, g.killedAt > 0
}

// acceptsClients reports whether the platform still opens connections to the gateway.
func (g *gateway) acceptsClients() bool {
	at, done := g.terminated()
	return !done || g.clock() < at+g.stop.ReconnectTime
}

// owedAtKill reports whether a request that was sent at this time is owed an answer before the kill.
func (g *gateway) owedAtKill(sent time.Duration) bool {
	at, done := g.terminated()
	return !done || sent <= at+KillGrace
}

// endOfUnanswered returns how a request ended whose connection ended just now, before its answer or, if partial, in the middle of it.
// received tells whether an engine got it.
func (g *gateway) endOfUnanswered(r *Request, received, partial bool) Outcome {
	_, killed := g.killed()
	switch {
	case killed && g.owedAtKill(r.Sent):
		return LostAtKill
	case killed:
		return CutByKill
	case !partial && (r.crossed || g.clock()-r.Sent <= crossingWindow) && !received:
		return RacedClose
	}
	return Lost
}

// pollInterval is the time between two checks of a process.
const pollInterval = 5 * time.Millisecond

// terminate sends the gateway its signals, and kills it if it is still there at the platform's earliest.
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
		time.AfterFunc(s.Delay, func() { _ = g.fleet.Signal(g.number, s.Signal) }) // it may have exited by then
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

// kill kills the gateway, and reports whether it was there.
func (g *gateway) kill() bool {
	if !g.fleet.Running(g.number) {
		return false
	}
	g.mu.Lock()
	g.killedAt = g.clock()
	g.mu.Unlock()
	return g.fleet.Kill(g.number) == nil
}
