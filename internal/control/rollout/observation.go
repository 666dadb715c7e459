package rollout

import (
	"slices"
	"time"
)

// observation is what is known of a gateway and not stored.
type observation struct {
	pid         int // of its process; 0 = there is none
	report      Report
	reportedAt  time.Duration  // when the report arrived; 0 = none yet
	baseline    []Counts       // of the process that ran when the watch began
	baselinePID int            // the process that the baseline belongs to; 0 = no report during the watch yet
	endedCounts []Counts       // of processes that ended during the watch
	checks      []CheckResults // by class, of the watch
	reloadable  bool           // it can read new settings while it runs
	recovered   bool           // its step comes from a stored state: the action may not have been carried out
	waitNoted   bool           // it was noted that the gateway is waited for, as the path of the reports is suspect

	// Checks that the report's counts hold, and those that the baseline's held already: others must not be subtracted from them.
	reportedChecks, baselineChecks []CheckResults
}

// unknownPID stands for a process that has not been looked for yet.
const unknownPID = -1

// ReceiveReport records a gateway's report. Reports of processes that have ended are ignored.
func (m *Machine) ReceiveReport(now time.Duration, r Report) {
	if r.Gateway < 0 || r.Gateway >= len(m.observed) {
		return
	}
	observed := &m.observed[r.Gateway]
	if observed.reportedAt > 0 && r.StartedAt < observed.report.StartedAt {
		return // of an earlier process, reordered by the network
	}
	restarted := observed.baselinePID != 0 && observed.report.PID == observed.baselinePID && r.PID != observed.baselinePID
	if restarted {
		counts := subtractCounts(observed.report.Classes, observed.baseline)
		observed.endedCounts = addCounts(observed.endedCounts, counts)
		observed.baseline, observed.baselinePID = nil, r.PID
	}
	if observed.baselinePID == 0 && m.state.Phase == Watching { // its first report of the watch
		observed.baseline, observed.baselinePID = r.Classes, r.PID
		observed.baselineChecks = slices.Clone(observed.checks)
	}
	observed.report, observed.reportedAt = r, now
	observed.reportedChecks = slices.Clone(observed.checks)
}

// ObserveProcess records what a search for a gateway's process found: its id, 0 for none, and whether it can read new
// settings while it runs.
func (m *Machine) ObserveProcess(gateway, pid int, reloadable bool) {
	m.observed[gateway].pid = pid
	m.observed[gateway].reloadable = reloadable
}

// RecordChecks adds results of a class's checks at a gateway. Outside of a watch they are ignored.
func (m *Machine) RecordChecks(gateway, class int, results CheckResults) {
	observed := &m.observed[gateway]
	if m.state.Phase != Watching || class < 0 || class >= len(observed.checks) {
		return
	}
	observed.checks[class] = observed.checks[class].add(results)
}

// runsVersion reports whether the gateway's process reports that it serves on a version.
func (m *Machine) runsVersion(gateway int, version string) bool {
	observed := &m.observed[gateway]
	current := observed.reportedAt > 0 && observed.report.PID == observed.pid
	return current && observed.report.Serving && observed.report.id() == m.ids[version]
}

// isSilent reports whether a gateway's last report is too old.
func (m *Machine) isSilent(now time.Duration, gateway int) bool {
	at := m.observed[gateway].reportedAt
	return at == 0 || now-at > seconds(m.plan.Change.ReportTimeoutSeconds)
}

// countSilent counts the steady gateways that are silent, by the version that they were started on.
func (m *Machine) countSilent(now time.Duration) (silentOld, silentNew int) {
	for i, g := range m.state.Gateways {
		switch {
		case g.Step != Steady || !m.isSilent(now, i):
		case g.StartedVersion == NewVersion:
			silentNew++
		default:
			silentOld++
		}
	}
	return silentOld, silentNew
}

// Samples returns what each gateway did while the stage was watched, without those that report nothing.
func (m *Machine) Samples(now time.Duration) (samples []Sample) {
	for i := range m.observed {
		observed := &m.observed[i]
		if m.isSilent(now, i) || observed.baselinePID == 0 {
			continue
		}
		isNew := m.state.Gateways[i].StartedVersion == NewVersion
		samples = append(samples, m.sample(isNew, observed))
	}
	return samples
}

// sample returns what one gateway did. The controller's checks are a class of their own.
func (m *Machine) sample(isNew bool, observed *observation) Sample {
	s := Sample{New: isNew, Classes: observed.watchedCounts(), MemoryMB: observed.report.MemoryMB}
	for _, results := range observed.checks {
		s.Checks = s.Checks.add(results)
	}
	for class := range min(len(s.Classes), len(observed.reportedChecks)) {
		s.Classes[class] = s.Classes[class].withoutChecks(observed.countedChecks(class))
	}
	if len(m.plan.Checks) > 0 {
		s.Classes = append(s.Classes, s.Checks.asCounts())
	}
	return s
}

// countedChecks returns the checks of a class that watchedCounts holds.
func (o *observation) countedChecks(class int) CheckResults {
	results := o.reportedChecks[class]
	if class < len(o.baselineChecks) {
		results = results.subtract(o.baselineChecks[class])
	}
	return results
}

// watchedCounts returns the gateway's counts since the watch began, over all its processes.
func (o *observation) watchedCounts() []Counts {
	current := o.report.Classes
	if o.report.PID == o.baselinePID {
		current = subtractCounts(o.report.Classes, o.baseline)
	}
	return addCounts(o.endedCounts, current)
}

// classNames returns the names of the classes of a sample.
func (m *Machine) classNames() []string {
	if len(m.plan.Checks) == 0 {
		return m.classes
	}
	return append(slices.Clone(m.classes), "known queries")
}
