//go:build !race

package subsetdriver

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = false
