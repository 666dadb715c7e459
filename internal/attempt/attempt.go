// Package attempt defines the interface between the state machines that execute one attempt of a query and the driver
// that does their I/O. There is one such machine per engine protocol: enginehttp and mysql.
//
// A machine owns the protocol's state of the attempt. It never does I/O, starts no goroutine and reads no clock: the
// driver calls its methods on the event loop's goroutine and executes the returned steps in order.
package attempt

import (
	"time"

	"frostpier/policy"
)

// Channel is one of the two connections that an attempt may use.
type Channel uint8

// The channels. Control exists so that the cancellation of a query need not queue behind the query itself.
const (
	Primary Channel = iota // carries the query and its response
	Control                // carries cancellations
)

// Timer identifies a timer of an attempt.
type Timer uint8

// The timers.
const (
	ResponseTimeout    Timer = iota // a call has had no response for longer than it takes
	UnreachableTimeout              // the engine was unreachable for so long that it cannot be executing the query any more
	RetryBackoff                    // pause before the next try to reach the engine
	EarliestUpdate                  // a response without an update of the query cannot come before it expires
	TimerCount                      // number of timers
)

// Permission must be asked before the first byte that makes an engine execute a query. It returns how long the attempt
// may take, and whether it may be sent at all. resend is set where it was sent before and the engine seems not to have
// read it.
type Permission func(resend bool) (timeout time.Duration, ok bool)

// StateMachine executes one attempt. Each method reports an event and returns the steps that the driver must execute, in
// order.
type StateMachine interface {
	// Connected reports that a channel has its connection. memory belongs to the connection: what the machine stores
	// there is available to the next attempt on it. The machine asks permission before it sends the query.
	Connected(channel Channel, memory *any, permission Permission) []Step
	// ConnectFailed reports that no connection could be established for a channel.
	ConnectFailed(channel Channel) []Step
	// Received reports bytes that arrived on a channel.
	Received(channel Channel, bytes []byte) []Step
	// ConnectionLost reports that a channel's connection has ended.
	ConnectionLost(channel Channel) []Step
	// TimerFired reports that a timer expired.
	TimerFired(timer Timer) []Step
	// Cancel cancels the attempt. It ends with outcome unless it ends for another reason first.
	Cancel(outcome policy.Outcome) []Step
}

// Step is something that the driver must do.
type Step interface{ step() }

type (
	// Open asks for a connection: an idle one or, if Fresh, a new one.
	Open struct {
		Channel Channel
		Fresh   bool
	}
	// Write sends bytes.
	Write struct {
		Channel Channel
		Bytes   []byte
	}
	// Release returns a connection to the pool, for other attempts.
	Release struct{ Channel Channel }
	// Close closes a connection, or cancels an Open.
	Close struct{ Channel Channel }
	// SetTimer starts or restarts a timer; 0 stops it.
	SetTimer struct {
		Timer Timer
		After time.Duration
	}
	// Progress reports the share of its work, 0 to 1, that a running query has done.
	Progress struct{ Done float64 }
	// ResponseOverdue reports that the engine withholds the response: it sent no update of the query for longer than it
	// may, and answers a poll with the query still running.
	ResponseOverdue struct{}
	// Relay passes bytes of the response on to the client. The first Relay starts the response.
	Relay struct{ Bytes []byte }
	// End ends the attempt, once: the engine certainly no longer executes the query.
	End struct {
		Outcome policy.Outcome
		Result  []byte
		Report  string // the load report in the engine's encoding; empty = none
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
