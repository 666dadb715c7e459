//go:build !race

package subsetdriver

const raceEnabled = false
