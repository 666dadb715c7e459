package controller

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestCommandsFailWithoutController checks the errors of commands while no controller is running.
func TestCommandsFailWithoutController(t *testing.T) {
	dir := t.TempDir()
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNotRunning) {
		t.Errorf("no address file: error %v, want ErrNotRunning", err)
	}
	if err := os.WriteFile(filepath.Join(dir, controlFileName), []byte("127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNotRunning) {
		t.Errorf("stale address file: error %v, want ErrNotRunning", err)
	}
	if _, err := LastStatus(dir); !errors.Is(err, ErrChangeNotFound) {
		t.Errorf("no journal: error %v, want ErrChangeNotFound", err)
	}
}
