package zonetable

import (
	"fmt"
	"strings"
	"testing"

	"frostpier/internal/testutil"
)

// Zone messages are, byte for byte, what they were before the code was rearranged.
func TestZoneTranscript(t *testing.T) {
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
