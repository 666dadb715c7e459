package core

import (
	"time"

	"frostpier/policy"
)

// Action is an operation that the host of a Core must execute.
type Action interface{ action() }

// StartAttempt starts an attempt. The host must call MaySend before it sends the first byte.
type StartAttempt struct {
	ID      RequestID
	Attempt int // index among the request's attempts
	Engine  Engine
	Timeout time.Duration
}

// CancelAttempt cancels an attempt. The host must report AttemptEnded once it is certain that the engine no longer
// executes it.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // index among the request's attempts
}

// Reply is the one final reply to a request. A Reply with the verdict Served is only returned by the AttemptEnded call
// that reported the complete response.
type Reply struct {
	ID               RequestID
	Verdict          Verdict
	RetryAfter       time.Duration // how long the client should wait; only set for a rejection
	DeadlineExceeded bool          // the client's deadline has passed or is a few ticks away
}

// StartTimer starts a timer. When it expires, the host must call TimerFired with the token.
type StartTimer struct {
	After time.Duration
	Token uint64
}

// Disconnect closes the connections to an engine that is no longer used: idle connections at once, the others when their
// attempts release them.
type Disconnect struct{ Engine policy.EngineID }

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (Reply) action()         {}
func (StartTimer) action()    {}
func (Disconnect) action()    {}
