// Package eventlooptest starts event loops for the tests of packages that run on one.
package eventlooptest

import (
	"context"
	"testing"
	"time"

	"frostpier/internal/transport/eventloop"
)

// WriteBudget is how many bytes the connections of a test's loop together may queue.
const WriteBudget = 8 << 20

// Start returns a loop that runs on a goroutine of its own and ends with the test.
func Start(t testing.TB) *eventloop.Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop := eventloop.New(time.Now(), WriteBudget)
	go loop.Run(ctx)
	return loop
}
