package rollout

import (
	"fmt"
	"time"
)

const (
	processVisibilityDelay = 300 * time.Millisecond // time after a start within which the new process is certain to be found
	restartBackoff         = time.Second            // interval between restarts of an old-version process that exits at once
)

// unavailable returns the number of gateways that the change has taken out of service.
func (m *Machine) unavailable() (count int) {
	for _, g := range m.state.Gateways {
		if g.Step == Stopping || g.Step == Starting {
			count++
		}
	}
	return count
}

// setStep records the current step of a gateway.
func (m *Machine) setStep(now time.Duration, gateway int, s Step, pid int) {
	g := &m.state.Gateways[gateway]
	g.Step, g.Since, g.PID = s, now, pid
	m.dirty = true
	m.observed[gateway].recovered = false
	m.observed[gateway].extensionNoted = false
}

// reconcile moves a gateway one step towards its target version.
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

// reconcileSteady restarts a gateway whose process has ended, and begins to change a gateway that does not run its target version.
func (m *Machine) reconcileSteady(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	if observed.pid == 0 {
		m.processCrashed(now, gateway)
		return
	}
	if observed.reportedAt == 0 || observed.report.PID != observed.pid {
		return // the version of the current process is unknown
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

// reconcileStopping waits for a process to exit, and kills it after the plan's stop timeout.
func (m *Machine) reconcileStopping(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	switch {
	case observed.pid != g.PID: // the process has exited
		m.startProcess(now, gateway)
	case observed.recovered:
		m.setStep(now, gateway, Stopping, g.PID)
		m.addAction(Stop{gateway, g.PID})
	case now-g.Since > seconds(m.plan.Change.StopTimeoutSeconds):
		m.addNote("gateway %d did not stop in time: killing its process", gateway)
		m.setStep(now, gateway, Stopping, g.PID)
		m.addAction(Kill{gateway, g.PID})
	}
}

// reconcileReloading waits for a process to report that it runs with the new settings, and restarts it if they need a restart or
// are not reported in time.
func (m *Machine) reconcileReloading(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	needsRestart := observed.report.RestartPending && observed.reportedAt > g.Since
	switch {
	case observed.pid != g.PID: // the process has exited: the next call handles the crash
		m.setStep(now, gateway, Steady, 0)
	case m.runsVersion(gateway, g.TargetVersion):
		m.setStep(now, gateway, Steady, 0)
	case observed.recovered:
		m.setStep(now, gateway, Reloading, g.PID)
		m.addAction(Reload{gateway, g.TargetVersion, g.PID})
	case needsRestart, now-g.Since > seconds(m.plan.Change.ReadyTimeoutSeconds):
		if !needsRestart && m.isSilent(now, gateway) && m.extendReportWait(now, gateway) {
			return
		}
		if g.TargetVersion == NewVersion && !observed.report.RestartPending {
			m.rollBack(now, fmt.Sprintf("gateway %d did not apply the new settings", gateway))
		}
		m.stopProcess(now, gateway)
	}
}

// reconcileStarting waits for a started process to report that it serves on the target version.
func (m *Machine) reconcileStarting(now time.Duration, gateway int) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	elapsed := now - g.Since
	maxAbsence := restartBackoff // time after the start for which a process that is not found counts as starting
	if g.StartedVersion == NewVersion {
		maxAbsence = processVisibilityDelay
	}
	switch {
	case g.StartedVersion != g.TargetVersion && observed.pid > 0: // the target has changed since the start
		m.stopProcess(now, gateway)
	case g.StartedVersion != g.TargetVersion:
		m.startProcess(now, gateway)
	case m.runsVersion(gateway, g.TargetVersion):
		m.setStep(now, gateway, Steady, 0)
	case observed.pid == 0 && observed.recovered:
		m.startProcess(now, gateway) // the controller may have exited before it started the process
	case observed.pid == 0 && elapsed > maxAbsence:
		m.startFailed(now, gateway, "exited during its start")
	case elapsed > seconds(m.plan.Change.ReadyTimeoutSeconds):
		m.handleStartTimeout(now, gateway)
	}
}

// handleStartTimeout handles a process that has not reported in time that it serves. If the process has sent no report at all and a
// report outage is suspected, the wait is extended.
func (m *Machine) handleStartTimeout(now time.Duration, gateway int) {
	observed := &m.observed[gateway]
	unreported := observed.pid > 0 && observed.report.PID != observed.pid
	if unreported && m.extendReportWait(now, gateway) {
		return
	}
	m.startFailed(now, gateway, fmt.Sprintf("was not serving %g s after its start", m.plan.Change.ReadyTimeoutSeconds))
}

// extendReportWait reports whether to wait longer for a gateway's overdue report, because a report outage is suspected.
func (m *Machine) extendReportWait(now time.Duration, gateway int) bool {
	if m.reportsReliable(now) {
		return false
	}
	if observed := &m.observed[gateway]; !observed.extensionNoted {
		observed.extensionNoted = true
		m.addNote("gateway %d has not reported in time, but a report outage is suspected: waiting longer", gateway)
	}
	return true
}

// startProcess starts a gateway's process on its target version.
func (m *Machine) startProcess(now time.Duration, gateway int) {
	g := &m.state.Gateways[gateway]
	g.StartedVersion = g.TargetVersion
	m.setStep(now, gateway, Starting, 0)
	m.addAction(Start{gateway, g.StartedVersion})
}

// stopProcess stops a gateway's current process.
func (m *Machine) stopProcess(now time.Duration, gateway int) {
	pid := m.observed[gateway].pid
	m.setStep(now, gateway, Stopping, pid)
	m.addAction(Stop{gateway, pid})
}

// reload makes a gateway's current process read the settings of its target version.
func (m *Machine) reload(now time.Duration, gateway int) {
	pid := m.observed[gateway].pid
	m.setStep(now, gateway, Reloading, pid)
	m.addAction(Reload{gateway, m.state.Gateways[gateway].TargetVersion, pid})
}

// startFailed handles a process that was started and does not serve. On the new version it rolls the change back.
func (m *Machine) startFailed(now time.Duration, gateway int, failure string) {
	g, observed := &m.state.Gateways[gateway], &m.observed[gateway]
	m.addNote("gateway %d on the %s version %s", gateway, g.StartedVersion, failure)
	if g.StartedVersion == NewVersion && m.state.Phase != RollingBack {
		m.rollBack(now, fmt.Sprintf("gateway %d %s", gateway, failure))
	}
	switch {
	case observed.pid > 0 && g.StartedVersion == OldVersion && g.TargetVersion == OldVersion:
		// The process runs. Possibly just its reports are lost, which a restart would not cure.
		m.setStep(now, gateway, Starting, 0)
	case observed.pid > 0:
		m.stopProcess(now, gateway)
	default:
		m.startProcess(now, gateway)
	}
}

// processCrashed restarts a gateway whose process ended without having been stopped, and counts the crash for the version on which
// it was started.
func (m *Machine) processCrashed(now time.Duration, gateway int) {
	g := &m.state.Gateways[gateway]
	crashes := &m.state.Crashes
	m.addNote("gateway %d on the %s version exited unexpectedly: restarting it", gateway, g.StartedVersion)
	if g.StartedVersion == NewVersion {
		crashes[newCrashIndex]++
		m.judgeCrash(now)
	} else {
		crashes[oldCrashIndex]++
	}
	m.startProcess(now, gateway)
}

// judgeCrash rolls the change back if new gateways have crashed too often. Otherwise it restarts the duration of the watch, as a single
// crash may be chance.
func (m *Machine) judgeCrash(now time.Duration) {
	newGateways := m.stageGatewayCount(m.state.Stage)
	oldGateways := len(m.observed) - newGateways
	oldCrashes, newCrashes := m.state.Crashes[oldCrashIndex], m.state.Crashes[newCrashIndex]
	allowed := m.plan.Judge.MaxCrashes + oldCrashes*newGateways/max(1, oldGateways)
	if m.state.Phase != RollingBack && newCrashes >= allowed {
		m.rollBack(now, fmt.Sprintf("%d crashes of new gateways, %d of old gateways", newCrashes, oldCrashes))
	} else if m.state.Phase == Watching {
		m.state.Since = now
	}
}
