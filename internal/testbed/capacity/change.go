package capacity

import "time"

// Part is one part of the time that a change takes.
type Part struct {
	Name   string
	Today  string  // what the program has for it
	Budget float64 // seconds, of the sketch
	Why    string  // where the seconds come from
}

// Times of the sketches that nothing here measures. They are settings or arithmetic, not results.
const (
	roundTripSeconds = 2 * 0.038 // twice the longest one-way delay that the site's settings state
	heartbeatSeconds = 0.5       // of an engine to the control machines
	leaseSeconds     = 3.0       // five heartbeats missed, and half of one until the look
	quorumSeconds    = 2 * roundTripSeconds
	drainSeconds     = 2.0  // rules.drain_grace of the site: work sent before the change may arrive
	dialSeconds      = 0.25 // permissions.connect_timeout of the site
	watchSeconds     = 5.0  // of a canary zone before all take a configuration
	spareSeconds     = 1.0
)

// PrimaryParts are the parts of a change of primary.
func (m Model) PrimaryParts() []Part {
	return []Part{
		{"detection", "absent: engines are not watched; dead gateways are told by membership", leaseSeconds,
			"a lease at the control machines: heartbeats of " + seconds(heartbeatSeconds)},
		{"decision", "absent", quorumSeconds, "two round trips among the control machines (" + seconds(roundTripSeconds) + " each at the site's longest delay)"},
		{"telling", "absent; a new list of engines goes this way", m.tellSeconds(),
			"a one-way delay and the list's parsing and taking in at a gateway, as if it were whole"},
		{"switching", "absent; an engine that drains is left in this time", drainSeconds + dialSeconds, "drain grace and connect timeout of the site's settings"},
	}
}

// tellSeconds is what it takes to push a change to a gateway and have it taken in.
func (m Model) tellSeconds() float64 {
	engines := m.Target.Engines
	return roundTripSeconds/2 + m.value(ListParse, engines) + m.value(ListTake, engines)
}

// DetectionToday is when a dead gateway is known to all by membership, the nearest thing to a detection that there is:
// the median, and the longest.
func (m Model) DetectionToday() (median, longest float64) {
	gateways := m.Target.Gateways
	return m.value(DetectionFirst, gateways) + m.value(DetectionAll, gateways), m.value(DetectionMost, gateways)
}

// ConfigurationParts are the parts of a change of configuration.
func (m Model) ConfigurationParts() []Part {
	return []Part{
		{"acceptance", "absent: a person edits a file; each gateway checks it whole when it reads it", quorumSeconds,
			"checked once and decided at the control machines, two round trips"},
		{"carrying", "absent: something else lays the file", m.tellSeconds(), "pushed as a new list of engines is"},
		{"first zone and watch", "staged change watches 30 s a stage at the least", watchSeconds, "a canary zone, shorter than today's least watch"},
		{"all others", "SIGHUP, by hand", m.tellSeconds(), "pushed likewise"},
		{"telling that all have it", "the version is carried on membership's datagrams, once in 20 s to each member; not timed at this size", spareSeconds,
			"acknowledged on the connection that brought it"},
	}
}

// Sum adds up the sketch's seconds.
func Sum(parts []Part) (total float64) {
	for _, part := range parts {
		total += part.Budget
	}
	return total
}

// Overlap is the share of configuration changes during which at least one restart happens, if both come evenly.
func (t Target) Overlap() float64 {
	return min(1, t.RestartsPerDay*t.ConfigurationWithin.Seconds()/(24*time.Hour).Seconds())
}
