package capacity

import "time"

// ChangeStep is a step of a change of primary or of configuration, with the time that the proposed design allows for it.
type ChangeStep struct {
	Name     string
	Existing string  // what the program does for this step today
	Seconds  float64 // duration in the proposed design
	Source   string  // setting or arithmetic from which the duration is derived
}

// Durations in the proposed designs, in seconds. They are settings or derived from settings; none is measured.
const (
	roundTripSeconds = 2 * 0.038 // twice the longest one-way delay in the settings of the site
	heartbeatSeconds = 0.5       // interval of heartbeats from an engine to the control machines
	leaseSeconds     = 3.0       // five missed heartbeats, and half an interval until the next check
	quorumSeconds    = 2 * roundTripSeconds
	drainSeconds     = 2.0  // rules.drain_grace of the site, so that work sent before the change can arrive
	dialSeconds      = 0.25 // permissions.connect_timeout of the site
	watchSeconds     = 5.0  // analysis window of a canary zone before all other zones apply a configuration
	reserveSeconds   = 1.0
)

// PrimaryChangeSteps returns the steps of a change of primary.
func (m Model) PrimaryChangeSteps() []ChangeStep {
	return []ChangeStep{
		{"detection", "absent: engines are not monitored; membership detects dead gateways only", leaseSeconds,
			"a lease held at the control machines, with heartbeats every " + formatSeconds(heartbeatSeconds)},
		{"decision", "absent", quorumSeconds,
			"two round trips among the control machines (" + formatSeconds(roundTripSeconds) + " each at the site's longest delay)"},
		{"propagation", "absent; a new list of engines takes this path", m.propagationSeconds(),
			"a one-way delay, and the time in which a gateway parses and applies a full list"},
		{"switchover", "absent; gateways stop using a draining engine in this time", drainSeconds + dialSeconds,
			"drain grace and connect timeout in the settings of the site"},
	}
}

// propagationSeconds returns the time to push a change to a gateway and apply it there.
func (m Model) propagationSeconds() float64 {
	engines := m.Target.Engines
	return roundTripSeconds/2 + m.estimate(ListParse, engines) + m.estimate(ListApply, engines)
}

// MembershipDetectionTimes returns the median and the longest time, in seconds, until membership has informed every gateway
// that another one has died. No other part of the program detects machine failures.
func (m Model) MembershipDetectionTimes() (median, longest float64) {
	gateways := m.Target.Gateways
	return m.estimate(DetectionFirstMember, gateways) + m.estimate(DetectionAllMembers, gateways), m.estimate(DetectionMax, gateways)
}

// ConfigurationChangeSteps returns the steps of a change of configuration.
func (m Model) ConfigurationChangeSteps() []ChangeStep {
	return []ChangeStep{
		{"validation and commit", "absent: a person edits a file; each gateway validates the whole file when it reads it", quorumSeconds,
			"validated once and committed at the control machines, two round trips"},
		{"distribution", "absent: another tool installs the file", m.propagationSeconds(), "pushed in the same way as a new list of engines"},
		{"canary zone", "a staged change watches each stage for at least 30 s", watchSeconds, "shorter than today's minimum analysis window"},
		{"all other zones", "manual SIGHUP", m.propagationSeconds(), "pushed in the same way"},
		{"acknowledgment by all gateways",
			"the version is piggybacked on membership datagrams, every 20 s to each member; not measured at this size", reserveSeconds,
			"acknowledged on the connection that delivered it"},
	}
}

// TotalSeconds returns the total duration of the steps.
func TotalSeconds(steps []ChangeStep) (total float64) {
	for _, step := range steps {
		total += step.Seconds
	}
	return total
}

// RestartOverlap returns the share of configuration changes during which at least one gateway restarts, if changes and
// restarts are spread evenly over the day.
func (t Target) RestartOverlap() float64 {
	return min(1, t.RestartsPerDay*t.ConfigurationDeadline.Seconds()/(24*time.Hour).Seconds())
}
