//go:build !debug

package invariant

func panicIfDebug(string) {}

// ExpensiveChecks enables checks that are too expensive for production.
const ExpensiveChecks = false
