//go:build debug

package invariant

const wantPanic = true // Check panics on a violation
