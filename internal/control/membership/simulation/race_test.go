//go:build race

package simulation

// raceDetector is true if the race detector is enabled, under which a run takes ten times as long.
const raceDetector = true
