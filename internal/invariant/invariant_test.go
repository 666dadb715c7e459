package invariant

import (
	"io"
	"log/slog"
	"testing"
)

// Both builds count; only a debug build stops.
func TestBrokenInvariants(t *testing.T) {
	k := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if !k.Holds(true, "holds") || k.Broken() != 0 {
		t.Fatal("what holds counts as broken")
	}
	stopped := func() (stopped bool) {
		defer func() { stopped = recover() != nil }()
		return k.Holds(false, "does not hold")
	}()
	if stopped != stops || k.Broken() != 1 {
		t.Fatalf("stopped %v, %d broken", stopped, k.Broken())
	}
}
