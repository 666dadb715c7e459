// Package fixedseed makes rapid's property tests repeatable. Test files import it for its side effect: the seed is fixed, so that
// every run draws the same cases, and no files of failed cases are written.
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
