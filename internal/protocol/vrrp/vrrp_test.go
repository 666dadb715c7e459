package vrrp

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

var low, high = netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")

func router(t *testing.T, priority uint8, preempt bool) *Router {
	t.Helper()
	r, err := New(Config{VRID: 7, Priority: priority, Interval: time.Second, Preempt: preempt, Self: low,
		Addrs: []netip.Addr{netip.MustParseAddr("127.0.0.9")}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func advert(vrid, priority uint8, interval time.Duration) []byte {
	return message{vrid: vrid, priority: priority, interval: interval, addrs: []netip.Addr{low}}.bytes()
}

func alarm(steps []Step) time.Duration {
	for _, s := range steps {
		if s.Alarm > 0 {
			return s.Alarm
		}
	}
	return 0
}

func sent(t *testing.T, steps []Step) (message, bool) {
	t.Helper()
	for _, s := range steps {
		if s.Send != nil {
			m, err := parse(s.Send)
			if err != nil {
				t.Fatal(err)
			}
			return m, true
		}
	}
	return message{}, false
}

func receive(t *testing.T, r *Router, from netip.Addr, b []byte) []Step {
	t.Helper()
	steps, err := r.Received(from, b)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}

func TestBackupTakesOverAfterThreeIntervalsAndItsSkew(t *testing.T) {
	r := router(t, 100, true)
	skew := 156 * time.Second / 256
	if got := alarm(r.Startup()); r.State() != Backup || got != 3*time.Second+skew {
		t.Fatalf("%v after %v", r.State(), got)
	}
	if got := alarm(receive(t, r, high, advert(7, 200, 500*time.Millisecond))); got != 1500*time.Millisecond+skew/2 {
		t.Fatalf("with the master's own interval: %v", got) // RFC 9568, 6.4.2: the interval is learned
	}
	steps := r.TimerFired()
	if m, ok := sent(t, steps); r.State() != Master || !ok || m.priority != 100 || alarm(steps) != time.Second {
		t.Fatalf("%v, %+v", r.State(), steps)
	}
}

func TestPriorityZeroShortensTheWait(t *testing.T) {
	r := router(t, 100, true)
	r.Startup()
	if got := alarm(receive(t, r, high, advert(7, 0, time.Second))); got != 156*time.Second/256 {
		t.Fatalf("waits %v, want the skew", got)
	}
	r.TimerFired()
	m, ok := sent(t, r.Shutdown())
	if !ok || m.priority != 0 || r.State() != Initialize {
		t.Fatalf("a master that stops says %+v", m)
	}
	if r.TimerFired() != nil || r.Shutdown() != nil {
		t.Fatal("a stopped router acts")
	}
}

func TestPreemption(t *testing.T) {
	for _, preempt := range []bool{true, false} {
		r := router(t, 100, preempt)
		r.Startup()
		if heeded := alarm(receive(t, r, high, advert(7, 50, time.Second))) > 0; heeded == preempt {
			t.Errorf("preempt %v: a lesser master's advertisement counts: %v", preempt, heeded)
		}
	}
}

func TestMasterGivesWayToTheHigher(t *testing.T) {
	for name, c := range map[string]struct {
		from     netip.Addr
		priority uint8
		want     State
	}{
		"higher priority": {low, 101, Backup}, "same and higher address": {high, 100, Backup},
		"same and lower address": {netip.MustParseAddr("127.0.0.0"), 100, Master}, "lower": {high, 99, Master},
		"one that stops": {high, 0, Master},
	} {
		r := router(t, 100, true)
		r.Startup()
		r.TimerFired()
		steps := receive(t, r, c.from, advert(7, c.priority, time.Second))
		if _, answered := sent(t, steps); r.State() != c.want || answered != (c.want == Master) {
			t.Errorf("%s: %v, %+v", name, r.State(), steps)
		}
	}
}

func TestOwnerIsMasterAtOnce(t *testing.T) {
	r := router(t, 255, true)
	r.Startup()
	if _, err := r.Received(high, advert(7, 254, time.Second)); r.State() != Master || !errors.Is(err, ErrMessage) {
		t.Fatalf("%v, %v", r.State(), err)
	}
}

func TestWrongMessagesAreDiscarded(t *testing.T) {
	good := advert(7, 200, time.Second)
	bad := map[string][]byte{"other router": advert(8, 200, time.Second), "short": good[:7], "long": append(good[:len(good):len(good)], 0)}
	for i := range good { // any one bit more is seen by the checksum or the fields before it
		flipped := append([]byte(nil), good...)
		flipped[i] ^= 1
		bad["bit in byte "+string(rune('0'+i))] = flipped
	}
	for name, b := range bad {
		r := router(t, 100, true)
		r.Startup()
		if steps, err := r.Received(high, b); !errors.Is(err, ErrMessage) || steps != nil {
			t.Errorf("%s: %v, %v", name, steps, err)
		}
	}
}

func TestGarbageNeverPanics(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := router(t, rapid.Byte().Filter(func(b byte) bool { return b > 0 }).Draw(rt, "priority"), true)
		r.Startup()
		for _, b := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 40)).Draw(rt, "messages") {
			r.Received(high, b)
			r.TimerFired()
		}
	})
}
