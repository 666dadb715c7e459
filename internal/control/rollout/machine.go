package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Machine carries one change. It is not safe for concurrent use. All times are Unix times and never run backwards.
type Machine struct {
	plan    Plan
	ids     map[string]ID
	classes []string
	order   []int
	state   State
	seen    []seen
	out     []Action
	dirty   bool
	ticked  time.Duration
	judged  time.Duration
	opinion Opinion
}

// seen is what is known of a gateway, and not written down.
type seen struct {
	pid       int // of its process; 0 = there is none, -1 = not looked at yet
	report    Report
	at        time.Duration // of the report; 0 = none yet
	base      []Counts      // of the process that ran when the watch began
	basePID   int
	earlier   []Counts  // of processes that ended during the watch
	checks    []Checked // by class
	live      bool      // it can read new settings while it runs
	recovered bool      // its step was taken up from a state that was written down: it may not have been carried out
}

const (
	pauseIs    = 2 * time.Second        // between two ticks: the controller itself paused
	judgeEvery = 500 * time.Millisecond // between two looks at a stage
	diesWithin = 300 * time.Millisecond // of a start in which there may be no process to be seen yet
	againStart = time.Second            // between two starts of the old version that come to nothing
	cutShare   = 0.05                   // of the old gateways silent, from which silence speaks against nobody
)

// New begins a change: all gateways are to be on the old version. ids are how the versions show in reports.
func New(now time.Duration, p Plan, old, new ID, classes []string, gateways int) *Machine {
	m := machine(p, old, new, classes, gateways)
	m.state = State{Phase: Changing, Since: now, Gateways: make([]GatewayState, gateways)}
	for i := range m.state.Gateways {
		m.state.Gateways[i] = GatewayState{Want: OldVersion, Step: Steady, Going: OldVersion}
	}
	m.note("begun: %d stages, %d gateways", len(p.Stages), gateways)
	m.stage(now, 0)
	return m
}

// Resume takes a change up from a state that was written down.
func Resume(now time.Duration, p Plan, old, new ID, classes []string, s State) *Machine {
	m := machine(p, old, new, classes, len(s.Gateways))
	m.state = s
	m.state.Gateways = slices.Clone(s.Gateways)
	for i := range m.seen {
		m.seen[i].recovered = true
	}
	if m.state.Phase == Watching { // what was counted is lost
		m.watch(now)
	}
	return m
}

func machine(p Plan, old, new ID, classes []string, gateways int) *Machine {
	m := &Machine{plan: p, ids: map[string]ID{OldVersion: old, NewVersion: new}, classes: classes, order: p.order(gateways),
		seen: make([]seen, gateways)}
	for i := range m.seen {
		m.seen[i].pid = -1
	}
	return m
}

// State is what has to be written down.
func (m *Machine) State() State {
	s := m.state
	s.Gateways = slices.Clone(s.Gateways)
	return s
}

// Dirty reports whether the state changed since the last call of Dirty.
func (m *Machine) Dirty() bool {
	d := m.dirty
	m.dirty = false
	return d
}

// Actions are those that the calls since the last call of Actions want done, in order.
func (m *Machine) Actions() []Action {
	out := m.out
	m.out = nil
	return out
}

// Opinion is what is thought of the stage that is watched.
func (m *Machine) Opinion() Opinion { return m.opinion }

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) note(text string, args ...any) { m.do(Note{fmt.Sprintf(text, args...)}) }

// ReceiveReport takes a gateway's report.
func (m *Machine) ReceiveReport(now time.Duration, r Report) {
	if r.Gateway < 0 || r.Gateway >= len(m.seen) {
		return
	}
	s := &m.seen[r.Gateway]
	if s.at > 0 && r.Started < s.report.Started {
		return // of a former process, overtaken
	}
	if s.basePID != 0 && s.report.PID == s.basePID && r.PID != s.basePID {
		s.earlier = sum(s.earlier, less(s.report.Classes, s.base))
		s.base, s.basePID = nil, r.PID
	}
	if s.basePID == 0 && m.state.Phase == Watching { // its first report of the watch
		s.base, s.basePID = r.Classes, r.PID
	}
	s.report, s.at = r, now
}

