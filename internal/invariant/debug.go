//go:build debug

package invariant

func fail(name string) { panic("invariant broken: " + name) }

// ExpensiveChecks reports whether this build makes checks that cost too much in service.
const ExpensiveChecks = true
