package settings

import (
	"os"
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

const mysqlPart = "[mysql]\nlisten = \"127.0.0.1:1\"\nengine_user = \"u\"\n[[mysql.account]]\nuser = \"a\"\n"

func TestOperatorFileErrors(t *testing.T) {
	vrrp := "[vrrp]\nlisten = \"127.0.0.1:2\"\npeers = [\"127.0.0.2:2\"]\nid = 1\npriority = 9\ninterval_ms = 500\naddresses = [\"127.0.0.1\"]\n"
	if o, err := ParseOperator([]byte(mysqlPart + vrrp)); err != nil || o.VRRP.Interval() != 500*time.Millisecond {
		t.Fatalf("%+v, %v", o.VRRP, err)
	}
	for name, text := range map[string]string{"unknown key": mysqlPart + "buget_ms = 1\n", "vrrp alone": vrrp,
		"no account": "[mysql]\nlisten = \"x\"\nengine_user = \"u\"\n", "no TOML": "mysql", "id": mysqlPart + "[vrrp]\nid = 300\n"} {
		if _, err := ParseOperator([]byte(text)); err == nil {
			t.Errorf("%s: taken", name)
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