// Looked takes what a look for a gateway's process found: its id, 0 for none, and whether it can read new settings while
// it runs.
func (m *Machine) Looked(gateway, pid int, live bool) {
	m.seen[gateway].pid, m.seen[gateway].live = pid, live
}

// Checked takes what came of known queries of a class at a gateway.
func (m *Machine) Checked(gateway, class int, c Checked) {
	if s := &m.seen[gateway]; m.state.Phase == Watching && class >= 0 && class < len(s.checks) {
		s.checks[class] = s.checks[class].plus(c)
	}
}

// Pause has nothing go on but what is under way.
func (m *Machine) Pause(now time.Duration) error {
	if m.state.Phase != Changing && m.state.Phase != Watching {
		return fmt.Errorf("it is %s", m.state.Phase)
	}
	m.hold(now, "paused by an operator")
	return nil
}

// Resume goes on after a pause.
func (m *Machine) Resume(now time.Duration) error {
	if m.state.Phase != Holding {
		return fmt.Errorf("it is %s", m.state.Phase)
	}
	m.note("resumed by an operator")
	m.phase(now, m.state.Before, "")
	if m.state.Phase == Watching {
		m.watch(now)
	}
	return nil
}

// Abort takes the change back.
func (m *Machine) Abort(now time.Duration) error {
	if m.state.Phase.Over() || m.state.Phase == Returning {
		return fmt.Errorf("it is %s", m.state.Phase)
	}
	m.goBack(now, "an operator took it back")
	return nil
}

// Tick does what is due. It is called some times a second.
func (m *Machine) Tick(now time.Duration) {
	m.notePause(now)
	if m.state.Phase.Over() {
		return
	}
	for _, i := range m.order {
		m.reconcile(now, i)
	}
	switch m.state.Phase {
	case Changing:
		if m.settled(NewVersion) {
			m.phase(now, Watching, "")
			m.watch(now)
			m.note("stage %d: %d gateways are on the new version", m.state.Stage+1, m.size(m.state.Stage))
		}
	case Watching:
		m.judge(now)
	case Returning:
		if m.settled(OldVersion) {
			m.note("all gateways are on the old version")
			m.phase(now, Returned, m.state.Reason)
		}
	}
}

// notePause guards against conclusions from an own pause: what gateways told meanwhile still waits in the socket.
func (m *Machine) notePause(now time.Duration) {
	gap := now - m.ticked
	if m.ticked > 0 && gap > pauseIs {
		for i := range m.seen {
			if m.seen[i].at > 0 {
				m.seen[i].at += gap
			}
		}
		m.state.Since += gap
		for i := range m.state.Gateways {
			m.state.Gateways[i].Since += gap
		}
	}
	m.ticked = now
}

func (m *Machine) phase(now time.Duration, p Phase, reason string) {
	m.state.Phase, m.state.Since, m.state.Reason, m.dirty = p, now, reason, true
}

func (m *Machine) hold(now time.Duration, why string) {
	m.note("held in stage %d: %s", m.state.Stage+1, why)
	before := m.state.Phase
	m.phase(now, Holding, why)
	m.state.Before = before
}

// size is how many gateways a stage has changed in the end.
func (m *Machine) size(stage int) int {
	n, _ := stageSize(m.plan.Stages[stage], len(m.seen)) // checked with the plan
	return n
}

func (m *Machine) stage(now time.Duration, k int) {
	m.state.Stage, m.state.Crashes = k, [2]int{}
	m.phase(now, Changing, "")
	for _, i := range m.order[:m.size(k)] {
		m.state.Gateways[i].Want = NewVersion
	}
}

// watch begins to count anew.
func (m *Machine) watch(now time.Duration) {
	m.state.Since, m.dirty = now, true
	m.opinion = Opinion{Why: "it has just begun"}
	for i := range m.seen {
		s := &m.seen[i]
		s.base, s.basePID, s.earlier, s.checks = nil, 0, nil, make([]Checked, len(m.classes))
		if s.at > 0 {
			s.base, s.basePID = s.report.Classes, s.report.PID
		}
	}
}

