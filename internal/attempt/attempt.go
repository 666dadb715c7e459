// Package attempt is what the state machines that carry one attempt have in common: the steps that they ask of a
// driver, whatever the engines speak.
package attempt

import (
	"time"

	"frostpier/policy"
)

// Channel is one of the two connections that an attempt may use: calling it off must not queue behind it.
type Channel uint8

// The lanes.
const (
	Primary Channel = iota
	Control
)

// Timer is a wait of an attempt.
type Timer uint8

// The alarms.
const (
	ResponseTimeout    Timer = iota // no answer to a call for longer than it takes
	UnreachableTimeout              // the engine is out of reach for so long that the attempt cannot be out any more
	RetryBackoff                    // pause before a further try to reach the engine
	EarliestUpdate                  // no answer without news can have come before it
	TimerCount
)

// Permission is asked before the first byte that makes an engine work: how long the attempt may take, and whether it
// may go out at all. Again is set where it went out before and the engine seems not to have read it.
type Permission func(again bool) (time.Duration, bool)

// Machine carries one attempt. Its methods return what the driver is to do, in order.
type Machine interface {
	// Connected says that a lane has its connection; memory stays with the connection while it lives.
	Connected(lane Channel, memory *any, leave Permission) []Step
	// ConnectFailed says that a lane got no connection.
	ConnectFailed(lane Channel) []Step
	// Received takes bytes that a lane brought.
	Received(lane Channel, b []byte) []Step
	// ConnectionLost says that a lane's connection ended.
	ConnectionLost(lane Channel) []Step
	// TimerFired says that an alarm went off.
	TimerFired(a Timer) []Step
	// Cancel calls the attempt off; it ends with outcome, if nothing else ends it first.
	Cancel(outcome policy.Outcome) []Step
}

// Step is something that the driver is to do.
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
	// Release gives a connection back for others.
	Release struct{ Channel Channel }
	// Close closes a connection, or ends the wait for one.
	Close struct{ Channel Channel }
	// SetTimer starts an alarm anew; 0 stops it.
	SetTimer struct {
		Timer Timer
		After time.Duration
	}
	// Progress is a note on a running query: the share done.
	Progress struct{ Done float64 }
	// ResponseOverdue says that the engine withholds the answer: it gave no word of the query in the time in which it must, and
	// when asked again says that it is not over.
	ResponseOverdue struct{}
	// Relay passes bytes of the answer on to the client; with the first the answer has begun.
	Relay struct{ Bytes []byte }
	// End is the one end of the attempt: it is not out any more.
	End struct {
		Outcome policy.Outcome
		Result  []byte
		Report  string // the load report as it came
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
