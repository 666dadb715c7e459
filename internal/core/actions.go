package core

import (
	"time"

	"frostpier/policy"
)

// Action is something that the host must do.
type Action interface{ action() }

// StartAttempt starts an attempt. The host must ask MaySend before the first byte goes out.
type StartAttempt struct {
	ID      ID
	Attempt int
	Engine  Engine
	Timeout time.Duration
}

// CancelAttempt cancels an attempt. The host must report AttemptEnded once the engine certainly no longer executes it.
type CancelAttempt struct {
	ID      ID
	Attempt int
}

// Reply is the one final reply to a request. A Reply with the verdict Served is always returned by the AttemptEnded that
// reported the result.
type Reply struct {
	ID               ID
	Verdict          Verdict
	RetryAfter       time.Duration // of a rejection
	DeadlineExceeded bool          // the client's deadline has passed, or is about to
}

// StartTimer asks for a TimerFired with this token.
type StartTimer struct {
	After time.Duration
	Token uint64
}

// Disconnect closes the connections to an engine that is no longer used: idle ones now, the others when they are
// released.
type Disconnect struct{ Engine policy.EngineID }

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (Reply) action()         {}
func (StartTimer) action()    {}
func (Disconnect) action()    {}
