package rollout

import "time"

// Phase is the phase of a change.
type Phase string

// The phases of a change.
const (
	Changing    Phase = "changing"  // gateways of the stage are being moved to the new version
	Watching    Phase = "watching"  // new gateways of the stage are being compared with old ones
	Holding     Phase = "holding"   // paused by an operator or inconclusive: no gateway is changed until an operator resumes it
	RollingBack Phase = "returning" // all gateways are being returned to the old version
	Done        Phase = "done"      // all gateways are on the new version
	RolledBack  Phase = "returned"  // all gateways are on the old version again
)

// Finished reports whether the change has ended.
func (p Phase) Finished() bool { return p == Done || p == RolledBack }

// Step is the current operation on a gateway.
type Step string

// The steps of a gateway.
const (
	Steady    Step = "steady"    // no operation in progress
	Stopping  Step = "stopping"  // its process was sent SIGTERM
	Starting  Step = "starting"  // its process was started and has not yet reported that it is serving
	Reloading Step = "reloading" // its process was sent SIGHUP to read new settings
)

// The two versions of a change.
const (
	OldVersion = "old"
	NewVersion = "new"
)

// GatewayState is the stored state of one gateway.
type GatewayState struct {
	TargetVersion  string        `json:"want"` // version that the gateway should run
	Step           Step          `json:"step"`
	StartedVersion string        `json:"going,omitempty"` // version on which its process was last started
	Since          time.Duration `json:"since,omitempty"` // Unix time at which the step began
	PID            int           `json:"pid,omitempty"`   // process that is being stopped or reloaded
}

// State is the stored state of a change. Another controller can resume the change from it, provided that the caller of a Machine
// stores the state before it carries out the actions.
type State struct {
	Phase       Phase          `json:"phase"`
	ResumePhase Phase          `json:"before,omitempty"` // in phase Holding: the phase to return to
	Stage       int            `json:"stage"`            // from 0
	Since       time.Duration  `json:"since"`            // Unix time at which the phase, or the watch, last began
	Reason      string         `json:"reason,omitempty"` // why the change is on hold or was rolled back
	Gateways    []GatewayState `json:"gateways"`
	Crashes     [2]int         `json:"crashes"` // in this stage, indexed by oldCrashIndex and newCrashIndex
}

// Indices in State.Crashes.
const (
	oldCrashIndex = iota
	newCrashIndex
)

// Report is the message that a gateway sends to the controller once a second.
type Report struct {
	Gateway        int           // number of the gateway in the fleet, from 0
	PID            int           // process ID of the gateway
	StartedAt      time.Duration // Unix time at which the process started
	Program        uint64        // the first 8 bytes of the executable's SHA-256
	Settings       uint64        // the first 8 bytes of the SHA-256 of the operator's file in effect
	Serving        bool          // the gateway accepts requests
	RestartPending bool          // some settings of the reloaded operator's file take effect only after a restart
	MemoryMB       float64       // resident memory
	Classes        []Counts      // by class, since the process started
}

// id returns the version from which the report was sent.
func (r Report) id() VersionID { return VersionID{r.Program, r.Settings} }

// VersionID identifies a version by hashes of the executable and the operator's file.
type VersionID struct {
	Program  uint64 `json:"Program"`
	Settings uint64 `json:"Settings"`
}

// Action is an action for the caller of a Machine to carry out.
type Action interface{ action() }

// Stop sends a process SIGTERM, for a graceful shutdown.
type Stop struct{ Gateway, PID int }

// Kill sends SIGKILL to a process that did not stop in time.
type Kill struct{ Gateway, PID int }

// Start starts a gateway's process on the version.
type Start struct {
	Gateway int
	Version string
}

// Reload installs the version's operator's file and sends the process SIGHUP to read it.
type Reload struct {
	Gateway int
	Version string
	PID     int
}

// Note adds a line to the history of the change.
type Note struct{ Text string }

func (Stop) action()   {}
func (Kill) action()   {}
func (Start) action()  {}
func (Reload) action() {}
func (Note) action()   {}
