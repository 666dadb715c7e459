package controller

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A command to a controller that does not run fails with ErrNone.
func TestNoControllerRuns(t *testing.T) {
	dir := t.TempDir()
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNotRunning) {
		t.Errorf("no file: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, controlName), []byte("127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNotRunning) {
		t.Errorf("a file that was left behind: %v", err)
	}
	if _, err := LastStatus(dir); !errors.Is(err, ErrChangeNotFound) {
		t.Errorf("no journal: %v", err)
	}
}
