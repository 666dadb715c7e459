package policy

import (
	"errors"
	"math"
	"testing"
)

// Checks that New returns a *SettingError that names the setting that is out of bounds.
func TestNewReportsInvalidSetting(t *testing.T) {
	for key, change := range map[string]func(*Settings){
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"Gateways":                    func(s *Settings) { s.Gateways = 0 },
		"Tick":                        func(s *Settings) { s.Tick = 0 },
		"Classes[0].LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes[1].Deadline":         func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[2].Weight":           func(s *Settings) { s.Classes[2].Weight = math.NaN() },
		"Classes[3].ObjectivePerWork": func(s *Settings) { s.Classes[3].ObjectivePerWork = -0.5 },
	} {
		t.Run(key, func(t *testing.T) {
			s := testSettings()
			change(&s)
			g, err := New(s, 1)
			var settingError *SettingError
			if g != nil || !errors.As(err, &settingError) || settingError.Key != key {
				t.Errorf("New returned %v, %v, want an error for %s", g, err, key)
			}
		})
	}
}
