package loadreport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

// Checks that the encoding of messages does not change.
func TestMessagesMatchGoldenFile(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	d := newDigest(12)
	for i := range 12 {
		d.Record(epoch+time.Duration(i)*70*time.Millisecond, engineID(i), i*i)
	}
	for i := range 4 {
		fmt.Fprintf(&out, "%x\n", d.Append(epoch+time.Duration(900+300*i)*time.Millisecond, 1, 60, nil))
	}
	testutil.Golden(t, "digest.golden", []byte(out.String()))
}