// goBack has all gateways go back to the old version.
func (m *Machine) goBack(now time.Duration, why string) {
	m.note("stage %d is taken back: %s", m.state.Stage+1, why)
	m.phase(now, Returning, why)
	for i := range m.state.Gateways {
		m.state.Gateways[i].Want = OldVersion
	}
}

// settled reports whether every gateway that is to be on the version is, and those of the others are steady.
func (m *Machine) settled(version string) bool {
	for i, g := range m.state.Gateways {
		if g.Step != Steady || g.Want == version && !m.on(i, version) {
			return false
		}
	}
	return true
}

// on reports whether a gateway told that it serves on a version.
func (m *Machine) on(i int, version string) bool {
	s := &m.seen[i]
	return s.at > 0 && s.report.Serving && s.report.PID == s.pid && (ID{s.report.Program, s.report.Settings}) == m.ids[version]
}

// down is how many gateways are out of service for the change.
func (m *Machine) down() (n int) {
	for _, g := range m.state.Gateways {
		if g.Step == Stopping || g.Step == Starting {
			n++
		}
	}
	return n
}

func (m *Machine) step(now time.Duration, i int, s Step, pid int) {
	g := &m.state.Gateways[i]
	g.Step, g.Since, g.PID, m.dirty = s, now, pid, true
	m.seen[i].recovered = false
}

// reconcile takes a gateway one step towards the version that it is to be on.
func (m *Machine) reconcile(now time.Duration, i int) {
	g, s := &m.state.Gateways[i], &m.seen[i]
	if s.pid < 0 {
		return // not looked at yet
	}
	switch g.Step {
	case Steady:
		m.steady(now, i)
	case Stopping:
		switch {
		case s.pid != g.PID: // it has ended
			m.begin(now, i)
		case s.recovered:
			m.step(now, i, Stopping, g.PID)
			m.do(Stop{i, g.PID})
		case now-g.Since > seconds(m.plan.Change.StopS):
			m.note("gateway %d did not stop in time and is killed", i)
			m.step(now, i, Stopping, g.PID)
			m.do(Kill{i, g.PID})
		}
	case Starting:
		m.starting(now, i)
	case Reloading:
		switch {
		case s.pid != g.PID:
			m.step(now, i, Steady, 0) // it died meanwhile: seen to there
		case m.on(i, g.Want):
			m.step(now, i, Steady, 0)
		case s.recovered:
			m.step(now, i, Reloading, g.PID)
			m.do(Reload{i, g.Want, g.PID})
		case s.report.Pending && s.at > g.Since, now-g.Since > seconds(m.plan.Change.ReadyS):
			if g.Want == NewVersion && !s.report.Pending {
				m.goBack(now, fmt.Sprintf("gateway %d did not take the new settings", i))
			}
			m.step(now, i, Stopping, s.pid) // what cannot change while it runs changes by a start
			m.do(Stop{i, s.pid})
		}
	}
}

// steady looks after a gateway that nothing is being done to.
func (m *Machine) steady(now time.Duration, i int) {
	g, s := &m.state.Gateways[i], &m.seen[i]
	if s.pid == 0 {
		m.crashed(now, i)
		return
	}
	if s.at == 0 || s.report.PID != s.pid {
		return // it has not told what it is
	}
	is := ID{s.report.Program, s.report.Settings}
	want := m.ids[g.Want]
	if is == want || m.state.Phase == Holding || m.down() >= m.plan.Change.DownAtOnce {
		return
	}
	g.Going = g.Want
	if is.Program == want.Program && s.live && !s.report.Pending {
		m.step(now, i, Reloading, s.pid)
		m.do(Reload{i, g.Want, s.pid})
		return
	}
	m.step(now, i, Stopping, s.pid)
	m.do(Stop{i, s.pid})
}

