// Package fixedseed makes rapid's property tests repeatable: a test file imports it for its effect alone. The seed is fixed, so
// that CI draws the same cases in every run, and no file of failed cases is left in the tree.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

const seed = "1"

func init() {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
