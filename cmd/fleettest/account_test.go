package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Checks the tables from the logs of two gateways: the second gateway's estimate of an engine's load is compared with the
// attempts that the first has in flight there, rejected requests are counted by the guard that last queued them, and lines that
// are not log records are skipped.
func TestAccountTablesSummarizeGatewayLogs(t *testing.T) {
	dir := t.TempDir()
	logs := map[string]string{
		"n0.log": `time=x level=INFO msg=serving name=n0
time=x level=DEBUG msg="attempt decided" at=1000 request=1 attempt=0 class=0 engine=a held_ms=0 own=1 others=0 limit=1 target=6 age_ms=-1
time=x level=DEBUG msg="attempt ended" at=3000 request=1 attempt=0 class=0 engine=a outcome=0 took_ms=2000
time=x level=DEBUG msg="request answered" at=3000 request=1 class=0 verdict=0 attempts=1 took_ms=2000 left_ms=1 why=""
not a record at all
msg="broken
`,
		"n1.log": `time=x level=INFO msg=serving name=n1
time=x level=DEBUG msg="attempt decided" at=2000 request=1 attempt=0 class=0 engine=a held_ms=40 own=1 others=3 limit=1 target=6 age_ms=300
time=x level=DEBUG msg="request held" at=2100 request=2 class=1 held_ms=100 attempts=0 why=limit engines=limit:3
time=x level=DEBUG msg="request held" at=2200 request=2 class=1 held_ms=200 attempts=0 why=limit engines=limit:3
time=x level=DEBUG msg="request answered" at=2300 request=2 class=1 verdict=1 attempts=0 took_ms=300 left_ms=1 why=limit
`,
	}
	for name, text := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out := filepath.Join(t.TempDir(), "account")
	if err := (&accountCommand{Logs: dir, Out: out}).Run(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(out + ".md")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 gateways, 2 attempts", "| refused with no attempt | 1 | 0.500 |", "| limit | 1 | 1.000 |",
		"| 250 to 500 | 1 | 0.500 | 4.0 | 1.0 | 3.0 |", "| no report yet | 1 | 0.500 | 1.0 | 0.0 | 1.0 |"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the tables do not contain %q:\n%s", want, text)
		}
	}
	if err := (&accountCommand{Logs: t.TempDir(), Out: out}).Run(); err == nil {
		t.Error("no error for an empty log directory")
	}
}
