package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"frostpier/internal/testbed/emulator"
)

// KillGrace is the time from the longest deadline to SIGKILL. So requests that are sent within this time after SIGTERM must be answered
// before the kill.
const KillGrace = 700 * time.Millisecond

// Further times that the platform specifies for a planned restart.
const (
	maxStopDeadline = 3 * time.Second       // caps the longest deadline of a class in the computation of the kill delay
	closeRaceWindow = 50 * time.Millisecond // a request sent at most this long before the close was seen is retried on another gateway
)

// Bounds of the random values.
const (
	manyClientsInterval = 5 // every fifth seed has manyClients
	manyClients         = 350
	minClients          = 10
	maxClients          = 37
	minStopDelay        = 300 * time.Millisecond
	maxStopDelay        = time.Second
	minReconnectTime    = 200 * time.Millisecond
	maxReconnectTime    = 400 * time.Millisecond
	maxSignals          = 3
	maxSignalDelay      = 900 * time.Millisecond // from SIGTERM to a further signal
	minDeadline         = 800 * time.Millisecond
	shortDeadlineOneIn  = 4 // one scenario in 4 has a deadline under maxStopDeadline
	mysqlOneIn          = 2 // one scenario in 2 has MySQL clients in addition to JSON-RPC clients
	maxMySQLClients     = 12
)

// Disturbance is a fault that is injected during a planned shutdown.
type Disturbance uint8

// Disturbances.
const (
	NoDisturbance Disturbance = iota
	EngineHangs
	EngineDrains
	EngineKilled
	DiscoveryDown
	numDisturbances
)

// String returns the name used in reports.
func (d Disturbance) String() string {
	return [...]string{"none", "engine hangs", "engine drains", "engine killed", "discovery down"}[d]
}

// Signal is a further signal that is sent to a gateway after SIGTERM.
type Signal struct {
	Delay  time.Duration // since SIGTERM
	Signal syscall.Signal
}

// Stop is the planned shutdown of one gateway.
type Stop struct {
	Delay         time.Duration // from the start of the clients to SIGTERM
	ReconnectTime time.Duration // how long clients open new connections after SIGTERM
	Signals       []Signal
}

// Scenario is a run's scenario. It is determined by the seed and the number of gateways.
type Scenario struct {
	Seed             uint64
	Clients          int           // number of JSON-RPC clients over all gateways
	MySQLClients     int           // number of MySQL clients over all gateways
	Deadline         time.Duration // maximum time budget of JSON-RPC requests, and the time budget of all MySQL queries
	Stops            []Stop        // planned shutdowns, by gateway index
	Disturbance      Disturbance
	DisturbanceDelay time.Duration // time from the start of the clients until the fault is injected
	Stress           Stress        // set by WithStress
}

// NewScenario generates the scenario of a seed with the given number of gateways.
func NewScenario(seed uint64, gateways int) Scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	s := Scenario{Seed: seed, Clients: minClients + random.IntN(maxClients-minClients+1), Deadline: maxStopDeadline}
	if seed%manyClientsInterval == 0 {
		s.Clients = manyClients
	}
	if random.IntN(shortDeadlineOneIn) == 0 {
		s.Deadline = randomDuration(random, minDeadline, maxStopDeadline)
	}
	if mysqlClients := 1 + random.IntN(maxMySQLClients); random.IntN(mysqlOneIn) == 0 && gateways == 1 {
		s.MySQLClients = mysqlClients // several gateways would each need their own operator's file
	}
	for range gateways {
		s.Stops = append(s.Stops, newStop(random))
	}
	s.Disturbance = Disturbance(random.IntN(int(numDisturbances)))
	s.DisturbanceDelay = randomDuration(random, 0, maxStopDelay+maxSignalDelay)
	return s
}

func newStop(random *rand.Rand) Stop {
	s := Stop{
		Delay:         randomDuration(random, minStopDelay, maxStopDelay),
		ReconnectTime: randomDuration(random, minReconnectTime, maxReconnectTime),
	}
	for range random.IntN(maxSignals + 1) {
		signal := syscall.SIGTERM
		if random.IntN(2) == 0 {
			signal = syscall.SIGHUP
		}
		s.Signals = append(s.Signals, Signal{Delay: randomDuration(random, 0, maxSignalDelay), Signal: signal})
	}
	return s
}

// KillDelay returns the time from SIGTERM after which the platform may kill a gateway.
func (s Scenario) KillDelay() time.Duration { return min(s.Deadline, maxStopDeadline) + KillGrace }

// String describes the scenario in one line.
func (s Scenario) String() string {
	return fmt.Sprintf("seed %d: %d JSON-RPC clients, %d MySQL clients, deadline %v, disturbance: %v, stress: %v", s.Seed, s.Clients,
		s.MySQLClients, s.Deadline.Round(time.Millisecond), s.Disturbance, s.Stress)
}

// classes returns the default query classes with their timeouts capped at the scenario's deadline.
func (s Scenario) classes() []emulator.Class {
	classes := emulator.DefaultClasses()
	if s.Deadline == maxStopDeadline { // the default timeouts are kept, although some are longer
		return classes
	}
	for i := range classes {
		classes[i].Timeout = min(classes[i].Timeout, s.Deadline)
	}
	return classes
}

// randomDuration returns a random duration from shortest up to, but not including, longest.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
