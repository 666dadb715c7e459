// Package invariant checks conditions that must always hold. A build with the tag debug panics where one does not; any
// other build counts and logs the violation and goes on, so that one fault does not end the service. It never changes
// the state that it checks. All functions are safe for concurrent use.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Monitor counts violated invariants.
type Monitor struct {
	log    *slog.Logger
	broken atomic.Int64
}

// New returns a Keeper that logs violations to log.
func New(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Check reports whether an invariant holds, and returns ok. If it does not, Holds counts the violation, logs it with
// the name of the invariant and the attributes in args, and in a debug build panics.
func (k *Monitor) Check(ok bool, name string, args ...any) bool {
	if !ok {
		n := k.broken.Add(1)
		k.log.Error("invariant broken", append([]any{"what", name, "count", n}, args...)...)
		fail(name)
	}
	return ok
}

// Violations returns how many violations were counted.
func (k *Monitor) Violations() int64 { return k.broken.Load() }
