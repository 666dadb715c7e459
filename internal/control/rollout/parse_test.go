package rollout

import (
	"errors"
	"strings"
	"testing"
)

const testPlan = `name = "x"
fleet = "f"
listen = "127.0.0.1:1"
stages = ["1", "100%"]
[old]
program = "a"
[new]
program = "b"
[watch]
least_s = 10
`

// TestParsePlanSetsDefaults checks the defaults of values that a plan leaves out, and that other values are kept.
func TestParsePlanSetsDefaults(t *testing.T) {
	p, err := ParsePlan([]byte(testPlan), 4)
	if err != nil {
		t.Fatal(err)
	}
	if p.Watch.MinSeconds != 10 || p.Watch.MaxSeconds != 300 || p.Watch.OnInconclusive != HoldInconclusive {
		t.Errorf("watch %+v, want least_s of the plan and the defaults", p.Watch)
	}
	if p.Reports != p.Listen || p.Change.MaxUnavailable != 1 || p.Judge.MaxCrashes != 2 {
		t.Errorf("plan %+v, want the defaults of reports, change.down_at_once and judge.crashes", p)
	}
	if p.Judge.MinChecks != 0 {
		t.Errorf("a plan without checks requires %d check results, want 0", p.Judge.MinChecks)
	}
}

// TestParsePlanReportsKeyAndLine checks the kind, key, line and text of the errors for invalid plans.
func TestParsePlanReportsKeyAndLine(t *testing.T) {
	cases := []struct {
		name, from, to string
		kind           error
		line           int
		key, text      string
	}{
		{"empty name", `"x"`, `""`, ErrPlanValue, 1, "name",
			"plan: line 1: name: a name is required, on one line and without slashes"},
		{"missing table", "[old]\nprogram = \"a\"\n", "", ErrPlanValue, 1, "old.program", "plan: line 1: old.program: a value is required"},
		{"invalid range", "least_s = 10", "least_s = 400", ErrPlanValue, 9, "watch.most_s",
			"plan: line 9: watch.most_s: 400 s (watch.least_s) to 300 s is not a valid range"},
		{"unknown key", "least_s", "lest_s", ErrPlanUnknownKey, 10, "watch.lest_s", "plan: line 10: unknown key watch.lest_s"},
		{"wrong type", "least_s = 10", `least_s = "a"`, ErrPlanType, 10, "watch.least_s",
			`plan: toml: line 10 (last key "watch.least_s"): incompatible types: TOML value has type string; destination has type float`},
		{"missing quote", `"f"`, `"f`, ErrPlanSyntax, 2, "fleet", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParsePlan([]byte(strings.Replace(testPlan, c.from, c.to, 1)), 4)
			var found *PlanError
			if !errors.As(err, &found) {
				t.Fatalf("%v is not a *PlanError", err)
			}
			if !errors.Is(err, c.kind) {
				t.Errorf("%v is not of the kind %v", err, c.kind)
			}
			if found.Line != c.line || found.Key != c.key {
				t.Errorf("line %d, key %q, want line %d, key %q", found.Line, found.Key, c.line, c.key)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("error text %q, want %q", err, c.text)
			}
		})
	}
}
