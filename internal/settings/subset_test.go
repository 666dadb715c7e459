package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"frostpier/internal/control/subset"
)

const membershipSection = "[membership]\nfleet = \"f\"\n"

// Checks that Config translates the keys of the section subset, and selects the default for each missing key.
func TestSubsetConfigAppliesDefaults(t *testing.T) {
	o, err := ParseOperator([]byte(membershipSection + "[subset]\nrate = 1625\nlinger_ms = 5000\nregions = [[\"b\"], [\"a\", \"c\"]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := subset.DefaultConfig()
	want.Rate, want.Linger, want.Regions = 1625, 5*time.Second, [][]int{{1}, {0, 2}}
	if got, err := o.Subset.Config([]string{"a", "b", "c"}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, error %v, want %+v", got, err, want)
	}
	if o, err = ParseOperator([]byte(membershipSection + "[subset]\n")); err != nil {
		t.Fatal(err)
	}
	if got, err := o.Subset.Config(nil); err != nil || !reflect.DeepEqual(got, subset.DefaultConfig()) {
		t.Errorf("section without keys: %+v, error %v, want the defaults", got, err)
	}
	if o, err = ParseOperator([]byte(membershipSection)); err != nil || o.Subset != nil {
		t.Errorf("no section: %+v, error %v, want nil", o.Subset, err)
	}
}

// Checks that each error about the section subset names the invalid key.
func TestSubsetErrorsNameTheKey(t *testing.T) {
	for name, values := range map[string][]string{
		"least":       {"0", "-1", "1000000", "\"many\"", "1.5"},
		"rate":        {"0", "-3.5", "nan", "inf", "1e30", "true"},
		"engine_rate": {"0.0", "-1.0", "nan", "1e30"},
		"coverage":    {"0", "-2", "100000"},
		"linger_ms":   {"0", "-1", "9000000000000000000", "36000001"},
		"regions":     {"[[]]", "[[\"a\"], [\"a\"]]", "[[\"\"]]", "[\"a\"]"},
		"most":        {"3"},
	} {
		for _, value := range values {
			t.Run(name+"="+value, func(t *testing.T) {
				_, err := ParseOperator([]byte(membershipSection + "[subset]\n" + name + " = " + value + "\n"))
				if err == nil {
					t.Fatal("the invalid value was accepted")
				}
				if key := keyOf(t, err, SourceOperator); key != "subset."+name {
					t.Errorf("%v: key %q, want %q", err, key, "subset."+name)
				}
			})
		}
	}
	_, err := ParseOperator([]byte("[subset]\n"))
	if key := keyOf(t, err, SourceOperator); key != "subset" || !strings.Contains(err.Error(), "membership") {
		t.Errorf("without membership: error %v, want one about subset that names membership", err)
	}
	_, err = (Subset{Regions: [][]string{{"d"}}}).Config([]string{"a"})
	if key := keyOf(t, err, SourceOperator); key != "subset.regions" {
		t.Errorf("unknown zone: error %v, want one about subset.regions", err)
	}
}

// Checks that the section subset, which is commented out in deploy/operator.toml, is valid and contains every key.
func TestDeployOperatorFileDocumentsSubset(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "# [subset]\n")
	section, _, ended := strings.Cut(section, "\n\n")
	if !found || !ended {
		t.Fatal("no commented section subset")
	}
	section = "[subset]\n" + strings.ReplaceAll("\n"+section, "\n# ", "\n")
	o, err := ParseOperator([]byte(membershipSection + section))
	if err != nil {
		t.Fatal(err)
	}
	fields := reflect.ValueOf(*o.Subset)
	for i := range fields.NumField() {
		if fields.Field(i).IsNil() {
			t.Errorf("key %s is missing", fields.Type().Field(i).Tag)
		}
	}
}

// Checks that the section subset can be added, changed and removed without a restart, and that other changes in the same
// file still require one.
func TestCanApplyLiveAllowsSubsetChanges(t *testing.T) {
	const on, other = "[subset]\nleast = 10\n", "[subset]\ncoverage = 3\nregions = [[\"a\"]]\n"
	for _, test := range []struct {
		from, to string
		want     bool
	}{
		{"", on, true},
		{on, "", true},
		{on, other, true},
		{other, "[spread]\n", false},
		{on, "[rollout]\nreport_to = \"127.0.0.1:1\"\n", false},
	} {
		from, err := ParseOperator([]byte(membershipSection + test.from))
		if err != nil {
			t.Fatal(err)
		}
		to, err := ParseOperator([]byte(membershipSection + test.to))
		if err != nil {
			t.Fatal(err)
		}
		if got := from.CanApplyLive(to); got != test.want {
			t.Errorf("%q to %q: got %v, want %v", test.from, test.to, got, test.want)
		}
	}
}
