//go:build race

package driver

// raced: the race detector makes a run ten times as long.
const raced = true
