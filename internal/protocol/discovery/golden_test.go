package discovery

import (
	"fmt"
	"strings"
	"testing"

	"frostpier/internal/testutil"
)

// Watch requests and parsed events equal the golden file.
func TestWatchTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	s := restoredStream(t)
	fmt.Fprintf(&out, "request %q\n", s.Request())
	for _, in := range []string{eventLine(2, "terminating") + "\n", "2\n", "{\"no\":2}\n",
		`{"no":3,"roster":{"reset":true,"instances":[]}}` + "\n", eventLine(4, "terminated") + "\n", eventLine(9, "asleep") + "\n"} {
		events, err := s.Feed([]byte(in))
		fmt.Fprintf(&out, "in %q\n", in)
		for _, e := range events {
			fmt.Fprintf(&out, "  version %d full %v\n", e.ResourceVersion, e.Full)
			for _, l := range e.Engines {
				fmt.Fprintf(&out, "  engine %s %s zone %s kind %s cell %d health %d started %v\n",
					l.Name, l.Addr, l.Zone, l.MachineType, l.Cell, l.Health, l.Started)
			}
		}
		fmt.Fprintf(&out, "  error %v, request %q\n", err != nil, s.Request())
	}
	testutil.Golden(t, "watch.golden", []byte(out.String()))
}
