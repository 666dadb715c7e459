package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"frostpier/internal/control/rollout"
)

// stateInStage returns the state of a change that is watching a stage.
func stateInStage(stage int) rollout.State {
	return rollout.State{
		Phase:    rollout.Watching,
		Stage:    stage,
		Gateways: []rollout.GatewayState{{TargetVersion: "new", Step: rollout.Steady}},
	}
}

// beginJournal creates a journal that contains the change "a", and returns it with its path.
func beginJournal(t *testing.T) (*Journal, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "rollout.db")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Begin("a", []byte("plan"), stateInStage(0)); err != nil {
		t.Fatal(err)
	}
	return j, path
}

// saveStages saves a state for each of these stages, with one history entry each.
func saveStages(t *testing.T, j *Journal, from, to int) {
	t.Helper()
	for stage := from; stage <= to; stage++ {
		note := fmt.Sprint("line ", stage)
		if err := j.Save("a", stateInStage(stage), time.Duration(stage)*time.Second, []string{note}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestJournalIsExclusive checks that only one process can have a journal open, and that a change can begin only once.
func TestJournalIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rollout.db")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if _, err := j.Last(); !errors.Is(err, ErrChangeNotFound) {
		t.Fatalf("empty journal: error %v, want ErrChangeNotFound", err)
	}
	if err := j.Begin("a", []byte("plan"), stateInStage(0)); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := j.Begin("a", nil, stateInStage(0)); !errors.As(err, &conflict) || conflict.Change != "a" {
		t.Errorf("second Begin of a change: error %v, want a ConflictError for it", err)
	}
	if _, err := OpenJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("second OpenJournal: error %v, want ErrRunning", err)
	}
	if _, err := ReadJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("ReadJournal of an open journal: error %v, want ErrRunning", err)
	}
}

// TestJournalRoundTrip checks that a reopened journal returns what was saved.
func TestJournalRoundTrip(t *testing.T) {
	j, path := beginJournal(t)
	saveStages(t, j, 1, 6)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, err := ReadJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	c, err := j.Last()
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "a" || string(c.Plan) != "plan" {
		t.Errorf("change %q with plan %q, want \"a\" with \"plan\"", c.Name, c.Plan)
	}
	if c.State.Stage != 6 {
		t.Errorf("stage %d, want 6", c.State.Stage)
	}
	if len(c.History) != 6 || c.History[5].Text != "line 6" {
		t.Errorf("history %+v, want 6 entries, the last one \"line 6\"", c.History)
	}
}

// TestJournalRecoversFromTornCommit checks that a commit that was only partly written in a machine crash is dropped, and that the previous
// state is read with its whole history. bbolt syncs the data pages before it writes one of the two alternating meta pages at the start
// of the file. So a crash leaves either some data pages and the old meta page, or all data pages and a part of the new meta page.
func TestJournalRecoversFromTornCommit(t *testing.T) {
	const stages = 5
	j, path := beginJournal(t)
	saveStages(t, j, 1, stages)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	saveStages(t, j, stages+1, stages+1)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	metaSize := 2 * os.Getpagesize()
	t.Run("data pages", func(t *testing.T) {
		for cut := metaSize; cut <= len(after); cut += 512 {
			torn := slices.Clone(after)
			copy(torn, before[:metaSize])
			if cut < len(before) {
				copy(torn[cut:], before[cut:])
			}
			checkTornJournal(t, fmt.Sprintf("cut at %d", cut), torn, stages)
		}
	})
	t.Run("meta pages", func(t *testing.T) {
		for cut := 0; cut <= metaSize; cut += 16 {
			torn := slices.Clone(after)
			copy(torn[cut:metaSize], before[cut:metaSize])
			checkTornJournal(t, fmt.Sprintf("cut at %d", cut), torn, stages)
		}
	})
}

// checkTornJournal checks that a journal holds the state of the stage or of the next one, with all history entries up to it.
func checkTornJournal(t *testing.T, name string, content []byte, stage int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "torn.db")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	j, err := OpenJournal(path)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	defer j.Close()
	c, err := j.Last()
	if err != nil || c.State.Stage < stage || c.State.Stage > stage+1 || len(c.History) != c.State.Stage {
		t.Errorf("%s: stage %d, want %d or %d; %d history entries, want one per stage; error %v",
			name, c.State.Stage, stage, stage+1, len(c.History), err)
	}
}
