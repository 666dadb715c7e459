package policy

import "time"

// Action is an output of Gateway.Handle that the host executes.
type Action interface{ action() }

// Send starts an attempt of a request. A request's attempts are numbered from 0 in the order in which they are sent.
type Send struct {
	ID      RequestID
	Engine  EngineID
	Timeout time.Duration
}

// SetResources sets the memory grant and the priority for the next attempts of a request. The priority also applies to
// attempts in flight.
type SetResources struct {
	ID       RequestID
	GrantMB  float64 // 0 = chosen by the engine
	Priority int     // 0 (lowest) to 3
}

// Reject is a final answer that tells the client it is safe to repeat the request: either it did not run, or running it
// again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 = none
}

// Fail is a final answer that leaves open whether the request ran.
type Fail struct{ ID RequestID }

// Cancel cancels an attempt in flight.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Probe sends a health check to an engine. The host reports its result with ProbeEnded.
type Probe struct{ Engine EngineID }

// SetTimer requests a TimerFired event with the same token after a delay.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe requests the engine list and all later changes of it.
type Subscribe struct{}

// Log is a log message for operators.
type Log struct{ Text string }

func (Send) action()         {}
func (SetResources) action() {}
func (Reject) action()       {}
func (Fail) action()         {}
func (Cancel) action()       {}
func (Probe) action()        {}
func (SetTimer) action()     {}
func (Subscribe) action()    {}
func (Log) action()          {}
