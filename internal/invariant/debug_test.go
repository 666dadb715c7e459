//go:build debug

package invariant

const wantPanic = true // on a violation
