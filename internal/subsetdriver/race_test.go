//go:build race

package subsetdriver

// raceEnabled reports whether the race detector runs, with which a test takes ten times as long.
const raceEnabled = true
