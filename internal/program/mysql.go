package program

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/protocol/vrrp"
	"frostpier/internal/settings"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
)

// masterListenRetryInterval is the delay before a new master retries to listen. Until the previous master has released
// the address, listening fails.
const masterListenRetryInterval = 100 * time.Millisecond

// mysqlConfig returns the configuration of the MySQL frontend, or the error of an invalid account. sockets is the descriptor
// budget for clients.
func mysqlConfig(m *settings.MySQL, c *core.Core, sockets int) (frontend.MySQLConfig, error) {
	config := frontend.MySQLConfig{
		Listen: m.Listen, MaxConns: sockets * 8 / 9, EngineUser: m.EngineUser, EnginePassword: m.EnginePassword,
		EnginePort: strconv.Itoa(m.EnginePort), EngineAddrs: m.Engines, Accounts: map[string]*mysql.Account{},
	}
	if m.MaxClients > 0 {
		config.MaxConns = min(config.MaxConns, m.MaxClients)
	}
	for _, a := range m.Accounts {
		class, known := c.Class(a.Class)
		hash, err := mysql.ParsePasswordHash(a.PasswordHash)
		switch {
		case !known:
			return config, accountError(a.User, "class", a.Class, "not a class of the settings", nil)
		case err != nil:
			return config, accountError(a.User, "password_hash", nil, "", err)
		case a.BudgetMS <= 0:
			return config, accountError(a.User, "budget_ms", a.BudgetMS, "must be greater than 0", nil)
		case config.Accounts[a.User] != nil:
			return config, accountError(a.User, "user", a.User, "duplicate user", nil)
		}
		config.Accounts[a.User] = &mysql.Account{
			User: a.User, PasswordHash: hash, Class: class, NeedsIdempotencyKey: c.NeedsIdempotencyKey(class),
			Budget: time.Duration(a.BudgetMS) * time.Millisecond,
		}
	}
	return config, nil
}

// accountError returns the error of an invalid key of an account.
func accountError(user, key string, value any, reason string, err error) error {
	return &settings.KeyError{
		Source: settings.SourceOperator, Key: fmt.Sprintf("mysql.account[%q].%s", user, key),
		Value: value, Reason: reason, Err: err,
	}
}

// newVRRPDriver returns the driver of the virtual router. The MySQL frontend listens only while this gateway is its master.
func newVRRPDriver(v *settings.VRRP, loop *eventloop.Loop, log *slog.Logger, listener *frontend.MySQLListener) (*datagram.VRRPDriver, error) {
	router, err := vrrp.New(vrrp.Config{
		VRID: v.ID, Priority: v.Priority, Interval: v.Interval(), Preempt: v.Preempt,
		PrimaryAddr: v.Listen.Addr(), VirtualAddrs: v.Addresses,
	})
	if err != nil {
		return nil, err
	}
	return datagram.NewVRRPDriver(loop, log, router, v.Listen, v.Peers, func(s vrrp.State) {
		if s != vrrp.Master {
			listener.StopAccepting()
			return
		}
		listenAsMaster(log, listener)
	})
}

// listenAsMaster opens the MySQL frontend's listener, and retries until it succeeds.
func listenAsMaster(log *slog.Logger, listener *frontend.MySQLListener) {
	if err := listener.Listen(); err != nil {
		log.Error("cannot open mysql listener, retrying", "error", err)
		listener.ScheduleRetry(masterListenRetryInterval, func() { listenAsMaster(log, listener) })
	}
}
