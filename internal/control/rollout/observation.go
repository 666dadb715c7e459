package rollout

import (
	"slices"
	"time"
)

// observation is the part of a gateway's known state that is not stored.
type observation struct {
	pid                int // current process ID; 0 = no process, unknownPID = not looked for yet
	report             Report
	reportedAt         time.Duration  // when report arrived; 0 = no report yet
	baseline           []Counts       // counts of the current process from before the watch; they are subtracted
	baselinePID        int            // process to which baseline belongs; 0 = no report in this watch yet
	endedProcessCounts []Counts       // counts of processes that have ended during the watch
	checks             []CheckResults // by class: all check results of the watch
	reloadable         bool           // the process can read new settings without a restart
	recovered          bool           // the step was restored by Resume: its action may not have been carried out
	extensionNoted     bool           // the longer wait for its report was already noted; see extendReportWait

	// Check results by class at the time of the last report and of the baseline. Only the difference is contained in the counts
	// of the watch and may be subtracted from them.
	reportedChecks, baselineChecks []CheckResults
}

// unknownPID means that the gateway's process has not been looked for yet.
const unknownPID = -1

// ReceiveReport records a gateway's report. Reports of earlier processes of the gateway are ignored.
func (m *Machine) ReceiveReport(now time.Duration, r Report) {
	if r.Gateway < 0 || r.Gateway >= len(m.observed) {
		return
	}
	observed := &m.observed[r.Gateway]
	if observed.reportedAt > 0 && r.StartedAt < observed.report.StartedAt {
		return // sent by an earlier process and delayed by the network
	}
	restarted := observed.baselinePID != 0 && observed.report.PID == observed.baselinePID && r.PID != observed.baselinePID
	if restarted {
		counts := subtractCounts(observed.report.Classes, observed.baseline)
		observed.endedProcessCounts = addCounts(observed.endedProcessCounts, counts)
		observed.baseline, observed.baselinePID = nil, r.PID
	}
	if observed.baselinePID == 0 && m.state.Phase == Watching { // first report since the comparison of the stage began
		observed.baseline, observed.baselinePID = r.Classes, r.PID
		observed.baselineChecks = slices.Clone(observed.checks)
	}
	observed.report, observed.reportedAt = r, now
	observed.reportedChecks = slices.Clone(observed.checks)
}

// ObserveProcess records the gateway's current process: its pid, 0 if there is none, and whether it can read new settings without
// a restart.
func (m *Machine) ObserveProcess(gateway, pid int, reloadable bool) {
	m.observed[gateway].pid = pid
	m.observed[gateway].reloadable = reloadable
}

// RecordChecks adds check results of a class at a gateway. Results outside of a watch are ignored.
func (m *Machine) RecordChecks(gateway, class int, results CheckResults) {
	observed := &m.observed[gateway]
	if m.state.Phase != Watching || class < 0 || class >= len(observed.checks) {
		return
	}
	observed.checks[class] = observed.checks[class].add(results)
}

// runsVersion reports whether the last report of the gateway's current process says that it serves on the version.
func (m *Machine) runsVersion(gateway int, version string) bool {
	observed := &m.observed[gateway]
	current := observed.reportedAt > 0 && observed.report.PID == observed.pid
	return current && observed.report.Serving && observed.report.id() == m.ids[version]
}

// isSilent reports whether a gateway has not reported within the plan's report timeout.
func (m *Machine) isSilent(now time.Duration, gateway int) bool {
	at := m.observed[gateway].reportedAt
	return at == 0 || now-at > seconds(m.plan.Change.ReportTimeoutSeconds)
}

// countSilent counts the steady gateways that are silent, by the version on which they were started.
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

// Samples returns the counts of each gateway since the watch began, leaving out gateways that are silent.
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

// sample returns the counts of one gateway. The controller's checks are moved from their classes to a separate, last class.
func (m *Machine) sample(isNew bool, observed *observation) Sample {
	s := Sample{New: isNew, Classes: observed.countsDuringWatch(), MemoryMB: observed.report.MemoryMB}
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

// countedChecks returns the check results of a class that are contained in countsDuringWatch.
func (o *observation) countedChecks(class int) CheckResults {
	results := o.reportedChecks[class]
	if class < len(o.baselineChecks) {
		results = results.subtract(o.baselineChecks[class])
	}
	return results
}

// countsDuringWatch returns the gateway's counts since the watch began, summed over all its processes.
func (o *observation) countsDuringWatch() []Counts {
	current := o.report.Classes
	if o.report.PID == o.baselinePID {
		current = subtractCounts(o.report.Classes, o.baseline)
	}
	return addCounts(o.endedProcessCounts, current)
}

// classNames returns the names of the classes in a Sample: those of clients, then that of the checks if there are any.
func (m *Machine) classNames() []string {
	if len(m.plan.Checks) == 0 {
		return m.classes
	}
	return append(slices.Clone(m.classes), "checks")
}
