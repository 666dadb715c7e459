package vrrp

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

var low, high = netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")

// router returns a Router with the lower of the two test addresses.
func router(t *testing.T, priority uint8, preempt bool) *Router {
	t.Helper()
	r, err := New(Config{VRID: 7, Priority: priority, Interval: time.Second, Preempt: preempt, PrimaryAddr: low,
		VirtualAddrs: []netip.Addr{netip.MustParseAddr("127.0.0.9")}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// advert returns the bytes of an advertisement from a peer.
func advert(vrid, priority uint8, interval time.Duration) []byte {
	return advertisement{vrid: vrid, priority: priority, interval: interval, addrs: []netip.Addr{low}}.encode()
}

// timer returns the duration of the timer that steps start, or 0.
func timer(steps []Step) time.Duration {
	for _, s := range steps {
		if s.StartTimer > 0 {
			return s.StartTimer
		}
	}
	return 0
}

// sent returns the advertisement that steps send, and whether there is one.
func sent(t *testing.T, steps []Step) (advertisement, bool) {
	t.Helper()
	for _, s := range steps {
		if s.Send != nil {
			m, err := parseAdvertisement(s.Send)
			if err != nil {
				t.Fatal(err)
			}
			return m, true
		}
	}
	return advertisement{}, false
}

func receive(t *testing.T, r *Router, from netip.Addr, b []byte) []Step {
	t.Helper()
	steps, err := r.Received(from, b)
	if err != nil {
		t.Fatal(err)
	}
	return steps
}

func TestBackupTakesOverAfterActiveDownInterval(t *testing.T) {
	r := router(t, 100, true)
	skew := 156 * time.Second / 256
	if got := timer(r.Startup()); r.State() != Backup || got != 3*time.Second+skew {
		t.Fatalf("after startup: state %v and timer of %v, want a backup that waits for Active_Down_Interval", r.State(), got)
	}
	if got := timer(receive(t, r, high, advert(7, 200, 500*time.Millisecond))); got != 1500*time.Millisecond+skew/2 {
		t.Fatalf("timer of %v, want Active_Down_Interval for the interval of the master", got) // RFC 9568 section 6.4.2: a backup adopts it
	}
	steps := r.TimerFired()
	if m, ok := sent(t, steps); r.State() != Master || !ok || m.priority != 100 || timer(steps) != time.Second {
		t.Fatalf("state %v and steps %+v, want a master that advertises every second with priority 100", r.State(), steps)
	}
}

// An advertisement of priority 0 starts the takeover after Skew_Time, and a master sends one when it shuts down.
func TestPriorityZeroStartsTakeover(t *testing.T) {
	r := router(t, 100, true)
	r.Startup()
	if got := timer(receive(t, r, high, advert(7, 0, time.Second))); got != 156*time.Second/256 {
		t.Fatalf("timer of %v, want Skew_Time", got)
	}
	r.TimerFired()
	m, ok := sent(t, r.Shutdown())
	if !ok || m.priority != 0 || r.State() != Initialize {
		t.Fatalf("state %v, shutdown sent %+v, want priority 0", r.State(), m)
	}
	if r.TimerFired() != nil || r.Shutdown() != nil {
		t.Fatal("a router in Initialize returned steps")
	}
}

// A backup ignores advertisements of a lower priority if it preempts; otherwise they restart its timer like any other.
func TestPreemptingBackupIgnoresLowerPriority(t *testing.T) {
	for name, preempt := range map[string]bool{"preempt": true, "no preempt": false} {
		t.Run(name, func(t *testing.T) {
			r := router(t, 100, preempt)
			r.Startup()
			restarted := timer(receive(t, r, high, advert(7, 50, time.Second))) > 0
			if restarted == preempt {
				t.Errorf("an advertisement of lower priority restarts the timer: %v, want %v", restarted, !preempt)
			}
		})
	}
}

func TestMasterYieldsToHigherPrecedence(t *testing.T) {
	lowest := netip.MustParseAddr("127.0.0.0")
	for name, c := range map[string]struct {
		from     netip.Addr
		priority uint8
		want     State
	}{
		"higher priority":                          {low, 101, Backup},
		"equal priority and higher address":        {high, 100, Backup},
		"equal priority and lower address":         {lowest, 100, Master},
		"lower priority":                           {high, 99, Master},
		"priority 0 from a router that shuts down": {high, 0, Master},
	} {
		t.Run(name, func(t *testing.T) {
			r := router(t, 100, true)
			r.Startup()
			r.TimerFired()
			steps := receive(t, r, c.from, advert(7, c.priority, time.Second))
			if _, advertised := sent(t, steps); r.State() != c.want || advertised != (c.want == Master) {
				t.Errorf("state %v and steps %+v, want state %v, and an advertisement only from a master", r.State(), steps, c.want)
			}
		})
	}
}

func TestOwnerBecomesMasterAtStartup(t *testing.T) {
	r := router(t, 255, true)
	r.Startup()
	if _, err := r.Received(high, advert(7, 254, time.Second)); r.State() != Master || !errors.Is(err, ErrDiscarded) {
		t.Fatalf("state %v and error %v, want a master that discards the advertisement", r.State(), err)
	}
}

func TestInvalidAdvertisementsAreDiscarded(t *testing.T) {
	good := advert(7, 200, time.Second)
	type invalid struct {
		bytes []byte
		want  error // nil accepts any error that matches ErrDiscarded
	}
	cases := map[string]invalid{
		"other VRID":    {advert(8, 200, time.Second), errOtherRouter},
		"zero interval": {advert(7, 200, 0), errZeroInterval},
		"short":         {good[:7], &SizeError{Size: 7}},
		"long":          {append(good[:len(good):len(good)], 0), &SizeError{Size: 13, Addresses: 1}},
	}
	for i := range good { // any flipped bit is detected by the checksum or an earlier check
		flipped := append([]byte(nil), good...)
		flipped[i] ^= 1
		cases[fmt.Sprintf("flipped bit in byte %d", i)] = invalid{flipped, nil}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := router(t, 100, true)
			r.Startup()
			steps, err := r.Received(high, c.bytes)
			if !errors.Is(err, ErrDiscarded) || steps != nil {
				t.Errorf("steps %v and error %v, want no steps and ErrDiscarded", steps, err)
			}
			var size *SizeError
			if errors.As(err, &size) && c.want != nil {
				if !reflect.DeepEqual(error(size), c.want) {
					t.Errorf("error %v, want %v", err, c.want)
				}
			} else if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	ipv6 := netip.MustParseAddr("::1")
	for field, change := range map[string]func(*Config){
		"VRID":                func(c *Config) { c.VRID = 0 },
		"priority":            func(c *Config) { c.Priority = 0 },
		"interval":            func(c *Config) { c.Interval = maxInterval + 1 },
		"number of addresses": func(c *Config) { c.VirtualAddrs = nil },
		"primary address":     func(c *Config) { c.PrimaryAddr = ipv6 },
		"address":             func(c *Config) { c.VirtualAddrs = []netip.Addr{low, ipv6} },
	} {
		t.Run(field, func(t *testing.T) {
			config := Config{VRID: 7, Priority: 100, Interval: time.Second, PrimaryAddr: low, VirtualAddrs: []netip.Addr{low}}
			change(&config)
			_, err := New(config)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("error %v, want a ConfigError for %s", err, field)
			}
		})
	}
}

// Random messages and timer expiries never cause a panic.
func TestRouterRandomInputNeverPanics(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := router(t, rapid.Byte().Filter(func(b byte) bool { return b > 0 }).Draw(rt, "priority"), true)
		r.Startup()
		for _, b := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 40)).Draw(rt, "messages") {
			r.Received(high, b)
			r.TimerFired()
		}
	})
}
