package rollout

import (
	"fmt"
	"time"
)

const (
	processVisibleAfter = 300 * time.Millisecond // after a start: until then its process may not be visible yet
	restartBackoff      = time.Second            // between two starts of the old version whose process ends at once
)

// unavailable counts the gateways that are out of service for the change.
func (m *Machine) unavailable() (count int) {
	for _, g := range m.state.Gateways {
		if g.Step == Stopping || g.Step == Starting {
			count++
		}
	}
	return count
}

func (m *Machine) setStep(now time.Duration, gateway int, s Step, pid int) {
	g := &m.state.Gateways[gateway]
	g.Step, g.Since, g.PID = s, now, pid
	m.dirty = true
	m.observed[gateway].recovered = false
	m.observed[gateway].waitNoted = false
}

// reconcile takes a gateway one step towards its target version.
func (m *Machine) reconcile(now time.Duration, gateway int) {
	if m.observed[gateway].pid == unknownPID {
		return
	}
	switch m.state.Gateways[gateway].Step {
	case Steady:
		m.reconcileSteady(now, gateway)
	case Stopping:
		m.reconcileStopping(now, gateway)
	case Starting:
		m.reconcileStarting(now, gateway)
	case Reloading:
		m.reconcileReloading(now, gateway)
	}
}

// reconcileSteady restarts a gateway that has ended, and begins to change one that does not run its target version.
func (m *Machine) reconcileSteady(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	if observed.pid == 0 {
		m.processCrashed(now, gateway)
		return
	}
	if observed.reportedAt == 0 || observed.report.PID != observed.pid {
		return // its version is not known
	}
	running, target := observed.report.id(), m.ids[g.TargetVersion]
	if running == target || m.state.Phase == Holding || m.unavailable() >= m.plan.Change.MaxUnavailable {
		return
	}
	g.StartedVersion = g.TargetVersion
	if running.Program == target.Program && observed.reloadable && !observed.report.RestartPending {
		m.reload(now, gateway)
		return
	}
	m.stopProcess(now, gateway)
}

// reconcileStopping waits for a process to end, and kills it after the plan's timeout.
func (m *Machine) reconcileStopping(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	switch {
	case observed.pid != g.PID: // it has ended
		m.startProcess(now, gateway)
	case observed.recovered:
		m.setStep(now, gateway, Stopping, g.PID)
		m.addAction(Stop{gateway, g.PID})
	case now-g.Since > seconds(m.plan.Change.StopTimeoutSeconds):
		m.addNote("gateway %d did not stop in time and is killed", gateway)
		m.setStep(now, gateway, Stopping, g.PID)
		m.addAction(Kill{gateway, g.PID})
	}
}

// reconcileReloading waits for a process to report the new settings, and restarts it if it cannot use them without.
func (m *Machine) reconcileReloading(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	needsRestart := observed.report.RestartPending && observed.reportedAt > g.Since
	switch {
	case observed.pid != g.PID: // it has ended: the next call handles the crash
		m.setStep(now, gateway, Steady, 0)
	case m.runsVersion(gateway, g.TargetVersion):
		m.setStep(now, gateway, Steady, 0)
	case observed.recovered:
		m.setStep(now, gateway, Reloading, g.PID)
		m.addAction(Reload{gateway, g.TargetVersion, g.PID})
	case needsRestart, now-g.Since > seconds(m.plan.Change.ReadyTimeoutSeconds):
		if !needsRestart && m.isSilent(now, gateway) && m.waitForReport(now, gateway) {
			return
		}
		if g.TargetVersion == NewVersion && !observed.report.RestartPending {
			m.rollBack(now, fmt.Sprintf("gateway %d did not take the new settings", gateway))
		}
		m.stopProcess(now, gateway)
	}
}

// reconcileStarting waits for a started process to report that it serves on the target version.
func (m *Machine) reconcileStarting(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	elapsed := now - g.Since
	visible := restartBackoff
	if g.StartedVersion == NewVersion {
		visible = processVisibleAfter
	}
	switch {
	case g.StartedVersion != g.TargetVersion && observed.pid > 0: // the target changed meanwhile
		m.stopProcess(now, gateway)
	case g.StartedVersion != g.TargetVersion:
		m.startProcess(now, gateway)
	case m.runsVersion(gateway, g.TargetVersion):
		m.setStep(now, gateway, Steady, 0)
	case observed.pid == 0 && observed.recovered:
		m.startProcess(now, gateway) // the controller may have ended before it started the process
	case observed.pid == 0 && elapsed > visible:
		m.startFailed(now, gateway, "ended at its start")
	case elapsed > seconds(m.plan.Change.ReadyTimeoutSeconds):
		m.startOverdue(now, gateway)
	}
}

