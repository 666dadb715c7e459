//go:build debug

package invariant

func panicIfDebug(name string) { panic("invariant broken: " + name) }

// ExpensiveChecks enables checks that are too expensive for production.
const ExpensiveChecks = true
