//go:build !debug

package invariant

const wantPanic = false // on a violation
