package invariant

import (
	"io"
	"log/slog"
	"testing"
)

// Checks that Check counts a violation in all builds and panics only in a debug build.
func TestCheckCountsViolations(t *testing.T) {
	m := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if !m.Check(true, "holds") || m.Violations() != 0 {
		t.Fatal("an invariant that holds was counted as violated")
	}
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		return m.Check(false, "does not hold")
	}()
	if panicked != wantPanic || m.Violations() != 1 {
		t.Fatalf("panicked: %v, want %v; %d violations, want 1", panicked, wantPanic, m.Violations())
	}
}
