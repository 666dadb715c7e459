//go:build race

package subsetdriver

// raceEnabled reports whether the race detector is enabled, which makes the simulation ten times slower.
const raceEnabled = true
