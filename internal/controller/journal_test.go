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

// stateOf returns a state of a change in a stage.
func stateOf(stage int) rollout.State {
	return rollout.State{
		Phase:    rollout.Watching,
		Stage:    stage,
		Gateways: []rollout.GatewayState{{TargetVersion: "new", Step: rollout.Steady}},
	}
}

// beginJournal opens a new journal with a change "a", and returns it with its path.
func beginJournal(t *testing.T) (*Journal, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "rollout.db")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Begin("a", []byte("plan"), stateOf(0)); err != nil {
		t.Fatal(err)
	}
	return j, path
}

// saveStages saves the change's state in these stages, each with an entry of history.
func saveStages(t *testing.T, j *Journal, from, to int) {
	t.Helper()
	for stage := from; stage <= to; stage++ {
		note := fmt.Sprint("line ", stage)
		if err := j.Save("a", stateOf(stage), time.Duration(stage)*time.Second, []string{note}); err != nil {
			t.Fatal(err)
		}
	}
}

// One process at a time has the journal open, and a change is begun once.
func TestJournalIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rollout.db")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if _, err := j.Last(); !errors.Is(err, ErrChangeNotFound) {
		t.Fatalf("an empty journal: %v", err)
	}
	if err := j.Begin("a", []byte("plan"), stateOf(0)); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if err := j.Begin("a", nil, stateOf(0)); !errors.As(err, &conflict) || conflict.Change != "a" {
		t.Errorf("a change was begun twice: %v", err)
	}
	if _, err := OpenJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("a second controller: %v", err)
	}
	if _, err := ReadJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("a reader beside a controller: %v", err)
	}
}

// What was saved is read back.
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
		t.Errorf("change %q with plan %q", c.Name, c.Plan)
	}
	if c.State.Stage != 6 {
		t.Errorf("stage %d", c.State.Stage)
	}
	if len(c.History) != 6 || c.History[5].Text != "line 6" {
		t.Errorf("history %+v", c.History)
	}
}

// A commit that a crash of the machine tore is dropped: the state before it stands, with its history. bbolt syncs the pages before it
// writes and syncs the root, of which there are two in turn, at the file's start: so either some of the pages are written
// and no new root, or all pages and a part of the root.
func TestJournalAfterTornCommit(t *testing.T) {
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
	roots := 2 * os.Getpagesize()
	t.Run("pages", func(t *testing.T) {
		for cut := roots; cut <= len(after); cut += 512 {
			torn := slices.Clone(after)
			copy(torn, before[:roots])
			if cut < len(before) {
				copy(torn[cut:], before[cut:])
			}
			checkTornJournal(t, fmt.Sprintf("cut at %d", cut), torn, stages)
		}
	})
	t.Run("roots", func(t *testing.T) {
		for cut := 0; cut <= roots; cut += 16 {
			torn := slices.Clone(after)
			copy(torn[cut:roots], before[cut:roots])
			checkTornJournal(t, fmt.Sprintf("cut at %d", cut), torn, stages)
		}
	})
}

// checkTornJournal checks that a journal has the state of the stage or the one after it, with its whole history.
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
		t.Errorf("%s: stage %d, %d entries, %v", name, c.State.Stage, len(c.History), err)
	}
}
