//go:build race

package simulation

// raced: the race detector makes a run ten times as long.
const raced = true
