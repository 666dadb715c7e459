package invariant

import (
	"io"
	"log/slog"
	"testing"
)

// Both builds count a violation; only a debug build panics.
func TestBrokenInvariants(t *testing.T) {
	k := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if !k.Check(true, "holds") || k.Violations() != 0 {
		t.Fatal("an invariant that holds counts as broken")
	}
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		return k.Check(false, "does not hold")
	}()
	if panicked != panics || k.Violations() != 1 {
		t.Fatalf("panicked: %v, %d broken", panicked, k.Violations())
	}
}
