package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"frostpier/internal/testbed/emulator"
)

// KillGrace is the least time from the longest deadline to SIGKILL. A request that was sent up to so long after SIGTERM is owed an answer
// before the kill.
const KillGrace = 700 * time.Millisecond

// Further times of a planned restart, as the platform's pages have them.
const (
	maxStopDeadline = 3 * time.Second       // the longest deadline of a class counts as no more than this
	crossingWindow  = 50 * time.Millisecond // a request that crosses the end of its connection by less is sent elsewhere
)

// Bounds of what is drawn.
const (
	crowdInterval    = 5 // one seed in so many has a crowd
	crowdClients     = 350
	minClients       = 10
	maxClients       = 37
	minStopDelay     = 300 * time.Millisecond
	maxStopDelay     = time.Second
	minReconnectTime = 200 * time.Millisecond
	maxReconnectTime = 400 * time.Millisecond
	maxSignals       = 3
	signalSpan       = 900 * time.Millisecond // after SIGTERM, in which further signals come
	shortestDeadline = 800 * time.Millisecond
	shortDeadlines   = 4 // one seed in so many has a deadline under maxStopDeadline
	mysqlInterval    = 2 // one seed in so many has MySQL clients beside those of the platform
	maxMySQLClients  = 12
)

// Disturbance is a trouble beside a planned stop.
type Disturbance uint8

// Disturbances.
const (
	NoDisturbance Disturbance = iota
	EngineHangs
	EngineDrains
	EngineKilled
	DiscoveryDown
	disturbances // their number
)

// String names a disturbance.
func (d Disturbance) String() string {
	return [...]string{"none", "engine hangs", "engine drains", "engine killed", "discovery away"}[d]
}

// Signal is a signal that a gateway gets after its first SIGTERM.
type Signal struct {
	Delay  time.Duration // SIGTERM
	Signal syscall.Signal
}

// Stop is the planned stop of one gateway.
type Stop struct {
	Delay         time.Duration // the clients' start
	ReconnectTime time.Duration // after SIGTERM, in which clients open new connections
	Signals       []Signal
}

// Scenario is what a seed decides.
type Scenario struct {
	Seed             uint64
	Clients          int           // of the platform, over all gateways
	MySQLClients     int           // over all gateways
	Deadline         time.Duration // the longest of a class, and the budget of the requests
	Stops            []Stop        // by gateway
	Disturbance      Disturbance
	DisturbanceDelay time.Duration // the clients' start
}

// NewScenario draws a scenario with so many gateways.
func NewScenario(seed uint64, gateways int) Scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	s := Scenario{Seed: seed, Clients: minClients + random.IntN(maxClients-minClients+1), Deadline: maxStopDeadline}
	if seed%crowdInterval == 0 {
		s.Clients = crowdClients
	}
	if random.IntN(shortDeadlines) == 0 {
		s.Deadline = between(random, shortestDeadline, maxStopDeadline)
	}
	if mysqlClients := 1 + random.IntN(maxMySQLClients); random.IntN(mysqlInterval) == 0 && gateways == 1 {
		s.MySQLClients = mysqlClients // several gateways would need an operator's file each
	}
	for range gateways {
		s.Stops = append(s.Stops, newStop(random))
	}
	s.Disturbance = Disturbance(random.IntN(int(disturbances)))
	s.DisturbanceDelay = between(random, 0, maxStopDelay+signalSpan)
	return s
}

func newStop(random *rand.Rand) Stop {
	s := Stop{
		Delay:         between(random, minStopDelay, maxStopDelay),
		ReconnectTime: between(random, minReconnectTime, maxReconnectTime),
	}
	for range random.IntN(maxSignals + 1) {
		signal := syscall.SIGTERM
		if random.IntN(2) == 0 {
			signal = syscall.SIGHUP
		}
		s.Signals = append(s.Signals, Signal{Delay: between(random, 0, signalSpan), Signal: signal})
	}
	return s
}

// KillDelay returns when the platform kills a gateway, at its earliest, after SIGTERM.
func (s Scenario) KillDelay() time.Duration { return min(s.Deadline, maxStopDeadline) + KillGrace }

// String describes the scenario in a line.
func (s Scenario) String() string {
	return fmt.Sprintf("seed %d: %d clients, %d of MySQL, deadline %v, disturbance: %v", s.Seed, s.Clients, s.MySQLClients,
		s.Deadline.Round(time.Millisecond), s.Disturbance)
}

// classes returns the classes of queries.
func (s Scenario) classes() []emulator.Class {
	classes := emulator.DefaultClasses()
	if s.Deadline == maxStopDeadline { // those of classes may well be longer
		return classes
	}
	for i := range classes {
		classes[i].Timeout = min(classes[i].Timeout, s.Deadline)
	}
	return classes
}

// between draws a duration.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
