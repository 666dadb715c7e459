//go:build debug

package invariant

func stop(what string) { panic("invariant broken: " + what) }

// Checks reports whether this build looks for what costs too much to look for in service.
const Checks = true
