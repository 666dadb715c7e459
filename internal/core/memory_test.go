package core

import (
	"testing"
	"time"

	"frostpier/policy"
)

// submitBytes submits a query of the given size and reports whether it was accepted.
func submitBytes(c *Core, size int) (id RequestID, accepted bool) {
	query := testQuery
	query.Bytes = size
	id, actions := c.Submit(startTime, query)
	for _, a := range actions {
		if r, ok := a.(Reply); ok && r.Verdict == Rejected {
			return id, false
		}
	}
	return id, true
}

// Large queries are rejected at once while they hold half of the memory for queries; others may use all of it. Guards against open
// queries of bad clients taking the process over its memory limit, so that it is killed.
func TestQueriesOverMemoryLimitAreRejected(t *testing.T) {
	c, _ := newCore(t)
	const large = 2 * largeQueryBytes
	accepted := 0
	for range testMaxQueryBytes / large {
		if _, ok := submitBytes(c, large); ok {
			accepted++
		}
	}
	if want := testMaxQueryBytes / largeQueryDivisor / large; accepted != want {
		t.Fatalf("%d large queries accepted, want %d", accepted, want)
	}
	accepted = 0
	for range testMaxQueryBytes / largeQueryBytes {
		if _, ok := submitBytes(c, largeQueryBytes); ok {
			accepted++
		}
	}
	if want := testMaxQueryBytes / largeQueryDivisor / largeQueryBytes; accepted != want {
		t.Errorf("%d other queries accepted beside them, want %d", accepted, want)
	}
}

// The memory of a query counts until it has its reply and its attempt has ended, since both use the statement.
func TestQueryMemoryCountsUntilAttemptEnds(t *testing.T) {
	c, _ := newCore(t)
	c.UpdateEngines(startTime, true, []ListedEngine{listedEngine("a", policy.Ready)})
	id, ok := submitBytes(c, testMaxQueryBytes/largeQueryDivisor)
	if !ok {
		t.Fatal("the first query was rejected")
	}
	c.MaySend(startTime, id, 0, false)
	c.Cancel(startTime, id)
	if _, ok := submitBytes(c, 2*largeQueryBytes); ok {
		t.Error("a large query was accepted while the attempt of a cancelled one was in flight")
	}
	c.AttemptEnded(startTime+time.Second, id, 0, policy.Cancelled, nil)
	if _, ok := submitBytes(c, 2*largeQueryBytes); !ok {
		t.Error("a large query was rejected after the attempt had ended")
	}
}
