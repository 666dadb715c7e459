//go:build race

package driver

// raceEnabled reports whether the race detector runs, with which a test takes ten times as long.
const raceEnabled = true
