// Package testutil provides helpers for the tests of several packages. Only test files import it.
package testutil

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// updateEnv is the environment variable that makes Golden write the files instead of comparing them.
const updateEnv = "UPDATE_GOLDEN"

// Golden fails the test unless got is byte-for-byte equal to the file testdata/name of the tested package. The files record the
// behavior of an earlier version of the program. They are updated only when a change of that behavior is intended.
func Golden(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateEnv) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("%s: line %d differs\n got: %s\nwant: %s", path, i+1, lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

// lineAt returns the line with index i, or a placeholder if there are fewer lines.
func lineAt(lines [][]byte, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return string(lines[i])
}
