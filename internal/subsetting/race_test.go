//go:build race

package subsetting

// raced: the race detector makes a run ten times as long.
const raced = true
