package rollout

import "time"

// Phase is where a change stands.
type Phase string

// The phases.
const (
	Changing  Phase = "changing"  // gateways of the stage are being changed
	Watching  Phase = "watching"  // the stage is watched
	Holding   Phase = "holding"   // an operator paused it, or too little is known: nothing goes on until resumed
	Returning Phase = "returning" // all gateways go back to the old version
	Done      Phase = "done"      // all gateways are on the new version
	Returned  Phase = "returned"  // all gateways are on the old version again
)

// Over reports whether nothing is left to be done.
func (p Phase) Over() bool { return p == Done || p == Returned }

// Step is what is being done to a gateway.
type Step string

// The steps.
const (
	Steady    Step = "steady"
	Stopping  Step = "stopping"  // it was sent SIGTERM
	Starting  Step = "starting"  // a process was started; it has not yet told that it serves
	Reloading Step = "reloading" // it was sent SIGHUP, for settings alone
)

// The versions.
const (
	OldVersion = "old"
	NewVersion = "new"
)

// GatewayState is what is to be remembered of one gateway.
type GatewayState struct {
	Want  string        `json:"want"` // the version that it is to be on
	Step  Step          `json:"step"`
	Going string        `json:"going,omitempty"` // the version that was started last
	Since time.Duration `json:"since,omitempty"` // Unix time of the step
	PID   int           `json:"pid,omitempty"`   // of the process that is stopped or was told to reload
}

// State is all that a change has to remember: written down after each call of a Machine, before what the call wants done
// is done, it lets another take the change up.
type State struct {
	Phase    Phase          `json:"phase"`
	Before   Phase          `json:"before,omitempty"` // of Holding: the phase that it goes on with
	Stage    int            `json:"stage"`            // from 0
	Since    time.Duration  `json:"since"`            // Unix time of the phase
	Reason   string         `json:"reason,omitempty"` // why it holds or went back
	Gateways []GatewayState `json:"gateways"`
	Crashes  [2]int         `json:"crashes"` // of old and new gateways in this stage
}

// Report is what a gateway tells of itself, once a second.
type Report struct {
	Gateway  int           // its place among the plan's
	PID      int           // of its process
	Started  time.Duration // Unix time of its start
	Program  uint64        // of the executable: the first bytes of its SHA-256
	Settings uint64        // of the operator's file in force, likewise
	Serving  bool          // it takes requests
	Pending  bool          // a file was read again that holds in part only from the next start
	MemoryMB float64
	Classes  []Counts // since its start
}

// ID is how a version shows in reports.
type ID struct{ Program, Settings uint64 }

// Action is something that the host is to do.
type Action interface{ action() }

// Stop asks a process for a planned stop (SIGTERM).
type Stop struct{ Gateway, PID int }

// Kill ends one that does not stop (SIGKILL).
type Kill struct{ Gateway, PID int }

// Start starts a gateway's process on a version.
type Start struct {
	Gateway int
	Version string
}

// Reload puts a version's settings in place and has the process read them (SIGHUP).
type Reload struct {
	Gateway int
	Version string
	PID     int
}

// Note is a line of the change's history.
type Note struct{ Text string }

func (Stop) action()   {}
func (Kill) action()   {}
func (Start) action()  {}
func (Reload) action() {}
func (Note) action()   {}
