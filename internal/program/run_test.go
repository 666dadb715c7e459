package program

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// A dial that fails for want of a descriptor looks like an unreachable engine. The budgets of clients and engines, urgent
// calls included, once exceeded a limit of 256.
func TestSocketBudgetsStayBelowLimit(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024} {
		for _, withMySQL := range []bool{false, true} {
			b := divideSockets(sockets, withMySQL)
			sum := reservedSockets
			for _, budget := range []enginepool.Budget{b.clients, b.engines, b.mysqlClients, b.mysqlEngines} {
				sum += budget.Max + budget.Urgent
			}
			if sum > sockets {
				t.Errorf("%d descriptors: %+v, %d in all", sockets, b, sum)
			}
			if b.engines.Max < sockets/6 || b.engines.Urgent < 1 || b.clients.Max < sockets/5 {
				t.Errorf("%d descriptors: a budget is too small: %+v", sockets, b)
			}
		}
	}
}

// The platform kills a process whose shutdown takes longer than its longest deadline, so a shutdown is shorter where
// deadlines are.
func TestStopDeadlineIsBounded(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{time.Second: time.Second, 20 * time.Second: 3 * time.Second} {
		host := settings.Host{Module: policy.Settings{Classes: []policy.Class{{Deadline: time.Millisecond}, {Deadline: deadline}}}}
		if got := stopDeadline(host); got != want {
			t.Errorf("a deadline of %v counts as %v", deadline, got)
		}
	}
}

// A hanging event loop must not keep a shutdown from ending: once the program was killed for it, and its next start found
// the address in use. It ends and logs the stacks.
func TestWaitStoppedGivesUpOnHangingLoop(t *testing.T) {
	output := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(output, nil))
	overdue := make(chan time.Time, 1)
	overdue <- time.Time{}
	if waitStopped(context.Background(), overdue, log) || !strings.Contains(output.String(), "goroutine") {
		t.Errorf("a loop that hangs: %s", output)
	}
	output.Reset()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if !waitStopped(done, nil, log) || output.Len() > 0 {
		t.Errorf("a loop that has ended: %s", output)
	}
}

// An invalid membership section stops the start with the reason, as otherwise the gateway would run alone.
func TestInvalidMembershipIsRejected(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, test := range []struct {
		name   string
		change func(*settings.Config, *settings.Host)
		key    string // of the configuration; empty = found by the package membership
		want   string // in the text; empty = valid
	}{
		{name: "valid", change: func(*settings.Config, *settings.Host) {}},
		{name: "peer_listen", change: func(c *settings.Config, _ *settings.Host) { c.PeerListen = "nowhere" }, key: "peer_listen", want: "peer_listen"},
		{name: "gateways", change: func(_ *settings.Config, h *settings.Host) { h.Module.Gateways = 3 }, key: "peers", want: "3 gateways"},
		{name: "number", change: func(_ *settings.Config, h *settings.Host) { h.Module.GatewayIndex = 2 }, want: "own number"},
		{name: "same address twice", change: func(c *settings.Config, _ *settings.Host) {
			c.Peers = []string{"127.0.0.2:5", "127.0.0.2:5"}
		}, want: "of its own"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conf := settings.Config{PeerListen: "127.0.0.1:0", Peers: []string{"127.0.0.2:5", "127.0.0.3:5"}}
			host := settings.Host{Module: policy.Settings{Gateways: 2}}
			test.change(&conf, &host)
			s := membershipSetup{section: &settings.Membership{Fleet: "f"}, conf: conf, host: host}
			m, err := newMembership(s, eventloop.New(time.Now(), 1), log, invariant.New(log))
			if m != nil {
				m.Stop()
			}
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("%v, want %q", err, test.want)
			}
			var invalid *settings.KeyError
			if errors.As(err, &invalid) != (test.key != "") || invalid != nil && invalid.Key != test.key {
				t.Errorf("%v: want key %q", err, test.key)
			}
		})
	}
}
