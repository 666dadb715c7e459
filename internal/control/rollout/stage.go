package rollout

import (
	"fmt"
	"time"
)

// evaluateInterval is the time between two evaluations of a stage.
const evaluateInterval = 500 * time.Millisecond

// stageGatewayCount returns the total number of gateways on the new version when a stage is complete.
func (m *Machine) stageGatewayCount(stage int) int {
	gateways, _ := stageSize(m.plan.Stages[stage], len(m.observed)) // validated by ParsePlan
	return gateways
}

// startStage begins to move the gateways of a stage to the new version.
func (m *Machine) startStage(now time.Duration, stage int) {
	m.state.Stage = stage
	m.state.Crashes = [2]int{}
	m.setPhase(now, Changing, "")
	for _, gateway := range m.changeOrder[:m.stageGatewayCount(stage)] {
		m.state.Gateways[gateway].TargetVersion = NewVersion
	}
}

// startWatch restarts the analysis of the current stage with empty counts.
func (m *Machine) startWatch(now time.Duration) {
	m.state.Since, m.dirty = now, true
	m.outageSuspectedFor = 0
	m.verdict = Verdict{Reason: "the watch has just begun"}
	for i := range m.observed {
		observed := &m.observed[i]
		observed.baseline, observed.baselinePID = nil, 0
		observed.endedProcessCounts = nil
		observed.checks = make([]CheckResults, len(m.classes))
		observed.reportedChecks, observed.baselineChecks = nil, nil
		if observed.reportedAt > 0 {
			observed.baseline, observed.baselinePID = observed.report.Classes, observed.report.PID
		}
	}
}

// holdStage puts the change on hold in the current stage until an operator resumes it.
func (m *Machine) holdStage(now time.Duration, reason string) {
	m.addNote("stage %d on hold: %s", m.state.Stage+1, reason)
	interrupted := m.state.Phase
	m.setPhase(now, Holding, reason)
	m.state.ResumePhase = interrupted
}

// rollBack begins to return all gateways to the old version.
func (m *Machine) rollBack(now time.Duration, reason string) {
	m.addNote("stage %d failed, rolling back all gateways: %s", m.state.Stage+1, reason)
	m.setPhase(now, RollingBack, reason)
	for i := range m.state.Gateways {
		m.state.Gateways[i].TargetVersion = OldVersion
	}
}

// converged reports whether all gateways are steady and those with the given target version run it.
func (m *Machine) converged(version string) bool {
	for i, g := range m.state.Gateways {
		if g.Step != Steady || g.TargetVersion == version && !m.runsVersion(i, version) {
			return false
		}
	}
	return true
}

// evaluateStage decides whether the stage is complete, is rolled back or put on hold, or needs a longer watch.
func (m *Machine) evaluateStage(now time.Duration) {
	if now-m.lastEvaluationAt < evaluateInterval {
		return
	}
	m.lastEvaluationAt = now
	samples := m.Samples(now)
	silentOld, silentNew := m.countSilent(now)
	watched := now - m.state.Since
	m.verdict = m.evaluateSamples(samples)
	switch {
	case m.verdict.Regressed:
		m.rollBack(now, m.verdict.Reason)
		return
	case silentNew > 0 && watched > seconds(m.plan.Change.ReportTimeoutSeconds) && m.reportsReliable(now):
		// A gateway that does not report in time counts as a regression.
		m.rollBack(now, fmt.Sprintf("%d new gateways stopped reporting", silentNew))
		return
	case silentNew > 0:
		m.verdict = Verdict{Reason: fmt.Sprintf("%d new and %d old gateways are not reporting", silentNew, silentOld)}
	}
	switch {
	case m.verdict.Conclusive && watched >= seconds(m.plan.Watch.MinSeconds) && m.converged(NewVersion):
		m.completeStage(now, samples)
	case watched-min(m.outageSuspectedFor, seconds(m.plan.Watch.MaxSeconds)) >= seconds(m.plan.Watch.MaxSeconds):
		m.endInconclusiveWatch(now)
	}
}

// isLastStage reports whether the current stage includes all gateways.
func (m *Machine) isLastStage() bool { return m.stageGatewayCount(m.state.Stage) == len(m.observed) }

// completeStage starts the next stage, or ends the change after the last one.
func (m *Machine) completeStage(now time.Duration, samples []Sample) {
	m.addNote("stage %d complete without a regression: %s", m.state.Stage+1, m.plan.Judge.Summary(samples, len(m.classes)))
	if m.isLastStage() {
		m.addNote("change complete: all gateways run the new version")
		m.setPhase(now, Done, "")
		return
	}
	m.startStage(now, m.state.Stage+1)
}

// endInconclusiveWatch rolls back or puts on hold, according to the plan, a stage that is inconclusive after the maximum watch.
func (m *Machine) endInconclusiveWatch(now time.Duration) {
	reason := "inconclusive after the maximum watch: " + m.verdict.Reason
	if m.plan.Watch.OnInconclusive == RollBackInconclusive {
		m.rollBack(now, reason)
		return
	}
	m.holdStage(now, reason)
}

// evaluateSamples returns the verdict on the current stage.
func (m *Machine) evaluateSamples(samples []Sample) Verdict {
	if m.isLastStage() {
		return evaluateChecks(samples)
	}
	return m.plan.Judge.Evaluate(samples, m.classNames(), len(m.classes), len(m.plan.Stages))
}

// evaluateChecks evaluates the last stage by the check results alone, as no old gateways are left to compare with.
func evaluateChecks(samples []Sample) Verdict {
	incorrect := 0
	for _, s := range samples {
		incorrect += s.Checks.Incorrect
	}
	if incorrect >= minIncorrectResults {
		return Verdict{Regressed: true, Reason: fmt.Sprintf("%d incorrect check results", incorrect)}
	}
	return Verdict{Conclusive: len(samples) > 0, Reason: "no old gateways left to compare with"}
}
