package vrrp

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

// The steps and the bytes of all advertisements equal the recorded transcript.
func TestAdvertisementTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	note := func(event string, steps []Step) {
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
		note(fmt.Sprintf("startup at priority %d", priority), r.Startup())
		note("timer", r.TimerFired())
		note("timer", r.TimerFired())
		steps, err := r.Received(high, advert(7, 200, time.Second))
		note(fmt.Sprintf("advertisement, error %v", err != nil), steps)
		note("shutdown", r.Shutdown())
	}
	fmt.Fprintf(&out, "message %x\n", advert(7, 200, 500*time.Millisecond))
	testutil.Golden(t, "vrrp.golden", []byte(out.String()))
}
