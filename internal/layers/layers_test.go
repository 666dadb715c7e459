// Package layers holds the check that imports point downwards only, as docs/ARCHITECTURE.md has the layers.
package layers

import (
	"os/exec"
	"strings"
	"testing"
)

// module is the path of this module.
const module = "frostpier/"

// layers are the directories of each layer, the lowest first. A package may import those of its own layer and of lower ones; the
// longest directory that a package is under decides.
var layers = [][]string{
	{"internal/invariant", "internal/attempt", "internal/protocol", "internal/control", "policy", "internal/settings", "internal/testutil"},
	{"internal/core", "internal/protocol/discovery", "internal/testutil/nettest"}, // these use its types
	{"internal/transport"},
	{"internal/subsetdriver"},
	{"internal/program"},
	{"internal/controller"},
	{"internal/testbed"},
	{"cmd", "internal/layers"},
}

// forbidden are imports within a layer that its purpose forbids: what is pure knows nothing of files and settings.
var forbidden = map[string][]string{
	"policy":             {"internal/"},
	"internal/protocol":  {"internal/control", "internal/settings"},
	"internal/control":   {"internal/settings", "internal/protocol"},
	"internal/attempt":   {"internal/control", "internal/protocol", "internal/settings"},
	"internal/invariant": {"internal/", "policy"},
}

// Imports point downwards only, and what decides without I/O imports nothing that does I/O.
func TestImportsPointDownwards(t *testing.T) {
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
			if path, own := strings.CutPrefix(imported, module); own {
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
		t.Errorf("%s imports %s: one of them is in no layer", importer, imported)
	case to > from:
		t.Errorf("%s imports %s, which is in a higher layer", importer, imported)
	}
	for directory, prefixes := range forbidden {
		for _, prefix := range prefixes {
			if isUnder(importer, directory) && !isUnder(imported, directory) && strings.HasPrefix(imported, prefix) {
				t.Errorf("%s imports %s, which %s must not", importer, imported, directory)
			}
		}
	}
}

// layerOf returns the layer of a package, or -1 if it is in none.
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
