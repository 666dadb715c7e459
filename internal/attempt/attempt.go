// Package attempt is what the state machines that carry one attempt have in common: the steps that they ask of a
// driver, whatever the engines speak.
package attempt

import (
	"time"

	"frostpier/policy"
)

// Lane is one of the two connections that an attempt may use: calling it off must not queue behind it.
type Lane uint8

// The lanes.
const (
	Main Lane = iota
	Side
)

// Alarm is a wait of an attempt.
type Alarm uint8

// The alarms.
const (
	Silence Alarm = iota // no answer to a call for longer than it takes
	Lost                 // the engine is out of reach for so long that the attempt cannot be out any more
	Again                // pause before a further try to reach the engine
	Early                // no answer without news can have come before it
	Alarms
)

// Leave is asked before the first byte that makes an engine work: how long the attempt may take, and whether it
// may go out at all. Again is set where it went out before and the engine seems not to have read it.
type Leave func(again bool) (time.Duration, bool)

// Machine carries one attempt. Its methods return what the driver is to do, in order.
type Machine interface {
	// Opened says that a lane has its connection; memory stays with the connection while it lives.
	Opened(lane Lane, memory *any, leave Leave) []Step
	// Failed says that a lane got no connection.
	Failed(lane Lane) []Step
	// Fed takes bytes that a lane brought.
	Fed(lane Lane, b []byte) []Step
	// Broke says that a lane's connection ended.
	Broke(lane Lane) []Step
	// Rang says that an alarm went off.
	Rang(a Alarm) []Step
	// GiveUp calls the attempt off; it ends with outcome, if nothing else ends it first.
	GiveUp(outcome policy.Outcome) []Step
}

// Step is something that the driver is to do.
type Step interface{ step() }

type (
	// Open asks for a connection: an idle one or, if Fresh, a new one.
	Open struct {
		Lane  Lane
		Fresh bool
	}
	// Write sends bytes.
	Write struct {
		Lane  Lane
		Bytes []byte
	}
	// Release gives a connection back for others.
	Release struct{ Lane Lane }
	// Drop closes a connection, or ends the wait for one.
	Drop struct{ Lane Lane }
	// Set starts an alarm anew; 0 stops it.
	Set struct {
		Alarm Alarm
		After time.Duration
	}
	// News is a note on a running query: the share done.
	News struct{ Done float64 }
	// Overdue says that the engine withholds the answer: it gave no word of the query in the time in which it must, and
	// when asked again says that it is not over.
	Overdue struct{}
	// Relay passes bytes of the answer on to the client; with the first the answer has begun.
	Relay struct{ Bytes []byte }
	// End is the one end of the attempt: it is not out any more.
	End struct {
		Outcome policy.Outcome
		Result  []byte
		Report  string // the load report as it came
	}
)

func (Open) step()    {}
func (Write) step()   {}
func (Release) step() {}
func (Drop) step()    {}
func (Set) step()     {}
func (News) step()    {}
func (Overdue) step() {}
func (Relay) step()   {}
func (End) step()     {}
