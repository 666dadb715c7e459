//go:build race

package simulation

// raceDetector is true if the race detector is enabled, which makes a run ten times as slow.
const raceDetector = true
