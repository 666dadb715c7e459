package vrrp

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

// The steps of a router, including the bytes of its advertisements, equal the golden file.
func TestAdvertisementTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	record := func(event string, steps []Step) {
		fmt.Fprintf(&out, "%s\n", event)
		for _, s := range steps {
			fmt.Fprintf(&out, "  send %x timer %v stop %v\n", s.Send, s.StartTimer, s.StopTimer)
			if s.NewState != nil {
				fmt.Fprintf(&out, "  state %d\n", *s.NewState)
			}
		}
	}
	for _, priority := range []uint8{100, 255} {
		r := router(t, priority, true)
		record(fmt.Sprintf("startup at priority %d", priority), r.Startup())
		record("timer", r.TimerFired())
		record("timer", r.TimerFired())
		steps, err := r.Received(high, advert(7, 200, time.Second))
		record(fmt.Sprintf("advertisement, error %v", err != nil), steps)
		record("shutdown", r.Shutdown())
	}
	fmt.Fprintf(&out, "message %x\n", advert(7, 200, 500*time.Millisecond))
	testutil.Golden(t, "vrrp.golden", []byte(out.String()))
}
