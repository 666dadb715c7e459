package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostpier/internal/control/rollout"
)

// What was written down is there again, one controller has the journal at a time, and a write that a crash of the machine
// tore is dropped: the state before it stands, with its history.
func TestJournalKeepsWhatWasWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rollout.db")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := j.Last(); !errors.Is(err, ErrNoChange) {
		t.Fatalf("an empty journal: %v", err)
	}
	state := func(stage int) rollout.State {
		return rollout.State{Phase: rollout.Watching, Stage: stage, Gateways: []rollout.GatewayState{{Target: "new", Step: rollout.Steady}}}
	}
	if err := j.Begin("a", []byte("plan"), state(0)); err != nil {
		t.Fatal(err)
	}
	if j.Begin("a", nil, state(0)) == nil {
		t.Error("one change was begun twice")
	}
	if _, err := OpenJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("a second controller: %v", err)
	}
	if _, err := ReadJournal(path); !errors.Is(err, ErrRunning) {
		t.Errorf("a reader beside a controller: %v", err)
	}
	for k := 1; k <= 5; k++ {
		if err := j.Save("a", state(k), time.Duration(k)*time.Second, []string{fmt.Sprint("line ", k)}); err != nil {
			t.Fatal(err)
		}
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Save("a", state(6), 6*time.Second, []string{"line 6"}); err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if j, err = ReadJournal(path); err != nil {
		t.Fatal(err)
	}
	c, err := j.Last()
	j.Close()
	if err != nil || c.Name != "a" || string(c.Plan) != "plan" || c.State.Stage != 6 || len(c.History) != 6 || c.History[5].Text != "line 6" {
		t.Fatalf("read back: %+v, %v", c, err)
	}
	// The last write torn. bbolt syncs the pages before it writes and syncs the root, of which there are two in turn, at the
	// file's start: so either pages are there in part and no new root, or all pages and the root in part.
	roots := 2 * os.Getpagesize()
	check := func(what string, torn []byte, least int) {
		other := filepath.Join(t.TempDir(), "torn.db")
		if err := os.WriteFile(other, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := OpenJournal(other)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		defer j.Close()
		if c, err := j.Last(); err != nil || c.State.Stage < least || c.State.Stage > least+1 || len(c.History) != c.State.Stage {
			t.Errorf("%s: stage %d, %d lines, %v", what, c.State.Stage, len(c.History), err)
		}
	}
	for cut := roots; cut <= len(after); cut += 512 {
		torn := append([]byte(nil), after...)
		copy(torn, whole[:roots])
		if cut < len(whole) {
			copy(torn[cut:], whole[cut:])
		}
		check(fmt.Sprintf("pages torn at %d", cut), torn, 5)
	}
	for cut := 0; cut <= roots; cut += 16 {
		torn := append([]byte(nil), after...)
		copy(torn[cut:roots], whole[cut:roots])
		check(fmt.Sprintf("roots torn at %d", cut), torn, 5)
	}
}

// writeFleet writes what a plan names: configurations, programs, operator's files.
func writeFleet(t *testing.T, dir string, gateways int) {
	t.Helper()
	put := func(name, text string, mode os.FileMode) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	for i := range gateways {
		put(fmt.Sprintf("n%d.json", i), fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:%d","settings":{"classes":[{"name":"lookup","objective":800000000,
"give_up":4000000000,"repeat":"retryable","worth":1}],"siblings":%d,"self_index":%d,"tick":5000000}}`, i, 10000+i, gateways, i), 0o600)
	}
	put("old", "#!/bin/sh\nexit 1\n", 0o700)
	put("new", "#!/bin/sh\nexit 2\n", 0o700)
	put("op.toml", "[membership]\nfleet = \"f\"\n[rollout]\nreport_to = \"127.0.0.1:7950\"\n", 0o600)
	put("bad.toml", "[membership]\nfleet = \"f\"\ninterval_ms = 5\n", 0o600)
	put("other.toml", "[membership]\nfleet = \"f\"\n[rollout]\nreport_to = \"127.0.0.1:7951\"\n", 0o600)
	put("none.toml", "[membership]\nfleet = \"f\"\n", 0o600)
}

// A plan is checked whole before anything is done, and what is wrong is named by key and line.
func TestPlansAreChecked(t *testing.T) {
	dir := t.TempDir()
	writeFleet(t, dir, 4)
	good := strings.ReplaceAll(`name = "x"
