//go:build debug

package invariant

const stops = true
