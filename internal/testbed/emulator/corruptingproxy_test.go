package emulator

import (
	"testing"
)

// Checks that the proxy corrupts every 50th result and no line without a result.
func TestCorruptingProxyCorruptsEvery50thResult(t *testing.T) {
	const result, ping = `{"id":1,"result":{"blob":"cm93"}}`, `{"id":2,"result":{"serving":true}}`
	const corrupted = `{"id":1,"result":{"blob":"c3Bvcm93"}}`
	var p corruptingProxy
	for i := 1; i <= 150; i++ {
		want := result
		if i%50 == 0 {
			want = corrupted
		}
		if got := p.corrupt(result); got != want {
			t.Errorf("result %d: %s, want %s", i, got, want)
		}
		if got := p.corrupt(ping); got != ping {
			t.Errorf("ping after result %d: %s", i, got)
		}
	}
}
