// Package layers checks the layered architecture that docs/ARCHITECTURE.md describes: a package must not import one of a higher layer. It also
// checks that the pages name only paths, tests, identifiers and log messages that exist.
package layers

import (
	"os/exec"
	"strings"
	"testing"
)

// module is the import path of this module, with a trailing slash.
const module = "frostpier/"

// layers lists the directories of each layer, from the lowest to the highest. A package may import packages of its own layer and of lower
// ones. A package belongs to the layer of the longest directory that contains it.
var layers = [][]string{
	{"internal/invariant", "internal/attempt", "internal/memlimit", "internal/protocol", "internal/control", "policy", "internal/settings",
		"internal/testutil"},
	{"internal/core", "internal/protocol/discovery", "internal/testutil/nettest"}, // these use types of the lowest layer
	{"internal/transport"},
	{"internal/subsetdriver"},
	{"internal/program"},
	{"internal/controller"},
	{"internal/testbed"},
	{"cmd", "internal/layers"},
}

// forbidden lists, by directory, import prefixes that are not allowed although the layers permit them: packages that only compute must not
// depend on settings, protocols or I/O.
var forbidden = map[string][]string{
	"policy":             {"internal/"},
	"internal/protocol":  {"internal/control", "internal/settings"},
	"internal/control":   {"internal/settings", "internal/protocol"},
	"internal/attempt":   {"internal/control", "internal/protocol", "internal/settings"},
	"internal/invariant": {"internal/", "policy"},
	"internal/memlimit":  {"internal/", "policy"},
}

// TestImportsFollowLayers checks that no package imports a package of a higher layer, or a package that forbidden lists for it.
func TestImportsFollowLayers(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", module+"...").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		fields := strings.Fields(line)
		importer := strings.TrimPrefix(fields[0], module)
		packages++
		for _, imported := range fields[1:] {
			if path, internal := strings.CutPrefix(imported, module); internal {
				checkImport(t, importer, path)
			}
		}
	}
	if packages < 40 {
		t.Errorf("only %d packages were checked", packages)
	}
}

func checkImport(t *testing.T, importer, imported string) {
	t.Helper()
	from, to := layerOf(importer), layerOf(imported)
	switch {
	case from < 0 || to < 0:
		t.Errorf("%s imports %s: one of them belongs to no layer", importer, imported)
	case to > from:
		t.Errorf("%s imports %s, which is in a higher layer", importer, imported)
	}
	for directory, prefixes := range forbidden {
		for _, prefix := range prefixes {
			if isUnder(importer, directory) && !isUnder(imported, directory) && strings.HasPrefix(imported, prefix) {
				t.Errorf("%s imports %s, which is forbidden in %s", importer, imported, directory)
			}
		}
	}
}

// layerOf returns the index of the layer of a package, or -1 if it belongs to none.
func layerOf(path string) int {
	best, length := -1, 0
	for layer, directories := range layers {
		for _, directory := range directories {
			if isUnder(path, directory) && len(directory) > length {
				best, length = layer, len(directory)
			}
		}
	}
	return best
}

// isUnder reports whether a package is in a directory or below it.
func isUnder(path, directory string) bool {
	return path == directory || strings.HasPrefix(path, directory+"/")
}
