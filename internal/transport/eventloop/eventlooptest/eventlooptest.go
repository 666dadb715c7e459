// Package eventlooptest starts event loops for the tests of packages that use one.
package eventlooptest

import (
	"context"
	"testing"
	"time"

	"frostpier/internal/transport/eventloop"
)

// WriteBudget is the number of bytes that the connections of a test's loop together may queue.
const WriteBudget = 8 << 20

// Start starts a loop on a new goroutine. It is stopped at the end of the test.
func Start(t testing.TB) *eventloop.Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop := eventloop.New(time.Now(), WriteBudget)
	go loop.Run(ctx)
	return loop
}
