package program

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Guards against dials that fail for want of a descriptor, which look like engines that cannot be reached: clients
// and engines, the urgent calls included, once had more than there are where the limit is 256.
func TestSharesStayBelowTheLimit(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024} {
		for _, withMySQL := range []bool{false, true} {
			s := divide(sockets, withMySQL)
			sum := spare
			for _, share := range []struct{ Most, Urgent int }{s.clients, s.engines, s.mysqlClients, s.mysqlEngines} {
				sum += share.Most + share.Urgent
			}
			if sum > sockets || s.engines.Most < sockets/6 || s.engines.Urgent < 1 || s.clients.Most < sockets/5 {
				t.Errorf("%d descriptors: %+v, %d in all", sockets, s, sum)
			}
		}
	}
}

// Guards against a stop that the kill overtakes: where deadlines are short it comes sooner.
func TestStopEndsBeforeTheKill(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{time.Second: time.Second, 20 * time.Second: 3 * time.Second} {
		host := settings.Host{Module: policy.Settings{Classes: []policy.Class{{Deadline: time.Millisecond}, {Deadline: deadline}}}}
		if got := longest(host); got != want {
			t.Errorf("a deadline of %v counts as %v", deadline, got)
		}
	}
}

// Guards against a stop that a hanging loop keeps for ever: seen on a day of bad clients, where the program went silent
// in a planned stop, was killed, and its next start found the address in use. It ends, and says where all stood.
func TestStopEndsThoughTheLoopHangs(t *testing.T) {
	text := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(text, nil))
	late := make(chan time.Time, 1)
	late <- time.Time{}
	if ended(context.Background(), late, log) || !strings.Contains(text.String(), "goroutine") {
		t.Errorf("a loop that hangs: %s", text)
	}
	text.Reset()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if !ended(done, nil, log) || text.Len() > 0 {
		t.Errorf("a loop that has ended: %s", text)
	}
}

// A membership section that cannot hold stops the start with what is wrong, rather than leaving a gateway alone.
func TestMembershipThatCannotHoldStopsTheStart(t *testing.T) {
	log := slog.New(slog.NewTextHandler(&bytes.Buffer{}, nil))
	good := settings.Config{PeerListen: "127.0.0.1:0", Peers: []string{"127.0.0.2:5", "127.0.0.3:5"}}
	for want, change := range map[string]func(*settings.Config, *settings.Host){
		"":            func(*settings.Config, *settings.Host) {},
		"peer_listen": func(c *settings.Config, _ *settings.Host) { c.PeerListen = "nowhere" },
		"3 gateways":  func(_ *settings.Config, h *settings.Host) { h.Module.Gateways = 3 },
		"own number":  func(_ *settings.Config, h *settings.Host) { h.Module.Number = 2 },
		"of its own":  func(c *settings.Config, _ *settings.Host) { c.Peers = []string{"127.0.0.2:5", "127.0.0.2:5"} },
	} {
		conf, host := good, settings.Host{Module: policy.Settings{Gateways: 2}}
		change(&conf, &host)
		m, err := members(&settings.Membership{Fleet: "f"}, conf, host, eventloop.New(time.Now(), 1), log, invariant.New(log), nil, false, nil, nil)
		if m != nil {
			m.Stop()
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
