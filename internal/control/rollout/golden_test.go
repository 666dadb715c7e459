package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

// TestMessagesMatchGoldenFile checks that the encoding of reports and versions does not change.
func TestMessagesMatchGoldenFile(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	report, err := testReport().Append(nil, "f")
	fmt.Fprintf(&out, "report %x, error %v\n", report, err != nil)
	other := testReport()
	other.Serving, other.RestartPending, other.Gateway = false, true, 0
	report, err = other.Append(nil, "fleet of the north")
	fmt.Fprintf(&out, "report %x, error %v\n", report, err != nil)
	tracker := NewVersionTracker(3, VersionID{1 << 40, 2 << 40})
	fmt.Fprintf(&out, "version %x\n", tracker.Append(100*time.Second, 1, 50, nil))
	tracker.SetLocal(VersionID{5, 6})
	fmt.Fprintf(&out, "version %x\n", tracker.Append(101*time.Second, 2, 50, nil))
	testutil.Golden(t, "messages.golden", []byte(out.String()))
}

// TestKeysMatchGoldenFile checks that the JSON and TOML keys of stored states, verdicts, version IDs and plans do not change.
func TestKeysMatchGoldenFile(t *testing.T) {
	t.Parallel()
	keys := testutil.FieldKeys("json", "state", State{}) + testutil.FieldKeys("json", "opinion", Verdict{}) +
		testutil.FieldKeys("json", "id", VersionID{}) + testutil.FieldKeys("toml", "plan", Plan{}) + testutil.FieldKeys("json", "plan json", Plan{})
	testutil.Golden(t, "keys.golden", []byte(keys))
	state := State{Phase: Holding, ResumePhase: Watching, Stage: 2, Since: 5 * time.Second, Reason: "r", Crashes: [2]int{1, 2},
		Gateways: []GatewayState{
			{TargetVersion: NewVersion, Step: Starting, StartedVersion: NewVersion, Since: time.Second, PID: 7},
			{TargetVersion: OldVersion, Step: Steady},
		}}
	text, err := json.MarshalIndent([]any{state, Verdict{Regressed: true, Conclusive: true, Reason: "w"}, VersionID{1, 2}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "state.golden", append(text, '\n'))
}
