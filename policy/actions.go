package policy

import "time"

// Action is an output of Gateway.Handle, to be executed by the host.
type Action interface{ action() }

// Send starts an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their sends.
type Send struct {
	ID      RequestID
	Engine  EngineID
	Timeout time.Duration
}

// SetResources sets the memory grant and the priority of a request's next sends. The priority also applies to
// its attempts in flight.
type SetResources struct {
	ID       RequestID
	GrantMB  float64 // 0 = the engine chooses
	Priority int     // 0 (lowest) to 3
}

// Reject is a final answer which promises that the request did not run, or that repeating it is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 = none
}

// Fail is a final answer that makes no promise about whether the request ran.
type Fail struct{ ID RequestID }

// Cancel cancels an attempt in flight.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Probe sends a health check to an engine.
type Probe struct{ Engine EngineID }

// SetTimer requests a TimerFired event with the same token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe requests the engine list and its changes.
type Subscribe struct{}

// Log is a message for the operators.
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
