//go:build !debug

package invariant

func stop(string) {}

// Checks reports whether this build looks for what costs too much to look for in service.
const Checks = false
