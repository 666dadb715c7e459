package loadreport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

// Digests are, byte for byte, what they were before the code was rearranged.
func TestDigestTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	d := listed(12)
	for i := range uint64(12) {
		d.Record(epoch+time.Duration(i)*70*time.Millisecond, (i+1)<<32|(i+1), int(i*i))
	}
	for i := range 4 {
		fmt.Fprintf(&out, "%x\n", d.Append(epoch+time.Duration(900+300*i)*time.Millisecond, 1, 60, nil))
	}
	testutil.Golden(t, "digest.golden", []byte(out.String()))
}
