// Package fixedseed makes property tests with rapid deterministic. Test files import it for its side effects: it sets a fixed seed, so
// that every run generates the same cases, and prevents rapid from writing files with failed cases.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the rapid.* flags
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