// begin starts a gateway on the version that it is to be on.
func (m *Machine) begin(now time.Duration, i int) {
	g := &m.state.Gateways[i]
	g.Going = g.Want
	m.step(now, i, Starting, 0)
	m.do(Start{i, g.Going})
}

func (m *Machine) starting(now time.Duration, i int) {
	g, s := &m.state.Gateways[i], &m.seen[i]
	after := now - g.Since
	switch {
	case g.Going != g.Want && s.pid > 0: // it was decided otherwise meanwhile
		m.step(now, i, Stopping, s.pid)
		m.do(Stop{i, s.pid})
	case g.Going != g.Want:
		m.begin(now, i)
	case m.on(i, g.Want):
		m.step(now, i, Steady, 0)
	case s.pid == 0 && s.recovered:
		m.begin(now, i) // who was to start it may have ended before it did
	case s.pid == 0 && after > diesWithin && (g.Going == NewVersion || after > againStart):
		m.failed(now, i, "ended at its start")
	case after > seconds(m.plan.Change.ReadyS) && s.pid > 0 && s.report.PID != s.pid && m.reportsMayBeCut(m.silent(now)[0]):
		m.note("gateway %d has not reported since its start, but neither do old ones: it is waited for longer", i)
		m.step(now, i, Starting, 0)
	case after > seconds(m.plan.Change.ReadyS):
		m.failed(now, i, fmt.Sprintf("did not serve on its version %g s after its start", m.plan.Change.ReadyS))
	}
}

// failed is a start that came to nothing.
func (m *Machine) failed(now time.Duration, i int, how string) {
	g, s := &m.state.Gateways[i], &m.seen[i]
	m.note("gateway %d on the %s version %s", i, g.Going, how)
	if g.Going == NewVersion && m.state.Phase != Returning {
		m.goBack(now, fmt.Sprintf("gateway %d %s", i, how))
	}
	switch {
	case s.pid > 0 && g.Going == OldVersion && g.Want == OldVersion:
		m.step(now, i, Starting, 0) // it runs: perhaps only its reports do not arrive, and no start would mend that
	case s.pid > 0:
		m.step(now, i, Stopping, s.pid)
		m.do(Stop{i, s.pid})
	default:
		m.begin(now, i)
	}
}

// crashed is a process that ended without having been told to. It is started again, and counts against its version; one
// may die by chance.
func (m *Machine) crashed(now time.Duration, i int) {
	g := &m.state.Gateways[i]
	side := 0
	if g.Going == NewVersion {
		side = 1
	}
	m.state.Crashes[side]++
	m.note("gateway %d on the %s version has ended by itself", i, g.Going)
	n := m.size(m.state.Stage)
	old, new := m.state.Crashes[0], m.state.Crashes[1]
	if side == 1 && m.state.Phase != Returning && new >= m.plan.Judge.Crashes+old*n/max(1, len(m.seen)-n) {
		m.goBack(now, fmt.Sprintf("%d crashes of new gateways, %d of old ones", new, old))
	} else if side == 1 && m.state.Phase == Watching {
		m.state.Since = now // it is watched for longer
	}
	m.begin(now, i)
}

// isSilent reports whether a gateway's last report is too old.
func (m *Machine) isSilent(now time.Duration, i int) bool {
	at := m.seen[i].at
	return at == 0 || now-at > seconds(m.plan.Change.SilentS)
}

// silent counts the steady gateways that are silent, those on the old version first.
func (m *Machine) silent(now time.Duration) (count [2]int) {
	for i, g := range m.state.Gateways {
		switch {
		case g.Step != Steady || !m.isSilent(now, i):
		case g.Going == NewVersion:
			count[1]++
		default:
			count[0]++
		}
	}
	return count
}

// reportsMayBeCut reports whether so many old gateways are silent that a new one's silence says nothing about its version: the
// reports' way to here may be cut.
func (m *Machine) reportsMayBeCut(silentOld int) bool {
	old := len(m.seen) - m.size(m.state.Stage)
	return float64(silentOld) >= max(1, cutShare*float64(old))
}

