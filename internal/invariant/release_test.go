//go:build !debug

package invariant

const wantPanic = false // Check does not panic on a violation