// startOverdue handles a process that has not reported in time that it serves. One that was not heard of at all is waited for longer
// where the path of the reports is suspect.
func (m *Machine) startOverdue(now time.Duration, gateway int) {
	observed := &m.observed[gateway]
	unreported := observed.pid > 0 && observed.report.PID != observed.pid
	if unreported && m.waitForReport(now, gateway) {
		return
	}
	m.startFailed(now, gateway, fmt.Sprintf("did not serve on its version %g s after its start", m.plan.Change.ReadyTimeoutSeconds))
}

// waitForReport reports whether a gateway's overdue report is waited for longer, as the path of the reports is suspect.
func (m *Machine) waitForReport(now time.Duration, gateway int) bool {
	if m.pathIsSound(now) {
		return false
	}
	if observed := &m.observed[gateway]; !observed.waitNoted {
		observed.waitNoted = true
		m.addNote("gateway %d has not reported in time, but others do not either: it is waited for longer", gateway)
	}
	return true
}

// startProcess starts a gateway on its target version.
func (m *Machine) startProcess(now time.Duration, gateway int) {
	g := &m.state.Gateways[gateway]
	g.StartedVersion = g.TargetVersion
	m.setStep(now, gateway, Starting, 0)
	m.addAction(Start{gateway, g.StartedVersion})
}

// stopProcess stops the process that a gateway runs.
func (m *Machine) stopProcess(now time.Duration, gateway int) {
	pid := m.observed[gateway].pid
	m.setStep(now, gateway, Stopping, pid)
	m.addAction(Stop{gateway, pid})
}

// reload has the process that a gateway runs read the settings of its target version.
func (m *Machine) reload(now time.Duration, gateway int) {
	pid := m.observed[gateway].pid
	m.setStep(now, gateway, Reloading, pid)
	m.addAction(Reload{gateway, m.state.Gateways[gateway].TargetVersion, pid})
}

// startFailed handles a start after which the gateway does not serve. On the new version it rolls the change back.
func (m *Machine) startFailed(now time.Duration, gateway int, failure string) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	m.addNote("gateway %d on the %s version %s", gateway, g.StartedVersion, failure)
	if g.StartedVersion == NewVersion && m.state.Phase != RollingBack {
		m.rollBack(now, fmt.Sprintf("gateway %d %s", gateway, failure))
	}
	switch {
	case observed.pid > 0 && g.StartedVersion == OldVersion && g.TargetVersion == OldVersion:
		// It runs: perhaps only its reports do not arrive, and another start would not change that.
		m.setStep(now, gateway, Starting, 0)
	case observed.pid > 0:
		m.stopProcess(now, gateway)
	default:
		m.startProcess(now, gateway)
	}
}

// processCrashed restarts a gateway whose process ended without having been stopped, and counts the crash against its
// version. A single process may end by chance.
func (m *Machine) processCrashed(now time.Duration, gateway int) {
	g := &m.state.Gateways[gateway]
	crashes := &m.state.Crashes
	m.addNote("gateway %d on the %s version has ended by itself", gateway, g.StartedVersion)
	if g.StartedVersion == NewVersion {
		crashes[newCrashes]++
		m.judgeCrash(now)
	} else {
		crashes[oldCrashes]++
	}
	m.startProcess(now, gateway)
}

// judgeCrash rolls the change back if too many new gateways have crashed; after a single crash the stage is watched for
// longer.
func (m *Machine) judgeCrash(now time.Duration) {
	onNew := m.stageTarget(m.state.Stage)
	onOld := len(m.observed) - onNew
	crashesOld, crashesNew := m.state.Crashes[oldCrashes], m.state.Crashes[newCrashes]
	allowed := m.plan.Judge.MaxCrashes + crashesOld*onNew/max(1, onOld)
	if m.state.Phase != RollingBack && crashesNew >= allowed {
		m.rollBack(now, fmt.Sprintf("%d crashes of new gateways, %d of old ones", crashesNew, crashesOld))
	} else if m.state.Phase == Watching {
		m.state.Since = now
	}
}
