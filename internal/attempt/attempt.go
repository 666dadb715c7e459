// Package attempt defines the interface between the state machines that execute one attempt of a query and the driver
// that performs their I/O. There is one state machine per engine protocol, in the packages enginehttp and mysql.
//
// A state machine owns the protocol state of its attempt. It does no I/O, starts no goroutine and reads no clock: the
// driver calls its methods on the goroutine of the event loop and executes the returned steps in order.
package attempt

import (
	"time"

	"frostpier/policy"
)

// Channel identifies one of the two connections that an attempt may use.
type Channel uint8

// The channels. A cancellation has its own connection because it would have to wait for the query on the primary one.
const (
	Primary Channel = iota // carries the query and its response
	Control                // carries the cancellation of the query
)

// Timer identifies a timer of an attempt.
type Timer uint8

// The timers.
const (
	ResponseTimeout    Timer = iota // limits the time until the response to a request
	UnreachableTimeout              // expires when an unreachable engine must have abandoned the query
	RetryBackoff                    // delay before the engine is contacted again
	EarliestUpdate                  // earliest time at which an engine without a new update answers a poll
	TimerCount                      // number of timers
)

// Permission is called before each send of a query, before the first byte that could make an engine execute it. It
// reports whether the query may be sent, and the timeout of the attempt. resend is set if the attempt has sent the query
// before and the engine seems not to have read it.
type Permission func(resend bool) (timeout time.Duration, ok bool)

// StateMachine executes one attempt. Each method handles an event and returns the steps that the driver must execute, in
// order.
type StateMachine interface {
	// Connected reports that a channel has a connection. protocolState belongs to the connection and keeps its value for
	// the next attempts on it. The state machine must call permission before it sends the query.
	Connected(channel Channel, protocolState *any, permission Permission) []Step
	// ConnectFailed reports that no connection for a channel could be established.
	ConnectFailed(channel Channel) []Step
	// Received reports bytes that arrived on a channel.
	Received(channel Channel, bytes []byte) []Step
	// ConnectionLost reports that the connection of a channel was closed.
	ConnectionLost(channel Channel) []Step
	// TimerFired reports that a timer has expired.
	TimerFired(timer Timer) []Step
	// Cancel cancels the attempt. The attempt ends with outcome unless it ends for another reason first.
	Cancel(outcome policy.Outcome) []Step
}

// Step is an operation that the driver executes.
type Step interface{ step() }

type (
	// Open requests a connection for a channel: a new one if Fresh is set, otherwise a pooled one if there is any.
	Open struct {
		Channel Channel
		Fresh   bool
	}
	// Write sends bytes on a channel.
	Write struct {
		Channel Channel
		Bytes   []byte
	}
	// Release returns a connection to the pool for reuse by other attempts.
	Release struct{ Channel Channel }
	// Close closes the connection of a channel, or cancels a pending Open.
	Close struct{ Channel Channel }
	// SetTimer starts or restarts a timer. An After of 0 stops it.
	SetTimer struct {
		Timer Timer
		After time.Duration
	}
	// Progress reports the completed share, 0 to 1, of a running query's work.
	Progress struct{ Done float64 }
	// ResponseOverdue reports that the engine withholds the response: it sent no update of the query within the response
	// timeout, although it answers a later poll that the query is still running.
	ResponseOverdue struct{}
	// Relay forwards bytes of the response to the client. The first Relay starts the client's response.
	Relay struct{ Bytes []byte }
	// End ends the attempt. It is emitted exactly once, when the engine certainly no longer executes the query.
	End struct {
		Outcome policy.Outcome
		Result  []byte
		Report  string // load report in the engine's encoding; empty = none
	}
)

func (Open) step()            {}
func (Write) step()           {}
func (Release) step()         {}
func (Close) step()           {}
func (SetTimer) step()        {}
func (Progress) step()        {}
func (ResponseOverdue) step() {}
func (Relay) step()           {}
func (End) step()             {}
