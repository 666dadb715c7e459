package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Machine is the state machine of one change. It is not safe for concurrent use. All times are Unix times and never run
// backwards.
//
// A caller passes in what it observes (ReceiveReport, ObserveProcess, RecordChecks), calls Tick, stores State if Dirty, and only
// then carries out Actions.
type Machine struct {
	plan        Plan
	ids         map[string]VersionID // by version
	classes     []string             // of clients' requests
	order       []int                // the gateways in the order in which they are changed
	state       State
	observed    []observation // by gateway
	actions     []Action      // not yet returned by Actions
	dirty       bool          // the state changed since the last call of Dirty
	tickedAt    time.Duration // of the last Tick; 0 = none yet
	evaluatedAt time.Duration // of the last evaluation of a stage
	verdict     Verdict

	begunAt        time.Duration // when this machine was made
	pathSuspectAt  time.Duration // when the path of the reports was last suspect; see watchReportPath
	pathSuspectFor time.Duration // for how long, during the watch
}

// minPause is the time between two ticks above which the controller itself is assumed to have been paused.
const minPause = 2 * time.Second

// New begins a change; all gateways are expected to run the old version. The ids are how the two versions show in reports.
func New(now time.Duration, p Plan, oldID, newID VersionID, classes []string, gateways int) *Machine {
	m := newMachine(now, p, oldID, newID, classes, gateways)
	m.state = State{Phase: Changing, Since: now, Gateways: make([]GatewayState, gateways)}
	for i := range m.state.Gateways {
		m.state.Gateways[i] = GatewayState{TargetVersion: OldVersion, Step: Steady, StartedVersion: OldVersion}
	}
	m.addNote("begun: %d stages, %d gateways", len(p.Stages), gateways)
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
	if m.state.Phase == Watching { // the counts of the watch are not stored
		m.startWatch(now)
	}
	return m
}

func newMachine(now time.Duration, p Plan, oldID, newID VersionID, classes []string, gateways int) *Machine {
	m := &Machine{
		plan:     p,
		ids:      map[string]VersionID{OldVersion: oldID, NewVersion: newID},
		classes:  classes,
		order:    p.order(gateways),
		observed: make([]observation, gateways),
		begunAt:  now,
		// Nobody has been heard of yet.
		pathSuspectAt: now,
	}
	for i := range m.observed {
		m.observed[i].pid = unknownPID
	}
	return m
}

// State returns what has to be stored for Resume.
func (m *Machine) State() State {
	s := m.state
	s.Gateways = slices.Clone(s.Gateways)
	return s
}

// Dirty reports whether the state changed since the last call of Dirty.
func (m *Machine) Dirty() bool {
	dirty := m.dirty
	m.dirty = false
	return dirty
}

// Actions returns what has to be carried out since the last call of Actions, in order.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// Verdict returns the last verdict on the stage that is watched.
func (m *Machine) Verdict() Verdict { return m.verdict }

func (m *Machine) addAction(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) addNote(format string, args ...any) {
	m.addAction(Note{fmt.Sprintf(format, args...)})
}

// Pause holds the change: only steps that are under way are finished. It is an error unless gateways are being changed or
// watched.
func (m *Machine) Pause(now time.Duration) error {
	if m.state.Phase != Changing && m.state.Phase != Watching {
		return &PhaseError{m.state.Phase}
	}
	m.holdStage(now, "paused by an operator")
	return nil
}

// Resume continues a change that is held. It is an error if it is not.
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

// Abort rolls the change back. It is an error if it is over or being rolled back.
func (m *Machine) Abort(now time.Duration) error {
	if m.state.Phase.Finished() || m.state.Phase == RollingBack {
		return &PhaseError{m.state.Phase}
	}
	m.rollBack(now, "an operator took it back")
	return nil
}

// PhaseError says that a command is not possible in the phase that the change is in.
type PhaseError struct{ Phase Phase }

// Error returns the text that operators see.
func (e *PhaseError) Error() string { return fmt.Sprintf("it is %s", e.Phase) }

// Tick does what is due. It is called several times a second.
func (m *Machine) Tick(now time.Duration) {
	elapsed := m.compensatePause(now)
	if m.state.Phase.Finished() {
		return
	}
	m.watchReportPath(now, elapsed)
	for _, gateway := range m.order {
		m.reconcile(now, gateway)
	}
	switch m.state.Phase {
	case Changing:
		if m.converged(NewVersion) {
			m.setPhase(now, Watching, "")
			m.startWatch(now)
			m.addNote("stage %d: %d gateways are on the new version", m.state.Stage+1, m.stageTarget(m.state.Stage))
		}
	case Watching:
		m.evaluateStage(now)
	case RollingBack:
		if m.converged(OldVersion) {
			m.addNote("all gateways are on the old version")
			m.setPhase(now, RolledBack, m.state.Reason)
		}
	}
}

// compensatePause moves all deadlines by the time that the controller itself was paused: what gateways reported meanwhile
// is still in the socket's buffer, so that their silence proves nothing. It returns the time since the last tick without a pause.
func (m *Machine) compensatePause(now time.Duration) (elapsed time.Duration) {
	if m.tickedAt == 0 {
		m.tickedAt = now
	}
	gap := now - m.tickedAt
	m.tickedAt = now
	if gap > minPause {
		for i := range m.observed {
			if m.observed[i].reportedAt > 0 {
				m.observed[i].reportedAt += gap
			}
		}
		m.begunAt += gap
		m.pathSuspectAt += gap
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
