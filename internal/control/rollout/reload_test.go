package rollout

import (
	"strings"
	"testing"
	"time"
)

// TestReloadWaitsDuringReportOutage checks that the controller waits for a gateway that reloads its settings in a report outage until it
// reports again. A gateway that reports without having applied the settings, or is the only silent one, causes a rollback.
func TestReloadWaitsDuringReportOutage(t *testing.T) {
	const gateways, outage = 12, 28 * time.Second
	oldID, newID := VersionID{Program: 1, Settings: 5}, VersionID{Program: 1, Settings: 6}
	for name, c := range map[string]struct {
		affects   func(gateway, reloaded int) bool // reports whether the gateway's reports are lost during the outage
		applies   bool                             // the gateway applies the new settings
		rollsBack bool                             // expected result
	}{
		"outage":       {func(int, int) bool { return true }, true, false},
		"silent alone": {func(gateway, reloaded int) bool { return gateway == reloaded }, true, true},
		"not applied":  {func(int, int) bool { return false }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(simEpoch, simPlan(t, gateways, ""), oldID, newID, simClasses, gateways)
			reloaded, reloadedAt := -1, time.Duration(0)
			for now := simEpoch; now < simEpoch+time.Minute && m.State().Phase == Changing; now += simTick {
				for i := range gateways {
					m.ObserveProcess(i, 100+i, true)
					id := oldID
					if i == reloaded && c.applies {
						id = newID
					}
					lost := reloaded >= 0 && now < reloadedAt+outage && c.affects(i, reloaded)
					late := i == reloaded && now < reloadedAt+outage+2*time.Second // its reports resume after those of the others
					if isDue := (int(now/simTick)+i)%5 == 0; isDue && !lost && !(late && c.affects(i, reloaded)) {
						m.ReceiveReport(now, Report{Gateway: i, PID: 100 + i, StartedAt: simEpoch, Program: id.Program, Settings: id.Settings,
							Serving: true, Classes: make([]Counts, len(simClasses))})
					}
				}
				m.Tick(now)
				for _, action := range m.Actions() {
					if r, ok := action.(Reload); ok && reloaded < 0 {
						reloaded, reloadedAt = r.Gateway, now
					}
				}
			}
			reason := m.State().Reason
			if got := strings.Contains(reason, "did not apply the new settings"); got != c.rollsBack || !got && m.State().Phase != Watching {
				t.Errorf("phase %s, rolled back: %v, want %v; reason: %s", m.State().Phase, got, c.rollsBack, reason)
			}
		})
	}
}
