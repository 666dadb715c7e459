package rollout

import "time"

// Thresholds for suspecting a report outage, in which the controller receives no reports of several gateways that may be healthy.
// The reference gateways are the old ones or, if too few are left, all gateways.
const (
	// overdueAfterReports is the number of missed reports after which a gateway counts as overdue. It is lower than the number after
	// which a gateway counts as silent, so that an outage is suspected before a gateway is blamed for it.
	overdueAfterReports = 2.5
	// outageOverdueShare is the share of overdue reference gateways from which an outage is suspected.
	outageOverdueShare = 0.05
	// minReferenceGateways is the number of old gateways below which all gateways are the reference.
	minReferenceGateways = 3
	// minOverdueInFleet is the minimum number of overdue gateways if all gateways are the reference: a single one may itself be the
	// faulty gateway.
	minOverdueInFleet = 2
)

// reportInterval is the time between two reports of the same gateway.
const reportInterval = time.Second

// detectReportOutage records whether a report outage is suspected. It is called at the start of each tick with the time elapsed since
// the last tick.
func (m *Machine) detectReportOutage(now, elapsed time.Duration) {
	old, oldOverdue, all, allOverdue := m.countOverdue(now)
	overdue, reference, minOverdue := oldOverdue, old, 1
	if old < minReferenceGateways {
		overdue, reference, minOverdue = allOverdue, all, minOverdueInFleet
	}
	if float64(overdue) >= max(float64(minOverdue), outageOverdueShare*float64(reference)) {
		m.outageSuspectedAt = now
	}
	if !m.reportsReliable(now) {
		m.outageSuspectedFor += elapsed
	}
}

// countOverdue counts the steady gateways and those of them whose reports are overdue, among the old gateways and among all. It leaves
// out gateways without a report for longer than the maximum watch, as these have failed themselves.
func (m *Machine) countOverdue(now time.Duration) (old, oldOverdue, all, allOverdue int) {
	for i, g := range m.state.Gateways {
		missing := now - max(m.observed[i].reportedAt, m.createdAt)
		if g.Step != Steady || missing > seconds(m.plan.Watch.MaxSeconds) {
			continue
		}
		isOverdue := missing > m.overdueAfter()
		all, allOverdue = all+1, allOverdue+boolToInt(isOverdue)
		if g.StartedVersion == OldVersion {
			old, oldOverdue = old+1, oldOverdue+boolToInt(isOverdue)
		}
	}
	return old, oldOverdue, all, allOverdue
}

// overdueAfter returns the time since its last report after which a gateway is overdue.
func (m *Machine) overdueAfter() time.Duration {
	return min(time.Duration(overdueAfterReports*float64(reportInterval)), seconds(m.plan.Change.ReportTimeoutSeconds))
}

// reportsReliable reports whether no report outage has been suspected for the plan's report timeout. Only then does a missing report
// show a fault of the gateway: after an outage, the reports of some gateways may arrive later than those of others.
func (m *Machine) reportsReliable(now time.Duration) bool {
	return now-m.outageSuspectedAt > seconds(m.plan.Change.ReportTimeoutSeconds)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
