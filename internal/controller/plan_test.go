package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostpier/internal/control/rollout"
)

// writeFleet writes the files that validPlan refers to: configurations, programs and operator's files.
func writeFleet(t *testing.T, dir string, gateways int) {
	t.Helper()
	put := func(name, text string, mode os.FileMode) {
		t.Helper()
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

// validPlan returns a valid plan for the fleet in dir.
func validPlan(dir string) string {
	return strings.ReplaceAll(`name = "x"
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
}

// TestCheckPlanResolvesFleetAndVersions checks the fleet, version IDs and defaults of a valid plan.
func TestCheckPlanResolvesFleetAndVersions(t *testing.T) {
	dir := t.TempDir()
	writeFleet(t, dir, 4)
	c, err := CheckPlan([]byte(validPlan(dir)))
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Fleet.Gateways) != 4 || c.Fleet.Gateways[3].Name != "n3" {
		t.Errorf("fleet %+v, want 4 gateways, the last one named n3", c.Fleet)
	}
	if c.IDs[rollout.OldVersion].Program == c.IDs[rollout.NewVersion].Program {
		t.Errorf("version IDs %+v, want different programs", c.IDs)
	}
	if c.Plan.Watch.MaxSeconds != 300 {
		t.Errorf("watch %+v, want the default of 300 s for most_s", c.Plan.Watch)
	}
}

// TestCheckPlanReportsKeyAndLine checks that errors name the invalid key, and its line if the error is in the plan's text.
func TestCheckPlanReportsKeyAndLine(t *testing.T) {
	dir := t.TempDir()
	writeFleet(t, dir, 4)
	const stages = `stages = ["1", "50%", "100%"]`
	cases := []struct {
		from, to string
		kind     error
		line     int
		key      string
		reason   string // substring of the error's text; empty = any
	}{
		{`name = "x"`, `name = ""`, rollout.ErrPlanValue, 1, "name", ""},
		{`name = "x"`, `name = "x`, rollout.ErrPlanSyntax, 1, "name", ""},
		{stages, `stages = ["1", "1"]`, rollout.ErrPlanValue, 5, "stages", "no more than the stage before it"},
		{stages, `stages = ["1", "50%"]`, rollout.ErrPlanValue, 5, "stages", "it has to be all"},
		{stages, `stages = ["100%"]`, rollout.ErrPlanValue, 5, "stages", "whole fleet"},
		{stages, `stages = ["half"]`, rollout.ErrPlanValue, 5, "stages", "neither a count nor a share"},
		{`least_s = 10`, `least_s = 400`, rollout.ErrPlanValue, 12, "watch.most_s", "400 s (watch.least_s) to 300 s is not a valid range"},
		{`least_s = 10`, `lest_s = 400`, rollout.ErrPlanUnknownKey, 13, "watch.lest_s", "line 13: unknown key watch.lest_s"},
		{`false_alarm = 0.01`, `false_alarm = 2`, rollout.ErrPlanValue, 15, "judge.false_alarm", "line 15: judge.false_alarm"},
		{`false_alarm = 0.01`, `false_alarm = "a"`, rollout.ErrPlanType, 15, "judge.false_alarm", "line 15"},
		{dir + `/new"`, dir + `/absent"`, rollout.ErrPlanValue, 0, "new.program", "no such file"},
		{dir + `/new"`, dir + `/op.toml"`, rollout.ErrPlanValue, 0, "new.program", "is not an executable file"},
		{`program = "` + dir + `/new"`, `program = "` + dir + `/old"`, rollout.ErrPlanValue, 0, "new", "it is the same as the old version"},
		{`[judge]`, "[[check]]\nclass = \"none\"\nstatement = \"s\"\n[judge]", rollout.ErrPlanValue, 0, "check.class", `no class "none"`},
		{`[judge]`, "[[check]]\nclass = \"lookup\"\n[judge]", rollout.ErrPlanValue, 14, "check.statement", ""},
	}
	for _, c := range cases {
		t.Run(c.to, func(t *testing.T) {
			_, err := CheckPlan([]byte(strings.Replace(validPlan(dir), c.from, c.to, 1)))
			var found *rollout.PlanError
			if !errors.As(err, &found) {
				t.Fatalf("%v is not a PlanError", err)
			}
			if found.Kind != c.kind || found.Line != c.line || found.Key != c.key {
				t.Errorf("error %v: kind %v, line %d, key %q, want %v, line %d, key %q", err, found.Kind, found.Line, found.Key, c.kind, c.line, c.key)
			}
			if !strings.Contains(err.Error(), c.reason) {
				t.Errorf("error text %q, want it to contain %q", err, c.reason)
			}
		})
	}
}

// TestCheckPlanReportsOperatorFileMismatch checks that a mismatch between plan and operator's file is reported for the version's key in the
// plan, and names the key in the operator's file.
func TestCheckPlanReportsOperatorFileMismatch(t *testing.T) {
	dir := t.TempDir()
	writeFleet(t, dir, 4)
	for key, change := range map[string][2]string{
		"membership.fleet":  {`fleet = "f"`, `fleet = "g"`},
		"rollout.report_to": {`listen = "127.0.0.1:7950"`, `listen = "127.0.0.1:7951"`},
	} {
		t.Run(key, func(t *testing.T) {
			_, err := CheckPlan([]byte(strings.Replace(validPlan(dir), change[0], change[1], 1)))
			checkOperatorError(t, err, "old.operator", key)
		})
	}
	for file, key := range map[string]string{"bad.toml": "membership.interval_ms", "none.toml": "rollout", "absent.toml": ""} {
		t.Run(file, func(t *testing.T) {
			good := validPlan(dir)
			last := strings.LastIndex(good, "op.toml")
			_, err := CheckPlan([]byte(good[:last] + file + good[last+len("op.toml"):]))
			checkOperatorError(t, err, "new.operator", key)
		})
	}
}

// checkOperatorError checks that an error is reported for planKey, and that its text contains operatorKey.
func checkOperatorError(t *testing.T, err error, planKey, operatorKey string) {
	t.Helper()
	var inPlan *rollout.PlanError
	if !errors.As(err, &inPlan) || inPlan.Key != planKey || !errors.Is(err, rollout.ErrPlanValue) {
		t.Fatalf("error %v, want a PlanError for the key %s", err, planKey)
	}
	if !strings.Contains(err.Error(), operatorKey) {
		t.Errorf("error text %q, want it to contain %q", err, operatorKey)
	}
	var inOperator *OperatorError
	if errors.As(err, &inOperator) && inOperator.Key != operatorKey {
		t.Errorf("%v: operator's key %q, want %q", err, inOperator.Key, operatorKey)
	}
}

// TestCheckPlanReportsMissingConfigs checks that missing configurations are an error.
func TestCheckPlanReportsMissingConfigs(t *testing.T) {
	dir := t.TempDir()
	writeFleet(t, dir, 4)
	var found *FleetError
	_, err := CheckPlan([]byte(strings.Replace(validPlan(dir), "n*.json", "m*.json", 1)))
	if !errors.As(err, &found) || found.Key != "configs" {
		t.Errorf("no configuration: error %v, want a FleetError for configs", err)
	}
	writeFleet(t, dir, 5) // each configuration says that there are five gateways
	if err := os.Remove(filepath.Join(dir, "n2.json")); err != nil {
		t.Fatal(err)
	}
	_, err = CheckPlan([]byte(validPlan(dir)))
	if !errors.As(err, &found) || found.Key != "self_index" || !strings.Contains(err.Error(), "there are 4 configurations") {
		t.Errorf("missing configuration: error %v, want a FleetError for self_index that says \"there are 4 configurations\"", err)
	}
}