// Samples are what the gateways did while the stage was watched; those that report nothing are left out.
func (m *Machine) Samples(now time.Duration) (out []Sample) {
	for i := range m.seen {
		s := &m.seen[i]
		if m.isSilent(now, i) || s.basePID == 0 {
			continue
		}
		isNew := m.state.Gateways[i].Going == NewVersion
		counts := less(s.report.Classes, s.base)
		if s.report.PID != s.basePID {
			counts = s.report.Classes
		}
		out = append(out, m.sample(isNew, sum(s.earlier, counts), s))
	}
	return out
}

// sample is one gateway's part. The controller's own queries are a class of their own.
func (m *Machine) sample(isNew bool, counts []Counts, s *seen) Sample {
	out := Sample{New: isNew, Classes: counts, MemoryMB: s.report.MemoryMB}
	for c, k := range s.checks {
		out.Checks = out.Checks.plus(k)
		if c < len(counts) {
			out.Classes[c] = counts[c].without(k)
		}
	}
	if len(m.plan.Checks) > 0 {
		out.Classes = append(out.Classes, out.Checks.counts())
	}
	return out
}

// names are those of the classes as samples have them.
func (m *Machine) names() []string {
	if len(m.plan.Checks) == 0 {
		return m.classes
	}
	return append(slices.Clone(m.classes), "known queries")
}

// judge looks at the stage that is watched.
func (m *Machine) judge(now time.Duration) {
	if now-m.judged < judgeEvery {
		return
	}
	m.judged = now
	samples, silent := m.Samples(now), m.silent(now)
	after := now - m.state.Since
	last := m.size(m.state.Stage) == len(m.seen)
	if last {
		m.opinion = m.alone(samples)
	} else {
		m.opinion = m.plan.Judge.Opine(samples, m.names(), len(m.classes), len(m.plan.Stages))
	}
	switch {
	case m.opinion.Worse:
		m.goBack(now, m.opinion.Why)
		return
	case silent[1] > 0 && after > seconds(m.plan.Change.SilentS) && !m.reportsMayBeCut(silent[0]):
		// Who does not report in time does worse.
		m.goBack(now, fmt.Sprintf("%d new gateways report nothing", silent[1]))
		return
	case silent[1] > 0:
		m.opinion = Opinion{Why: fmt.Sprintf("%d new and %d old gateways report nothing", silent[1], silent[0])}
	}
	switch {
	case m.opinion.Enough && after >= seconds(m.plan.Watch.LeastS) && m.settled(NewVersion):
		m.note("stage %d does not do worse: %s", m.state.Stage+1, m.plan.Judge.Summary(samples, len(m.classes)))
		if last {
			m.note("all gateways are on the new version")
			m.phase(now, Done, "")
			return
		}
		m.stage(now, m.state.Stage+1)
	case after >= seconds(m.plan.Watch.MostS) && m.plan.Watch.Unknown == "back":
		m.goBack(now, "too little is known after the longest watch: "+m.opinion.Why)
	case after >= seconds(m.plan.Watch.MostS):
		m.hold(now, "too little is known after the longest watch: "+m.opinion.Why)
	}
}

// alone looks at the last stage, which leaves nobody to compare with: results of known queries still speak.
func (m *Machine) alone(samples []Sample) Opinion {
	wrong := 0
	for _, s := range samples {
		wrong += s.Checks.Wrong
	}
	if wrong >= wrongMost {
		return Opinion{Worse: true, Why: fmt.Sprintf("%d wrong results of known queries", wrong)}
	}
	return Opinion{Enough: len(samples) > 0, Why: "nobody is left to compare with"}
}

func less(a, b []Counts) []Counts {
	out := slices.Clone(a)
	for i := range out {
		if i < len(b) {
			out[i] = out[i].less(b[i])
		}
	}
	return out
}

func sum(a, b []Counts) []Counts {
	if len(a) < len(b) {
		a, b = b, a
	}
	out := slices.Clone(a)
	for i := range b {
		out[i] = out[i].plus(b[i])
	}
	return out
}
