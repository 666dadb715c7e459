package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/control/membership/membershippb"
)

// Checks that no sequence of valid datagrams violates an invariant, even if they contradict each other or contain
// impossible updates: every queue stays within its limit, and this member stays alive in its own view.
func TestContradictoryUpdatesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(t, 0, 5)
		now := epoch
		small := rapid.Uint32Range(0, 7)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "tick") {
				n.Tick(now)
			} else {
				member := rapid.IntRange(1, 4).Draw(t, "from")
				n.Receive(now, n.cfg.Peers[member], datagramFrom(n, member, func(d *membershippb.Datagram) {
					d.Kind = membershippb.Kind(small.Draw(t, "kind"))
					d.Sequence, d.Subject, d.First = small.Draw(t, "seq"), small.Draw(t, "subject"), small.Draw(t, "first")
					d.Incarnation = uint64(int64(d.Incarnation) + rapid.Int64Range(-5, 5).Draw(t, "own"))
					d.SubjectIncarnation, d.Digest = rapid.Uint64().Draw(t, "other"), small.Draw(t, "digest")
					for range rapid.IntRange(0, 6).Draw(t, "words") {
						w := uint64(epoch/time.Second+time.Duration(rapid.IntRange(-9, 9).Draw(t, "inc")))<<stateBits |
							uint64(small.Draw(t, "state"))
						d.About, d.Word, d.By = append(d.About, small.Draw(t, "about")), append(d.Word, w), append(d.By, small.Draw(t, "by"))
					}
				}))
			}
			if err := n.CheckInvariants(); err != nil {
				t.Fatal(err)
			}
			if n.NextTick() < now {
				t.Fatalf("NextTick is %v in the past", now-n.NextTick())
			}
		}
	})
}
