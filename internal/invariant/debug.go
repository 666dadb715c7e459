//go:build debug

package invariant

func fail(name string) { panic("invariant broken: " + name) }

// Checks reports whether this build makes checks that cost too much in service.
const Checks = true
