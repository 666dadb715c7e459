package core

import (
	"time"
)

// Action is something that the host is to do.
type Action interface{ action() }

// Start asks for an attempt; before its first byte the host asks MaySend.
type Start struct {
	ID      ID
	Attempt int
	Engine  Engine
	Timeout time.Duration
}

// Stop calls an attempt off; the host reports Ended once it is not out any more.
type Stop struct {
	ID      ID
	Attempt int
}

// Reply is the one final answer of a request. Served comes in answer to the Ended that brought the result.
type Reply struct {
	ID               ID
	Verdict          Verdict
	RetryAfter       time.Duration // of a refusal
	DeadlineExceeded bool          // the client's time is over
}

// Timer asks for a Due with this token.
type Timer struct {
	After time.Duration
	Token uint64
}

func (Start) action() {}
func (Stop) action()  {}
func (Reply) action() {}
func (Timer) action() {}
