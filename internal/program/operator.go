package program

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/protocol/vrrp"
	"frostpier/internal/settings"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
)

// readOperator reads the operator's file that FROSTPIER_OPERATOR names; where it names none, all in it is off.
func readOperator() (settings.Operator, error) {
	path := os.Getenv("FROSTPIER_OPERATOR")
	if path == "" {
		return settings.Operator{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Operator{}, fmt.Errorf("FROSTPIER_OPERATOR: %w", err)
	}
	return settings.ParseOperator(text)
}

// mysqlSetup checks the file's accounts against the classes that there are.
func mysqlSetup(m *settings.MySQL, c *core.Core, most int) (frontend.MySQLConfig, error) {
	out := frontend.MySQLConfig{Listen: m.Listen, MostOpen: most * 8 / 9, User: m.EngineUser, Password: m.EnginePassword,
		EnginePort: strconv.Itoa(m.EnginePort), Engines: m.Engines, Accounts: map[string]*mysql.Account{}}
	if m.MaxClients > 0 {
		out.MostOpen = min(out.MostOpen, m.MaxClients)
	}
	for _, a := range m.Accounts {
		class, known := c.Class(a.Class)
		hash, err := mysql.ParseHash(a.PasswordHash)
		switch {
		case !known:
			return out, fmt.Errorf("account %q: no class %q", a.User, a.Class)
		case err != nil:
			return out, fmt.Errorf("account %q: %w", a.User, err)
		case a.BudgetMS <= 0:
			return out, fmt.Errorf("account %q: a budget of %d ms", a.User, a.BudgetMS)
		case out.Accounts[a.User] != nil:
			return out, fmt.Errorf("account %q stands twice", a.User)
		}
		out.Accounts[a.User] = &mysql.Account{User: a.User, Hash: hash, Class: class, Keyed: c.NeedsIdempotencyKey(class),
			Budget: time.Duration(a.BudgetMS) * time.Millisecond}
	}
	return out, nil
}

// standby makes the virtual router whose master owns the front's listener.
func standby(v *settings.VRRP, loop *eventloop.Loop, log *slog.Logger, front *frontend.MySQLListener) (*datagram.VRRPDriver, error) {
	router, err := vrrp.New(vrrp.Config{VRID: v.ID, Priority: v.Priority, Interval: v.Interval(), Preempt: v.Preempt,
		Self: v.Listen.Addr(), Addrs: v.Addresses})
	if err != nil {
		return nil, err
	}
	return datagram.NewVRRPDriver(loop, log, router, v.Listen, v.Peers, func(s vrrp.State) {
		if s != vrrp.Master {
			front.StopAccepting()
			return
		}
		own(log, front)
	})
}

// members makes the membership protocol's driver: numbers and addresses come from the configuration, times from the
// operator's file.
func members(op *settings.Membership, conf settings.Config, host settings.Host, loop *eventloop.Loop, log *slog.Logger,
	keep *invariant.Keeper, extensions []membership.Extension, shareLoad bool, weights func() []float64, listener datagram.MembershipListener) (*datagram.MembershipDriver, error) {
	listen, peers, err := conf.PeerAddrs()
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if len(peers) != host.Module.Gateways {
		return nil, fmt.Errorf("membership: %d peers, but the settings tell of %d gateways", len(peers), host.Module.Gateways)
	}
	interval, timeout, suspect := op.Times()
	extensionInterval := time.Duration(0)
	if shareLoad {
		extensionInterval = loadreport.Interval
	}
	node, err := membership.New(membership.Config{Extensions: extensions, ExtensionInterval: extensionInterval, Weights: weights, Self: host.Module.Number, Peers: peers, Fleet: op.Fleet,
		Seed: conf.SeedNumber(), Interval: interval, Timeout: timeout, Suspect: suspect})
	if err != nil {
		return nil, err
	}
	sock, err := datagram.Listen(listen)
	if err != nil {
		return nil, err
	}
	return datagram.NewMembershipDriver(loop, log, keep, node, sock, peers, listener), nil
}

// listenAgain is the pause before another try to listen: the former master may still hold the address.
const listenAgain = 100 * time.Millisecond

func own(log *slog.Logger, front *frontend.MySQLListener) {
	if err := front.Listen(); err != nil {
		log.Error("mysql front cannot listen", "error", err)
		front.Retry(listenAgain, func() { own(log, front) })
	}
}
