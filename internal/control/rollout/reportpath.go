package rollout

import "time"

// What makes the path of the reports suspect, which may be interrupted for many gateways at a time.
const (
	// overdueReports are how many reports of a gateway have to be missing until it counts as overdue. It is fewer than make a
	// gateway silent, so that an outage of the path is noticed before a gateway is blamed for it.
	overdueReports = 2.5
	// suspectShare is the share of the witnesses that are overdue from which the path is suspect.
	suspectShare = 0.05
	// minOldWitnesses is how many old gateways are witnesses enough. Where fewer are left, all gateways are.
	minOldWitnesses = 3
	// minOverdueOfAll is how many are overdue at least if the witnesses are all gateways: a single one is the one in question.
	minOverdueOfAll = 2
)

// reportInterval is the time between two reports of a gateway.
const reportInterval = time.Second

// watchReportPath notes whether the path of the reports is suspect. It is called at each tick, before anything is decided, with the
// time since the last one.
func (m *Machine) watchReportPath(now, elapsed time.Duration) {
	old, oldOverdue, all, allOverdue := m.countOverdue(now)
	overdue, witnesses, minOverdue := oldOverdue, old, 1
	if old < minOldWitnesses {
		overdue, witnesses, minOverdue = allOverdue, all, minOverdueOfAll
	}
	if float64(overdue) >= max(float64(minOverdue), suspectShare*float64(witnesses)) {
		m.pathSuspectAt = now
	}
	if !m.pathIsSound(now) {
		m.pathSuspectFor += elapsed
	}
}

// countOverdue counts the steady gateways and those of them whose reports are overdue: the old ones, and all. A gateway that has been
// overdue for longer than the longest watch is no witness: it has failed itself.
func (m *Machine) countOverdue(now time.Duration) (old, oldOverdue, all, allOverdue int) {
	for i, g := range m.state.Gateways {
		missing := now - max(m.observed[i].reportedAt, m.begunAt)
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

// overdueAfter returns how long a gateway has not reported when it is overdue.
func (m *Machine) overdueAfter() time.Duration {
	return min(time.Duration(overdueReports*float64(reportInterval)), seconds(m.plan.Change.ReportTimeoutSeconds))
}

// pathIsSound reports whether the path of the reports has been sound for as long as a gateway may be silent. Only then does a gateway's
// silence say something about it: when an outage ends, any gateway may be the last to be heard of again.
func (m *Machine) pathIsSound(now time.Duration) bool {
	return now-m.pathSuspectAt > seconds(m.plan.Change.ReportTimeoutSeconds)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
