package zonetable

import (
	"fmt"
	"strings"
	"testing"

	"frostpier/internal/testutil"
)

// Checks that the encoding of messages does not change.
func TestMessagesMatchGoldenFile(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	table, other := newTable(1, 400), newTable(2, 400)
	for i := range 400 {
		table.entries[i] = entry{zone: i % 4}
	}
	table.Receive(2, other.Append(epoch, 1, 200, nil))
	for i := range 5 {
		fmt.Fprintf(&out, "%x\n", table.Append(epoch+sendInterval, 3+i, 100, nil))
	}
	testutil.Golden(t, "zones.golden", []byte(out.String()))
}
