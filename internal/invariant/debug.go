//go:build debug

package invariant

func stop(what string) { panic("invariant broken: " + what) }
