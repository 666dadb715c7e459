package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// Checks that deploy/operator.toml, which operators copy, is valid.
func TestDeployOperatorFileIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil || o.MySQL == nil || len(o.MySQL.Accounts) != 3 || o.VRRP != nil {
		t.Fatalf("%+v, error %v, want mysql with three accounts and no vrrp", o, err)
	}
}

// Checks that deploy/platform.toml is valid and enables no frontend for MySQL clients.
func TestDeployPlatformFileIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/platform.toml")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := ParseOperator(text); err != nil || o.MySQL != nil || o.VRRP != nil {
		t.Fatalf("%+v, error %v, want neither mysql nor vrrp", o, err)
	}
}

const mysqlSection = "[mysql]\nlisten = \"127.0.0.1:1\"\nengine_user = \"u\"\n[[mysql.account]]\nuser = \"a\"\n"

// decoderKey matches the key in an error message of the TOML decoder, which has no error type for a value of the wrong type.
var decoderKey = regexp.MustCompile(`toml: line \d+ \(last key "([^"]+)"\): `)

// keyOf returns the key that an error names. The error must be a *KeyError with the given source, or an error of the TOML
// decoder.
func keyOf(t *testing.T, err error, source string) string {
	t.Helper()
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return syntax.LastKey
	}
	if match := decoderKey.FindStringSubmatch(fmt.Sprint(err)); match != nil {
		return match[1]
	}
	var invalid *KeyError
	if !errors.As(err, &invalid) {
		t.Errorf("not a KeyError: %v", err)
		return ""
	}
	if invalid.Source != source || !strings.Contains(err.Error(), invalid.Source+": "+invalid.Key+": ") {
		t.Errorf("%v: want the source %s and the key in the message", err, source)
	}
	return invalid.Key
}

// Checks that the error for an invalid operator's file names the invalid key.
func TestParseOperatorRejectsInvalidFiles(t *testing.T) {
	const vrrp = "[vrrp]\nlisten = \"127.0.0.1:2\"\npeers = [\"127.0.0.2:2\"]\nid = 1\npriority = 9\n" +
		"interval_ms = 500\naddresses = [\"127.0.0.1\"]\n"
	if o, err := ParseOperator([]byte(mysqlSection + vrrp)); err != nil || o.VRRP.Interval() != 500*time.Millisecond {
		t.Fatalf("vrrp %+v, error %v, want an interval of 500 ms", o.VRRP, err)
	}
	for _, test := range []struct{ name, text, key string }{
		{"unknown key", mysqlSection + "buget_ms = 1\n", "mysql.account.buget_ms"},
		{"vrrp without mysql", vrrp, "vrrp"},
		{"spread without membership", "[spread]\n", "spread"},
		{"unknown key in spread", "[membership]\nfleet = \"f\"\n[spread]\nevery = 1\n", "spread.every"},
		{"membership without fleet", "[membership]\ninterval_ms = 1000\n", "membership.fleet"},
		{"membership interval out of range", "[membership]\nfleet = \"f\"\ninterval_ms = 5\n", "membership.interval_ms"},
		{"membership timeout out of range", "[membership]\nfleet = \"f\"\ntimeout_ms = 1000\n", "membership.timeout_ms"},
		{"suspicion timeout out of range", "[membership]\nfleet = \"f\"\nsuspect_ms = 9\n", "membership.suspect_ms"},
		{"mysql without account", "[mysql]\nlisten = \"x\"\nengine_user = \"u\"\n", "mysql.account"},
		{"not TOML", "mysql", ""},
		{"vrrp id out of range", mysqlSection + "[vrrp]\nid = 300\n", "vrrp.id"},
		{"rollout without address", membershipSection + "[rollout]\n", "rollout.report_to"},
		{"rollout to another machine", membershipSection + "[rollout]\nreport_to = \"10.0.0.1:1\"\n", "rollout.report_to"},
		{"rollout interval out of range", membershipSection + "[rollout]\nreport_to = \"127.0.0.1:1\"\nreport_ms = 1\n", "rollout.report_ms"},
		{"rollout without membership", "[rollout]\nreport_to = \"127.0.0.1:1\"\n", "rollout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseOperator([]byte(test.text))
			if err == nil {
				t.Fatal("the invalid file was accepted")
			}
			if key := keyOf(t, err, SourceOperator); key != test.key {
				t.Errorf("%v: key %q, want %q", err, key, test.key)
			}
		})
	}
}

