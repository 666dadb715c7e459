package frontend

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"frostpier/internal/testutil/nettest"
)

// largeQueryLine returns the request line of a query with a statement of the given size.
func largeQueryLine(id, statementBytes int) string {
	blob := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", statementBytes)))
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","budget":20000,"blob":%q}}`+"\n",
		id, idempotentClass, id, blob)
}

// A client that sends many large queries at once has those over the memory limit rejected at once, while another client's query is
// accepted. Guards against open queries of bad clients taking the process over its memory limit, so that it is killed.
func TestOpenQueryMemoryIsLimited(t *testing.T) {
	const statementBytes, sent, accepted = 64 << 10, 8, 2
	f := newFixtureWithMemory(t, 1, 2*accepted*statementBytes) // without engines, so that accepted queries stay open
	bad, _ := f.connect()
	for id := 1; id <= sent; id++ {
		nettest.Send(t, bad, largeQueryLine(id, statementBytes))
	}
	rejections := bufio.NewReader(bad)
	for range sent - accepted {
		expectLine(t, rejections, `"code":-32008`)
	}
	usual, usualClient := f.connect()
	nettest.Send(t, usual, queryLine(sent+1, idempotentClass)+ping)
	expectPong(t, usual)
	f.loop.Do(func() {
		if len(usualClient.requests) != 1 {
			t.Errorf("%d open queries of the usual client, want 1", len(usualClient.requests))
		}
	})
	if n := f.counts(); n.Taken != sent+1 || n.Refused != sent-accepted {
		t.Errorf("%d queries taken and %d rejected, want %d and %d", n.Taken, n.Refused, sent+1, sent-accepted)
	}
	bad.Close()
	nettest.Eventually(t, "the bad client's queries to be cancelled", func() bool { return f.counts().Left == accepted })
	nettest.Send(t, usual, largeQueryLine(sent+2, statementBytes)+ping)
	expectPong(t, usual)
	if n := f.counts(); n.Refused != sent-accepted {
		t.Errorf("%d queries rejected after the memory was free again, want %d", n.Refused, sent-accepted)
	}
}
