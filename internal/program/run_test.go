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

// The socket budgets of clients and engines, including urgent requests, must not exceed the descriptor limit. With a limit
// of 256 they once did, and a dial that fails without a free descriptor looks like an unreachable engine.
func TestSocketBudgetsStayBelowLimit(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024} {
		for _, withMySQL := range []bool{false, true} {
			b := divideSockets(sockets, withMySQL)
			sum := reservedSockets
			for _, budget := range []enginepool.Budget{b.clients, b.engines, b.mysqlClients, b.mysqlEngines} {
				sum += budget.Max + budget.Urgent
			}
			if sum > sockets {
				t.Errorf("limit of %d descriptors: budgets %+v, %d in total", sockets, b, sum)
			}
			if b.engines.Max < sockets/6 || b.engines.Urgent < 1 || b.clients.Max < sockets/5 {
				t.Errorf("limit of %d descriptors: a budget is too small: %+v", sockets, b)
			}
		}
	}
}

// The deadline of a shutdown must be the longest deadline of a class, limited to 3 s. The platform kills a process whose
// shutdown takes much longer.
func TestShutdownDeadlineIsBounded(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{time.Second: time.Second, 20 * time.Second: 3 * time.Second} {
		host := settings.Host{Policy: policy.Settings{Classes: []policy.Class{{Deadline: time.Millisecond}, {Deadline: deadline}}}}
		if got := shutdownDeadline(host); got != want {
			t.Errorf("longest class deadline %v: shutdown deadline %v, want %v", deadline, got, want)
		}
	}
}

// waitForShutdown must return and log the stacks when the event loop hangs. Otherwise the process would be killed, and the
// next process would find the address in use, as has happened.
func TestWaitForShutdownReturnsWhenLoopHangs(t *testing.T) {
	output := &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(output, nil))
	overdue := make(chan time.Time, 1)
	overdue <- time.Time{}
	if waitForShutdown(context.Background(), overdue, log) || !strings.Contains(output.String(), "goroutine") {
		t.Errorf("hanging loop: logged %q, want the stacks of the goroutines", output)
	}
	output.Reset()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if !waitForShutdown(done, nil, log) || output.Len() > 0 {
		t.Errorf("finished loop: logged %q, want nothing", output)
	}
}

// newMembershipDriver must return an error that names the invalid value. If the program started nevertheless, the gateway
// would run without its peers.
func TestInvalidMembershipIsRejected(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, test := range []struct {
		name   string
		change func(*settings.Config, *settings.Host)
		key    string // invalid key of the configuration; empty = the package membership returns the error
		want   string // part of the error; empty = no error
	}{
		{name: "valid", change: func(*settings.Config, *settings.Host) {}},
		{name: "peer_listen", change: func(c *settings.Config, _ *settings.Host) { c.PeerListen = "nowhere" }, key: "peer_listen", want: "peer_listen"},
		{name: "gateways", change: func(_ *settings.Config, h *settings.Host) { h.Policy.Gateways = 3 }, key: "peers", want: "3 gateways"},
		{name: "number", change: func(_ *settings.Config, h *settings.Host) { h.Policy.GatewayIndex = 2 }, want: "Self is 2, must be an index into"},
		{name: "same address twice", change: func(c *settings.Config, _ *settings.Host) {
			c.Peers = []string{"127.0.0.2:5", "127.0.0.2:5"}
		}, want: "Peers[1] is 127.0.0.2:5, must be a valid address with a port, used by no other peer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conf := settings.Config{PeerListen: "127.0.0.1:0", Peers: []string{"127.0.0.2:5", "127.0.0.3:5"}}
			host := settings.Host{Policy: policy.Settings{Gateways: 2}}
			test.change(&conf, &host)
			s := membershipSetup{section: &settings.Membership{Fleet: "f"}, conf: conf, host: host}
			m, err := newMembershipDriver(s, eventloop.New(time.Now(), 1), log, invariant.New(log))
			if m != nil {
				m.Stop()
			}
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("error %v, want %q", err, test.want)
			}
			var invalid *settings.KeyError
			if errors.As(err, &invalid) != (test.key != "") || invalid != nil && invalid.Key != test.key {
				t.Errorf("error %v, want key %q", err, test.key)
			}
		})
	}
}
