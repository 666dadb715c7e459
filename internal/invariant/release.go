//go:build !debug

package invariant

func fail(string) {}

// ExpensiveChecks reports whether this build makes checks that cost too much in service.
const ExpensiveChecks = false
