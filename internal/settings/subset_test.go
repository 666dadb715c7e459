package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"frostpier/internal/control/subset"
)

const withMembership = "[membership]\nfleet = \"f\"\n"

func TestSubsetSection(t *testing.T) {
	o, err := ParseOperator([]byte(withMembership + "[subset]\nrate = 1625\nlinger_ms = 5000\nregions = [[\"b\"], [\"a\", \"c\"]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := subset.DefaultConfig()
	want.Rate, want.Linger, want.Regions = 1625, 5*time.Second, [][]int{{1}, {0, 2}}
	if got, err := o.Subset.Config([]string{"a", "b", "c"}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
	if o, err = ParseOperator([]byte(withMembership + "[subset]\n")); err != nil {
		t.Fatal(err)
	}
	if got, err := o.Subset.Config(nil); err != nil || !reflect.DeepEqual(got, subset.DefaultConfig()) {
		t.Errorf("a section without keys: %+v, %v", got, err)
	}
	if o, err = ParseOperator([]byte(withMembership)); err != nil || o.Subset != nil {
		t.Errorf("no section: %+v, %v", o.Subset, err)
	}
}

// Each error names the key at fault.
func TestSubsetErrorsNameTheKey(t *testing.T) {
	for key, values := range map[string][]string{
		"subset.least":       {"0", "-1", "1000000", "\"many\"", "1.5"},
		"subset.rate":        {"0", "-3.5", "nan", "inf", "1e30", "true"},
		"subset.engine_rate": {"0.0", "-1.0", "nan", "1e30"},
		"subset.coverage":    {"0", "-2", "100000"},
		"subset.linger_ms":   {"0", "-1", "9000000000000000000", "36000001"},
		"subset.regions":     {"[[]]", "[[\"a\"], [\"a\"]]", "[[\"\"]]", "[\"a\"]"},
		"subset.most":        {"3"},
	} {
		for _, value := range values {
			name := strings.TrimPrefix(key, "subset.")
			_, err := ParseOperator([]byte(withMembership + "[subset]\n" + name + " = " + value + "\n"))
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("%s = %s: %v", name, value, err)
			}
		}
	}
	if _, err := ParseOperator([]byte("[subset]\n")); err == nil || !strings.Contains(err.Error(), "membership") {
		t.Errorf("without membership: %v", err)
	}
	var fault *SubsetError
	if _, err := (Subset{Regions: [][]string{{"d"}}}).Config([]string{"a"}); !errors.As(err, &fault) || fault.Key != "regions" {
		t.Errorf("a zone that there is not: %v", err)
	}
}

// The section that the operators' file explains is one that the program takes, and names every key.
func TestSubsetInDeployIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "# [subset]\n")
	section, _, ended := strings.Cut(section, "\n\n")
	if !found || !ended {
		t.Fatal("no section subset")
	}
	section = "[subset]\n" + strings.ReplaceAll("\n"+section, "\n# ", "\n")
	o, err := ParseOperator([]byte(withMembership + section))
	if err != nil {
		t.Fatal(err)
	}
	fields := reflect.ValueOf(*o.Subset)
	for i := range fields.NumField() {
		if fields.Field(i).IsNil() {
			t.Errorf("%s is not explained", fields.Type().Field(i).Tag)
		}
	}
}

// The whole section may change while the program runs, and be there or not; what else differs may not because of it.
func TestSubsetIsLive(t *testing.T) {
	const on, other = "[subset]\nleast = 10\n", "[subset]\ncoverage = 3\nregions = [[\"a\"]]\n"
	for _, c := range []struct {
		from, to string
		live     bool
	}{{"", on, true}, {on, "", true}, {on, other, true}, {other, "[spread]\n", false}, {on, "[rollout]\nreport_to = \"127.0.0.1:1\"\n", false}} {
		from, err := ParseOperator([]byte(withMembership + c.from))
		to, err2 := ParseOperator([]byte(withMembership + c.to))
		if err != nil || err2 != nil || from.Live(to) != c.live {
			t.Errorf("%q to %q: %v %v, want live %v", c.from, c.to, err, err2, c.live)
		}
	}
}
