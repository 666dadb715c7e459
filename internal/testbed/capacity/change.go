package capacity

import "time"

// Part is one step of a change, with the time that a sketch of a design allows for it.
type Part struct {
	Name     string
	Existing string  // what the program has for it today
	Seconds  float64 // in the sketch
	Source   string  // of the seconds
}

// Times of the sketches, in seconds. They are settings or arithmetic; none is measured.
const (
	roundTripSeconds = 2 * 0.038 // twice the longest one-way delay that the site's settings state
	heartbeatSeconds = 0.5       // of an engine to the control machines
	leaseSeconds     = 3.0       // five missed heartbeats, and half an interval until the check
	quorumSeconds    = 2 * roundTripSeconds
	drainSeconds     = 2.0  // rules.drain_grace of the site: work sent before the change may arrive
	dialSeconds      = 0.25 // permissions.connect_timeout of the site
	watchSeconds     = 5.0  // of a canary zone before all take a configuration
	reserveSeconds   = 1.0
)

// PrimaryChangeParts returns the parts of a change of primary.
func (m Model) PrimaryChangeParts() []Part {
	return []Part{
		{"detection", "absent: engines are not watched; dead gateways are told by membership", leaseSeconds,
			"a lease at the control machines: heartbeats of " + formatSeconds(heartbeatSeconds)},
		{"decision", "absent", quorumSeconds,
			"two round trips among the control machines (" + formatSeconds(roundTripSeconds) + " each at the site's longest delay)"},
		{"telling", "absent; a new list of engines goes this way", m.propagationSeconds(),
			"a one-way delay and the list's parsing and taking in at a gateway, as if it were whole"},
		{"switching", "absent; an engine that drains is left in this time", drainSeconds + dialSeconds,
			"drain grace and connect timeout of the site's settings"},
	}
}

// propagationSeconds is the time to push a change to a gateway and apply it there.
func (m Model) propagationSeconds() float64 {
	engines := m.Target.Engines
	return roundTripSeconds/2 + m.estimate(ListParse, engines) + m.estimate(ListApply, engines)
}

// MembershipDetection returns how long membership takes, in seconds, until every gateway knows that one has died: the
// median and the longest. Nothing else in the program detects a failure of a machine.
func (m Model) MembershipDetection() (median, longest float64) {
	gateways := m.Target.Gateways
	return m.estimate(DetectionFirstMember, gateways) + m.estimate(DetectionAllMembers, gateways), m.estimate(DetectionMax, gateways)
}

// ConfigurationChangeParts returns the parts of a change of configuration.
func (m Model) ConfigurationChangeParts() []Part {
	return []Part{
		{"acceptance", "absent: a person edits a file; each gateway checks it whole when it reads it", quorumSeconds,
			"checked once and decided at the control machines, two round trips"},
		{"carrying", "absent: something else lays the file", m.propagationSeconds(), "pushed as a new list of engines is"},
		{"first zone and watch", "staged change watches 30 s a stage at the least", watchSeconds, "a canary zone, shorter than today's least watch"},
		{"all others", "SIGHUP, by hand", m.propagationSeconds(), "pushed likewise"},
		{"telling that all have it",
			"the version is carried on membership's datagrams, once in 20 s to each member; not timed at this size", reserveSeconds,
			"acknowledged on the connection that brought it"},
	}
}

// TotalSeconds returns the sum of the parts' seconds.
func TotalSeconds(parts []Part) (total float64) {
	for _, part := range parts {
		total += part.Seconds
	}
	return total
}

// RestartOverlap returns the share of configuration changes during which at least one gateway restarts, if changes and restarts
// are spread evenly over the day.
func (t Target) RestartOverlap() float64 {
	return min(1, t.RestartsPerDay*t.ConfigurationWithin.Seconds()/(24*time.Hour).Seconds())
}