// Checks that each error about the section membership names the invalid key, its value and the bound.
func TestMembershipErrorsNameKeyValueAndBound(t *testing.T) {
	o, err := ParseOperator([]byte("[membership]\nfleet = \"f\"\ninterval_ms = 500\nsuspect_ms = 900\n"))
	if err != nil || o.Membership == nil {
		t.Fatal(err)
	}
	interval, timeout, suspect := o.Membership.Times()
	if interval != 500*time.Millisecond || timeout != 0 || suspect != 900*time.Millisecond {
		t.Fatalf("interval %v, timeout %v, suspicion timeout %v, want 500ms, 0s and 900ms", interval, timeout, suspect)
	}
	for _, test := range []struct{ key, text, want string }{
		{"membership.fleet", "", "membership.fleet: must not be empty"},
		{"membership.interval_ms", "fleet = \"f\"\ninterval_ms = 70000\n", "membership.interval_ms: 70000: must be between 100 and 60000"},
		{"membership.timeout_ms", "fleet = \"f\"\ninterval_ms = 500\ntimeout_ms = 250\n",
			"membership.timeout_ms: 250: must be at least 0 and less than half of interval_ms (500)"},
		{"membership.suspect_ms", "fleet = \"f\"\ninterval_ms = 500\nsuspect_ms = -1\n",
			"membership.suspect_ms: -1: must be between half of interval_ms (500) and 60000"},
	} {
		t.Run(test.key, func(t *testing.T) {
			_, err := ParseOperator([]byte("[membership]\n" + test.text))
			if key := keyOf(t, err, SourceOperator); key != test.key {
				t.Errorf("%v: key %q, want %q", err, key, test.key)
			}
			if want := SourceOperator + ": " + test.want; err == nil || err.Error() != want {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}

// Checks that PeerAddrs returns the configured addresses, and an error that names the key of a missing or invalid one.
func TestPeerAddrsReportsInvalidKey(t *testing.T) {
	c, err := ParseConfig([]byte(`{"peer_listen":"127.0.0.1:5","peers":["127.0.0.2:5","127.0.0.3:5"]}`))
	if err != nil {
		t.Fatal(err)
	}
	if listen, peers, err := c.PeerAddrs(); err != nil || listen.Port() != 5 || len(peers) != 2 {
		t.Fatalf("listen %v, peers %v, error %v, want port 5 and two peers", listen, peers, err)
	}
	for key, text := range map[string]string{
		"peer_listen": `{"peers":["127.0.0.2:5"]}`,
		"peers":       `{"peer_listen":"127.0.0.1:5"}`,
		"peers[1]":    `{"peer_listen":"127.0.0.1:5","peers":["127.0.0.2:5","nonsense"]}`,
	} {
		t.Run(key, func(t *testing.T) {
			c, err := ParseConfig([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			_, _, err = c.PeerAddrs()
			if got := keyOf(t, err, SourceConfiguration); got != key {
				t.Errorf("%v: key %q, want %q", err, got, key)
			}
		})
	}
}

// Checks that ParseConfig ignores unknown keys and sets defaults, and that errors of ParseHost name the invalid key of a
// class.
func TestParseConfigDefaultsAndParseHostErrors(t *testing.T) {
	c, err := ParseConfig([]byte(`{"listen":"x:1","seed":"8c1f30d27a5be964","limits":{"sockets":10},"novelty":1}`))
	if err != nil || c.SeedNumber() != 0x8c1f30d27a5be964 || c.Limits.Sockets != 10 || c.Limits.MemoryMB != 192 {
		t.Fatalf("%+v, error %v, want the given seed and sockets, and the default memory_mb", c, err)
	}
	if _, err := ParseConfig([]byte("{")); err == nil {
		t.Fatal("a truncated configuration was accepted")
	}
	for key, text := range map[string]string{
		"classes[0].repeat": `{"classes":[{"repeat":"maybe"}]}`,
		"classes[1].group":  `{"classes":[{"repeat":"dedup"},{"repeat":"dedup","group":"maybe"}]}`,
	} {
		_, err := ParseHost([]byte(text))
		if got := keyOf(t, err, SourceSettings); got != key {
			t.Errorf("%v: key %q, want %q", err, got, key)
		}
	}
}

// Checks that timeout_ms and suspect_ms of membership can change and the section spread can be removed without a restart,
// and that other changes require one.
func TestCanApplyLiveDependsOnChangedKeys(t *testing.T) {
	parse := func(text string) Operator {
		t.Helper()
		o, err := ParseOperator([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	const base = membershipSection
	for _, test := range []struct {
		from, to string
		want     bool
	}{
		{base, base + "suspect_ms = 5000\ntimeout_ms = 300\n", true},
		{base + "[spread]\n", base, true},
		{base, base + "[spread]\n", false},
		{base, base + "interval_ms = 1000\n", false},
		{base, "[membership]\nfleet = \"g\"\n", false},
		{base, "", false},
		{"", base, false},
		{base, base + "[rollout]\nreport_to = \"127.0.0.1:1\"\n", false},
	} {
		if got := parse(test.from).CanApplyLive(parse(test.to)); got != test.want {
			t.Errorf("%q to %q: got %v, want %v", test.from, test.to, got, test.want)
		}
	}
}
