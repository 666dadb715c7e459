// Package invariant states what must hold. A build with the tag debug stops where it does not; any other build
// counts and logs it and goes on.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Keeper counts what did not hold.
type Keeper struct {
	log    *slog.Logger
	broken atomic.Int64
}

// New makes a Keeper that logs to log.
func New(log *slog.Logger) *Keeper { return &Keeper{log: log} }

// Holds notes that what must hold does or does not, and passes that on.
func (k *Keeper) Holds(ok bool, what string, args ...any) bool {
	if !ok {
		n := k.broken.Add(1)
		k.log.Error("invariant broken", append([]any{"what", what, "count", n}, args...)...)
		stop(what)
	}
	return ok
}

// Broken reports how often something did not hold.
func (k *Keeper) Broken() int64 { return k.broken.Load() }
