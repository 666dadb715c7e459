package rollout

import "time"

// Phase is the phase that a change is in.
type Phase string

// The phases.
const (
	Changing    Phase = "changing"  // gateways of the stage are being changed
	Watching    Phase = "watching"  // the stage is compared with the old gateways
	Holding     Phase = "holding"   // paused by an operator, or inconclusive: nothing is changed until an operator resumes
	RollingBack Phase = "returning" // rolling back: all gateways return to the old version
	Done        Phase = "done"      // all gateways are on the new version
	RolledBack  Phase = "returned"  // rolled back: all gateways are on the old version again
)

// Finished reports whether the change has ended.
func (p Phase) Finished() bool { return p == Done || p == RolledBack }

// Step is what is being done to a gateway.
type Step string

// The steps.
const (
	Steady    Step = "steady"
	Stopping  Step = "stopping"  // its process was sent SIGTERM
	Starting  Step = "starting"  // a process was started and has not reported yet that it serves
	Reloading Step = "reloading" // its process was sent SIGHUP, for new settings alone
)

// The versions.
const (
	OldVersion = "old"
	NewVersion = "new"
)

// GatewayState is what is stored of one gateway.
type GatewayState struct {
	TargetVersion  string        `json:"want"` // the version that it is to run
	Step           Step          `json:"step"`
	StartedVersion string        `json:"going,omitempty"` // the version that was started last
	Since          time.Duration `json:"since,omitempty"` // Unix time of the step
	PID            int           `json:"pid,omitempty"`   // of the process that is being stopped or reloaded
}

// State is all that is stored of a change. Stored after each call of a Machine and before its actions are carried out, it is
// enough for another controller to resume the change.
type State struct {
	Phase       Phase          `json:"phase"`
	ResumePhase Phase          `json:"before,omitempty"` // of Holding: the phase that it interrupts
	Stage       int            `json:"stage"`            // from 0
	Since       time.Duration  `json:"since"`            // Unix time of the phase
	Reason      string         `json:"reason,omitempty"` // why it holds or was rolled back
	Gateways    []GatewayState `json:"gateways"`
	Crashes     [2]int         `json:"crashes"` // in this stage, by oldCrashes and newCrashes
}

// Places in State.Crashes.
const (
	oldCrashes = iota
	newCrashes
)

// Report is what a gateway sends to the controller once a second.
type Report struct {
	Gateway        int           // its number in the fleet, from 0
	PID            int           // of its process
	StartedAt      time.Duration // Unix time of the process's start
	Program        uint64        // the first 8 bytes of the executable's SHA-256
	Settings       uint64        // those of the operator's file in force
	Serving        bool          // it accepts requests
	RestartPending bool          // a file was reloaded, and some of it takes effect only at the next start
	MemoryMB       float64
	Classes        []Counts // since the process's start
}

// id returns the version that the gateway runs.
func (r Report) id() VersionID { return VersionID{r.Program, r.Settings} }

// VersionID identifies a version in reports.
type VersionID struct {
	Program  uint64 `json:"Program"`
	Settings uint64 `json:"Settings"`
}

// Action is something that the caller of a Machine has to carry out.
type Action interface{ action() }

// Stop asks a process to shut down gracefully (SIGTERM).
type Stop struct{ Gateway, PID int }

// Kill ends a process that does not stop (SIGKILL).
type Kill struct{ Gateway, PID int }

// Start starts a gateway's process on a version.
type Start struct {
	Gateway int
	Version string
}

// Reload installs a version's settings and has the process read them (SIGHUP).
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