fleet = "f"
listen = "127.0.0.1:7950"
configs = "DIR/n*.json"
stages = ["1", "50%", "100%"]
[old]
program = "DIR/old"
operator = "DIR/op.toml"
[new]
program = "DIR/new"
operator = "DIR/op.toml"
[watch]
least_s = 10
[judge]
false_alarm = 0.01
`, "DIR", dir)
	c, err := CheckPlan([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Fleet.Gateways) != 4 || c.Fleet.Gateways[3].Name != "n3" || c.IDs["old"].Program == c.IDs["new"].Program || c.Plan.Watch.MaxSeconds != 300 {
		t.Errorf("%+v", c)
	}
	for _, w := range []struct{ from, to, want string }{
		{`name = "x"`, `name = ""`, "line 1: name"},
		{`name = "x"`, `name = "x`, "line 1"},
		{`stages = ["1", "50%", "100%"]`, `stages = ["1", "1"]`, "line 5: stages"},
		{`stages = ["1", "50%", "100%"]`, `stages = ["1", "50%"]`, "line 5: stages"},
		{`stages = ["1", "50%", "100%"]`, `stages = ["100%"]`, "line 5: stages"},
		{`stages = ["1", "50%", "100%"]`, `stages = ["half"]`, "line 5: stages"},
		{`least_s = 10`, `least_s = 400`, "watch.most_s"},
		{`least_s = 10`, `lest_s = 400`, "line 13: unknown key watch.lest_s"},
		{`false_alarm = 0.01`, `false_alarm = 2`, "line 15: judge.false_alarm"},
		{`false_alarm = 0.01`, `false_alarm = "a"`, "line 15"},
		{dir + `/new"`, dir + `/absent"`, "new.program"},
		{dir + `/new"`, dir + `/op.toml"`, "new.program"},
		{`program = "` + dir + `/new"`, `program = "` + dir + `/old"`, "it is the old version"},
		{`n*.json`, `m*.json`, "configs"},
		{`fleet = "f"`, `fleet = "g"`, "membership.fleet"},
		{`listen = "127.0.0.1:7950"`, `listen = "127.0.0.1:7951"`, "rollout.report_to"},
		{`[judge]`, "[[check]]\nclass = \"none\"\nstatement = \"s\"\n[judge]", `no class "none"`},
		{`[judge]`, "[[check]]\nclass = \"lookup\"\n[judge]", "check.statement"},
	} {
		if _, err := CheckPlan([]byte(strings.Replace(good, w.from, w.to, 1))); err == nil || !strings.Contains(err.Error(), w.want) {
			t.Errorf("%q in place of %q: %v, want %q", w.to, w.from, err, w.want)
		}
	}
	for file, want := range map[string]string{"bad.toml": "membership.interval_ms", "none.toml": "no section rollout", "absent.toml": "operator"} {
		last := strings.LastIndex(good, "op.toml")
		if _, err := CheckPlan([]byte(good[:last] + file + good[last+len("op.toml"):])); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", file, err, want)
		}
	}
	writeFleet(t, dir, 5) // the first four still tell of five
	if err := os.Remove(filepath.Join(dir, "n2.json")); err != nil {
		t.Fatal(err)
	}
	if _, err := CheckPlan([]byte(good)); err == nil || !strings.Contains(err.Error(), "there are 4 configurations") {
		t.Errorf("a configuration is missing: %v", err)
	}
}

// A command to a controller that does not run fails with ErrNone.
func TestNoControllerRuns(t *testing.T) {
	dir := t.TempDir()
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNone) {
		t.Errorf("no file: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, controlName), []byte("127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := SendCommand(dir, "pause"); !errors.Is(err, ErrNone) {
		t.Errorf("a file that was left behind: %v", err)
	}
	if _, err := Last(dir); !errors.Is(err, ErrNoChange) {
		t.Errorf("no journal: %v", err)
	}
}
