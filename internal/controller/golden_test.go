package controller

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"frostpier/internal/control/rollout"
	"frostpier/internal/testutil"
)

// TestStoredJournalMatchesGoldenFile checks that a journal written by an earlier version can be read, and that the JSON keys of the status
// and the history are unchanged.
func TestStoredJournalMatchesGoldenFile(t *testing.T) {
	t.Parallel()
	stored, err := os.ReadFile("testdata/journal.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "journal.db")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	c, err := j.Last()
	if err != nil {
		t.Fatal(err)
	}
	s := statusOf(c.Name, c.State)
	s.Running, s.History, s.Error = true, c.History, "e"
	s.Verdict = rollout.Verdict{Regressed: true, Conclusive: true, Reason: "why"}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "status.golden", append(append(text, '\n'), c.Plan...))
	keys := testutil.FieldKeys("json", "status", Status{}) + testutil.FieldKeys("json", "line", HistoryEntry{}) +
		testutil.FieldKeys("json", "checked", CheckedPlan{})
	testutil.Golden(t, "keys.golden", []byte(keys))
}
