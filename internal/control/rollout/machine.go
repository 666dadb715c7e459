package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Machine is the state machine of one change. It is not safe for concurrent use. All times are Unix times and must not decrease.
//
// The caller passes in its observations (ReceiveReport, ObserveProcess, RecordChecks), calls Tick, stores State if Dirty returns
// true, and only then carries out Actions.
type Machine struct {
	plan             Plan
	ids              map[string]VersionID // by version
	classes          []string             // names of the classes of clients' queries
	changeOrder      []int                // gateway numbers in the order in which they are changed
	state            State
	observed         []observation // by gateway number
	actions          []Action      // decided since the last call of Actions
	dirty            bool          // the state has changed since the last call of Dirty
	lastTickAt       time.Duration // time of the last Tick; 0 = none yet
	lastEvaluationAt time.Duration // time of the last evaluation of a stage
	verdict          Verdict

	createdAt          time.Duration // when New or Resume made this machine
	outageSuspectedAt  time.Duration // when a report outage was last suspected; see detectReportOutage
	outageSuspectedFor time.Duration // total time during this watch in which reports were not reliable
}

// minControllerPause is the time between two ticks above which the controller itself is assumed to have been suspended.
const minControllerPause = 2 * time.Second

// New returns the Machine of a new change. All gateways are expected to run the old version. The ids identify the two versions in
// reports.
func New(now time.Duration, p Plan, oldID, newID VersionID, classes []string, gateways int) *Machine {
	m := newMachine(now, p, oldID, newID, classes, gateways)
	m.state = State{Phase: Changing, Since: now, Gateways: make([]GatewayState, gateways)}
	for i := range m.state.Gateways {
		m.state.Gateways[i] = GatewayState{TargetVersion: OldVersion, Step: Steady, StartedVersion: OldVersion}
	}
	m.addNote("change started: %d stages, %d gateways", len(p.Stages), gateways)
	m.startStage(now, 0)
	return m
}

// Resume returns a Machine that continues a change from a stored state.
func Resume(now time.Duration, p Plan, oldID, newID VersionID, classes []string, s State) *Machine {
	m := newMachine(now, p, oldID, newID, classes, len(s.Gateways))
	m.state = s
	m.state.Gateways = slices.Clone(s.Gateways)
	for i := range m.observed {
		m.observed[i].recovered = true
	}
	if m.state.Phase == Watching { // the counts of the watch are not part of the state
		m.startWatch(now)
	}
	return m
}

// newMachine returns a Machine without a state.
func newMachine(now time.Duration, p Plan, oldID, newID VersionID, classes []string, gateways int) *Machine {
	m := &Machine{
		plan:        p,
		ids:         map[string]VersionID{OldVersion: oldID, NewVersion: newID},
		classes:     classes,
		changeOrder: p.changeOrder(gateways),
		observed:    make([]observation, gateways),
		createdAt:   now,
		// No gateway has reported yet: an outage cannot be ruled out.
		outageSuspectedAt: now,
	}
	for i := range m.observed {
		m.observed[i].pid = unknownPID
	}
	return m
}

// State returns a copy of the state, from which Resume can continue the change.
func (m *Machine) State() State {
	s := m.state
	s.Gateways = slices.Clone(s.Gateways)
	return s
}

// Dirty reports whether the state has changed since the last call of Dirty.
func (m *Machine) Dirty() bool {
	dirty := m.dirty
	m.dirty = false
	return dirty
}

// Actions returns the actions decided since the last call of Actions, in the order in which to carry them out.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// Verdict returns the last verdict on the current stage.
func (m *Machine) Verdict() Verdict { return m.verdict }

func (m *Machine) addAction(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) addNote(format string, args ...any) {
	m.addAction(Note{fmt.Sprintf(format, args...)})
}

// Pause puts the change on hold: steps in progress are finished, and no new ones begin. It fails with a PhaseError unless the
// phase is Changing or Watching.
func (m *Machine) Pause(now time.Duration) error {
	if m.state.Phase != Changing && m.state.Phase != Watching {
		return &PhaseError{m.state.Phase}
	}
	m.holdStage(now, "paused by an operator")
	return nil
}

// Resume continues a change that is on hold. It fails with a PhaseError in any other phase.
func (m *Machine) Resume(now time.Duration) error {
	if m.state.Phase != Holding {
		return &PhaseError{m.state.Phase}
	}
	m.addNote("resumed by an operator")
	m.setPhase(now, m.state.ResumePhase, "")
	if m.state.Phase == Watching {
		m.startWatch(now)
	}
	return nil
}

// Abort rolls the change back. It fails with a PhaseError if the change has finished or is already being rolled back.
func (m *Machine) Abort(now time.Duration) error {
	if m.state.Phase.Finished() || m.state.Phase == RollingBack {
		return &PhaseError{m.state.Phase}
	}
	m.rollBack(now, "aborted by an operator")
	return nil
}

// PhaseError means that a command is not allowed in the current phase of the change.
type PhaseError struct{ Phase Phase }

// Error returns the text that operators see.
func (e *PhaseError) Error() string { return fmt.Sprintf("not possible in phase %s", e.Phase) }

// Tick advances the change: it reconciles the gateways and evaluates the current stage. Call it several times a second.
func (m *Machine) Tick(now time.Duration) {
	elapsed := m.compensatePause(now)
	if m.state.Phase.Finished() {
		return
	}
	m.detectReportOutage(now, elapsed)
	for _, gateway := range m.changeOrder {
		m.reconcile(now, gateway)
	}
	switch m.state.Phase {
	case Changing:
		if m.converged(NewVersion) {
			m.setPhase(now, Watching, "")
			m.startWatch(now)
			m.addNote("stage %d: %d gateways run the new version", m.state.Stage+1, m.stageGatewayCount(m.state.Stage))
		}
	case Watching:
		m.evaluateStage(now)
	case RollingBack:
		if m.converged(OldVersion) {
			m.addNote("rolled back: all gateways run the old version")
			m.setPhase(now, RolledBack, m.state.Reason)
		}
	}
}

// compensatePause extends all deadlines by the time for which the controller itself was suspended: the reports of that time may
// still be in the socket's buffer, so missing ones say nothing about the gateways. It returns the time since the last tick, or 0
// after a suspension.
func (m *Machine) compensatePause(now time.Duration) (elapsed time.Duration) {
	if m.lastTickAt == 0 {
		m.lastTickAt = now
	}
	gap := now - m.lastTickAt
	m.lastTickAt = now
	if gap > minControllerPause {
		for i := range m.observed {
			if m.observed[i].reportedAt > 0 {
				m.observed[i].reportedAt += gap
			}
		}
		m.createdAt += gap
		m.outageSuspectedAt += gap
		m.state.Since += gap
		for i := range m.state.Gateways {
			m.state.Gateways[i].Since += gap
		}
		return 0
	}
	return gap
}

func (m *Machine) setPhase(now time.Duration, p Phase, reason string) {
	m.state.Phase = p
	m.state.Since = now
	m.state.Reason = reason
	m.dirty = true
}
