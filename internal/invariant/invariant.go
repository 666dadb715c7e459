// Package invariant checks conditions that must always hold. Violations are counted and logged. A build with the tag debug
// then panics; other builds continue, so that a single defect does not stop the service. The package never changes the
// state that it checks. All functions are safe for concurrent use.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Monitor counts violated invariants.
type Monitor struct {
	log        *slog.Logger
	violations atomic.Int64
}

// New returns a Monitor that logs violations to log.
func New(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Check checks an invariant, which holds if ok is set, and returns ok. It counts a violation, logs it with the name of the
// invariant and the attributes in args, and panics in a debug build.
func (m *Monitor) Check(ok bool, name string, args ...any) bool {
	if !ok {
		n := m.violations.Add(1)
		m.log.Error("invariant broken", append([]any{"what", name, "count", n}, args...)...)
		panicIfDebug(name)
	}
	return ok
}

// Violations returns the number of violations.
func (m *Monitor) Violations() int64 { return m.violations.Load() }
