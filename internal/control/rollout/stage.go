package rollout

import (
	"fmt"
	"time"
)

// evaluateInterval is the time between two evaluations of a stage.
const evaluateInterval = 500 * time.Millisecond

// stageTarget returns how many gateways are on the new version when a stage is complete.
func (m *Machine) stageTarget(stage int) int {
	gateways, _ := stageSize(m.plan.Stages[stage], len(m.observed)) // ParsePlan has checked it
	return gateways
}

func (m *Machine) startStage(now time.Duration, stage int) {
	m.state.Stage = stage
	m.state.Crashes = [2]int{}
	m.setPhase(now, Changing, "")
	for _, gateway := range m.order[:m.stageTarget(stage)] {
		m.state.Gateways[gateway].TargetVersion = NewVersion
	}
}

// startWatch starts to count from zero.
func (m *Machine) startWatch(now time.Duration) {
	m.state.Since, m.dirty = now, true
	m.pathSuspectFor = 0
	m.verdict = Verdict{Reason: "it has just begun"}
	for i := range m.observed {
		observed := &m.observed[i]
		observed.baseline, observed.baselinePID = nil, 0
		observed.endedCounts = nil
		observed.checks = make([]CheckResults, len(m.classes))
		observed.reportedChecks, observed.baselineChecks = nil, nil
		if observed.reportedAt > 0 {
			observed.baseline, observed.baselinePID = observed.report.Classes, observed.report.PID
		}
	}
}

// holdStage stops the change where it is until an operator resumes it.
func (m *Machine) holdStage(now time.Duration, reason string) {
	m.addNote("held in stage %d: %s", m.state.Stage+1, reason)
	interrupted := m.state.Phase
	m.setPhase(now, Holding, reason)
	m.state.ResumePhase = interrupted
}

// rollBack returns all gateways to the old version.
func (m *Machine) rollBack(now time.Duration, reason string) {
	m.addNote("stage %d is taken back: %s", m.state.Stage+1, reason)
	m.setPhase(now, RollingBack, reason)
	for i := range m.state.Gateways {
		m.state.Gateways[i].TargetVersion = OldVersion
	}
}

// converged reports whether all gateways are steady, and those whose target is the version run it.
func (m *Machine) converged(version string) bool {
	for i, g := range m.state.Gateways {
		if g.Step != Steady || g.TargetVersion == version && !m.runsVersion(i, version) {
			return false
		}
	}
	return true
}

// evaluateStage decides whether the watched stage goes on, is rolled back, or is watched for longer.
func (m *Machine) evaluateStage(now time.Duration) {
	if now-m.evaluatedAt < evaluateInterval {
		return
	}
	m.evaluatedAt = now
	samples := m.Samples(now)
	silentOld, silentNew := m.countSilent(now)
	watched := now - m.state.Since
	m.verdict = m.evaluateSamples(samples)
	switch {
	case m.verdict.Worse:
		m.rollBack(now, m.verdict.Reason)
		return
	case silentNew > 0 && watched > seconds(m.plan.Change.ReportTimeoutSeconds) && m.pathIsSound(now):
		// A gateway that does not report in time counts as worse.
		m.rollBack(now, fmt.Sprintf("%d new gateways report nothing", silentNew))
		return
	case silentNew > 0:
		m.verdict = Verdict{Reason: fmt.Sprintf("%d new and %d old gateways report nothing", silentNew, silentOld)}
	}
	switch {
	case m.verdict.Conclusive && watched >= seconds(m.plan.Watch.MinSeconds) && m.converged(NewVersion):
		m.completeStage(now, samples)
	case watched-min(m.pathSuspectFor, seconds(m.plan.Watch.MaxSeconds)) >= seconds(m.plan.Watch.MaxSeconds):
		m.endInconclusiveWatch(now)
	}
}

// lastStage reports whether the current stage is the whole fleet.
func (m *Machine) lastStage() bool { return m.stageTarget(m.state.Stage) == len(m.observed) }

// completeStage starts the next stage, or ends the change after the last one.
func (m *Machine) completeStage(now time.Duration, samples []Sample) {
	m.addNote("stage %d does not do worse: %s", m.state.Stage+1, m.plan.Judge.Summary(samples, len(m.classes)))
	if m.lastStage() {
		m.addNote("all gateways are on the new version")
		m.setPhase(now, Done, "")
		return
	}
	m.startStage(now, m.state.Stage+1)
}

// endInconclusiveWatch does what the plan has for a stage about which too little is known after the longest watch.
func (m *Machine) endInconclusiveWatch(now time.Duration) {
	reason := "too little is known after the longest watch: " + m.verdict.Reason
	if m.plan.Watch.OnInconclusive == RollBackInconclusive {
		m.rollBack(now, reason)
		return
	}
	m.holdStage(now, reason)
}

func (m *Machine) evaluateSamples(samples []Sample) Verdict {
	if m.lastStage() {
		return evaluateChecks(samples)
	}
	return m.plan.Judge.Evaluate(samples, m.classNames(), len(m.classes), len(m.plan.Stages))
}

// evaluateChecks evaluates the last stage, which leaves no old gateways to compare with: incorrect results of checks still
// count.
func evaluateChecks(samples []Sample) Verdict {
	incorrect := 0
	for _, s := range samples {
		incorrect += s.Checks.Incorrect
	}
	if incorrect >= minIncorrectResults {
		return Verdict{Worse: true, Reason: fmt.Sprintf("%d wrong results of known queries", incorrect)}
	}
	return Verdict{Conclusive: len(samples) > 0, Reason: "nobody is left to compare with"}
}
