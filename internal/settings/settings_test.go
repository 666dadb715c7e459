package settings

import (
	"os"
	"strings"
	"testing"
	"time"
)

// The file that operators copy must be one that the program takes.
func TestOperatorFileInDeployIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil || o.MySQL == nil || len(o.MySQL.Accounts) != 3 || o.VRRP != nil {
		t.Fatalf("%+v, %v", o, err)
	}
}

func TestPlatformFileInDeployIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/platform.toml")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := ParseOperator(text); err != nil || o.MySQL != nil || o.VRRP != nil {
		t.Fatalf("%+v, %v", o, err)
	}
}

const mysqlPart = "[mysql]\nlisten = \"127.0.0.1:1\"\nengine_user = \"u\"\n[[mysql.account]]\nuser = \"a\"\n"

func TestOperatorFileErrors(t *testing.T) {
	vrrp := "[vrrp]\nlisten = \"127.0.0.1:2\"\npeers = [\"127.0.0.2:2\"]\nid = 1\npriority = 9\ninterval_ms = 500\naddresses = [\"127.0.0.1\"]\n"
	if o, err := ParseOperator([]byte(mysqlPart + vrrp)); err != nil || o.VRRP.Interval() != 500*time.Millisecond {
		t.Fatalf("%+v, %v", o.VRRP, err)
	}
	for name, text := range map[string]string{"unknown key": mysqlPart + "buget_ms = 1\n", "vrrp alone": vrrp,
		"spread alone": "[spread]\n", "spread's key": "[membership]\nfleet = \"f\"\n[spread]\nevery = 1\n",
		"no fleet": "[membership]\ninterval_ms = 1000\n", "interval": "[membership]\nfleet = \"f\"\ninterval_ms = 5\n",
		"timeout": "[membership]\nfleet = \"f\"\ntimeout_ms = 1000\n", "suspect": "[membership]\nfleet = \"f\"\nsuspect_ms = 9\n",
		"no account": "[mysql]\nlisten = \"x\"\nengine_user = \"u\"\n", "no TOML": "mysql", "id": mysqlPart + "[vrrp]\nid = 300\n"} {
		if _, err := ParseOperator([]byte(text)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// Each error of the membership section names the key at fault.
func TestMembershipSection(t *testing.T) {
	o, err := ParseOperator([]byte("[membership]\nfleet = \"f\"\ninterval_ms = 500\nsuspect_ms = 900\n"))
	if err != nil || o.Membership == nil {
		t.Fatal(err)
	}
	if i, timeout, s := o.Membership.Times(); i != 500*time.Millisecond || timeout != 0 || s != 900*time.Millisecond {
		t.Fatalf("%v %v %v", i, timeout, s)
	}
	for key, text := range map[string]string{"membership.fleet": "", "membership.interval_ms": "fleet = \"f\"\ninterval_ms = 70000\n",
		"membership.timeout_ms": "fleet = \"f\"\ninterval_ms = 500\ntimeout_ms = 250\n", "membership.suspect_ms": "fleet = \"f\"\nsuspect_ms = -1\n"} {
		if _, err := ParseOperator([]byte("[membership]\n" + text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestPeerAddrs(t *testing.T) {
	c, err := ParseConfig([]byte(`{"peer_listen":"127.0.0.1:5","peers":["127.0.0.2:5","127.0.0.3:5"]}`))
	if err != nil {
		t.Fatal(err)
	}
	if listen, peers, err := c.PeerAddrs(); err != nil || listen.Port() != 5 || len(peers) != 2 {
		t.Fatal(listen, peers, err)
	}
	for key, text := range map[string]string{"peer_listen": `{"peers":["127.0.0.2:5"]}`, "peers": `{"peer_listen":"127.0.0.1:5"}`,
		"number 1": `{"peer_listen":"127.0.0.1:5","peers":["127.0.0.2:5","nonsense"]}`} {
		c, _ := ParseConfig([]byte(text))
		if _, _, err := c.PeerAddrs(); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestConfig(t *testing.T) {
	c, err := ParseConfig([]byte(`{"listen":"x:1","seed":"8c1f30d27a5be964","limits":{"sockets":10},"novelty":1}`))
	if err != nil || c.SeedNumber() != 0x8c1f30d27a5be964 || c.Limits.Sockets != 10 || c.Limits.MemoryMB != 192 {
		t.Fatalf("%+v, %v", c, err)
	}
	if _, err := ParseConfig([]byte("{")); err == nil {
		t.Fatal("half a configuration was taken")
	}
	if _, err := ParseHost([]byte(`{"classes":[{"repeat":"maybe"}]}`)); err == nil {
		t.Fatal("an unknown effect was taken")
	}
}

// What of the operator's file may change while the program runs: two times of membership, and whether a digest that the
// start began is told; all else waits for the next start.
func TestLiveSettings(t *testing.T) {
	parse := func(text string) Operator {
		o, err := ParseOperator([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	const base = "[membership]\nfleet = \"f\"\n"
	for _, c := range []struct {
		from, to string
		live     bool
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
		if got := parse(c.from).Live(parse(c.to)); got != c.live {
			t.Errorf("%q to %q: %v", c.from, c.to, got)
		}
	}
	for _, bad := range []string{base + "[rollout]\n", base + "[rollout]\nreport_to = \"10.0.0.1:1\"\n",
		base + "[rollout]\nreport_to = \"127.0.0.1:1\"\nreport_ms = 1\n", "[rollout]\nreport_to = \"127.0.0.1:1\"\n"} {
		if _, err := ParseOperator([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
